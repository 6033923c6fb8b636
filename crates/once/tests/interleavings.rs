//! Exhaustive exploration of the interleavings of several routers that attempt the same request.
//!
//! Covers every order of their steps together with lost and delayed writes, lost replies, a router
//! that stops at any step, an unreachable service and a lost response of the service.

use {
    baobab_once::{Attempt, Event, RequestOutcome, SendOutcome, ServiceResponse, Step},
    baobab_store::{Insert, Inserted, MemoryStore, Replace, Replaced, Row, StoreError, Table},
    std::collections::BTreeMap,
};

const KEY: &str = "once/north/job-desk/k1";
const DIGEST: &str = "digest";

/// Table that is cloned at every branch.
#[derive(Clone, Default)]
struct Rows(BTreeMap<String, Row>);

impl Rows {
    fn insert(&mut self, insert: &Insert) -> Inserted {
        if let Some(row) = self.0.get(&insert.key) {
            return Inserted::Exists(row.clone());
        }
        let row = Row {
            version: 1,
            value: insert.value.clone(),
        };
        self.0.insert(insert.key.clone(), row);
        Inserted::Done
    }

    fn replace(&mut self, replace: &Replace) -> Replaced {
        match self.0.get_mut(&replace.key) {
            Some(row) if row.version == replace.expected_version => {
                row.version += 1;
                row.value.clone_from(&replace.value);
                Replaced::Done(row.version)
            }
            other => Replaced::Conflict(other.cloned()),
        }
    }
}

#[derive(Clone)]
struct Router {
    attempt: Attempt,
    step: Step,
}

#[derive(Clone)]
struct SystemState {
    rows: Rows,
    routers: Vec<Router>,
    executions: u32,
    faults_left: u32,
    /// Writes whose replies were reported lost and which may still take effect.
    delayed_writes: Vec<Step>,
}

#[derive(Default)]
struct Counts {
    states: u64,
    executed: u64,
    unknown: u64,
    not_run: u64,
}

fn unavailable() -> StoreError {
    StoreError::Unavailable("down".into())
}

fn reply_lost() -> StoreError {
    StoreError::ReplyLost("lost".into())
}

fn response() -> ServiceResponse {
    ServiceResponse {
        status: 200,
        content_type: "text/plain".into(),
        body: b"done".to_vec(),
    }
}

/// Returns every possible result of a step: the state after it and the event for the attempt.
fn possible_events(state: &SystemState, step: &Step) -> Vec<(SystemState, Event)> {
    let mut list = Vec::new();
    let mut add = |cost: u32, change: &dyn Fn(&mut SystemState) -> Event| {
        if cost <= state.faults_left {
            let mut after = state.clone();
            after.faults_left -= cost;
            let event = change(&mut after);
            list.push((after, event));
        }
    };
    match step {
        Step::Insert(insert) => {
            add(0, &|state| Event::Inserted(Ok(state.rows.insert(insert))));
            add(1, &|_| Event::Inserted(Err(unavailable())));
            add(1, &|state| {
                state.rows.insert(insert);
                Event::Inserted(Err(reply_lost()))
            });
            add(1, &|state| {
                state.delayed_writes.push(step.clone());
                Event::Inserted(Err(reply_lost()))
            });
        }
        Step::Read(key) => {
            add(0, &|state| Event::Read(Ok(state.rows.0.get(key).cloned())));
            add(1, &|_| Event::Read(Err(unavailable())));
        }
        Step::Replace(replace) => {
            add(0, &|state| Event::Replaced(Ok(state.rows.replace(replace))));
            add(1, &|_| Event::Replaced(Err(unavailable())));
            add(1, &|state| {
                state.rows.replace(replace);
                Event::Replaced(Err(reply_lost()))
            });
            add(1, &|state| {
                state.delayed_writes.push(step.clone());
                Event::Replaced(Err(reply_lost()))
            });
        }
        Step::Send => {
            add(0, &|state| {
                state.executions += 1;
                Event::Sent(SendOutcome::Responded(response()))
            });
            add(1, &|state| {
                state.executions += 1;
                Event::Sent(SendOutcome::Lost)
            });
            add(1, &|_| Event::Sent(SendOutcome::Lost));
            add(1, &|_| Event::Sent(SendOutcome::NotSent));
        }
        Step::Respond(_) => {}
    }
    list
}

