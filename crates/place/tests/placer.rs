//! Server selection by load, cached parts, admission class and health.

use {
    baobab_limit::Priority,
    baobab_place::{
        AdmissionClass, ConnectionLimits, Load, Part, PeerReport, Peers, Placement, PlacementError,
        PlacementRequest, Placer, Prompt, Registry, Server, ServerOutcome, Tuning, VersionBound,
    },
    std::time::Duration,
};

const SERVICE: &str = "assistant";
const OBJECTIVE: Duration = Duration::from_millis(800);
const MIN_OBJECTIVE: Duration = Duration::from_millis(400);
const MEMORY_TOKENS: u64 = 600_000;
const NOW: Duration = Duration::from_secs(10);

fn server(key: u32) -> Server {
    Server {
        id: format!("engine-{key}"),
        key,
        service: SERVICE.to_owned(),
        software_version: "v1".to_owned(),
        address: ([10, 0, 0, 1], 8000 + u16::try_from(key).unwrap()).into(),
        domain: "north".to_owned(),
        slots: 64,
        is_leaving: false,
        warm_up: Duration::ZERO,
        started_unix_ms: None,
    }
}

fn placer(engines: u32) -> Placer {
    let mut registry = Registry::new(Duration::from_secs(2));
    registry.replace((1..=engines).map(server).collect(), Duration::ZERO);
    Placer::new(
        registry,
        Peers::new(Duration::from_secs(1)),
        Tuning::default(),
    )
}

fn prompt(shared: u64, own: u64, tokens: u64) -> Prompt {
    let parts = vec![
        Part {
            id: shared,
            tokens: 5_000,
        },
        Part {
            id: own,
            tokens: tokens - 5_000,
        },
    ];
    Prompt {
        parts,
        tokens,
        output_limit: 400,
        output_hint: None,
    }
}

fn placement_request(prompt: &Prompt, admission_class: AdmissionClass) -> PlacementRequest<'_> {
    PlacementRequest {
        service: SERVICE,
        prompt: Some(prompt),
        objective: OBJECTIVE,
        min_objective: MIN_OBJECTIVE,
        domain: "north",
        sample: None,
        seed: 1,
        tried: &[],
        admission_class,
        allows_limited: true,
        versions: VersionBound::Any,
        can_fetch: true,
        memory_tokens: MEMORY_TOKENS,
        max_connections: 360,
        connected: None,
    }
}

fn send(placer: &mut Placer, prompt: &Prompt) -> Option<Placement> {
    let placement = placer
        .place(&placement_request(prompt, AdmissionClass::Modest), NOW)
        .ok()?;
    placer.on_sent(&placement, Some(prompt), NOW);
    Some(placement)
}

#[test]
fn requests_with_a_shared_part_go_to_the_engine_that_has_it_cached() {
    let mut placer = placer(6);
    let first = prompt(7, 100, 6_000);
    let placement = send(&mut placer, &first).unwrap();
    let mut load = Load {
        pending_prefill_tokens: placement.prefill_tokens,
        ..Load::default()
    };
    let key = placement.server.key;
    placer.on_first_event(
        key,
        &mut load,
        placement.predicted_first_event,
        Some(placement.predicted_first_event),
    );
    let second = send(&mut placer, &prompt(7, 101, 6_000)).unwrap();
    assert_eq!(second.server.key, key);
    assert_eq!(second.prefill_tokens, 1_000);
    assert_eq!(second.fetch_from, None);
}

#[test]
fn a_part_cached_by_a_loaded_engine_is_fetched_from_it() {
    let mut placer = placer(2);
    let first = send(&mut placer, &prompt(7, 100, 6_000)).unwrap();
    // Another router reports a high load on that engine.
    let report = PeerReport {
        replaces_loads: true,
        replaces_rates: true,
        loads: vec![(
            first.server.key,
            Load {
                pending_prefill_tokens: 30_000,
                running: 20,
                memory_tokens: 200_000,
            },
        )],
        rates: Vec::new(),
    };
    placer.peers.on_report(9, &report, NOW);
    let second = send(&mut placer, &prompt(7, 101, 6_000)).unwrap();
    assert_ne!(second.server.key, first.server.key);
    assert_eq!(second.fetch_from, Some(first.server.address));
    assert_eq!(second.prefill_tokens, 1_000);
}

