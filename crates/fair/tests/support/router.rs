//! A simulated router with its queues, streams and reporters.

use {
    super::{STEP, STREAM_RATE, network::Message},
    baobab_fair::{
        EngineRow, Grant, PoolState, Report, Reporter, Revocation, StreamRow, WorkspaceRow,
    },
    baobab_unit::{EngineId, HostId, Incarnation, PoolId, Token, WorkspaceId},
    std::{collections::BTreeMap, time::Duration},
};

#[derive(Debug, Clone, Copy)]
struct Stream {
    pool: PoolId,
    engine: EngineId,
    workspace: WorkspaceId,
    started: Duration,
    ends: Duration,
}

/// Waiting requests of a workspace.
#[derive(Debug, Clone, Copy, Default)]
pub struct Waiting {
    pub urgent: u32,
    pub other: u32,
}

pub struct FakeRouter {
    pub host: HostId,
    pub domain: u32,
    pub incarnation: Incarnation,
    pub waiting: BTreeMap<WorkspaceId, Waiting>,
    /// Duration of newly started streams.
    pub stream_length: Duration,
    pub is_paused: bool,
    pub inbox: Vec<(HostId, Message)>,
    pub declined: u32,
    pub revoked: u32,
    /// Start time, workspace and engine of every started stream.
    pub started: Vec<(Duration, WorkspaceId, EngineId)>,
    reporters: BTreeMap<PoolId, Reporter>,
    streams: Vec<Stream>,
    tokens: BTreeMap<(PoolId, WorkspaceId), Token>,
    engine_tokens: BTreeMap<(PoolId, EngineId), Token>,
}

impl FakeRouter {
    pub fn new(host: HostId, domain: u32, pools: &[PoolId]) -> Self {
        Self {
            host,
            domain,
            incarnation: 1,
            waiting: BTreeMap::new(),
            stream_length: Duration::from_secs(2),
            is_paused: false,
            inbox: Vec::new(),
            declined: 0,
            revoked: 0,
            started: Vec::new(),
            reporters: pools
                .iter()
                .map(|pool| (*pool, Reporter::start(*pool)))
                .collect(),
            streams: Vec::new(),
            tokens: BTreeMap::new(),
            engine_tokens: BTreeMap::new(),
        }
    }

    /// Restarts the router: its state is empty and its incarnation increases.
    pub fn restart(&mut self) {
        let pools: Vec<PoolId> = self.reporters.keys().copied().collect();
        let incarnation = self.incarnation + 1;
        let dispatchers: Vec<_> = self
            .reporters
            .iter()
            .map(|(pool, reporter)| (*pool, reporter.dispatcher()))
            .collect();
        *self = Self::new(self.host, self.domain, &pools);
        self.incarnation = incarnation;
        for (pool, host) in dispatchers {
            self.set_dispatcher(pool, host.expect("a known dispatcher"));
        }
    }

    pub fn set_dispatcher(&mut self, pool: PoolId, host: HostId) {
        if let Some(reporter) = self.reporters.get_mut(&pool) {
            reporter.set_dispatcher(Some(host));
        }
    }

    pub fn add(&mut self, workspace: WorkspaceId, other: u32) {
        self.waiting.entry(workspace).or_default().other += other;
    }

    pub fn add_urgent(&mut self, workspace: WorkspaceId, urgent: u32) {
        self.waiting.entry(workspace).or_default().urgent += urgent;
    }

    pub fn waiting_total(&self, workspace: WorkspaceId) -> u32 {
        let waiting = self.waiting.get(&workspace).copied().unwrap_or_default();
        waiting.urgent + waiting.other
    }

    pub fn streams(&self) -> usize {
        self.streams.len()
    }

    pub fn streams_in(&self, pool: PoolId) -> usize {
        self.streams
            .iter()
            .filter(|stream| stream.pool == pool)
            .count()
    }

    pub fn streams_of(&self, workspace: WorkspaceId) -> usize {
        self.streams
            .iter()
            .filter(|stream| stream.workspace == workspace)
            .count()
    }

    pub fn tokens(&self, workspace: WorkspaceId) -> Token {
        self.tokens
            .iter()
            .filter(|((_, other), _)| *other == workspace)
            .map(|(_, tokens)| tokens)
            .sum()
    }

