//! What the choice of a server costs, at the number of servers of a large deployment.

#[path = "fairness/support/engines.rs"]
mod engines;

use {
    baobab_place::{AdmissionClass, Load, Part, PlacementRequest, Prompt, VersionBound},
    std::time::Duration,
};

const NOW: Duration = Duration::from_secs(10);
/// Two looks at each of sixteen known servers, at three ranked and three random ones, and at the engines to fetch
/// cached parts from.
const MAX_EXAMINED: u64 = 64;

fn prompt(number: u64) -> Prompt {
    let part = |id, tokens| Part { id, tokens };
    Prompt {
        parts: vec![
            part(1, 500),
            part(1_000 + number % 50, 4_000),
            part(10_000 + number, 2_000),
        ],
        tokens: 6_500,
        output_limit: 100,
        ..Prompt::default()
    }
}

fn request(prompt: &Prompt, seed: u64) -> PlacementRequest<'_> {
    PlacementRequest {
        service: engines::SERVICE,
        prompt: Some(prompt),
        objective: Duration::from_millis(800),
        min_objective: Duration::from_millis(400),
        domain: "north",
        sample: None,
        seed,
        tried: &[],
        admission_class: AdmissionClass::Modest,
        allows_limited: true,
        versions: VersionBound::Any,
        can_fetch: true,
        memory_tokens: 400_000,
        max_connections: 1900,
        connected: None,
    }
}

/// Places requests with cached parts at all engines, at a router that knows the loads of all. Returns the servers
/// examined for each.
fn examined_per_request(engines: u32) -> u64 {
    const REQUESTS: u64 = 200;
    let mut placer = engines::placer(engines, 12);
    for key in 1..=engines {
        placer.on_load_answer(key, Load::default(), NOW);
        for number in 0..50 {
            for part in prompt(number).shared() {
                placer.on_peer_part(key, *part, NOW);
            }
        }
    }
    let before = placer.examined();
    for number in 0..REQUESTS {
        let prompt = prompt(number);
        let request = request(&prompt, number);
        let sample = placer.sample(&request, 0, NOW).unwrap();
        let known = placer.known_servers(&request, &sample, NOW).unwrap();
        let request = PlacementRequest {
            sample: Some(&known),
            ..request
        };
        placer.place(&request, NOW).unwrap();
    }
    (placer.examined() - before) / REQUESTS
}

#[test]
fn a_choice_does_not_examine_every_server_of_a_large_service() {
    for engines in [140, 600] {
        let examined = examined_per_request(engines);
        assert!(
            examined <= MAX_EXAMINED,
            "{examined} servers are examined for a request of {engines}"
        );
    }
}
