//! One attempt at a time, against a platform with faults.

use {
    baobab_once::{Answer, NotRunReason, Sender, Sent, Verdict, run},
    baobab_store::{Faults, MemoryStore},
    std::{
        sync::{Arc, Barrier},
        thread,
    },
};

struct Counting {
    sent: u32,
    outcome: Sent,
}

impl Sender for Counting {
    fn send(&mut self) -> Sent {
        self.sent += 1;
        self.outcome.clone()
    }
}

fn answer(size_bytes: usize) -> Answer {
    Answer {
        status: 201,
        content_type: "application/json".into(),
        body: vec![b'x'; size_bytes],
    }
}

struct Case {
    name: &'static str,
    faults: Faults,
    outcome: Sent,
    expected: Verdict,
    sent: u32,
    /// What a second attempt is told once the platform works again.
    repeated: Verdict,
}

fn cases() -> Vec<Case> {
    let none = Faults::default();
    let kept = answer(10);
    let large = answer(100_000);
    vec![
        Case {
            name: "answered",
            faults: none.clone(),
            outcome: Sent::Answered(kept.clone()),
            expected: Verdict::Fresh(kept.clone()),
            sent: 1,
            repeated: Verdict::Recorded(kept.clone()),
        },
        Case {
            name: "the answer is too large to keep",
            faults: none.clone(),
            outcome: Sent::Answered(large.clone()),
            expected: Verdict::Fresh(large),
            sent: 1,
            repeated: Verdict::RanUnkept,
        },
        Case {
            name: "the service's answer is lost",
            faults: none.clone(),
            outcome: Sent::Lost,
            expected: Verdict::Unknown,
            sent: 1,
            repeated: Verdict::Unknown,
        },
        Case {
            name: "the store is down",
            faults: Faults {
                down: true,
                ..none.clone()
            },
            outcome: Sent::Answered(kept.clone()),
            expected: Verdict::NotRun(NotRunReason::StoreDown),
            sent: 0,
            repeated: Verdict::Fresh(kept.clone()),
        },
        Case {
            name: "the insert's reply is lost",
            faults: Faults {
                lose_replies: 1,
                ..none.clone()
            },
            outcome: Sent::Answered(kept.clone()),
            expected: Verdict::Fresh(kept.clone()),
            sent: 1,
            repeated: Verdict::Recorded(kept.clone()),
        },
        Case {
            name: "the insert is lost",
            faults: Faults {
                lose_writes: 1,
                ..none.clone()
            },
            outcome: Sent::Answered(kept.clone()),
            expected: Verdict::NotRun(NotRunReason::StoreDown),
            sent: 0,
            repeated: Verdict::Fresh(kept.clone()),
        },
        Case {
            name: "the replies of the insert and of the answer's record are lost",
            faults: Faults {
                lose_replies: 2,
                ..none
            },
            outcome: Sent::Answered(kept.clone()),
            expected: Verdict::Fresh(kept.clone()),
            sent: 1,
            repeated: Verdict::Recorded(kept),
        },
    ]
}

fn attempt(platform: &MemoryStore, digest: &str, token: &str, sender: &mut Counting) -> Verdict {
    run(platform, "k".into(), digest.into(), token.into(), sender)
}

#[test]
fn what_callers_are_told() {
    for case in cases() {
        let platform = MemoryStore::default();
        platform.set_faults(case.faults);
        let mut sender = Counting {
            sent: 0,
            outcome: case.outcome,
        };
        let verdict = attempt(&platform, "d", "one", &mut sender);
        assert_eq!(verdict, case.expected, "{}", case.name);
        assert_eq!(sender.sent, case.sent, "{}", case.name);
        platform.set_faults(Faults::default());
        let mut again = Counting {
            sent: 0,
            outcome: Sent::Answered(answer(10)),
        };
        let verdict = attempt(&platform, "d", "two", &mut again);
        assert_eq!(verdict, case.repeated, "{}, repeated", case.name);
        assert!(sender.sent + again.sent <= 1, "{}", case.name);
    }
}

/// A service during whose answer the platform goes down.
struct Failing<'a>(&'a MemoryStore);
impl Sender for Failing<'_> {
    fn send(&mut self) -> Sent {
        self.0.set_faults(Faults {
            down: true,
            ..Faults::default()
        });
        Sent::Answered(answer(10))
    }
}

#[test]
fn the_record_of_the_answer_is_lost() {
    let platform = MemoryStore::default();
    let verdict = run(
        &platform,
        "k".into(),
        "d".into(),
        "one".into(),
        &mut Failing(&platform),
    );
    assert_eq!(verdict, Verdict::Fresh(answer(10)));
    platform.set_faults(Faults::default());
    let mut again = Counting {
        sent: 0,
        outcome: Sent::Answered(answer(10)),
    };
    assert_eq!(attempt(&platform, "d", "two", &mut again), Verdict::Unknown);
    assert_eq!(again.sent, 0);
}

#[test]
fn the_same_key_with_another_body_is_a_conflict() {
    let platform = MemoryStore::default();
    let mut sender = Counting {
        sent: 0,
        outcome: Sent::Answered(answer(10)),
    };
    attempt(&platform, "d", "one", &mut sender);
    assert_eq!(
        attempt(&platform, "other", "two", &mut sender),
        Verdict::Conflict
    );
    assert_eq!(sender.sent, 1);
}

#[test]
fn the_same_key_at_two_routers_at_once_a_hundred_times() {
    for round in 0..100 {
        let platform = Arc::new(MemoryStore::default());
        let barrier = Arc::new(Barrier::new(2));
        let threads: Vec<_> = (0..2)
            .map(|router| {
                let (platform, barrier) = (Arc::clone(&platform), Arc::clone(&barrier));
                thread::spawn(move || {
                    let mut sender = Counting {
                        sent: 0,
                        outcome: Sent::Answered(answer(10)),
                    };
                    barrier.wait();
                    attempt(&platform, "d", &format!("{router}"), &mut sender);
                    sender.sent
                })
            })
            .collect();
        let sent: u32 = threads
            .into_iter()
            .map(|thread| thread.join().expect("no thread panics"))
            .sum();
        assert_eq!(sent, 1, "round {round}");
    }
}