#[test]
fn all_routers_choose_the_same_engine_for_a_shared_part() {
    for part in 1..20 {
        let request = prompt(part * 1_000, part, 5_500);
        let chosen = [placer(8), placer(8)].map(|router| {
            let placement = router
                .place(&placement_request(&request, AdmissionClass::Modest), NOW)
                .unwrap();
            placement.server.key
        });
        assert_eq!(chosen[0], chosen[1], "part {part}");
    }
}

#[test]
fn an_overload_is_refused_before_engines_miss_the_objective() {
    let mut placer = placer(3);
    let mut predicted = Vec::new();
    let mut declined = 0;
    for request in 0..200 {
        match send(&mut placer, &prompt(request, 10_000 + request, 8_000)) {
            Some(placement) => predicted.push(placement.predicted_first_event),
            None => declined += 1,
        }
    }
    assert!(declined > 0);
    assert!(predicted.iter().all(|time| *time <= OBJECTIVE));
    let request = prompt(999, 9_999, 8_000);
    let result = placer.place(&placement_request(&request, AdmissionClass::Modest), NOW);
    assert!(matches!(result, Err(PlacementError::Busy(congestion)) if congestion.late == 3));
}

#[test]
fn short_prompts_are_admitted_during_an_overload_of_long_ones() {
    let mut placer = placer(3);
    for request in 0..200 {
        send(&mut placer, &prompt(request, 10_000 + request, 8_000));
    }
    let question = Prompt {
        parts: vec![Part { id: 5, tokens: 300 }, Part { id: 6, tokens: 300 }],
        tokens: 600,
        output_limit: 100,
        output_hint: None,
    };
    let mut placement_request = placement_request(&question, AdmissionClass::Modest);
    placement_request.objective = MIN_OBJECTIVE;
    let placement = placer.place(&placement_request, NOW).unwrap();
    assert!(
        placement.predicted_first_event <= MIN_OBJECTIVE,
        "{:?}",
        placement.predicted_first_event
    );
}

#[test]
fn capacity_is_reserved_for_requests_within_the_share() {
    let mut placer = placer(3);
    while placer
        .place(
            &placement_request(
                &prompt(1, 2, 8_000),
                AdmissionClass::BeyondShare { excess: 1.0 },
            ),
            NOW,
        )
        .is_ok()
    {
        let request = prompt(3, 4, 8_000);
        send(&mut placer, &request).unwrap();
    }
    assert!(
        placer
            .place(
                &placement_request(&prompt(1, 2, 8_000), AdmissionClass::Late),
                NOW
            )
            .is_err()
    );
    assert!(
        placer
            .place(
                &placement_request(&prompt(1, 2, 8_000), AdmissionClass::Modest),
                NOW
            )
            .is_ok()
    );
}

#[test]
fn a_prompt_too_large_for_the_objective_goes_to_an_engine_with_a_short_queue() {
    let mut placer = placer(2);
    let huge = prompt(1, 2, 54_000);
    assert!(send(&mut placer, &huge).is_some());
    assert!(send(&mut placer, &prompt(3, 4, 54_000)).is_some());
    assert!(send(&mut placer, &prompt(5, 6, 54_000)).is_none());
}

#[test]
fn a_request_is_refused_while_engine_memory_is_full() {
    let mut placer = placer(1);
    let report = PeerReport {
        replaces_loads: true,
        replaces_rates: true,
        loads: vec![(
            1,
            Load {
                pending_prefill_tokens: 0,
                running: 10,
                memory_tokens: MEMORY_TOKENS * 9 / 10,
            },
        )],
        rates: Vec::new(),
    };
    placer.peers.on_report(9, &report, NOW);
    assert!(send(&mut placer, &prompt(1, 2, 8_000)).is_none());
}

