//! Follows one table and notifies a listener of its changes.

use {
    crate::{
        Backoff, Changes, Era, Listener, Revision, Source, SourceError, StoreClock, TableGossip,
        suspension_clock,
    },
    rand::Rng,
    std::{cell::Cell, rc::Rc, sync::Arc, time::Duration},
    tokio::{
        sync::Notify,
        time::{Instant, sleep},
    },
};

/// Intervals and timeouts of polling a table.
#[derive(Debug, Clone, Copy)]
pub struct PollTiming {
    /// Maximum time that the store may hold a poll while there are no changes.
    pub max_wait: Duration,
    /// Pause after a poll with changes, so that bursts of changes take few calls.
    pub batch_delay: Duration,
    /// Time allowed for the response, in addition to the wait.
    pub response_timeout: Duration,
    /// Initial backoff after a failed call.
    pub initial_backoff: Duration,
    /// Maximum time from the start of a failed call to the start of the next one. A store that
    /// refuses at once is called as rarely as one that does not respond.
    pub retry_interval: Duration,
}

/// State that a follower shares with other tasks.
#[derive(Debug, Clone, Default)]
pub struct Signals {
    /// Cancels a call in flight and polls the store at once: its response may be lost, or is needed
    /// now.
    pub interrupt: Rc<Notify>,
    /// Offset to the store's clock, updated by each response.
    pub store_clock: Arc<StoreClock>,
    /// Maximum time that the store may hold a poll, if it is shorter than the follower's own: a poll that
    /// ends is a confirmation, for which no other call is needed.
    pub max_wait: Rc<Cell<Option<Duration>>>,
}

/// Factor on the response timeout of every other call while the store is unreachable: short
/// timeouts detect its recovery early, long ones succeed if it is slow.
const SLOW_STORE_FACTOR: f64 = 1.5;

/// Follows one table, through the store or the other routers' gossip.
pub struct Follower<S, L, R> {
    pub(crate) table: String,
    source: S,
    pub(crate) listener: L,
    pub(crate) random: R,
    timing: PollTiming,
    /// Newest era of the store that a listing was read in.
    pub(crate) era: Option<Era>,
    /// Last applied revision of that era; none if the table has to be listed.
    pub(crate) revision: Option<Revision>,
    backoff: Backoff,
    failures: u32,
    is_unreachable: bool,
    pub(crate) poll_immediately: bool,
    signals: Signals,
    pub(crate) gossip: Option<Box<dyn TableGossip>>,
    /// Where the next changes come from.
    pub(crate) feed: Feed,
}

/// Where a follower that may receive gossip gets the next changes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Feed {
    /// From the store.
    Store,
    /// From the store once, because changes were missing from the gossip.
    StoreAfterGap,
    /// From the other routers, so that the store need not be polled.
    Gossip,
}

