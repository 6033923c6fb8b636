//! The thread that writes audit records.

use {
    crate::metrics::Metrics,
    baobab_audit::{Decision, Journal, JournalStatus},
    baobab_store::Platform,
    flume::{Receiver, RecvTimeoutError, Sender},
    std::{
        io::Result,
        sync::Arc,
        thread,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
};

/// Time between two batches.
const FLUSH_SPACING: Duration = Duration::from_secs(5);
/// Records that may wait for the journal's thread.
const CHANNEL_RECORDS: usize = 20_000;

enum Item {
    Decision(u64, Decision),
    Close(Sender<()>),
}

/// The way to the journal's thread.
#[derive(Clone)]
pub struct AuditLog {
    items: Sender<Item>,
    metrics: Metrics,
}

impl AuditLog {
    /// Starts the journal's thread.
    pub fn spawn(journal: Journal, platform: Arc<dyn Platform>, metrics: Metrics) -> Result<Self> {
        let (items, received) = flume::bounded(CHANNEL_RECORDS);
        let gauges = metrics.clone();
        thread::Builder::new()
            .name("audit".into())
            .spawn(move || write(journal, &received, platform.as_ref(), &gauges))?;
        Ok(Self { items, metrics })
    }

    /// Records a decision without waiting.
    pub fn add(&self, decision: Decision) {
        if self
            .items
            .try_send(Item::Decision(now_ms(), decision))
            .is_err()
        {
            self.metrics.audit.with_label_values(&["overrun"]).inc();
        }
    }

    /// Writes what is left and closes the chain.
    pub fn close(&self, patience: Duration) {
        let (done, finished) = flume::bounded(1);
        if self.items.send(Item::Close(done)).is_ok() && finished.recv_timeout(patience).is_err() {
            log::warn!("the audit chain could not be closed in time");
        }
    }
}

fn write(mut journal: Journal, items: &Receiver<Item>, platform: &dyn Platform, metrics: &Metrics) {
    let mut flushed = Instant::now();
    loop {
        match items.recv_timeout(FLUSH_SPACING) {
            Ok(Item::Decision(at_ms, decision)) => journal.add(at_ms, decision),
            Ok(Item::Close(done)) => {
                flush(&mut journal, platform, true);
                show(journal.status(), metrics);
                drop(done);
                return;
            }
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        if flushed.elapsed() >= FLUSH_SPACING {
            flushed = Instant::now();
            flush(&mut journal, platform, false);
            show(journal.status(), metrics);
        }
    }
}

fn flush(journal: &mut Journal, platform: &dyn Platform, closing: bool) {
    if let Err(error) = journal.flush(platform, closing) {
        log::warn!("audit records wait for the object store: {error}");
    }
}

fn show(status: JournalStatus, metrics: &Metrics) {
    let figures = [
        ("pending", status.pending),
        ("dropped", status.dropped),
        ("batches", status.batches),
        ("bytes", status.bytes),
    ];
    for (name, value) in figures {
        let value = i64::try_from(value).unwrap_or(i64::MAX);
        metrics.audit.with_label_values(&[name]).set(value);
    }
}

/// Milliseconds since the Unix epoch.
pub fn now_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, baobab_unit::millis)
}
