//! What a dispatcher knows of the routers that report to it.

use {
    crate::{
        Grant, Report, WorkspaceRow,
        router_view::{Outstanding, RouterView},
    },
    baobab_unit::{EngineId, HostId, Incarnation, Sequence, Token, Window, WorkspaceId},
    std::{collections::BTreeMap, time::Duration},
};

/// Time that a router which left a grant unanswered gets no other.
const UNRESPONSIVE_FOR: Duration = Duration::from_secs(2);
/// Silence after which a router's counters are forgotten.
const FORGET_AFTER: Duration = Duration::from_mins(10);

/// Streams and waiting requests of a workspace over all routers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Tally {
    /// Streams running.
    pub running: u32,
    /// Waiting requests of the most urgent class.
    pub waiting_urgent: u32,
    /// Waiting requests of the other classes.
    pub waiting: u32,
    /// Grants not yet answered.
    pub outstanding: u32,
}

impl Tally {
    /// Returns all waiting requests.
    pub fn waiting_total(&self) -> u32 {
        self.waiting_urgent + self.waiting
    }
}

/// Tokens served since the last report.
#[derive(Debug, Default)]
pub struct Growth {
    /// By workspace.
    pub workspaces: Vec<(WorkspaceId, Token)>,
    /// By engine.
    pub engines: Vec<(EngineId, Token)>,
}

/// All routers, with sums kept up to date.
#[derive(Debug, Default)]
pub struct Routers {
    views: BTreeMap<HostId, RouterView>,
    tallies: BTreeMap<WorkspaceId, Tally>,
    running: BTreeMap<EngineId, u32>,
    granted: BTreeMap<EngineId, u32>,
    issued: Sequence,
}

impl Routers {
    /// Returns every router.
    pub fn views(&self) -> impl Iterator<Item = (HostId, &RouterView)> {
        self.views.iter().map(|(host, view)| (*host, view))
    }

    /// Returns every router, to be changed.
    pub fn views_mut(&mut self) -> impl Iterator<Item = (HostId, &mut RouterView)> {
        self.views.iter_mut().map(|(host, view)| (*host, view))
    }

    /// Returns one router.
    pub fn view(&self, host: HostId) -> Option<&RouterView> {
        self.views.get(&host)
    }

    /// Returns the sums of every workspace.
    pub fn tallies(&self) -> &BTreeMap<WorkspaceId, Tally> {
        &self.tallies
    }

    /// Returns the sums of a workspace.
    pub fn tally(&self, workspace: WorkspaceId) -> Tally {
        self.tallies.get(&workspace).copied().unwrap_or_default()
    }

    /// Returns the slots of an engine that run a stream or are granted.
    pub fn in_use(&self, engine: EngineId) -> u32 {
        self.running(engine) + self.granted.get(&engine).copied().unwrap_or_default()
    }

    /// Returns the streams that run on an engine.
    pub fn running(&self, engine: EngineId) -> u32 {
        self.running.get(&engine).copied().unwrap_or_default()
    }

