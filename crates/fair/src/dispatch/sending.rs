//! Messages of the dispatcher: grants to routers, and pool updates to other dispatchers.

use {
    super::{Action, Dispatcher, dispatcher::SYNC_REQUEST_PERIOD, estimate::round_up_rate},
    crate::{Grants, PoolUpdate, PoolUpdateRow, Revocation},
    std::time::Duration,
};

impl Dispatcher {
    pub(super) fn send_grants(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let (retry, valid) = (self.tuning.grant_retry, self.tuning.grant_valid);
        let pool = self.pool;
        let due_revocations = std::mem::take(&mut self.due_revocations);
        for (host, view) in self.routers.views_mut() {
            let grants = view.due_grants(now, retry, valid);
            let revocations: Vec<Revocation> = due_revocations
                .iter()
                .filter(|entry| entry.router == host)
                .map(|entry| entry.revocation)
                .collect();
            let has_content = !grants.is_empty() || !revocations.is_empty();
            if !has_content && !view.is_ack_due(now, self.tuning.ack_delay) {
                continue;
            }
            view.record_ack();
            actions.push(Action::Grants {
                to: host,
                grants: Grants {
                    pool,
                    router_incarnation: view.incarnation(),
                    applied: view.applied(),
                    router_time: view.router_time(now),
                    grants,
                    revocations,
                },
            });
        }
    }

    pub(super) fn send_pool_update(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if !self.published_rows.is_interval_over(now, &self.tuning) {
            return;
        }
        let rows = self.update_rows();
        let share_rate = self.share_rate();
        let due_rows = self.published_rows.due_rows(
            now,
            rows,
            self.engines.stream_rate(),
            share_rate,
            &self.tuning,
        );
        if due_rows.is_empty() {
            return;
        }
        let due_rows = due_rows
            .into_iter()
            .map(|row| self.with_router(row))
            .collect();
        self.update_number += 1;
        actions.push(Action::PoolUpdate(PoolUpdate {
            pool: self.pool,
            model: self.model,
            number: self.update_number,
            wants_sync: now < self.started + SYNC_REQUEST_PERIOD,
            stream_rate: round_up_rate(self.engines.stream_rate()),
            rows: due_rows,
        }));
    }

    pub(super) fn update_rows(&self) -> Vec<(PoolUpdateRow, f64)> {
        self.routers
            .tallies()
            .iter()
            .filter_map(|(workspace, tally)| {
                let weight = f64::from(*self.weights.get(workspace)?);
                let waiting = self.standing_queues.length(*workspace);
                let row = PoolUpdateRow {
                    workspace: *workspace,
                    tokens: self.ledger.tokens(self.pool, *workspace),
                    lift: self.ledger.lift(*workspace),
                    running: tally.running + tally.outstanding,
                    waiting_urgent: waiting.urgent,
                    waiting: waiting.other,
                    router: 0,
                };
                Some((row, weight))
            })
            .collect()
    }

    /// Sets the row's router to the one with the most waiting requests of the workspace.
    pub(super) fn with_router(&self, row: PoolUpdateRow) -> PoolUpdateRow {
        if row.waiting + row.waiting_urgent == 0 {
            return row;
        }
        let fullest = self
            .routers
            .views()
            .filter_map(|(host, view)| Some((view.waiting_of(row.workspace)?, host)))
            .max();
        PoolUpdateRow {
            router: fullest.map_or(0, |(_, host)| host),
            ..row
        }
    }
}
