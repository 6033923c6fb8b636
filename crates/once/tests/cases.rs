//! Attempts against a platform with injected faults, one after another or at once.

use {
    baobab_once::{NotRunReason, RequestOutcome, RequestSender, SendOutcome, ServiceResponse, run},
    baobab_store::{Faults, MemoryStore},
    std::{
        sync::{Arc, Barrier},
        thread,
    },
};

struct CountingSender {
    sent: u32,
    send_outcome: SendOutcome,
}

impl RequestSender for CountingSender {
    fn send(&mut self) -> SendOutcome {
        self.sent += 1;
        self.send_outcome.clone()
    }
}

fn response(size_bytes: usize) -> ServiceResponse {
    ServiceResponse {
        status: 201,
        content_type: "application/json".into(),
        body: vec![b'x'; size_bytes],
    }
}

struct Case {
    name: &'static str,
    faults: Faults,
    send_outcome: SendOutcome,
    expected_outcome: RequestOutcome,
    expected_sent: u32,
    /// Outcome of a second attempt after the platform has recovered.
    retry_outcome: RequestOutcome,
}

fn cases() -> Vec<Case> {
    let none = Faults::default();
    let small_response = response(10);
    let large_response = response(100_000);
    vec![
        Case {
            name: "no fault",
            faults: none.clone(),
            send_outcome: SendOutcome::Responded(small_response.clone()),
            expected_outcome: RequestOutcome::Executed(small_response.clone()),
            expected_sent: 1,
            retry_outcome: RequestOutcome::Recorded(small_response.clone()),
        },
        Case {
            name: "the response is too large to store",
            faults: none.clone(),
            send_outcome: SendOutcome::Responded(large_response.clone()),
            expected_outcome: RequestOutcome::Executed(large_response),
            expected_sent: 1,
            retry_outcome: RequestOutcome::ExecutedNotStored,
        },
        Case {
            name: "the service's response is lost",
            faults: none.clone(),
            send_outcome: SendOutcome::Lost,
            expected_outcome: RequestOutcome::Unknown,
            expected_sent: 1,
            retry_outcome: RequestOutcome::Unknown,
        },
        Case {
            name: "the store is down",
            faults: Faults {
                down: true,
                ..none.clone()
            },
            send_outcome: SendOutcome::Responded(small_response.clone()),
            expected_outcome: RequestOutcome::NotRun(NotRunReason::StoreDown),
            expected_sent: 0,
            retry_outcome: RequestOutcome::Executed(small_response.clone()),
        },
        Case {
            name: "the reply to the insert is lost",
            faults: Faults {
                lose_replies: 1,
                ..none.clone()
            },
            send_outcome: SendOutcome::Responded(small_response.clone()),
            expected_outcome: RequestOutcome::Executed(small_response.clone()),
            expected_sent: 1,
            retry_outcome: RequestOutcome::Recorded(small_response.clone()),
        },
        Case {
            name: "the insert is lost",
            faults: Faults {
                lose_writes: 1,
                ..none.clone()
            },
            send_outcome: SendOutcome::Responded(small_response.clone()),
            expected_outcome: RequestOutcome::NotRun(NotRunReason::StoreDown),
            expected_sent: 0,
            retry_outcome: RequestOutcome::Executed(small_response.clone()),
        },
        Case {
            name: "the replies to the insert and to the record of the response are lost",
            faults: Faults {
                lose_replies: 2,
                ..none
            },
            send_outcome: SendOutcome::Responded(small_response.clone()),
            expected_outcome: RequestOutcome::Executed(small_response.clone()),
            expected_sent: 1,
            retry_outcome: RequestOutcome::Recorded(small_response),
        },
    ]
}

fn attempt(
    platform: &MemoryStore,
    digest: &str,
    token: &str,
    sender: &mut CountingSender,
) -> RequestOutcome {
    run(platform, "k".into(), digest.into(), token.into(), sender)
}

#[test]
fn each_fault_gives_the_expected_outcome() {
    for case in cases() {
        let platform = MemoryStore::default();
        platform.set_faults(case.faults);
        let mut sender = CountingSender {
            sent: 0,
            send_outcome: case.send_outcome,
        };
        let outcome = attempt(&platform, "d", "one", &mut sender);
        assert_eq!(outcome, case.expected_outcome, "{}", case.name);
        assert_eq!(sender.sent, case.expected_sent, "{}", case.name);
        platform.set_faults(Faults::default());
        let mut retry_sender = CountingSender {
            sent: 0,
            send_outcome: SendOutcome::Responded(response(10)),
        };
        let outcome = attempt(&platform, "d", "two", &mut retry_sender);
        assert_eq!(outcome, case.retry_outcome, "{}, retried", case.name);
        assert!(sender.sent + retry_sender.sent <= 1, "{}", case.name);
    }
}

/// Sender whose request succeeds while the platform goes down.
struct StoreStoppingSender<'a>(&'a MemoryStore);
impl RequestSender for StoreStoppingSender<'_> {
    fn send(&mut self) -> SendOutcome {
        self.0.set_faults(Faults {
            down: true,
            ..Faults::default()
        });
        SendOutcome::Responded(response(10))
    }
}

#[test]
fn a_response_that_could_not_be_recorded_leaves_the_outcome_unknown() {
    let platform = MemoryStore::default();
    let outcome = run(
        &platform,
        "k".into(),
        "d".into(),
        "one".into(),
        &mut StoreStoppingSender(&platform),
    );
    assert_eq!(outcome, RequestOutcome::Executed(response(10)));
    platform.set_faults(Faults::default());
    let mut retry_sender = CountingSender {
        sent: 0,
        send_outcome: SendOutcome::Responded(response(10)),
    };
    assert_eq!(
        attempt(&platform, "d", "two", &mut retry_sender),
        RequestOutcome::Unknown
    );
    assert_eq!(retry_sender.sent, 0);
}

#[test]
fn the_same_key_with_another_digest_is_a_conflict() {
    let platform = MemoryStore::default();
    let mut sender = CountingSender {
        sent: 0,
        send_outcome: SendOutcome::Responded(response(10)),
    };
    attempt(&platform, "d", "one", &mut sender);
    assert_eq!(
        attempt(&platform, "other", "two", &mut sender),
        RequestOutcome::Conflict
    );
    assert_eq!(sender.sent, 1);
}

#[test]
fn one_key_sent_to_two_routers_at_once_is_executed_once() {
    for round in 0..100 {
        let platform = Arc::new(MemoryStore::default());
        let barrier = Arc::new(Barrier::new(2));
        let threads: Vec<_> = (0..2)
            .map(|router| {
                let (platform, barrier) = (Arc::clone(&platform), Arc::clone(&barrier));
                thread::spawn(move || {
                    let mut sender = CountingSender {
                        sent: 0,
                        send_outcome: SendOutcome::Responded(response(10)),
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
