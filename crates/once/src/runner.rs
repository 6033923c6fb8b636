//! Executes the steps of an attempt against the platform and the service.

use {
    crate::{Attempt, Event, RequestOutcome, SendOutcome, Step},
    baobab_store::Table,
};

/// Client of the service that an attempt sends its request to.
pub trait RequestSender {
    /// Sends the request at most once and reports what is known about its execution.
    fn send(&mut self) -> SendOutcome;
}

/// Runs an attempt to its end and returns its outcome.
///
/// `key` names the request's row in `table`. See [`Attempt::start`] for `digest` and `token`.
pub fn run(
    table: &dyn Table,
    key: String,
    digest: String,
    token: String,
    sender: &mut dyn RequestSender,
) -> RequestOutcome {
    let (mut attempt, mut step) = Attempt::start(key, digest, token);
    loop {
        let event = match step {
            Step::Insert(insert) => Event::Inserted(table.insert(insert)),
            Step::Read(key) => Event::Read(table.read(&key)),
            Step::Replace(replace) => Event::Replaced(table.replace(replace)),
            Step::Send => Event::Sent(sender.send()),
            Step::Respond(outcome) => return outcome,
        };
        step = attempt.next(event);
    }
}
