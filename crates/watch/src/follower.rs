//! Keeps a listener up to date with one table.

use {
    crate::{Backoff, Changes, Listener, Revision, Source, SourceError, suspension_clock},
    rand::Rng,
    std::{rc::Rc, time::Duration},
    tokio::{sync::Notify, time::sleep},
};

/// How often and how patiently a table is asked.
#[derive(Debug, Clone, Copy)]
pub struct Pace {
    /// Longest time that the store may keep a call waiting for changes.
    pub wait: Duration,
    /// Time that an answer may take beyond that.
    pub answer: Duration,
    /// First pause after a failed call.
    pub first_pause: Duration,
    /// Longest pause after failed calls.
    pub longest_pause: Duration,
}

/// While the store is out of reach, every other call waits this many times longer for its answer:
/// short ones notice its return early, long ones get through where it is slow.
const SLOW_STORE_FACTOR: u32 = 3;

/// Follows one table.
pub struct Follower<S, L, R> {
    table: String,
    source: S,
    listener: L,
    random: R,
    pace: Pace,
    revision: Option<Revision>,
    backoff: Backoff,
    failures: u32,
    is_lost: bool,
    interrupt: Rc<Notify>,
}

impl<S: Source, L: Listener, R: Rng> Follower<S, L, R> {
    /// Prepares to follow a table; nothing is read yet.
    ///
    /// `interrupt` ends a call that is under way: others have learnt that the store was away, and
    /// the call's answer may be lost.
    pub fn new(
        table: impl Into<String>,
        source: S,
        listener: L,
        random: R,
        pace: Pace,
        interrupt: Rc<Notify>,
    ) -> Self {
        Self {
            table: table.into(),
            source,
            listener,
            random,
            pace,
            revision: None,
            backoff: Backoff::new(pace.first_pause, pace.longest_pause),
            failures: 0,
            is_lost: false,
            interrupt,
        }
    }

    /// Follows the table until the task is dropped.
    pub async fn run(mut self) {
        loop {
            self.step().await;
        }
    }

    /// Makes one call and tells the listener what came of it.
    pub async fn step(&mut self) {
        let interrupt = Rc::clone(&self.interrupt);
        let result = tokio::select! {
            result = self.call() => result,
            () = interrupt.notified() => {
                self.source.reset();
                return;
            }
        };
        match result {
            Ok(()) => self.on_success(),
            Err(error) => self.on_failure(&error).await,
        }
    }

    async fn call(&mut self) -> Result<(), SourceError> {
        match self.revision {
            None => self.list().await,
            Some(revision) => self.poll(revision).await,
        }
    }

    /// Returns how long the store may keep a call waiting, and how long the answer may take.
    fn bounds(&self) -> (Duration, Duration) {
        if !self.is_lost {
            return (self.pace.wait, self.pace.answer);
        }
        let is_patient = self.failures.is_multiple_of(2);
        let factor = if is_patient { SLOW_STORE_FACTOR } else { 1 };
        (Duration::ZERO, self.pace.answer * factor)
    }

    async fn list(&mut self) -> Result<(), SourceError> {
        let asked_at = suspension_clock();
        let (_, timeout) = self.bounds();
        let listing = self.source.list(&self.table, timeout).await?;
        self.revision = Some(listing.revision);
        self.listener.on_listing(listing.rows, asked_at);
        Ok(())
    }

    async fn poll(&mut self, since: Revision) -> Result<(), SourceError> {
        let asked_at = suspension_clock();
        let (wait, answer) = self.bounds();
        let Changes { revision, changes } = self
            .source
            .changes(&self.table, since, wait, wait + answer)
            .await?;
        if revision < since {
            return Err(SourceError::Refused(format!(
                "a stale answer: revision {revision} after {since}"
            )));
        }
        self.revision = Some(revision);
        // An empty answer leaves the store only after the whole wait.
        let held = if changes.is_empty() {
            wait
        } else {
            Duration::ZERO
        };
        for change in changes {
            self.listener.on_change(change);
        }
        let as_of = (asked_at + held).min(suspension_clock());
        self.listener.on_current(as_of);
        Ok(())
    }

    fn on_success(&mut self) {
        self.backoff.reset();
        self.failures = 0;
        if std::mem::take(&mut self.is_lost) {
            self.listener.on_regained();
        }
    }

    async fn on_failure(&mut self, error: &SourceError) {
        if *error == SourceError::HistoryGone {
            log::info!(table = self.table.as_str(); "the history has a gap; reading the whole table");
            self.revision = None;
            return;
        }
        if !std::mem::replace(&mut self.is_lost, true) {
            self.listener.on_lost(error);
        }
        self.failures += 1;
        sleep(self.backoff.next_pause(&mut self.random)).await;
    }
}
