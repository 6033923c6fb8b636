//! Applying declarations: races of operators and a platform that fails.

use {
    baobab_conf::declarations::{ApplyError, apply_text, changed_lines, read_in_force},
    baobab_store::{Faults, MemoryStore},
    std::{
        sync::{Arc, Barrier},
        thread,
    },
};

#[test]
fn of_two_operators_at_the_same_moment_one_wins_and_the_other_is_told() {
    for round in 0..100 {
        let platform = Arc::new(MemoryStore::default());
        apply_text(platform.as_ref(), "[fleet]\n", "setup", None).expect("nobody else applies");
        let barrier = Arc::new(Barrier::new(2));
        let threads: Vec<_> = ["ana", "bo"]
            .into_iter()
            .map(|name| {
                let (platform, barrier) = (Arc::clone(&platform), Arc::clone(&barrier));
                thread::spawn(move || {
                    barrier.wait();
                    let text = format!("[fleet]\n# {name}\n");
                    (name, apply_text(platform.as_ref(), &text, name, Some(1)))
                })
            })
            .collect();
        let results: Vec<_> = threads
            .into_iter()
            .map(|thread| thread.join().expect("no thread panics"))
            .collect();
        let winner = results
            .iter()
            .find(|(_, result)| *result == Ok(2))
            .map(|(name, _)| (*name).to_owned());
        let Some(winner) = winner else {
            panic!("nobody won round {round}");
        };
        let told = ApplyError::Lost(2, winner.clone());
        assert!(
            results
                .iter()
                .any(|(_, result)| *result == Err(told.clone()))
        );
        let in_force = read_in_force(platform.as_ref()).expect("the platform answers");
        assert_eq!(in_force.expect("applied").head.applied_by, winner);
    }
}

struct Case {
    name: &'static str,
    faults: Faults,
    is_expected: fn(&Result<u64, ApplyError>) -> bool,
    in_force_after: u64,
}

#[test]
fn what_operators_are_told_when_the_platform_fails() {
    let cases = [
        Case {
            name: "the head write's reply is lost",
            faults: Faults {
                lose_replies: 1,
                ..Faults::default()
            },
            is_expected: |result| *result == Ok(2),
            in_force_after: 2,
        },
        Case {
            name: "the head write is lost",
            faults: Faults {
                lose_writes: 1,
                ..Faults::default()
            },
            is_expected: |result| matches!(result, Err(ApplyError::Unknown(_))),
            in_force_after: 1,
        },
        Case {
            name: "the platform is down",
            faults: Faults {
                down: true,
                ..Faults::default()
            },
            is_expected: |result| matches!(result, Err(ApplyError::Platform(_))),
            in_force_after: 1,
        },
    ];
    for case in cases {
        let platform = MemoryStore::default();
        apply_text(&platform, "[fleet]\n", "setup", None).expect("the platform works");
        platform.set_faults(case.faults);
        let result = apply_text(&platform, "[fleet]\n# two\n", "ana", None);
        assert!((case.is_expected)(&result), "{}: {result:?}", case.name);
        platform.set_faults(Faults::default());
        let in_force = read_in_force(&platform).expect("the platform works");
        assert_eq!(in_force.expect("applied").version, case.in_force_after);
    }
}

#[test]
fn changed_lines_show_both_sides() {
    let lines = changed_lines("a = 1\nb = 2\n", "a = 1\nb = 3\n");
    assert_eq!(lines, ["- b = 2", "+ b = 3"]);
}