#[test]
fn the_load_of_a_silent_router_expires() {
    let mut placer = placer(1);
    let report = PeerReport {
        replaces_loads: true,
        replaces_rates: true,
        loads: vec![(
            1,
            Load {
                pending_prefill_tokens: 90_000,
                running: 60,
                memory_tokens: 0,
            },
        )],
        rates: Vec::new(),
    };
    placer.peers.on_report(9, &report, NOW);
    assert!(
        placer
            .place(
                &placement_request(&prompt(1, 2, 8_000), AdmissionClass::Modest),
                NOW
            )
            .is_err()
    );
    placer.expire(NOW + Duration::from_secs(2));
    assert!(
        placer
            .place(
                &placement_request(&prompt(1, 2, 8_000), AdmissionClass::Modest),
                NOW
            )
            .is_ok()
    );
}

#[test]
fn a_server_is_chosen_even_if_all_are_ejected() {
    let mut placer = placer(2);
    placer.on_sent(
        &placer
            .place(
                &placement_request(&prompt(1, 2, 6_000), AdmissionClass::Modest),
                NOW,
            )
            .unwrap(),
        None,
        NOW,
    );
    for key in [1, 2] {
        let load = Load {
            running: 1,
            ..Load::default()
        };
        placer.on_sent(&placement(key), None, NOW);
        placer.on_finished(key, load, Some(ServerOutcome::Unreachable), NOW);
        assert!(
            placer
                .place(
                    &placement_request(&prompt(1, 2, 6_000), AdmissionClass::Modest),
                    NOW
                )
                .is_ok()
        );
    }
}

fn placement(key: u32) -> Placement {
    Placement {
        server: server(key),
        predicted_first_event: Duration::ZERO,
        prefill_tokens: 0,
        cached_tokens: 0,
        max_cached_tokens: 0,
        fetch_from: None,
        permit_asked_at: None,
    }
}

#[test]
fn a_tried_server_is_not_chosen_again() {
    let placer = placer(2);
    let request = prompt(1, 2, 6_000);
    let mut again = placement_request(&request, AdmissionClass::Modest);
    again.tried = &[1];
    assert_eq!(placer.place(&again, NOW).unwrap().server.key, 2);
    again.tried = &[1, 2];
    assert!(matches!(
        placer.place(&again, NOW),
        Err(PlacementError::NoServer)
    ));
}

#[test]
fn a_restarted_engine_has_nothing_cached() {
    let mut placer = placer(1);
    let placement = send(&mut placer, &prompt(7, 8, 6_000)).unwrap();
    let mut load = Load {
        pending_prefill_tokens: placement.prefill_tokens,
        ..Load::default()
    };
    placer.on_first_event(
        1,
        &mut load,
        placement.predicted_first_event,
        Some(placement.predicted_first_event),
    );
    let request = prompt(7, 9, 6_000);
    let placement_request = placement_request(&request, AdmissionClass::Modest);
    assert_eq!(
        placer.place(&placement_request, NOW).unwrap().cached_tokens,
        5_000
    );
    placer.on_server_restarted(1);
    assert_eq!(
        placer.place(&placement_request, NOW).unwrap().cached_tokens,
        0
    );
}

#[test]
fn connection_limits_let_one_router_fill_all_slots_in_a_large_fleet() {
    let engine = server(1);
    // Max connections, number of routers, (max busy, max idle).
    let cases = [
        (360, 6, (64, 8)),
        (860, 90, (64, 7)),
        (860, 300, (64, 2)),
        (96, 6, (64, 3)),
    ];
    for (max_connections, fleet_size, (max_busy, max_idle)) in cases {
        let limits = ConnectionLimits::new(&engine, max_connections, fleet_size);
        assert_eq!(
            limits,
            ConnectionLimits { max_busy, max_idle },
            "{max_connections}, {fleet_size}"
        );
    }
}

