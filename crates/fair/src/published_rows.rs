//! The last published row of each workspace, and the choice of rows to publish again.

use {
    crate::{PoolUpdateRow, Tuning},
    baobab_unit::WorkspaceId,
    std::{collections::BTreeMap, time::Duration},
};

#[derive(Debug, Clone, Copy)]
struct Entry {
    row: PoolUpdateRow,
    sent_at: Duration,
    stream_rate: f64,
}

/// The last published rows, from which peers extrapolate.
#[derive(Debug, Default)]
pub struct PublishedRows {
    entries: BTreeMap<WorkspaceId, Entry>,
    last_sent: Option<Duration>,
    last_refresh: Option<Duration>,
}

impl PublishedRows {
    /// Returns whether the minimum interval since the last update is over.
    pub fn is_interval_over(&self, now: Duration, tuning: &Tuning) -> bool {
        self.last_sent
            .is_none_or(|last_sent| now >= last_sent + tuning.min_update_interval)
    }

    /// Returns the rows to publish now. `rows` pairs each row with its workspace's weight.
    ///
    /// `share_rate` is the fair share of one unit of weight in tokens a second. An empty list
    /// means that no update is due; an idle pool still publishes once per refresh interval, as a
    /// heartbeat.
    pub fn due_rows(
        &mut self,
        now: Duration,
        rows: Vec<(PoolUpdateRow, f64)>,
        stream_rate: f64,
        share_rate: f64,
        tuning: &Tuning,
    ) -> Vec<PoolUpdateRow> {
        let is_refresh_due = self
            .last_refresh
            .is_none_or(|last_refresh| now >= last_refresh + tuning.update_refresh);
        let due_rows: Vec<PoolUpdateRow> = rows
            .into_iter()
            .filter(|(row, weight)| {
                let max_error_tokens = tuning.max_update_error.as_secs_f64() * share_rate * weight;
                is_refresh_due || self.needs_update(now, row, max_error_tokens, tuning)
            })
            .map(|(row, _)| row)
            .collect();
        if due_rows.is_empty() {
            return due_rows;
        }
        self.last_sent = Some(now);
        if is_refresh_due {
            self.last_refresh = Some(now);
        }
        for row in &due_rows {
            let entry = Entry {
                row: *row,
                sent_at: now,
                stream_rate,
            };
            self.entries.insert(row.workspace, entry);
        }
        due_rows
    }

    /// Whether peers extrapolate a workspace's tokens too inaccurately, or its lift or queue
    /// changed.
    fn needs_update(
        &self,
        now: Duration,
        row: &PoolUpdateRow,
        max_error_tokens: f64,
        tuning: &Tuning,
    ) -> bool {
        let Some(entry) = self.entries.get(&row.workspace) else {
            return row.running > 0 || row.waiting + row.waiting_urgent > 0;
        };
        let before = entry.row;
        let age = now.saturating_sub(entry.sent_at).as_secs_f64();
        let ahead = tuning.lookahead.as_secs_f64();
        let extrapolated =
            before.tokens as f64 + f64::from(before.running) * entry.stream_rate * (age + ahead);
        let actual = row.tokens as f64 + f64::from(row.running) * entry.stream_rate * ahead;
        (extrapolated - actual).abs() > max_error_tokens
            || row.lift != before.lift
            || is_significant_change(before.waiting, row.waiting)
            || is_significant_change(before.waiting_urgent, row.waiting_urgent)
    }
}

/// Whether a queue has become empty or non-empty, or its length has more than doubled or halved.
fn is_significant_change(before: u32, now: u32) -> bool {
    (before == 0) != (now == 0) || now > before * 2 || now * 2 < before
}
