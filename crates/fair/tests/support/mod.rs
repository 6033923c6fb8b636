//! A dispatcher and its routers with scripted deliveries.

#![allow(dead_code)]

use {
    baobab_fair::{
        Action, Dispatcher, EngineRow, EngineSlots, Grant, PoolState, Reporter, StreamRow, Tuning,
        WorkspaceRow, WorkspaceWeight,
    },
    baobab_unit::{EngineId, HostId, Incarnation, PoolId, Token, WorkspaceId},
    std::{collections::BTreeMap, time::Duration},
};

pub const POOL: PoolId = 1;
pub const MODEL: u32 = 1;
pub const DISPATCHER_HOST: HostId = 100;
pub const STEP: Duration = Duration::from_millis(10);
const STREAM_RATE: f64 = 20.0;

/// A running stream.
#[derive(Debug, Clone, Copy)]
struct Running {
    engine: EngineId,
    workspace: WorkspaceId,
    started: Duration,
    ends: Duration,
}

/// One router: its queue, its streams and its reporter.
#[derive(Debug)]
pub struct FakeRouter {
    pub host: HostId,
    pub incarnation: Incarnation,
    pub reporter: Reporter,
    pub waiting: BTreeMap<WorkspaceId, u32>,
    pub is_home: bool,
    /// Whether messages pass in both directions.
    pub is_connected: bool,
    pub declined: u32,
    running: Vec<Running>,
    tokens: BTreeMap<WorkspaceId, Token>,
    engine_tokens: BTreeMap<EngineId, Token>,
}

impl FakeRouter {
    pub fn new(host: HostId) -> Self {
        let mut reporter = Reporter::start(POOL);
        reporter.set_dispatcher(Some(DISPATCHER_HOST));
        Self {
            host,
            incarnation: 1,
            reporter,
            waiting: BTreeMap::new(),
            is_home: true,
            is_connected: true,
            declined: 0,
            running: Vec::new(),
            tokens: BTreeMap::new(),
            engine_tokens: BTreeMap::new(),
        }
    }

    pub fn streams(&self) -> usize {
        self.running.len()
    }

    pub fn streams_on(&self, engine: EngineId) -> usize {
        self.running
            .iter()
            .filter(|stream| stream.engine == engine)
            .count()
    }

    pub fn tokens(&self, workspace: WorkspaceId) -> Token {
        self.tokens.get(&workspace).copied().unwrap_or_default()
    }

    fn state(&self) -> PoolState {
        let mut rows: BTreeMap<WorkspaceId, WorkspaceRow> = BTreeMap::new();
        let empty = |workspace| WorkspaceRow {
            workspace,
            waiting_urgent: 0,
            waiting: 0,
            tokens: 0,
        };
        for (workspace, tokens) in &self.tokens {
            rows.entry(*workspace)
                .or_insert_with(|| empty(*workspace))
                .tokens = *tokens;
        }
        for (workspace, count) in self.waiting.iter().filter(|_| self.is_home) {
            rows.entry(*workspace)
                .or_insert_with(|| empty(*workspace))
                .waiting = *count;
        }
        let mut streams: BTreeMap<(EngineId, WorkspaceId), u32> = BTreeMap::new();
        for stream in &self.running {
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
                .map(|(engine, tokens)| EngineRow {
                    engine: *engine,
                    tokens: *tokens,
                    failing: false,
                })
                .collect(),
            is_home: self.is_home,
        }
    }

    fn start(&mut self, now: Duration, grant: &Grant, length: Duration) {
        let left = self.waiting.entry(grant.workspace).or_default();
        if *left == 0 {
            self.declined += 1;
            return;
        }
        *left -= 1;
        self.running.push(Running {
            engine: grant.engine,
            workspace: grant.workspace,
            started: now,
            ends: now + length,
        });
    }

    fn run(&mut self, now: Duration) {
        for stream in &self.running {
            let until = now.min(stream.ends) - stream.started;
            let before = until.saturating_sub(STEP);
            let tokens = whole(until) - whole(before);
            *self.tokens.entry(stream.workspace).or_default() += tokens;
            *self.engine_tokens.entry(stream.engine).or_default() += tokens;
        }
        self.running.retain(|stream| stream.ends > now);
    }
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn whole(time: Duration) -> Token {
    (time.as_secs_f64() * STREAM_RATE) as Token
}

/// A dispatcher with routers that it reaches without delay, unless they are disconnected.
pub struct Bench {
    pub now: Duration,
    pub dispatcher: Dispatcher,
    pub dispatcher_incarnation: Incarnation,
    pub routers: Vec<FakeRouter>,
    /// Length of every stream that is started.
    pub length: Duration,
}

impl Bench {
    pub fn start(engines: &[EngineSlots], weights: &[WorkspaceWeight], routers: u32) -> Self {
        let mut bench = Self {
            now: Duration::from_secs(10),
            dispatcher: new_dispatcher(Duration::from_secs(10), 1),
            dispatcher_incarnation: 1,
            routers: (1..=routers).map(FakeRouter::new).collect(),
            length: Duration::from_secs(2),
        };
        bench.dispatcher.set_engines(engines);
        bench.dispatcher.set_workspaces(weights);
        bench.dispatcher.set_urgent_reserve(0);
        bench
    }

    pub fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    pub fn step(&mut self) {
        self.now += STEP;
        for router in &mut self.routers {
            router.run(self.now);
            let state = router.state();
            let report = router.reporter.report(self.now, state);
            if let (Some(report), true) = (report, router.is_connected) {
                self.dispatcher
                    .on_report(self.now, router.host, router.incarnation, &report);
            }
        }
        for action in self.dispatcher.tick(self.now) {
            self.deliver(&action);
        }
    }

    pub fn streams(&self) -> usize {
        self.routers.iter().map(FakeRouter::streams).sum()
    }

    fn deliver(&mut self, action: &Action) {
        let Action::Grants { to, grants } = action else {
            return;
        };
        let router = self
            .routers
            .iter_mut()
            .find(|router| router.host == *to && router.is_connected);
        let Some(router) = router else {
            return;
        };
        let fresh = router.reporter.on_grants(
            self.now,
            DISPATCHER_HOST,
            self.dispatcher_incarnation,
            router.incarnation,
            grants,
        );
        for grant in fresh {
            router.start(self.now, &grant, self.length);
        }
    }
}

pub fn new_dispatcher(now: Duration, incarnation: Incarnation) -> Dispatcher {
    Dispatcher::start(now, POOL, MODEL, incarnation, Tuning::default())
}

pub fn engines(count: u32, slots: u32) -> Vec<EngineSlots> {
    (1..=count)
        .map(|engine| EngineSlots {
            engine,
            slots,
            leaving: false,
        })
        .collect()
}

pub fn weights(list: &[(WorkspaceId, u32)]) -> Vec<WorkspaceWeight> {
    list.iter()
        .map(|(workspace, weight)| WorkspaceWeight {
            workspace: *workspace,
            weight: *weight,
        })
        .collect()
}