#[test]
fn a_server_without_a_free_connection_is_not_chosen_and_not_ejected() {
    let mut placer = placer(1);
    let prompt = prompt(7, 100, 6_000);
    let mut plain = placement_request(&prompt, AdmissionClass::Modest);
    plain.prompt = None;
    plain.max_connections = 2;
    let limit = placer
        .connection_limits(&server(1), plain.max_connections)
        .max_busy;
    for _ in 0..limit {
        let placement = placer.place(&plain, NOW).unwrap();
        placer.on_sent(&placement, None, NOW);
    }
    assert!(matches!(
        placer.place(&plain, NOW),
        Err(PlacementError::Busy(_))
    ));
    let one = Load {
        running: 1,
        ..Load::default()
    };
    placer.on_finished(1, one, Some(ServerOutcome::Full), NOW);
    assert!(placer.place(&plain, NOW).is_ok());
}

#[test]
fn a_chosen_server_that_leaves_or_backs_off_meanwhile_is_not_sent_the_request() {
    let mut placer = placer(3);
    assert!(placer.accepts(1, NOW));
    assert!(!placer.accepts(9, NOW), "removed");
    placer.registry.announce(Server {
        is_leaving: true,
        ..server(1)
    });
    assert!(!placer.accepts(1, NOW));
    placer.registry.on_leaving_response(2, NOW);
    assert!(!placer.accepts(2, NOW));
    placer.on_backoff(3, Duration::from_secs(2), NOW);
    assert!(!placer.accepts(3, NOW + Duration::from_millis(1_900)));
    assert!(placer.accepts(3, NOW + Duration::from_secs(2)));
}

#[test]
fn servers_whose_limit_is_used_up_are_left_out_until_it_leaves_a_request() {
    let prompt = prompt(1, 2, 9_000);
    let mut placer = placer(2);
    let request = placement_request(&prompt, AdmissionClass::Modest);
    let is_chosen = |placer: &Placer, key: u32, at_ms: u64| {
        let result = placer.place(&request, NOW + Duration::from_millis(at_ms));
        result.is_ok_and(|placement| placement.server.key == key)
    };
    placer.limits.on_response(1, Some(2.0));
    placer
        .limits
        .on_refused(1, Priority::Large, Duration::from_millis(300), NOW);
    assert!(is_chosen(&placer, 2, 0));
    placer.limits.on_response(2, Some(5.0));
    placer
        .limits
        .on_refused(2, Priority::Large, Duration::from_millis(400), NOW);
    let error = placer.place(&request, NOW).unwrap_err();
    assert_eq!(error, PlacementError::Limited(Duration::from_millis(300)));
    assert!(is_chosen(&placer, 1, 300));
    let others_only = PlacementRequest {
        allows_limited: false,
        ..placement_request(&prompt, AdmissionClass::Modest)
    };
    assert!(
        placer
            .place(&others_only, NOW + Duration::from_secs(1))
            .is_err()
    );
    // Servers that ask for no requests count as well: the first time at which any takes one is told.
    placer.on_backoff(1, Duration::from_millis(200), NOW);
    let error = placer.place(&request, NOW).unwrap_err();
    assert_eq!(
        error,
        PlacementError::BackingOff(Duration::from_millis(200))
    );
    placer.limits.on_response(2, None);
    assert!(is_chosen(&placer, 2, 0));
}

#[test]
fn permits_go_to_larger_prompts_within_the_share_first() {
    let (large, small) = (prompt(1, 2, 9_000), prompt(1, 3, 5_100));
    let mut placer = placer(2);
    for _ in 0..200 {
        for prompt in [&large, &small] {
            let _ = placer.on_sent(&placement(1), Some(prompt), NOW);
        }
    }
    let within = AdmissionClass::WithinShare { unused: 0.5 };
    let beyond = AdmissionClass::BeyondShare { excess: 1.0 };
    let cases = [
        (&large, AdmissionClass::Modest, Priority::Large),
        (&large, within, Priority::Large),
        (&small, within, Priority::Small),
        (&large, AdmissionClass::Late, Priority::Spare),
        (&large, beyond, Priority::Spare),
        (&small, beyond, Priority::Spare),
    ];
    for (prompt, admission_class, expected) in cases {
        let request = placement_request(prompt, admission_class);
        assert_eq!(
            placer.permit_priority(&request),
            expected,
            "{admission_class:?}"
        );
    }
}

