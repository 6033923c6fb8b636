//! A dispatcher's view of all routers that report to it.

use {
    crate::{
        Grant, Report, WorkspaceRow,
        router_view::{OutstandingGrant, RouterView},
    },
    baobab_unit::{EngineId, HostId, Incarnation, Sequence, Token, Window, WorkspaceId},
    std::{collections::BTreeMap, time::Duration},
};

/// Time without grants to a router that left a grant unacknowledged.
const UNRESPONSIVE_BACKOFF: Duration = Duration::from_secs(2);
/// Time without a report after which a router's counters are dropped.
const COUNTER_RETENTION: Duration = Duration::from_mins(10);

/// Streams, waiting requests and grants of a workspace over all routers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Tally {
    /// Running streams.
    pub running: u32,
    /// Waiting requests of the most urgent class.
    pub waiting_urgent: u32,
    /// Waiting requests of the other classes.
    pub waiting: u32,
    /// Grants not yet acknowledged.
    pub outstanding: u32,
}

impl Tally {
    /// Returns the waiting requests of all classes.
    pub fn waiting_total(&self) -> u32 {
        self.waiting_urgent + self.waiting
    }
}

/// Tokens served between two reports of a router.
#[derive(Debug, Default)]
pub struct ServedTokens {
    /// By workspace.
    pub workspaces: Vec<(WorkspaceId, Token)>,
    /// By engine.
    pub engines: Vec<(EngineId, Token)>,
}

/// All routers, with running totals by workspace and by engine.
#[derive(Debug, Default)]
pub struct Routers {
    views: BTreeMap<HostId, RouterView>,
    tallies: BTreeMap<WorkspaceId, Tally>,
    running: BTreeMap<EngineId, u32>,
    outstanding_by_engine: BTreeMap<EngineId, u32>,
    issued: Sequence,
}

impl Routers {
    /// Returns the view of every router.
    pub fn views(&self) -> impl Iterator<Item = (HostId, &RouterView)> {
        self.views.iter().map(|(host, view)| (*host, view))
    }

    /// Returns the view of every router, mutably.
    pub fn views_mut(&mut self) -> impl Iterator<Item = (HostId, &mut RouterView)> {
        self.views.iter_mut().map(|(host, view)| (*host, view))
    }

    /// Returns the view of a router, or `None` if it is unknown.
    pub fn view(&self, host: HostId) -> Option<&RouterView> {
        self.views.get(&host)
    }

    /// Returns the totals of every workspace.
    pub fn tallies(&self) -> &BTreeMap<WorkspaceId, Tally> {
        &self.tallies
    }

    /// Returns the totals of a workspace.
    pub fn tally(&self, workspace: WorkspaceId) -> Tally {
        self.tallies.get(&workspace).copied().unwrap_or_default()
    }

    /// Returns the number of an engine's slots that a stream or an unacknowledged grant occupies.
    pub fn in_use(&self, engine: EngineId) -> u32 {
        self.running(engine)
            + self
                .outstanding_by_engine
                .get(&engine)
                .copied()
                .unwrap_or_default()
    }

    /// Returns the number of running streams of an engine.
    pub fn running(&self, engine: EngineId) -> u32 {
        self.running.get(&engine).copied().unwrap_or_default()
    }

    /// Applies a report. Returns `None` if it is outdated or its base is not applied here.
    ///
    /// The tokens in the first report of an unknown router are not counted as served: the previous
    /// dispatcher has counted them.
    pub fn apply(
        &mut self,
        now: Duration,
        host: HostId,
        incarnation: Incarnation,
        report: &Report,
        dispatcher_incarnation: Incarnation,
    ) -> Option<ServedTokens> {
        let is_known = self.views.contains_key(&host);
        let view = self.views.entry(host).or_default();
        if incarnation < view.incarnation {
            return None;
        }
        view.last_seen = now;
        view.unresponsive_until = None;
        view.ack_due_since.get_or_insert(now);
        if incarnation > view.incarnation {
            self.restart(host, incarnation);
        }
        let view = self.views.entry(host).or_default();
        if report.number <= view.applied || report.base > view.applied {
            return None;
        }
        view.applied = report.number;
        view.reported_at = report.sent_at;
        view.report_arrived = now;
        if report.base == 0 {
            self.zero_missing_rows(host, report);
        }
        let served = self.apply_rows(host, report, is_known);
        if report.dispatcher_incarnation == dispatcher_incarnation {
            self.acknowledge_grants(host, report.received);
        }
        Some(served)
    }