impl<S: Source, L: Listener, R: Rng> Follower<S, L, R> {
    /// Creates a follower; nothing is read before [`Follower::run`] or [`Follower::step`].
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
            era: None,
            revision: None,
            backoff: Backoff::new(timing.initial_backoff, timing.retry_interval),
            failures: 0,
            is_unreachable: false,
            poll_immediately: false,
            signals,
            gossip: None,
            feed: Feed::Store,
        }
    }

    /// Makes the follower publish its changes to other routers, or receive them from those.
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

    /// Applies the next changes from other routers, or makes one call to the store, and notifies
    /// the listener of the result.
    pub async fn step(&mut self) {
        if self.feed == Feed::Gossip && !self.reads_store() && self.revision.is_some() {
            return self.apply_next_delta().await;
        }
        let was_gap = self.feed == Feed::StoreAfterGap;
        self.call_store().await;
        let is_gossiping = self
            .gossip
            .as_mut()
            .is_some_and(|gossip| gossip.discard_pending());
        let has_read_gap = was_gap && !self.is_unreachable;
        self.feed = match self.revision {
            // The history before the gap is gone; the next call lists the table.
            None if has_read_gap => Feed::StoreAfterGap,
            _ if is_gossiping || has_read_gap => Feed::Gossip,
            _ => Feed::Store,
        };
    }

    /// Makes one call to the store and notifies the listener of the result.
    async fn call_store(&mut self) {
        let interrupt = Rc::clone(&self.signals.interrupt);
        let started_at = Instant::now();
        let result = tokio::select! {
            result = self.list_or_poll() => result,
            () = interrupt.notified() => {
                self.source.reset();
                self.poll_immediately = true;
                return;
            }
        };
        match result {
            Ok(has_changed) => {
                self.on_success();
                if has_changed {
                    self.pause(self.timing.batch_delay).await;
                }
            }
            Err(error) => self.on_failure(&error, started_at).await,
        }
    }

    /// Sleeps for `time`; an interrupt ends the sleep and makes the next poll immediate.
    async fn pause(&mut self, time: Duration) {
        let interrupt = Rc::clone(&self.signals.interrupt);
        tokio::select! {
            () = sleep(time) => {}
            () = interrupt.notified() => self.poll_immediately = true,
        }
    }

    /// Makes one call. Returns whether it returned changes, in which case more may follow soon.
    async fn list_or_poll(&mut self) -> Result<bool, SourceError> {
        match self.revision {
            None => self.list().await,
            Some(revision) => self.poll(revision).await,
        }
    }

    /// Returns how long the store may hold a poll, and how long the response may take beyond that.
    fn call_limits(&self) -> (Duration, Duration) {
        if !self.is_unreachable {
            let wait = if self.poll_immediately {
                Duration::ZERO
            } else {
                let max_wait = self.signals.max_wait.get();
                max_wait.map_or(self.timing.max_wait, |max_wait| {
                    max_wait.min(self.timing.max_wait)
                })
            };
            return (wait, self.timing.response_timeout);
        }
        let is_long_attempt = self.failures.is_multiple_of(2);
        let factor = if is_long_attempt {
            SLOW_STORE_FACTOR
        } else {
            1.0
        };
        (Duration::ZERO, self.timing.response_timeout.mul_f64(factor))
    }

    async fn list(&mut self) -> Result<bool, SourceError> {
        let sent_at = suspension_clock();
        let (_, timeout) = self.call_limits();
        let listing = self.source.list(&self.table, timeout).await?;
        self.check_not_older(listing.era)?;
        if self.era.is_some_and(|era| listing.era > era) {
            log::warn!(table = self.table.as_str(), era = listing.era; "the store was restored from a copy");
            self.listener.on_restored();
        }
        if self.era.is_none() && listing.era > 0 {
            self.listener.on_listed_restored();
        }
        self.era = Some(listing.era);
        self.revision = Some(listing.revision);
        self.signals
            .store_clock
            .observe(sent_at, suspension_clock(), listing.store_time);
        self.listener.on_listing(listing.rows);
        self.publish(listing.revision, listing.revision, &[]);
        self.listener.on_current(sent_at, listing.store_time);
        Ok(false)
    }

    async fn poll(&mut self, since: Revision) -> Result<bool, SourceError> {
        let sent_at = suspension_clock();
        let (wait, response_timeout) = self.call_limits();
        let Changes {
            era,
            revision,
            store_time,
            changes,
        } = self
            .source
            .changes(&self.table, since, wait, wait + response_timeout)
            .await?;
        self.check_not_older(era)?;
        if self.era != Some(era) {
            return Err(SourceError::Restored);
        }
        if revision < since {
            return Err(SourceError::Refused(format!(
                "stale response: revision {revision} after {since}"
            )));
        }
        self.revision = Some(revision);
        let received_at = suspension_clock();
        self.signals
            .store_clock
            .observe(sent_at, received_at, store_time);
        let has_changed = !changes.is_empty();
        self.publish(since, revision, &changes);
        for change in changes {
            self.listener.on_change(change);
        }
        let earliest = self.signals.store_clock.earliest(store_time);
        let as_of = earliest.map_or(sent_at, |earliest| earliest.max(sent_at));
        self.listener.on_current(as_of, store_time);
        Ok(has_changed)
    }

    /// Rejects a response that was delayed beyond a restoration of the store.
    fn check_not_older(&self, era: Era) -> Result<(), SourceError> {
        match self.era {
            Some(known) if era < known => Err(SourceError::Refused(format!(
                "stale response: era {era} after {known}"
            ))),
            _ => Ok(()),
        }
    }

    pub(crate) fn on_success(&mut self) {
        self.backoff.reset();
        self.failures = 0;
        self.poll_immediately = false;
        if std::mem::take(&mut self.is_unreachable) {
            self.listener.on_reachable();
        }
    }

    async fn on_failure(&mut self, error: &SourceError, started_at: Instant) {
        let is_listed_next = match error {
            SourceError::HistoryGone | SourceError::Restored => true,
            // A listing that was too long is retried later.
            SourceError::TooLong => self.revision.is_some(),
            _ => false,
        };
        if is_listed_next {
            log::info!(table = self.table.as_str(), error = error.to_string().as_str(); "listing the whole table");
            self.revision = None;
            return;
        }
        if !std::mem::replace(&mut self.is_unreachable, true) {
            self.listener.on_unreachable(error);
        }
        if let Some(gossip) = &self.gossip {
            gossip.stop_publishing();
        }
        self.failures += 1;
        let remaining = self
            .timing
            .retry_interval
            .saturating_sub(started_at.elapsed());
        let pause = self.backoff.next_pause(&mut self.random);
        self.pause(pause.min(remaining)).await;
    }
}