/// Engines with few slots serve most of them; those with many keep memory and speed in reserve.
#[test]
fn running_requests_are_bounded_by_slots_on_small_engines_and_by_number_on_large_ones() {
    for (slots, admission_class, expected) in [
        (12, AdmissionClass::Modest, 12),
        (12, AdmissionClass::BeyondShare { excess: 1.0 }, 9),
        (64, AdmissionClass::Modest, 32),
        (64, AdmissionClass::BeyondShare { excess: 1.0 }, 20),
    ] {
        let mut registry = Registry::new(Duration::from_secs(2));
        let engine = Server { slots, ..server(1) };
        registry.replace(vec![engine], Duration::ZERO);
        let peers = Peers::new(Duration::from_secs(1));
        let mut placer = Placer::new(registry, peers, Tuning::default());
        let prompt = Prompt {
            parts: Vec::new(),
            tokens: 10,
            output_limit: 400,
            output_hint: None,
        };
        let request = placement_request(&prompt, admission_class);
        let mut admitted = 0;
        while let Ok(placement) = placer.place(&request, NOW) {
            let mut load = placer.on_sent(&placement, Some(&prompt), NOW);
            let predicted = placement.predicted_first_event;
            placer.on_first_event(1, &mut load, predicted, Some(predicted));
            admitted += 1;
        }
        assert_eq!(admitted, expected, "{slots} slots, {admission_class:?}");
    }
}

/// Prefill of some 150 ms before a request, on each of three engines whose owners have answered.
fn busy(placer: &mut Placer, engines: impl Iterator<Item = u32>) {
    for key in engines {
        let load = Load {
            pending_prefill_tokens: 6_000,
            running: 15,
            memory_tokens: 90_000,
        };
        placer.on_load_answer(key, load, NOW);
    }
}

#[test]
fn an_engine_whose_load_is_unknown_is_taken_to_be_as_busy_as_the_others() {
    let spare = |placer: &Placer, sample: &[u32]| {
        let prompt = prompt(3, 4, 8_000);
        let request = PlacementRequest {
            sample: Some(sample),
            ..placement_request(&prompt, AdmissionClass::Late)
        };
        placer.place(&request, NOW).is_ok()
    };
    let mut placer = placer(6);
    assert!(spare(&placer, &[4, 5, 6]), "nothing is known");
    busy(&mut placer, 1..=3);
    assert!(!spare(&placer, &[4, 5, 6]));
    // An answer shows an idle one.
    placer.on_load_answer(5, Load::default(), NOW);
    assert!(spare(&placer, &[4, 5, 6]));
    // Its owner knows the load of a server without an answer.
    placer.peers.on_owned(6);
    assert!(spare(&placer, &[4, 6]));
    placer.forget_typical_loads();
    assert!(
        spare(&placer, &[4]),
        "in a small fleet all routers report to this one"
    );
}

#[test]
fn a_router_that_cannot_ask_chooses_among_the_servers_that_it_knows() {
    let mut placer = placer(6);
    let known = |placer: &Placer| {
        let prompt = prompt(3, 4, 8_000);
        let request = placement_request(&prompt, AdmissionClass::Modest);
        placer.known_servers(&request, &[], NOW).unwrap()
    };
    assert_eq!(known(&placer), [] as [u32; 0]);
    busy(&mut placer, [2, 5].into_iter());
    placer.peers.on_owned(3);
    assert_eq!(known(&placer), [2, 3, 5]);
    placer.expire(NOW + Duration::from_secs(1));
    assert_eq!(known(&placer), [3], "answers are used for half a second");
}