    /// Records a grant and returns its sequence number.
    pub fn grant(&mut self, now: Duration, host: HostId, grant: Grant) -> Sequence {
        let issued = self.issued;
        self.issued += 1;
        let view = self.views.entry(host).or_insert_with(|| RouterView {
            // A dropped router may return: continuing the numbers keeps it from rejecting new
            // grants as duplicates.
            next_grant: issued,
            ..RouterView::default()
        });
        view.next_grant += 1;
        let number = view.next_grant;
        view.outstanding.insert(
            number,
            OutstandingGrant {
                grant: Grant { number, ..grant },
                issued: now,
                sent: Duration::ZERO,
            },
        );
        *view
            .outstanding_by_workspace
            .entry(grant.workspace)
            .or_default() += 1;
        if view.last_seen.is_zero() {
            view.last_seen = now;
        }
        *self.outstanding_by_engine.entry(grant.engine).or_default() += 1;
        self.tallies.entry(grant.workspace).or_default().outstanding += 1;
        number
    }

    /// Frees the slots of grants that have been unacknowledged for `after`, so long that no router
    /// may use them any more, and returns their number. Their routers get no grants for
    /// `UNRESPONSIVE_BACKOFF` or until their next report.
    pub fn reclaim(&mut self, now: Duration, after: Duration) -> u32 {
        let mut count = 0;
        let hosts: Vec<HostId> = self
            .views
            .iter()
            .filter(|(_, view)| !view.outstanding.is_empty())
            .map(|(host, _)| *host)
            .collect();
        for host in hosts {
            let reclaimed = self.close_grants(host, |entry| now >= entry.issued + after);
            if let (true, Some(view)) = (reclaimed > 0, self.views.get_mut(&host)) {
                view.unresponsive_until = Some(now + UNRESPONSIVE_BACKOFF);
            }
            count += reclaimed;
        }
        count
    }

    /// Clears the rows of routers without a report for `silence`. Their token counters are kept for
    /// `COUNTER_RETENTION`, so that tokens served in the meantime are charged at their next report.
    pub fn drop_silent(&mut self, now: Duration, silence: Duration) {
        let silent: Vec<HostId> = self
            .views
            .iter()
            .filter(|(_, view)| now > view.last_seen + silence && view.applied > 0)
            .map(|(host, _)| *host)
            .collect();
        for host in silent {
            self.clear_router(host);
            if let Some(view) = self.views.get_mut(&host) {
                // Requires a full report next.
                view.applied = 0;
            }
        }
        self.views
            .retain(|_, view| view.applied > 0 || now <= view.last_seen + COUNTER_RETENTION);
    }

    fn restart(&mut self, host: HostId, incarnation: Incarnation) {
        self.clear_router(host);
        let view = self.views.entry(host).or_default();
        view.incarnation = incarnation;
        view.applied = 0;
        view.workspaces.clear();
        view.engines.clear();
    }

    fn apply_rows(&mut self, host: HostId, report: &Report, is_known: bool) -> ServedTokens {
        let mut served = ServedTokens::default();
        for row in &report.workspaces {
            let tokens = self.set_workspace(host, *row);
            if is_known && tokens > 0 {
                served.workspaces.push((row.workspace, tokens));
            }
        }
        for row in &report.streams {
            self.set_streams(host, row.engine, row.workspace, row.running);
        }
        let view = self.views.entry(host).or_default();
        for row in &report.engines {
            let previous = view.engines.insert(row.engine, *row);
            let tokens = row
                .tokens
                .saturating_sub(previous.map_or(0, |row| row.tokens));
            if is_known && tokens > 0 {
                served.engines.push((row.engine, tokens));
            }
        }
        served
    }

