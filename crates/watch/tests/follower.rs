//! Call rate of a follower against a failing store, and its time to detect the store's recovery.

use {
    baobab_watch::{
        Change, Changes, Follower, Listener, Listing, PollTiming, Revision, Row, Signals, Source,
        SourceError, SourceFuture,
    },
    rand_chacha::{ChaCha8Rng, rand_core::SeedableRng},
    std::{cell::Cell, rc::Rc, time::Duration},
    tokio::time::{Instant, sleep, sleep_until},
};

/// Maximum time to detect the store's recovery. A host has three seconds to recover once the store
/// is reachable, of which 1.6 s are for expired announcements to be written again.
const MAX_DETECTION_TIME: Duration = Duration::from_millis(1400);
/// Timing of the configuration's follower.
const TIMING: PollTiming = PollTiming {
    max_wait: Duration::from_secs(20),
    batch_delay: Duration::ZERO,
    response_timeout: Duration::from_millis(700),
    initial_backoff: Duration::from_millis(250),
    retry_interval: Duration::from_millis(1200),
};

/// Does not respond between two times; calls that are in flight then time out.
struct SilentStore {
    silent_from: Instant,
    silent_until: Instant,
}

impl SilentStore {
    async fn wait(&self, wait: Duration, timeout: Duration) -> Result<(), SourceError> {
        let started_at = Instant::now();
        let is_silent = started_at + wait >= self.silent_from && started_at < self.silent_until;
        if is_silent {
            sleep(timeout).await;
            return Err(SourceError::Unreachable("no response in time".to_owned()));
        }
        sleep(wait).await;
        Ok(())
    }
}

impl Source for SilentStore {
    fn list<'a>(&'a mut self, _table: &'a str, timeout: Duration) -> SourceFuture<'a, Listing> {
        Box::pin(async move {
            self.wait(Duration::ZERO, timeout).await?;
            Ok(Listing {
                era: 0,
                revision: 1,
                store_time: Duration::from_secs(1),
                rows: Vec::new(),
            })
        })
    }

    fn changes<'a>(
        &'a mut self,
        _table: &'a str,
        since: Revision,
        wait: Duration,
        timeout: Duration,
    ) -> SourceFuture<'a, Changes> {
        Box::pin(async move {
            self.wait(wait, timeout).await?;
            Ok(Changes {
                era: 0,
                revision: since,
                store_time: Duration::from_secs(1),
                changes: Vec::new(),
            })
        })
    }

    fn reset(&mut self) {}
}

/// Refuses every call at once and counts the calls.
struct BusyStore(Rc<Cell<u32>>);

impl BusyStore {
    fn refuse<T>(&self) -> SourceFuture<'static, T> {
        self.0.set(self.0.get() + 1);
        Box::pin(async { Err(SourceError::TooManyCalls) })
    }
}

impl Source for BusyStore {
    fn list<'a>(&'a mut self, _table: &'a str, _timeout: Duration) -> SourceFuture<'a, Listing> {
        self.refuse()
    }

    fn changes<'a>(
        &'a mut self,
        _table: &'a str,
        _since: Revision,
        _wait: Duration,
        _timeout: Duration,
    ) -> SourceFuture<'a, Changes> {
        self.refuse()
    }

    fn reset(&mut self) {}
}

#[tokio::test(start_paused = true)]
async fn a_refusing_store_is_called_at_most_twice_a_second() {
    for seed in 0..20 {
        let calls = Rc::new(Cell::new(0));
        let store = BusyStore(Rc::clone(&calls));
        let random = ChaCha8Rng::seed_from_u64(seed);
        let listener = RecoveryListener::default();
        let follower = Follower::new("op", store, listener, random, TIMING, Signals::default());
        let _ = tokio::time::timeout(Duration::from_secs(20), follower.run()).await;
        // The first pauses are short, so that a single failed call causes little delay.
        assert!(
            (10..=40).contains(&calls.get()),
            "seed {seed}: {}",
            calls.get()
        );
    }
}

#[derive(Clone, Default)]
struct RecoveryListener(Rc<Cell<Option<Instant>>>);

impl Listener for RecoveryListener {
    fn on_restored(&mut self) {}
    fn on_listing(&mut self, _rows: Vec<Row>) {}
    fn on_change(&mut self, _change: Change) {}
    fn on_current(&mut self, _as_of: Duration, _store_time: Duration) {}
    fn on_unreachable(&mut self, _error: &SourceError) {}

    fn on_reachable(&mut self) {
        self.0.set(Some(Instant::now()));
    }
}

#[tokio::test(start_paused = true)]
async fn the_recovery_of_the_store_is_detected_in_time_whenever_it_happens() {
    for step in 0..80_u64 {
        let started_at = Instant::now();
        let silent_until = started_at
            + Duration::from_secs(4)
            + Duration::from_millis(50) * u32::try_from(step).unwrap();
        let store = SilentStore {
            silent_from: started_at + Duration::from_millis(100),
            silent_until,
        };
        let recovered_at = RecoveryListener::default();
        let signals = Signals::default();
        let random = ChaCha8Rng::seed_from_u64(step);
        let follower = Follower::new(
            "op",
            store,
            recovered_at.clone(),
            random,
            TIMING,
            signals.clone(),
        );
        let interrupt = Rc::clone(&signals.interrupt);
        tokio::select! {
            () = follower.run() => {}
            () = async {
                // A confirmation is due, which interrupts the call that waits for changes.
                sleep(Duration::from_secs(1)).await;
                interrupt.notify_waiters();
                sleep_until(silent_until + Duration::from_secs(5)).await;
            } => {}
        }
        let detection_time = recovered_at.0.get().map(|at| at - silent_until);
        assert!(
            detection_time.is_some_and(|detection_time| detection_time <= MAX_DETECTION_TIME),
            "step {step}: {detection_time:?}"
        );
    }
}
