//! Evidence that is still to be reported to the other routers.

use {
    crate::gossip::{Clearance, CrashReport, EvidenceMessage},
    baobab_place::PartId,
    baobab_quarantine::{Crash, Proof},
    std::{collections::VecDeque, time::Duration},
};

/// How often each report is sent, since datagrams may be lost.
const MAX_SENDS: u32 = 2;
/// Maximum delay of a clearance. Many routers may find a popular part sound at the same time; one that
/// is told meanwhile does not tell the others too.
const MAX_CLEARANCE_DELAY: Duration = Duration::from_millis(100);
/// Interval of these sends.
const SEND_INTERVAL: Duration = Duration::from_millis(120);
/// Maximum number of crashes, and of clearances, that wait; the oldest are dropped.
const MAX_REPORTS: usize = 128;
/// Bytes of crashes and clearances that fit one datagram.
const MAX_BYTES: usize = 1000;
/// Encoded bytes of a crash besides its parts.
const CRASH_OVERHEAD_BYTES: usize = 40;
/// Maximum encoded bytes of a prompt part.
const PART_BYTES: usize = 10;
/// Maximum encoded bytes of a clearance.
const CLEARANCE_BYTES: usize = 16;

#[derive(Debug)]
struct Report<T> {
    content: T,
    at: Duration,
    sends_left: u32,
    due_at: Duration,
}

impl<T> Report<T> {
    fn new(content: T, at: Duration, due_at: Duration) -> Self {
        Self {
            content,
            at,
            sends_left: MAX_SENDS,
            due_at,
        }
    }
}

/// Crashes and clearances that wait to be sent, each a few times.
#[derive(Debug, Default)]
pub struct EvidenceOutbox {
    crashes: VecDeque<Report<Crash>>,
    clearances: VecDeque<Report<(PartId, Proof)>>,
}

impl EvidenceOutbox {
    /// Adds an answer that broke off now.
    pub fn put_crash(&mut self, crash: Crash, now: Duration) {
        push(&mut self.crashes, Report::new(crash, now, now));
    }

    /// Adds a part that an answer at `at` has shown to be sound, in place of an earlier clearance of it.
    /// `random_fraction` in `0.0..1.0` spreads the clearances of many routers.
    pub fn put_clearance(
        &mut self,
        part: PartId,
        proof: Proof,
        at: Duration,
        random_fraction: f64,
        now: Duration,
    ) {
        self.drop_clearance(part, proof);
        let due_at = now + MAX_CLEARANCE_DELAY.mul_f64(random_fraction);
        push(&mut self.clearances, Report::new((part, proof), at, due_at));
    }

    /// Drops the clearances of a part that say no more than this one, because another router has told it.
    pub fn drop_clearance(&mut self, part: PartId, proof: Proof) {
        self.clearances.retain(|report| {
            let (cleared, shown) = report.content;
            cleared != part || shown > proof
        });
    }

    /// Returns the reports that are due and fit one datagram.
    pub fn take(&mut self, now: Duration) -> EvidenceMessage {
        let mut bytes_left = MAX_BYTES;
        let crashes = take_due(&mut self.crashes, now, &mut bytes_left, |crash| {
            CRASH_OVERHEAD_BYTES + PART_BYTES * crash.parts.len()
        });
        let clearances = take_due(&mut self.clearances, now, &mut bytes_left, |_| {
            CLEARANCE_BYTES
        });
        EvidenceMessage {
            crashes: crashes
                .into_iter()
                .map(|(crash, age)| CrashReport { crash, age })
                .collect(),
            clearances: clearances
                .into_iter()
                .map(|((part, proof), age)| Clearance { part, proof, age })
                .collect(),
            records: Vec::new(),
        }
    }
}

fn push<T>(reports: &mut VecDeque<Report<T>>, report: Report<T>) {
    if reports.len() >= MAX_REPORTS {
        reports.pop_front();
        log::warn!("too much evidence waits to be reported; the oldest is dropped");
    }
    reports.push_back(report);
}

/// Returns the content and age of the reports that are due and fit `bytes_left`.
fn take_due<T: Clone>(
    reports: &mut VecDeque<Report<T>>,
    now: Duration,
    bytes_left: &mut usize,
    size: impl Fn(&T) -> usize,
) -> Vec<(T, Duration)> {
    let mut due = Vec::new();
    for report in reports.iter_mut().filter(|report| report.due_at <= now) {
        let Some(rest) = bytes_left.checked_sub(size(&report.content)) else {
            break;
        };
        *bytes_left = rest;
        report.sends_left -= 1;
        report.due_at = now + SEND_INTERVAL;
        due.push((report.content.clone(), now.saturating_sub(report.at)));
    }
    reports.retain(|report| report.sends_left > 0);
    due
}
