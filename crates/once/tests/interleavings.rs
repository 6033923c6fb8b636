//! An exhaustive walk over all interleavings of two routers' attempts and a store that loses.
//!
//! The caller sends the request to one router and, whatever it is told, again to another. Every
//! order of their steps is walked, with every loss the store may have, a holder that stops for good
//! at any step, and a service that can't be reached or whose answer is lost.

use {
    baobab_once::{Answer, Attempt, Event, Sent, Step, Verdict},
    baobab_store::{Insert, Inserted, MemoryStore, Replace, Replaced, Row, StoreError, Table},
    std::collections::BTreeMap,
};

const KEY: &str = "once/north/job-desk/k1";
const DIGEST: &str = "digest";

/// A table of rows that can be copied at every branch.
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
struct Holder {
    attempt: Attempt,
    step: Step,
}

#[derive(Clone)]
struct World {
    rows: Rows,
    holders: Vec<Holder>,
    executions: u32,
    faults_left: u32,
    /// Writes that were sent, whose senders have given up, and which may still take effect.
    late: Vec<Step>,
}

#[derive(Default)]
struct Seen {
    states: u64,
    fresh: u64,
    unknown: u64,
    not_run: u64,
}

fn unavailable() -> StoreError {
    StoreError::Unavailable("down".into())
}

fn lost() -> StoreError {
    StoreError::ReplyLost("lost".into())
}

fn answer() -> Answer {
    Answer {
        status: 200,
        content_type: "text/plain".into(),
        body: b"done".to_vec(),
    }
}

/// All that may come of a step: the world after it and the event that the attempt sees.
fn outcomes(world: &World, step: &Step) -> Vec<(World, Event)> {
    let mut list = Vec::new();
    let mut add = |cost: u32, change: &dyn Fn(&mut World) -> Event| {
        if cost <= world.faults_left {
            let mut after = world.clone();
            after.faults_left -= cost;
            let event = change(&mut after);
            list.push((after, event));
        }
    };
    match step {
        Step::Insert(insert) => {
            add(0, &|world| Event::Inserted(Ok(world.rows.insert(insert))));
            add(1, &|_| Event::Inserted(Err(unavailable())));
            add(1, &|world| {
                world.rows.insert(insert);
                Event::Inserted(Err(lost()))
            });
            add(1, &|world| {
                world.late.push(step.clone());
                Event::Inserted(Err(lost()))
            });
        }
        Step::Read(key) => {
            add(0, &|world| Event::Read(Ok(world.rows.0.get(key).cloned())));
            add(1, &|_| Event::Read(Err(unavailable())));
        }
        Step::Replace(replace) => {
            add(0, &|world| Event::Replaced(Ok(world.rows.replace(replace))));
            add(1, &|_| Event::Replaced(Err(unavailable())));
            add(1, &|world| {
                world.rows.replace(replace);
                Event::Replaced(Err(lost()))
            });
            add(1, &|world| {
                world.late.push(step.clone());
                Event::Replaced(Err(lost()))
            });
        }
        Step::Send => {
            add(0, &|world| {
                world.executions += 1;
                Event::Sent(Sent::Answered(answer()))
            });
            add(1, &|world| {
                world.executions += 1;
                Event::Sent(Sent::Lost)
            });
            add(1, &|_| Event::Sent(Sent::Lost));
            add(1, &|_| Event::Sent(Sent::NotSent));
        }
        Step::Answer(_) => {}
    }
    list
}

fn check(world: &World, seen: &mut Seen) {
    seen.states += 1;
    assert!(world.executions <= 1, "the request was executed twice");
    let verdicts: Vec<&Verdict> = world
        .holders
        .iter()
        .filter_map(|holder| match &holder.step {
            Step::Answer(verdict) => Some(verdict),
            _ => None,
        })
        .collect();
    for verdict in &verdicts {
        match verdict {
            Verdict::Fresh(_) | Verdict::Recorded(_) => {
                seen.fresh += 1;
                assert_eq!(
                    world.executions, 1,
                    "an answer was given to what did not run"
                );
            }
            Verdict::Unknown => seen.unknown += 1,
            Verdict::NotRun(_) => seen.not_run += 1,
            Verdict::Conflict | Verdict::RanUnkept => panic!("no other request used the key"),
        }
    }
    let all_not_run = verdicts.len() == world.holders.len()
        && verdicts
            .iter()
            .all(|verdict| matches!(verdict, Verdict::NotRun(_)));
    if all_not_run {
        assert_eq!(world.executions, 0, "told `no` and executed");
    }
}

fn walk(world: &World, seen: &mut Seen) {
    check(world, seen);
    for index in 0..world.late.len() {
        let mut after = world.clone();
        match after.late.remove(index) {
            Step::Insert(insert) => drop(after.rows.insert(&insert)),
            Step::Replace(replace) => drop(after.rows.replace(&replace)),
            _ => {}
        }
        walk(&after, seen);
    }
    for index in 0..world.holders.len() {
        // A holder that never goes on is one whose steps come in no further branch; since every
        // prefix of every order is checked, stopping for good needs no branch of its own.
        let step = world.holders[index].step.clone();
        for (mut after, event) in outcomes(world, &step) {
            let holder = &mut after.holders[index];
            holder.step = holder.attempt.next(event);
            walk(&after, seen);
        }
    }
}

fn start(holders: u32, faults: u32) -> World {
    let holders = (0..holders)
        .map(|index| {
            let token = format!("router-{index}");
            let (attempt, step) = Attempt::start(KEY.into(), DIGEST.into(), token);
            Holder { attempt, step }
        })
        .collect();
    World {
        rows: Rows::default(),
        holders,
        executions: 0,
        faults_left: faults,
        late: Vec::new(),
    }
}

#[test]
fn two_routers_and_three_faults_in_every_order() {
    let mut seen = Seen::default();
    walk(&start(2, 3), &mut seen);
    assert!(seen.states > 10_000, "{} states", seen.states);
    assert!(seen.fresh > 0 && seen.unknown > 0 && seen.not_run > 0);
}

#[test]
fn three_routers_and_two_faults_in_every_order() {
    let mut seen = Seen::default();
    walk(&start(3, 2), &mut seen);
    assert!(seen.states > 10_000, "{} states", seen.states);
}

/// A request that was not sent may be sent by a later attempt, under the same key.
#[test]
fn a_released_key_can_be_used_again() {
    let table = MemoryStore::default();
    let first = run(&table, "one", Sent::NotSent);
    assert!(matches!(first, Verdict::NotRun(_)));
    let second = run(&table, "two", Sent::Answered(answer()));
    assert_eq!(second, Verdict::Fresh(answer()));
    let third = run(&table, "three", Sent::Answered(answer()));
    assert_eq!(third, Verdict::Recorded(answer()));
}

fn run(table: &dyn Table, token: &str, sent: Sent) -> Verdict {
    struct Once(Option<Sent>);
    impl baobab_once::Sender for Once {
        fn send(&mut self) -> Sent {
            self.0.take().expect("sent at most once")
        }
    }
    let mut sender = Once(Some(sent));
    baobab_once::run(table, KEY.into(), DIGEST.into(), token.into(), &mut sender)
}