    /// Applies a report. `None` means that it was older than what is known or can't be applied.
    ///
    /// The tokens in the first report of a router not known before don't count as served now: they
    /// were counted by the dispatcher before this one.
    pub fn apply(
        &mut self,
        now: Duration,
        host: HostId,
        incarnation: Incarnation,
        report: &Report,
        dispatcher_incarnation: Incarnation,
    ) -> Option<Growth> {
        let known = self.views.contains_key(&host);
        let view = self.views.entry(host).or_default();
        if incarnation < view.incarnation {
            return None;
        }
        view.heard = now;
        view.unresponsive_until = None;
        view.answer_due.get_or_insert(now);
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
            self.clear_missing(host, report);
        }
        let growth = self.apply_rows(host, report, known);
        if report.dispatcher_incarnation == dispatcher_incarnation {
            self.answer_grants(host, report.received);
        }
        Some(growth)
    }

    /// Records a grant.
    pub fn grant(&mut self, now: Duration, host: HostId, grant: Grant) -> Sequence {
        let issued = self.issued;
        self.issued += 1;
        let view = self.views.entry(host).or_insert_with(|| RouterView {
            // A router that was forgotten must not take new numbers for old ones.
            next_grant: issued,
            ..RouterView::default()
        });
        view.next_grant += 1;
        let number = view.next_grant;
        view.outstanding.insert(
            number,
            Outstanding {
                grant: Grant { number, ..grant },
                issued: now,
                sent: Duration::ZERO,
            },
        );
        *view.granted.entry(grant.workspace).or_default() += 1;
        if view.heard.is_zero() {
            view.heard = now;
        }
        *self.granted.entry(grant.engine).or_default() += 1;
        self.tallies.entry(grant.workspace).or_default().outstanding += 1;
        number
    }

    /// Frees the slots of grants that were not answered for so long that nobody may use them.
    /// Their routers get no further ones for a while, or until they report again.
    pub fn reclaim(&mut self, now: Duration, after: Duration) -> u32 {
        let mut count = 0;
        let hosts: Vec<HostId> = self
            .views
            .iter()
            .filter(|(_, view)| !view.outstanding.is_empty())
            .map(|(host, _)| *host)
            .collect();
        for host in hosts {
            let reclaimed = self.resolve(host, |entry| now >= entry.issued + after);
            if let (true, Some(view)) = (reclaimed > 0, self.views.get_mut(&host)) {
                view.unresponsive_until = Some(now + UNRESPONSIVE_FOR);
            }
            count += reclaimed;
        }
        count
    }

    /// Clears the rows of routers that were silent for too long. Their token counters are kept for
    /// a while, so that what they served in the meantime is charged when they are heard again.
    pub fn drop_silent(&mut self, now: Duration, silence: Duration) {
        let silent: Vec<HostId> = self
            .views
            .iter()
            .filter(|(_, view)| now > view.heard + silence && view.applied > 0)
            .map(|(host, _)| *host)
            .collect();
        for host in silent {
            self.release(host);
            if let Some(view) = self.views.get_mut(&host) {
                // The next report has to be a full one.
                view.applied = 0;
            }
        }
        self.views
            .retain(|_, view| view.applied > 0 || now <= view.heard + FORGET_AFTER);
    }

    fn restart(&mut self, host: HostId, incarnation: Incarnation) {
        self.release(host);
        let view = self.views.entry(host).or_default();
        view.incarnation = incarnation;
        view.applied = 0;
        view.workspaces.clear();
        view.engines.clear();
    }

    fn apply_rows(&mut self, host: HostId, report: &Report, count: bool) -> Growth {
        let mut growth = Growth::default();
        for row in &report.workspaces {
            let tokens = self.set_workspace(host, *row);
            if count && tokens > 0 {
                growth.workspaces.push((row.workspace, tokens));
            }
        }
        for row in &report.streams {
            self.set_streams(host, row.engine, row.workspace, row.running);
        }
        let view = self.views.entry(host).or_default();
        for row in &report.engines {
            let before = view.engines.insert(row.engine, *row);
            let tokens = row
                .tokens
                .saturating_sub(before.map_or(0, |row| row.tokens));
            if count && tokens > 0 {
                growth.engines.push((row.engine, tokens));
            }
        }
        growth
    }

    /// A full report names every row; what it doesn't name is zero.
    fn clear_missing(&mut self, host: HostId, report: &Report) {
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

    /// Frees everything that a router holds: its streams, its waiting requests and its grants.
    fn release(&mut self, host: HostId) {
        self.clear_rows(host);
        self.resolve(host, |_| true);
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
        self.clear_missing(host, &empty);
    }

    fn set_workspace(&mut self, host: HostId, row: WorkspaceRow) -> Token {
        let view = self.views.entry(host).or_default();
        let before = view.workspaces.insert(row.workspace, row);
        let tally = self.tallies.entry(row.workspace).or_default();
        if let Some(before) = before {
            tally.waiting -= before.waiting;
            tally.waiting_urgent -= before.waiting_urgent;
        }
        tally.waiting += row.waiting;
        tally.waiting_urgent += row.waiting_urgent;
        row.tokens
            .saturating_sub(before.map_or(0, |before| before.tokens))
    }

    fn set_streams(&mut self, host: HostId, engine: EngineId, workspace: WorkspaceId, count: u32) {
        let view = self.views.entry(host).or_default();
        let before = if count == 0 {
            view.streams.remove(&(engine, workspace))
        } else {
            view.streams.insert((engine, workspace), count)
        };
        let before = before.unwrap_or_default();
        let tally = self.tallies.entry(workspace).or_default();
        tally.running = tally.running - before + count;
        let running = self.running.entry(engine).or_default();
        *running = *running - before + count;
    }

    fn answer_grants(&mut self, host: HostId, received: Window) {
        self.resolve(host, |entry| received.contains(entry.grant.number));
    }

    fn resolve(&mut self, host: HostId, is_over: impl Fn(&Outstanding) -> bool) -> u32 {
        let Some(view) = self.views.get_mut(&host) else {
            return 0;
        };
        let over: Vec<Grant> = view
            .outstanding
            .values()
            .filter(|entry| is_over(entry))
            .map(|entry| entry.grant)
            .collect();
        for grant in &over {
            view.outstanding.remove(&grant.number);
            if let Some(granted) = view.granted.get_mut(&grant.workspace) {
                *granted -= 1;
            }
            if let Some(granted) = self.granted.get_mut(&grant.engine) {
                *granted -= 1;
            }
            if let Some(tally) = self.tallies.get_mut(&grant.workspace) {
                tally.outstanding -= 1;
            }
        }
        baobab_unit::to_u32(over.len())
    }
}