    /// Returns the due reports, each with its pool and the host that the router takes for the
    /// pool's dispatcher.
    pub fn reports(&mut self, now: Duration) -> Vec<(PoolId, HostId, Report)> {
        let pools: Vec<PoolId> = self.reporters.keys().copied().collect();
        let mut reports = Vec::new();
        for pool in pools {
            let state = self.state(pool);
            let reporter = self.reporters.get_mut(&pool).expect("a reporter per pool");
            let to = reporter.dispatcher().expect("a known dispatcher");
            let report = reporter.report(now, state);
            reports.extend(report.map(|report| (pool, to, report)));
        }
        reports
    }

    pub fn receive(&mut self, now: Duration, from: HostId, message: &Message) {
        let Message::Grants(incarnation, grants) = message else {
            return;
        };
        let Some(reporter) = self.reporters.get_mut(&grants.pool) else {
            return;
        };
        let received = reporter.on_grants(now, from, *incarnation, self.incarnation, grants);
        for grant in received.grants {
            self.start(now, grants.pool, &grant);
        }
        for revocation in received.revocations {
            self.revoke(revocation);
        }
    }

    pub fn run(&mut self, now: Duration) {
        for stream in &self.streams {
            let until = now.min(stream.ends).saturating_sub(stream.started);
            let tokens = whole_tokens(until) - whole_tokens(until.saturating_sub(STEP));
            let workspace = (stream.pool, stream.workspace);
            *self.tokens.entry(workspace).or_default() += tokens;
            let engine = (stream.pool, stream.engine);
            *self.engine_tokens.entry(engine).or_default() += tokens;
        }
        self.streams.retain(|stream| stream.ends > now);
    }

    fn start(&mut self, now: Duration, pool: PoolId, grant: &Grant) {
        let waiting = self.waiting.entry(grant.workspace).or_default();
        if waiting.urgent > 0 {
            waiting.urgent -= 1;
        } else if waiting.other > 0 && !grant.urgent_only {
            waiting.other -= 1;
        } else {
            self.declined += 1;
            return;
        }
        self.started.push((now, grant.workspace, grant.engine));
        self.streams.push(Stream {
            pool,
            engine: grant.engine,
            workspace: grant.workspace,
            started: now,
            ends: now + self.stream_length,
        });
    }

    /// Stops the youngest stream of the workspace on the engine and queues its request again.
    fn revoke(&mut self, revocation: Revocation) {
        let youngest = self
            .streams
            .iter()
            .enumerate()
            .filter(|(_, stream)| {
                stream.engine == revocation.engine && stream.workspace == revocation.workspace
            })
            .max_by_key(|(_, stream)| stream.started)
            .map(|(index, _)| index);
        if let Some(index) = youngest {
            self.streams.remove(index);
            self.add(revocation.workspace, 1);
            self.revoked += 1;
        }
    }

    fn state(&self, pool: PoolId) -> PoolState {
        let mut rows: BTreeMap<WorkspaceId, WorkspaceRow> = BTreeMap::new();
        let empty = |workspace| WorkspaceRow {
            workspace,
            waiting_urgent: 0,
            waiting: 0,
            tokens: 0,
        };
        for ((other, workspace), tokens) in &self.tokens {
            if *other == pool {
                rows.entry(*workspace)
                    .or_insert_with(|| empty(*workspace))
                    .tokens = *tokens;
            }
        }
        let is_home = pool == self.domain;
        for (workspace, waiting) in self.waiting.iter().filter(|_| is_home) {
            let row = rows.entry(*workspace).or_insert_with(|| empty(*workspace));
            row.waiting = waiting.other;
            row.waiting_urgent = waiting.urgent;
        }
        let mut streams: BTreeMap<(EngineId, WorkspaceId), u32> = BTreeMap::new();
        for stream in self.streams.iter().filter(|stream| stream.pool == pool) {
            *streams
                .entry((stream.engine, stream.workspace))
                .or_default() += 1;
        }
        PoolState {
            workspaces: rows.into_values().collect(),
            streams: streams
                .into_iter()
                .map(|((engine, workspace), running)| StreamRow {
                    engine,
                    workspace,
                    running,
                })
                .collect(),
            engines: self
                .engine_tokens
                .iter()
                .filter(|((other, _), _)| *other == pool)
                .map(|((_, engine), tokens)| EngineRow {
                    engine: *engine,
                    tokens: *tokens,
                    failing: false,
                })
                .collect(),
            is_home,
        }
    }
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn whole_tokens(time: Duration) -> Token {
    (time.as_secs_f64() * STREAM_RATE) as Token
}