    /// Zeroes the rows that a full report omits.
    fn zero_missing_rows(&mut self, host: HostId, report: &Report) {
        let view = self.views.entry(host).or_default();
        let stale_streams: Vec<_> = view
            .streams
            .keys()
            .filter(|(engine, workspace)| {
                !report
                    .streams
                    .iter()
                    .any(|row| row.engine == *engine && row.workspace == *workspace)
            })
            .copied()
            .collect();
        let stale_workspaces: Vec<_> = view
            .workspaces
            .values()
            .filter(|known| {
                !report
                    .workspaces
                    .iter()
                    .any(|row| row.workspace == known.workspace)
            })
            .copied()
            .collect();
        for (engine, workspace) in stale_streams {
            self.set_streams(host, engine, workspace, 0);
        }
        for row in stale_workspaces {
            self.set_workspace(
                host,
                WorkspaceRow {
                    waiting: 0,
                    waiting_urgent: 0,
                    ..row
                },
            );
        }
    }

    /// Clears a router's streams, waiting requests and grants.
    fn clear_router(&mut self, host: HostId) {
        self.clear_rows(host);
        self.close_grants(host, |_| true);
    }

    fn clear_rows(&mut self, host: HostId) {
        let empty = Report {
            pool: 0,
            number: 0,
            base: 0,
            sent_at: Duration::ZERO,
            dispatcher_incarnation: 0,
            received: Window::default(),
            workspaces: Vec::new(),
            streams: Vec::new(),
            engines: Vec::new(),
        };
        self.zero_missing_rows(host, &empty);
    }

    fn set_workspace(&mut self, host: HostId, row: WorkspaceRow) -> Token {
        let view = self.views.entry(host).or_default();
        let previous = view.workspaces.insert(row.workspace, row);
        let tally = self.tallies.entry(row.workspace).or_default();
        if let Some(previous) = previous {
            tally.waiting -= previous.waiting;
            tally.waiting_urgent -= previous.waiting_urgent;
        }
        tally.waiting += row.waiting;
        tally.waiting_urgent += row.waiting_urgent;
        row.tokens
            .saturating_sub(previous.map_or(0, |previous| previous.tokens))
    }

    fn set_streams(&mut self, host: HostId, engine: EngineId, workspace: WorkspaceId, count: u32) {
        let view = self.views.entry(host).or_default();
        let previous = if count == 0 {
            view.streams.remove(&(engine, workspace))
        } else {
            view.streams.insert((engine, workspace), count)
        };
        let previous = previous.unwrap_or_default();
        let tally = self.tallies.entry(workspace).or_default();
        tally.running = tally.running - previous + count;
        let running = self.running.entry(engine).or_default();
        *running = *running - previous + count;
    }

    fn acknowledge_grants(&mut self, host: HostId, received: Window) {
        self.close_grants(host, |entry| received.contains(entry.grant.number));
    }

    fn close_grants(&mut self, host: HostId, is_closed: impl Fn(&OutstandingGrant) -> bool) -> u32 {
        let Some(view) = self.views.get_mut(&host) else {
            return 0;
        };
        let closed: Vec<Grant> = view
            .outstanding
            .values()
            .filter(|entry| is_closed(entry))
            .map(|entry| entry.grant)
            .collect();
        for grant in &closed {
            view.outstanding.remove(&grant.number);
            if let Some(granted) = view.outstanding_by_workspace.get_mut(&grant.workspace) {
                *granted -= 1;
            }
            if let Some(granted) = self.outstanding_by_engine.get_mut(&grant.engine) {
                *granted -= 1;
            }
            if let Some(tally) = self.tallies.get_mut(&grant.workspace) {
                tally.outstanding -= 1;
            }
        }
        baobab_unit::to_u32(closed.len())
    }
}
