//! Requests that come again with the same content and crash each server that runs them.

mod support;

use {
    baobab_quarantine::{Crash, PartId, Quarantine, Verdict},
    std::time::Duration,
    support::{DEADLY, WORKSPACE, ms},
};

fn crash(server: u32, request: u64, content: PartId) -> Crash {
    Crash {
        content: Some(content),
        ..support::crash(server, request, WORKSPACE, &[])
    }
}

fn is_held(quarantine: &mut Quarantine, content: PartId, at: Duration) -> bool {
    support::is_held(quarantine, WORKSPACE, &[content], at)
}

#[test]
fn a_request_is_quarantined_by_its_third_crash() {
    // Server, request and time in ms of each crash.
    type Crashes = &'static [(u32, u64, u64)];
    let cases: [(&str, Crashes, bool); 9] = [
        (
            "three servers in turn",
            &[(1, 1, 0), (2, 2, 200), (3, 3, 400)],
            true,
        ),
        (
            "three servers at once",
            &[(1, 1, 0), (2, 2, 10), (3, 3, 20)],
            true,
        ),
        ("two servers", &[(1, 1, 0), (2, 2, 200), (1, 3, 5000)], true),
        (
            "one server that comes back",
            &[(1, 1, 0), (1, 2, 3000), (1, 3, 6000)],
            true,
        ),
        (
            "one server, one crash seen thrice",
            &[(1, 1, 0), (1, 2, 5), (1, 3, 9)],
            false,
        ),
        ("two crashes", &[(1, 1, 0), (2, 2, 200)], false),
        (
            "a request that was retried",
            &[(1, 1, 0), (2, 1, 10), (3, 1, 20)],
            false,
        ),
        (
            "a request that was retried, and comes again",
            &[(1, 1, 0), (2, 1, 10), (3, 2, 20)],
            true,
        ),
        (
            "a report that arrives twice",
            &[(1, 1, 0), (2, 2, 200), (2, 2, 200)],
            false,
        ),
    ];
    for (name, crashes, expected) in cases {
        let mut quarantine = Quarantine::new();
        for &(server, request, at_ms) in crashes {
            quarantine.on_crash(&crash(server, request, DEADLY), ms(at_ms), ms(at_ms));
        }
        assert_eq!(
            is_held(&mut quarantine, DEADLY, ms(6100)),
            expected,
            "{name}"
        );
        assert!(
            !is_held(&mut quarantine, DEADLY + 1, ms(6100)),
            "{name}: another content"
        );
    }
}

#[test]
fn innocent_requests_that_break_with_a_deadly_one_are_served() {
    let mut quarantine = Quarantine::new();
    let popular = 0xa;
    for wave in 0..4_u64 {
        for server in 0..3_u32 {
            let at = ms(wave * 4000 + u64::from(server) * 70);
            // The popular request was answered shortly before.
            quarantine.on_withstood(&[popular], at.saturating_sub(ms(300)), at);
            let request = wave * 10 + u64::from(server);
            for (content, number) in [(DEADLY, 0), (popular, 1000), (0xb00 + request, 2000)] {
                quarantine.on_crash(&crash(server, request + number, content), at, at);
            }
        }
    }
    let at = ms(13_000);
    assert!(is_held(&mut quarantine, DEADLY, at));
    assert!(!is_held(&mut quarantine, popular, at));
    assert!((0..40).all(|request| !is_held(&mut quarantine, 0xb00 + request, at)));
}

#[test]
fn another_workspace_is_not_held_for_the_same_key() {
    let mut quarantine = Quarantine::new();
    for number in 0..3 {
        let at = ms(u64::from(number) * 200);
        quarantine.on_crash(&crash(number, number.into(), DEADLY), at, at);
    }
    let verdict = quarantine.check(WORKSPACE + 1, &[DEADLY], |_| false, ms(700));
    assert_eq!(verdict, Verdict::Pass);
}

#[test]
fn a_complete_answer_lifts_the_quarantine_and_a_probe_is_let_through_after_the_hold() {
    let mut quarantine = Quarantine::new();
    for number in 0..3 {
        let at = ms(u64::from(number) * 200);
        quarantine.on_crash(&crash(number, number.into(), DEADLY), at, at);
    }
    let later = Duration::from_secs(130);
    quarantine.expire(later);
    let probe = quarantine.check(WORKSPACE, &[DEADLY], |_| true, later);
    assert_eq!(probe, Verdict::Probe(DEADLY));
    let second = quarantine.check(WORKSPACE, &[DEADLY], |_| true, later);
    assert!(matches!(second, Verdict::Held { .. }));
    quarantine.on_withstood(&[DEADLY], later, later);
    assert!(!is_held(&mut quarantine, DEADLY, later + ms(1)));
}

#[test]
fn a_part_of_a_prompt_is_convicted_as_before_whatever_contents_it_came_with() {
    let mut quarantine = Quarantine::new();
    for number in 0..3_u32 {
        let at = ms(u64::from(number) * 200);
        let crash = Crash {
            content: Some(0xc00 + u64::from(number)),
            ..support::crash(number, number.into(), WORKSPACE, &[DEADLY])
        };
        quarantine.on_crash(&crash, at, at);
    }
    let verdict = quarantine.check(WORKSPACE, &[DEADLY, 0xc77], |_| false, ms(700));
    assert!(matches!(verdict, Verdict::Held { part: DEADLY, .. }));
}

#[test]
fn memory_is_bounded_whatever_requests_break() {
    let mut quarantine = Quarantine::new();
    for request in 0..50_000_u64 {
        let at = ms(request);
        let server = u32::try_from(request % 40).unwrap();
        quarantine.on_crash(&crash(server, request, request), at, at);
        quarantine.on_withstood(&[request + 1_000_000], at, at);
    }
    assert!(quarantine.suspects() <= 1024);
    assert!(quarantine.quarantined() <= 256);
    assert!(quarantine.sound() <= 2 * 4096 + 1024);
}
