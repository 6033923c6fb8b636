//! Keeps a listener up to date with one table.

use {
    crate::{
        Backoff, Changes, Listener, Revision, Source, SourceError, StoreClock, TableGossip,
        suspension_clock,
    },
    rand::Rng,
    std::{rc::Rc, sync::Arc, time::Duration},
    tokio::{
        sync::Notify,
        time::{Instant, sleep},
    },
};

/// How often and how patiently a table is asked.
#[derive(Debug, Clone, Copy)]
pub struct PollTiming {
    /// Longest time that the store may keep a call waiting for changes.
    pub max_wait: Duration,
    /// Pause after a change, so that many changes that come together take few calls.
    pub gather: Duration,
    /// Time that an answer may take beyond that.
    pub response_timeout: Duration,
    /// First pause after a failed call.
    pub first_backoff: Duration,
    /// Longest time from the beginning of a failed call to that of the next one. A store that
    /// refuses at once is asked as rarely as one that is silent.
    pub retry_interval: Duration,
}

/// What a follower shares with others.
#[derive(Debug, Clone, Default)]
pub struct Signals {
    /// Ends a call that is under way and asks the store at once: its answer may be lost, or is
    /// needed now.
    pub interrupt: Rc<Notify>,
    /// The store's clock.
    pub store_clock: Arc<StoreClock>,
}

/// While the store is out of reach, every other call waits this many times longer for its answer:
/// short ones notice its return early, long ones get through where it is slow.
const SLOW_STORE_FACTOR: f64 = 1.5;

/// Follows one table.
pub struct Follower<S, L, R> {
    pub(crate) table: String,
    source: S,
    pub(crate) listener: L,
    pub(crate) random: R,
    timing: PollTiming,
    pub(crate) revision: Option<Revision>,
    backoff: Backoff,
    failures: u32,
    is_lost: bool,
    pub(crate) asks_at_once: bool,
    signals: Signals,
    pub(crate) gossip: Option<Box<dyn TableGossip>>,
    /// Whether the other routers tell the changes.
    pub(crate) is_told: bool,
}

impl<S: Source, L: Listener, R: Rng> Follower<S, L, R> {
    /// Prepares to follow a table; nothing is read yet.
    pub fn new(
        table: impl Into<String>,
        source: S,
        listener: L,
        random: R,
        timing: PollTiming,
        signals: Signals,
    ) -> Self {
        Self {
            table: table.into(),
            source,
            listener,
            random,
            timing,
            revision: None,
            backoff: Backoff::new(timing.first_backoff, timing.retry_interval),
            failures: 0,
            is_lost: false,
            asks_at_once: false,
            signals,
            gossip: None,
            is_told: false,
        }
    }

    /// Makes the follower tell its changes to other routers, or learn them from those.
    #[must_use]
    pub fn with_gossip(mut self, gossip: Box<dyn TableGossip>) -> Self {
        self.gossip = Some(gossip);
        self
    }

    /// Follows the table until the task is dropped.
    pub async fn run(mut self) {
        loop {
            self.step().await;
        }
    }

    /// Learns the next changes from other routers, or makes one call, and tells the listener what
    /// came of it.
    pub async fn step(&mut self) {
        if self.is_told && !self.reads_store() && self.revision.is_some() {
            return self.apply_next_delta().await;
        }
        self.ask().await;
        self.is_told = self
            .gossip
            .as_mut()
            .is_some_and(|gossip| gossip.discard_pending());
    }

    /// Makes one call and tells the listener what came of it.
    async fn ask(&mut self) {
        let interrupt = Rc::clone(&self.signals.interrupt);
        let began = Instant::now();
        let result = tokio::select! {
            result = self.call() => result,
            () = interrupt.notified() => {
                self.source.reset();
                self.asks_at_once = true;
                return;
            }
        };
        match result {
            Ok(has_changed) => {
                self.on_success();
                if has_changed {
                    self.pause(self.timing.gather).await;
                }
            }
            Err(error) => self.on_failure(&error, began).await,
        }
    }

    /// Waits, unless the store has to be asked now.
    async fn pause(&mut self, time: Duration) {
        let interrupt = Rc::clone(&self.signals.interrupt);
        tokio::select! {
            () = sleep(time) => {}
            () = interrupt.notified() => self.asks_at_once = true,
        }
    }

    /// Makes one call. Returns whether it told of changes, which others may follow soon.
    async fn call(&mut self) -> Result<bool, SourceError> {
        match self.revision {
            None => self.list().await,
            Some(revision) => self.poll(revision).await,
        }
    }

    /// Returns how long the store may keep a call waiting, and how long the answer may take.
    fn bounds(&self) -> (Duration, Duration) {
        if !self.is_lost {
            let wait = if self.asks_at_once {
                Duration::ZERO
            } else {
                self.timing.max_wait
            };
            return (wait, self.timing.response_timeout);
        }
        let is_patient = self.failures.is_multiple_of(2);
        let factor = if is_patient { SLOW_STORE_FACTOR } else { 1.0 };
        (Duration::ZERO, self.timing.response_timeout.mul_f64(factor))
    }

    async fn list(&mut self) -> Result<bool, SourceError> {
        let asked_at = suspension_clock();
        let (_, timeout) = self.bounds();
        let listing = self.source.list(&self.table, timeout).await?;
        self.revision = Some(listing.revision);
        self.signals
            .store_clock
            .observe(asked_at, listing.store_time);
        self.listener.on_listing(listing.rows);
        self.publish(listing.revision, listing.revision, &[]);
        self.listener.on_current(asked_at, listing.store_time);
        Ok(false)
    }

    async fn poll(&mut self, since: Revision) -> Result<bool, SourceError> {
        let asked_at = suspension_clock();
        let (wait, response_timeout) = self.bounds();
        let Changes {
            revision,
            store_time,
            changes,
        } = self
            .source
            .changes(&self.table, since, wait, wait + response_timeout)
            .await?;
        if revision < since {
            return Err(SourceError::Refused(format!(
                "a stale answer: revision {revision} after {since}"
            )));
        }
        self.revision = Some(revision);
        self.signals.store_clock.observe(asked_at, store_time);
        let has_changed = !changes.is_empty();
        self.publish(since, revision, &changes);
        for change in changes {
            self.listener.on_change(change);
        }
        let dated = self.signals.store_clock.earliest(store_time);
        let as_of = dated.map_or(asked_at, |dated| dated.max(asked_at));
        self.listener.on_current(as_of, store_time);
        Ok(has_changed)
    }

    pub(crate) fn on_success(&mut self) {
        self.backoff.reset();
        self.failures = 0;
        self.asks_at_once = false;
        if std::mem::take(&mut self.is_lost) {
            self.listener.on_regained();
        }
    }

    async fn on_failure(&mut self, error: &SourceError, began: Instant) {
        if *error == SourceError::HistoryGone {
            log::info!(table = self.table.as_str(); "the history has a gap; reading the whole table");
            self.revision = None;
            return;
        }
        if !std::mem::replace(&mut self.is_lost, true) {
            self.listener.on_lost(error);
        }
        if let Some(gossip) = &self.gossip {
            gossip.stop_publishing();
        }
        self.failures += 1;
        let rest = self.timing.retry_interval.saturating_sub(began.elapsed());
        let pause = self.backoff.next_pause(&mut self.random);
        self.pause(pause.min(rest)).await;
    }
}
