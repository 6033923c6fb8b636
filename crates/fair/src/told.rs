//! What peers were last told of each workspace, and what is worth telling again.

use {
    crate::{PoolUpdateRow, Tuning},
    baobab_unit::WorkspaceId,
    std::{collections::BTreeMap, time::Duration},
};

#[derive(Debug, Clone, Copy)]
struct Entry {
    row: PoolUpdateRow,
    at: Duration,
    stream_rate: f64,
}

/// The rows that peers extrapolate from.
#[derive(Debug, Default)]
pub struct Told {
    entries: BTreeMap<WorkspaceId, Entry>,
    sent: Option<Duration>,
    refreshed: Option<Duration>,
}

impl Told {
    /// Tells whether the last message is long enough ago.
    pub fn is_spaced(&self, now: Duration, tuning: &Tuning) -> bool {
        self.sent
            .is_none_or(|sent| now >= sent + tuning.update_spacing)
    }

    /// Returns the rows that peers should be told now; each comes with its workspace's weight.
    ///
    /// `share_rate` is the tokens a second that one unit of weight is due. An empty list means
    /// that no message is due; an idle pool still tells once in a refresh time that it is there.
    pub fn due(
        &mut self,
        now: Duration,
        rows: Vec<(PoolUpdateRow, f64)>,
        stream_rate: f64,
        share_rate: f64,
        tuning: &Tuning,
    ) -> Vec<PoolUpdateRow> {
        let refresh = self
            .refreshed
            .is_none_or(|refreshed| now >= refreshed + tuning.update_refresh);
        let due: Vec<PoolUpdateRow> = rows
            .into_iter()
            .filter(|(row, weight)| {
                let limit = tuning.update_error.as_secs_f64() * share_rate * weight;
                refresh || self.is_wrong(now, row, limit, tuning)
            })
            .map(|(row, _)| row)
            .collect();
        if due.is_empty() {
            return due;
        }
        self.sent = Some(now);
        if refresh {
            self.refreshed = Some(now);
        }
        for row in &due {
            let entry = Entry {
                row: *row,
                at: now,
                stream_rate,
            };
            self.entries.insert(row.workspace, entry);
        }
        due
    }

    fn is_wrong(&self, now: Duration, row: &PoolUpdateRow, limit: f64, tuning: &Tuning) -> bool {
        let Some(entry) = self.entries.get(&row.workspace) else {
            return row.running > 0 || row.waiting + row.waiting_urgent > 0;
        };
        let before = entry.row;
        let age = now.saturating_sub(entry.at).as_secs_f64();
        let ahead = tuning.lookahead.as_secs_f64();
        let told =
            before.tokens as f64 + f64::from(before.running) * entry.stream_rate * (age + ahead);
        let actual = row.tokens as f64 + f64::from(row.running) * entry.stream_rate * ahead;
        (told - actual).abs() > limit
            || row.lift != before.lift
            || waiting_changed(before.waiting, row.waiting)
            || waiting_changed(before.waiting_urgent, row.waiting_urgent)
    }
}

/// A queue's length is worth telling when it starts, ends, doubles or halves.
fn waiting_changed(before: u32, now: u32) -> bool {
    (before == 0) != (now == 0) || now > before * 2 || now * 2 < before
}
