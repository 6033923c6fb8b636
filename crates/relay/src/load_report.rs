//! Periodic report of this router's own load, for the logs.

use {
    crate::core::Core,
    baobab_overload::Counts,
    baobab_unit::{WorkspaceId, id_of, millis},
    std::time::Duration,
};

/// Counters at one time.
#[derive(Debug, Clone, Copy, Default)]
struct Counters {
    at: Duration,
    idle: Duration,
    accepted: u64,
    accept_turns: u64,
    turned_away: u64,
    placed: u64,
    examined: u64,
}

impl Counters {
    fn of(core: &Core) -> Self {
        let examined = core.placer.borrow().examined();
        core.metrics
            .load
            .examined
            .inc_by(examined - core.metrics.load.examined.get());
        Self {
            at: core.now(),
            idle: core.idle_time.total(),
            accepted: core.metrics.load.accepted.get(),
            accept_turns: core.metrics.load.accept_turns.get(),
            turned_away: core.metrics.load.turned_away.get(),
            placed: core.metrics.load.placements.get(),
            examined,
        }
    }
}

/// Reports what happened since the last report.
#[derive(Debug, Default)]
pub struct LoadReport {
    last: Counters,
}

impl LoadReport {
    /// Updates the metrics, and logs the load if requests were refused because of it or connections wait.
    pub fn report(&mut self, core: &Core) {
        let counters = Counters::of(core);
        let last = std::mem::replace(&mut self.last, counters);
        let elapsed = counters.at.saturating_sub(last.at);
        let idle = counters.idle.saturating_sub(last.idle);
        #[allow(clippy::cast_possible_truncation)]
        let idle_percent =
            (idle.div_duration_f64(elapsed.max(Duration::from_millis(1))) * 100.0) as i64;
        core.metrics.load.idle_percent.set(idle_percent);
        let refusals = core.arrivals.borrow_mut().take_report();
        let unread = core.metrics.load.unread_connections.get();
        let is_busy = counters.turned_away > last.turned_away || unread > 0;
        if refusals.is_empty() && !is_busy {
            return;
        }
        log::info!(
            idle_percent,
            unread,
            unread_wait_ms = millis(core.unread.borrow().wait(counters.at)),
            accepted = counters.accepted - last.accepted,
            accept_turns = counters.accept_turns - last.accept_turns,
            turned_away = counters.turned_away - last.turned_away,
            placed = counters.placed - last.placed,
            examined = counters.examined - last.examined,
            shed_percent = core.metrics.shed_percent.get(),
            mean_delay_ms = millis(core.overload.borrow().mean_delay()),
            under_way = core.in_flight.get();
            "load of this router"
        );
        log_refusals(core, refusals);
    }
}

/// Logs whose requests were refused because of this router's load, beside what their workspaces get over all
/// routers.
fn log_refusals(core: &Core, refusals: Vec<(WorkspaceId, Counts)>) {
    let (configuration, _) = core.configuration();
    let keys = configuration.as_ref().and_then(|it| it.keys.as_ref());
    let shed_percent = core.metrics.shed_percent.get();
    let shares = core.shares.borrow();
    for (workspace, counts) in refusals {
        let name = keys
            .and_then(|keys| keys.values().find(|it| id_of(&it.name) == workspace))
            .map_or("-", |it| it.name.as_str());
        let basis = shares.basis(workspace);
        log::info!(
            workspace = name,
            arrived = counts.arrived,
            refused = counts.refused,
            shed_percent,
            share = basis.share,
            requested = basis.total.requested,
            served = basis.total.served;
            "requests are refused unread because of this router's load"
        );
    }
}
