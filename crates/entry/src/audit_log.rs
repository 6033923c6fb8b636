//! The audit log and the thread that writes its records to the object store.

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

/// Interval at which batches of records are written.
const FLUSH_INTERVAL: Duration = Duration::from_secs(5);
/// Records that may wait for the writer thread; further ones are dropped.
const CHANNEL_CAPACITY: usize = 20_000;

enum AuditCommand {
    Decision(u64, Decision),
    Close(Sender<()>),
}

/// Handle to the thread that writes audit records.
#[derive(Clone)]
pub struct AuditLog {
    commands: Sender<AuditCommand>,
    metrics: Metrics,
}

impl AuditLog {
    /// Starts the writer thread.
    pub fn spawn(journal: Journal, platform: Arc<dyn Platform>, metrics: Metrics) -> Result<Self> {
        let (commands, receiver) = flume::bounded(CHANNEL_CAPACITY);
        let writer_metrics = metrics.clone();
        thread::Builder::new()
            .name("audit".into())
            .spawn(move || run_writer(journal, &receiver, platform.as_ref(), &writer_metrics))?;
        Ok(Self { commands, metrics })
    }

    /// Records a decision without blocking. A full channel drops it and counts an overrun.
    pub fn record(&self, decision: Decision) {
        if self
            .commands
            .try_send(AuditCommand::Decision(now_ms(), decision))
            .is_err()
        {
            self.metrics.audit.with_label_values(&["overrun"]).inc();
        }
    }

    /// Writes the remaining records and closes the audit chain, waiting at most `timeout`.
    pub fn close(&self, timeout: Duration) {
        let (done, done_receiver) = flume::bounded(1);
        if self.commands.send(AuditCommand::Close(done)).is_ok()
            && done_receiver.recv_timeout(timeout).is_err()
        {
            log::warn!("audit chain was not closed within its timeout");
        }
    }
}

fn run_writer(
    mut journal: Journal,
    commands: &Receiver<AuditCommand>,
    platform: &dyn Platform,
    metrics: &Metrics,
) {
    let mut last_flush = Instant::now();
    loop {
        match commands.recv_timeout(FLUSH_INTERVAL) {
            Ok(AuditCommand::Decision(at_ms, decision)) => journal.add(at_ms, decision),
            Ok(AuditCommand::Close(done)) => {
                flush(&mut journal, platform, true);
                update_gauges(journal.status(), metrics);
                drop(done);
                return;
            }
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        if last_flush.elapsed() >= FLUSH_INTERVAL {
            last_flush = Instant::now();
            flush(&mut journal, platform, false);
            update_gauges(journal.status(), metrics);
        }
    }
}

fn flush(journal: &mut Journal, platform: &dyn Platform, closing: bool) {
    if let Err(error) = journal.flush(platform, closing) {
        log::warn!(
            "audit records are not yet written to the object store and stay queued: {error}"
        );
    }
}

fn update_gauges(status: JournalStatus, metrics: &Metrics) {
    let values = [
        ("pending", status.pending),
        ("dropped", status.dropped),
        ("batches", status.batches),
        ("bytes", status.bytes),
    ];
    for (name, value) in values {
        let value = i64::try_from(value).unwrap_or(i64::MAX);
        metrics.audit.with_label_values(&[name]).set(value);
    }
}

/// Returns the time in milliseconds since the Unix epoch.
pub fn now_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, baobab_unit::millis)
}