fn check_invariants(state: &SystemState, counts: &mut Counts) {
    counts.states += 1;
    assert!(state.executions <= 1, "the request was executed twice");
    let outcomes: Vec<&RequestOutcome> = state
        .routers
        .iter()
        .filter_map(|router| match &router.step {
            Step::Respond(outcome) => Some(outcome),
            _ => None,
        })
        .collect();
    for outcome in &outcomes {
        match outcome {
            RequestOutcome::Executed(_) | RequestOutcome::Recorded(_) => {
                counts.executed += 1;
                assert_eq!(
                    state.executions, 1,
                    "a response was returned for a request that was not executed"
                );
            }
            RequestOutcome::Unknown => counts.unknown += 1,
            RequestOutcome::NotRun(_) => counts.not_run += 1,
            RequestOutcome::Conflict | RequestOutcome::ExecutedNotStored => {
                panic!("no other request used the key")
            }
        }
    }
    let all_not_run = outcomes.len() == state.routers.len()
        && outcomes
            .iter()
            .all(|outcome| matches!(outcome, RequestOutcome::NotRun(_)));
    if all_not_run {
        assert_eq!(
            state.executions, 0,
            "reported as not executed, but executed"
        );
    }
}

fn explore(state: &SystemState, counts: &mut Counts) {
    check_invariants(state, counts);
    for index in 0..state.delayed_writes.len() {
        let mut after = state.clone();
        match after.delayed_writes.remove(index) {
            Step::Insert(insert) => drop(after.rows.insert(&insert)),
            Step::Replace(replace) => drop(after.rows.replace(&replace)),
            _ => {}
        }
        explore(&after, counts);
    }
    for index in 0..state.routers.len() {
        // Every prefix of every order is checked, so a router that stops for good needs no branch
        // of its own.
        let step = state.routers[index].step.clone();
        for (mut after, event) in possible_events(state, &step) {
            let router = &mut after.routers[index];
            router.step = router.attempt.next(event);
            explore(&after, counts);
        }
    }
}

fn start(routers: u32, faults: u32) -> SystemState {
    let routers = (0..routers)
        .map(|index| {
            let token = format!("router-{index}");
            let (attempt, step) = Attempt::start(KEY.into(), DIGEST.into(), token);
            Router { attempt, step }
        })
        .collect();
    SystemState {
        rows: Rows::default(),
        routers,
        executions: 0,
        faults_left: faults,
        delayed_writes: Vec::new(),
    }
}

#[test]
fn two_routers_with_three_faults_execute_at_most_once() {
    let mut counts = Counts::default();
    explore(&start(2, 3), &mut counts);
    assert!(counts.states > 10_000, "{} states", counts.states);
    assert!(counts.executed > 0 && counts.unknown > 0 && counts.not_run > 0);
}

#[test]
fn three_routers_with_two_faults_execute_at_most_once() {
    let mut counts = Counts::default();
    explore(&start(3, 2), &mut counts);
    assert!(counts.states > 10_000, "{} states", counts.states);
}

/// A later attempt may send a request that an earlier one recorded as not sent.
#[test]
fn a_key_whose_request_was_not_sent_can_be_used_again() {
    let table = MemoryStore::default();
    let first = run(&table, "one", SendOutcome::NotSent);
    assert!(matches!(first, RequestOutcome::NotRun(_)));
    let second = run(&table, "two", SendOutcome::Responded(response()));
    assert_eq!(second, RequestOutcome::Executed(response()));
    let third = run(&table, "three", SendOutcome::Responded(response()));
    assert_eq!(third, RequestOutcome::Recorded(response()));
}

fn run(table: &dyn Table, token: &str, sent: SendOutcome) -> RequestOutcome {
    struct SingleSend(Option<SendOutcome>);
    impl baobab_once::RequestSender for SingleSend {
        fn send(&mut self) -> SendOutcome {
            self.0.take().expect("sent at most once")
        }
    }
    let mut sender = SingleSend(Some(sent));
    baobab_once::run(table, KEY.into(), DIGEST.into(), token.into(), &mut sender)
}
