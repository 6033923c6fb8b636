//! Runs the steps of an attempt against the platform and the service.

use {
    crate::{Attempt, Event, Sent, Step, Verdict},
    baobab_store::Table,
};

/// The way to the service.
pub trait Sender {
    /// Sends the request once.
    fn send(&mut self) -> Sent;
}

/// Runs an attempt to its end.
pub fn run(
    table: &dyn Table,
    key: String,
    digest: String,
    token: String,
    sender: &mut dyn Sender,
) -> Verdict {
    let (mut attempt, mut step) = Attempt::start(key, digest, token);
    loop {
        let event = match step {
            Step::Insert(insert) => Event::Inserted(table.insert(insert)),
            Step::Read(key) => Event::Read(table.read(&key)),
            Step::Replace(replace) => Event::Replaced(table.replace(replace)),
            Step::Send => Event::Sent(sender.send()),
            Step::Answer(verdict) => return verdict,
        };
        step = attempt.next(event);
    }
}