#[test]
fn a_large_prompt_finds_an_engine_behind_short_ones_if_its_workspace_is_owed_that() {
    for (admission_class, is_admitted) in [
        (AdmissionClass::Modest, true),
        (AdmissionClass::WithinShare { unused: 1.0 }, true),
        (AdmissionClass::WithinShare { unused: 0.0 }, false),
        (AdmissionClass::Late, false),
        (AdmissionClass::BeyondShare { excess: 1.0 }, false),
    ] {
        let mut placer = placer(3);
        busy(&mut placer, 1..=3);
        let prompt = prompt(3, 4, 12_000);
        let result = placer.place(&placement_request(&prompt, admission_class), NOW);
        assert_eq!(result.is_ok(), is_admitted, "{admission_class:?}");
    }
}

#[test]
fn a_stream_goes_on_only_at_servers_that_are_surely_of_its_version() {
    let place = |placer: &Placer, versions| {
        let prompt = prompt(3, 4, 6_000);
        let request = PlacementRequest {
            versions,
            ..placement_request(&prompt, AdmissionClass::Modest)
        };
        placer
            .place(&request, NOW)
            .map(|placement| placement.server.software_version)
    };
    let mut placer = placer(2);
    let newer = Server {
        software_version: "v2".to_owned(),
        ..server(2)
    };
    placer.registry.announce(newer.clone());
    let beginning = ["v2".to_owned()];
    for (bound, expected) in [
        (VersionBound::Only("v1"), Ok("v1".to_owned())),
        (VersionBound::Only("v2"), Ok("v2".to_owned())),
        (VersionBound::Only("v3"), Err(PlacementError::NoServer)),
        (VersionBound::AnyOf(&beginning), Ok("v2".to_owned())),
        (VersionBound::AnyOf(&[]), Err(PlacementError::NoServer)),
    ] {
        assert_eq!(place(&placer, bound), expected, "{bound:?}");
    }
    // It closes a connection, and may have started again.
    send(&mut placer, &prompt(5, 6, 6_000)).unwrap();
    send(&mut placer, &prompt(7, 8, 6_000)).unwrap();
    assert!(placer.is_surely(2, "v2", NOW));
    placer.registry.on_list_current();
    placer.on_connection_lost(2, NOW);
    assert!(!placer.is_surely(2, "v2", NOW));
    assert!(placer.is_surely(2, "v2", NOW + Duration::from_secs(3)));
    assert!(!placer.is_surely(1, "v2", NOW));
    // Without a current list it does not end.
    placer.registry.on_list_unavailable();
    let later = NOW + Duration::from_mins(1);
    assert!(!placer.is_surely(2, "v2", later));
    placer.registry.on_list_current();
    assert!(placer.is_surely(2, "v2", later));
    let doubt = PlacementError::Unverified(Duration::from_secs(3));
    assert_eq!(place(&placer, VersionBound::Only("v2")), Err(doubt));
    assert!(place(&placer, VersionBound::AnyOf(&beginning)).is_ok());
    placer.on_server_restarted(2);
    assert!(place(&placer, VersionBound::Only("v2")).is_ok());
    // What one router has seen, all doubt; it is told once.
    assert!(placer.take_unreported_losses(2).is_empty());
    placer.on_request_lost(2, NOW);
    for key in [1, 3] {
        placer.on_request_lost(key, NOW);
    }
    assert_eq!(placer.take_unreported_losses(2), [1, 2]);
    assert_eq!(placer.take_unreported_losses(2), [3]);
    assert!(placer.take_unreported_losses(2).is_empty());
    placer.on_server_restarted(2);
    placer.on_peer_loss(2, NOW);
    assert!(!placer.is_surely(2, "v2", NOW));
    assert!(placer.take_unreported_losses(2).is_empty());
    assert!(placer.is_surely(2, "v2", NOW + Duration::from_secs(3)));
}
