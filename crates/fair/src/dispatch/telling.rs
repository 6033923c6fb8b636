//! Messages: grants to routers, and pool updates to the dispatchers of other pools.

use {
    super::{Action, Dispatcher, dispatcher::NEW_FOR, estimate::whole_rate},
    crate::{Grants, PoolUpdate, PoolUpdateRow, Revocation},
    std::time::Duration,
};

impl Dispatcher {
    pub(super) fn send_grants(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let (repeat, valid) = (self.tuning.grant_repeat, self.tuning.grant_valid);
        let pool = self.pool;
        let revocations = std::mem::take(&mut self.revocations);
        for (host, view) in self.routers.views_mut() {
            let grants = view.due_grants(now, repeat, valid);
            let revocations: Vec<Revocation> = revocations
                .iter()
                .filter(|chosen| chosen.router == host)
                .map(|chosen| chosen.revocation)
                .collect();
            let has_news = !grants.is_empty() || !revocations.is_empty();
            if !has_news && !view.is_answer_due(now, self.tuning.answer_delay) {
                continue;
            }
            view.answered();
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
        if !self.told.is_spaced(now, &self.tuning) {
            return;
        }
        let rows = self.update_rows();
        let share_rate = self.share_rate();
        let due = self.told.due(
            now,
            rows,
            self.engines.stream_rate(),
            share_rate,
            &self.tuning,
        );
        if due.is_empty() {
            return;
        }
        let due = due.into_iter().map(|row| self.with_router(row)).collect();
        self.update_number += 1;
        actions.push(Action::PoolUpdate(PoolUpdate {
            pool: self.pool,
            model: self.model,
            number: self.update_number,
            wants_sync: now < self.started + NEW_FOR,
            stream_rate: whole_rate(self.engines.stream_rate()),
            rows: due,
        }));
    }

    pub(super) fn update_rows(&self) -> Vec<(PoolUpdateRow, f64)> {
        self.routers
            .tallies()
            .iter()
            .filter_map(|(workspace, tally)| {
                let weight = f64::from(*self.weights.get(workspace)?);
                let standing = self.standing.of(*workspace);
                let row = PoolUpdateRow {
                    workspace: *workspace,
                    tokens: self.ledger.tokens(self.pool, *workspace),
                    lift: self.ledger.lift(*workspace),
                    running: tally.running + tally.outstanding,
                    waiting_urgent: standing.urgent,
                    waiting: standing.other,
                    router: 0,
                };
                Some((row, weight))
            })
            .collect()
    }

    /// Names the router where most of the workspace's requests wait.
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
