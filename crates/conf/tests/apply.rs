//! Applying declarations: concurrent operators and faults of the platform.

use {
    baobab_conf::declarations::{ApplyError, apply_declarations, changed_lines, read_active},
    baobab_store::{Faults, MemoryStore},
    std::{
        sync::{Arc, Barrier},
        thread,
    },
};

#[test]
fn of_two_concurrent_applies_one_succeeds_and_the_other_gets_a_conflict() {
    for round in 0..100 {
        let platform = Arc::new(MemoryStore::default());
        apply_declarations(platform.as_ref(), "[fleet]\n", "setup", None)
            .expect("there is no conflict");
        let barrier = Arc::new(Barrier::new(2));
        let threads: Vec<_> = ["ana", "bo"]
            .into_iter()
            .map(|name| {
                let (platform, barrier) = (Arc::clone(&platform), Arc::clone(&barrier));
                thread::spawn(move || {
                    barrier.wait();
                    let text = format!("[fleet]\n# {name}\n");
                    (
                        name,
                        apply_declarations(platform.as_ref(), &text, name, Some(1)),
                    )
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
            panic!("no apply succeeded in round {round}");
        };
        let conflict = ApplyError::Conflict(2, winner.clone());
        assert!(
            results
                .iter()
                .any(|(_, result)| *result == Err(conflict.clone()))
        );
        let active = read_active(platform.as_ref()).expect("the platform responds");
        assert_eq!(
            active.expect("declarations were applied").head.applied_by,
            winner
        );
    }
}

struct Case {
    name: &'static str,
    faults: Faults,
    is_expected: fn(&Result<u64, ApplyError>) -> bool,
    active_version_after: u64,
}

#[test]
fn platform_faults_give_the_expected_result_of_apply() {
    let cases = [
        Case {
            name: "the head write's reply is lost",
            faults: Faults {
                lose_replies: 1,
                ..Faults::default()
            },
            is_expected: |result| *result == Ok(2),
            active_version_after: 2,
        },
        Case {
            name: "the head write is lost",
            faults: Faults {
                lose_writes: 1,
                ..Faults::default()
            },
            is_expected: |result| matches!(result, Err(ApplyError::Unknown(_))),
            active_version_after: 1,
        },
        Case {
            name: "the platform is down",
            faults: Faults {
                down: true,
                ..Faults::default()
            },
            is_expected: |result| matches!(result, Err(ApplyError::Platform(_))),
            active_version_after: 1,
        },
    ];
    for case in cases {
        let platform = MemoryStore::default();
        apply_declarations(&platform, "[fleet]\n", "setup", None).expect("the platform works");
        platform.set_faults(case.faults);
        let result = apply_declarations(&platform, "[fleet]\n# two\n", "ana", None);
        assert!((case.is_expected)(&result), "{}: {result:?}", case.name);
        platform.set_faults(Faults::default());
        let active = read_active(&platform).expect("the platform works");
        assert_eq!(
            active.expect("declarations were applied").version,
            case.active_version_after
        );
    }
}

#[test]
fn changed_lines_lists_removed_and_added_lines() {
    let lines = changed_lines("a = 1\nb = 2\n", "a = 1\nb = 3\n");
    assert_eq!(lines, ["- b = 2", "+ b = 3"]);
}
