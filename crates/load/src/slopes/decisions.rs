//! Measures the dispatcher's decisions in one process, without sockets.

use {
    super::SlopeTable,
    baobab_fair::{
        Action, Dispatcher, EngineRow, EngineSlots, Grants, Ledger, PoolState, Reporter, StreamRow,
        Tuning, WorkspaceRow, WorkspaceWeight,
    },
    baobab_unit::{EngineId, WorkspaceId},
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
};

const WORKSPACES: [u32; 5] = [16, 50, 150, 500, 1500];
const ROUTERS: [u32; 5] = [6, 25, 60, 120, 350];
const ENGINES: [u32; 5] = [6, 20, 75, 200, 600];
/// Slots per engine, at the size planned for the next two years.
const SLOTS_PER_ENGINE: u32 = 280;
/// Time between dispatcher rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(10);
const MEASURED_ROUNDS: u32 = 200;
/// Unmeasured rounds until all slots are in use.
const WARM_UP_ROUNDS: u32 = 100;
/// Lifetime of a stream, in rounds.
const STREAM_ROUNDS: u32 = 500;
const DISPATCHER_ID: u32 = 1_000_000;

/// Size of a pool.
#[derive(Debug, Clone, Copy)]
struct PoolSize {
    workspaces: u32,
    routers: u32,
    engines: u32,
}

/// Cost of a pool's dispatcher.
struct PoolCost {
    round_us: f64,
    report_us: f64,
    memory_mb: f64,
}

/// Measures decisions by workspaces, routers and engines, and counter merges.
pub fn measure() -> Vec<SlopeTable> {
    // Planned pool size: 600 engines over 8 models and 6 domains, 350 hosts over 6 domains.
    let standard = PoolSize {
        workspaces: 150,
        routers: 58,
        engines: 13,
    };
    let mut tables = Vec::new();
    tables.extend(measure_series("workspaces", &WORKSPACES, |workspaces| {
        PoolSize {
            workspaces,
            ..standard
        }
    }));
    tables.extend(measure_series("routers", &ROUTERS, |routers| PoolSize {
        routers,
        ..standard
    }));
    tables.extend(measure_series("engines", &ENGINES, |engines| PoolSize {
        engines,
        ..standard
    }));
    tables.push(merge_costs());
    tables
}

fn measure_series(
    unit: &str,
    sizes: &[u32],
    pool_size: impl Fn(u32) -> PoolSize,
) -> Vec<SlopeTable> {
    let name = |what: &str| format!("{what}-by-{unit}");
    let mut rounds = SlopeTable::new(
        &name("round"),
        &format!("A dispatcher's round, by {unit}"),
        unit,
        "microseconds",
    );
    let mut reports = SlopeTable::new(
        &name("report"),
        &format!("Taking a report in, by {unit}"),
        unit,
        "microseconds",
    );
    let mut memory = SlopeTable::new(
        &name("dispatcher-memory"),
        &format!("Memory of a dispatcher and its routers' reporters, by {unit}"),
        unit,
        "MB",
    );
    for size in sizes {
        let cost = simulate_pool(pool_size(*size));
        rounds.add(f64::from(*size), cost.round_us);
        reports.add(f64::from(*size), cost.report_us);
        memory.add(f64::from(*size), cost.memory_mb);
    }
    vec![rounds, reports, memory]
}

/// Simulated router: requests of every workspace wait, and some of its streams end in each round.
struct SimulatedRouter {
    host: u32,
    reporter: Reporter,
    tokens: u64,
    running: BTreeMap<(EngineId, WorkspaceId), u32>,
}

impl SimulatedRouter {
    fn state(&mut self, size: PoolSize) -> PoolState {
        self.tokens += 3;
        PoolState {
            workspaces: (0..size.workspaces)
                .map(|workspace| WorkspaceRow {
                    workspace,
                    waiting_urgent: 0,
                    waiting: 10,
                    tokens: self.tokens,
                })
                .collect(),
            streams: self
                .running
                .iter()
                .map(|((engine, workspace), running)| StreamRow {
                    engine: *engine,
                    workspace: *workspace,
                    running: *running,
                })
                .collect(),
            engines: (0..size.engines)
                .map(|engine| EngineRow {
                    engine,
                    tokens: self.tokens,
                    failing: false,
                })
                .collect(),
            is_home: true,
        }
    }

    fn receive(&mut self, now: Duration, grants: &Grants) {
        let received = self.reporter.on_grants(now, DISPATCHER_ID, 1, 1, grants);
        for grant in received.grants {
            let slot = (grant.engine, grant.workspace);
            *self.running.entry(slot).or_default() += 1;
        }
    }

    /// Ends one stream of every `STREAM_ROUNDS`th engine and workspace; the round selects which.
    fn end_streams(&mut self, round: u32) {
        for (index, running) in (0_u32..).zip(self.running.values_mut()) {
            if (index + round).is_multiple_of(STREAM_ROUNDS) {
                *running = running.saturating_sub(1);
            }
        }
        self.running.retain(|_, running| *running > 0);
    }
}

fn simulate_pool(size: PoolSize) -> PoolCost {
    let before = resident_bytes();
    let mut now = Duration::from_secs(1);
    let mut dispatcher = start_dispatcher(now, size);
    let mut routers: Vec<SimulatedRouter> = (0..size.routers)
        .map(|host| {
            let mut reporter = Reporter::start(1);
            reporter.set_dispatcher(Some(DISPATCHER_ID));
            SimulatedRouter {
                host,
                reporter,
                tokens: 0,
                running: BTreeMap::new(),
            }
        })
        .collect();
    let mut report_time = Duration::ZERO;
    let mut reports = 0_u32;
    let mut round_time = Duration::ZERO;
    for round in 0..WARM_UP_ROUNDS + MEASURED_ROUNDS {
        now += ROUND_INTERVAL;
        let is_measured = round >= WARM_UP_ROUNDS;
        for router in &mut routers {
            router.end_streams(round);
            let state = router.state(size);
            let Some(report) = router.reporter.report(now, state) else {
                continue;
            };
            let started = Instant::now();
            dispatcher.on_report(now, router.host, 1, &report);
            if is_measured {
                report_time += started.elapsed();
                reports += 1;
            }
        }
        let started = Instant::now();
        let actions = dispatcher.tick(now);
        if is_measured {
            round_time += started.elapsed();
        }
        for action in actions {
            if let Action::Grants { to, grants } = action
                && let Some(router) = routers.iter_mut().find(|router| router.host == to)
            {
                router.receive(now, &grants);
            }
        }
    }
    let memory = resident_bytes().saturating_sub(before);
    PoolCost {
        round_us: round_time.as_secs_f64() * 1e6 / f64::from(MEASURED_ROUNDS),
        report_us: report_time.as_secs_f64() * 1e6 / f64::from(reports.max(1)),
        memory_mb: memory as f64 / 1e6,
    }
}

fn start_dispatcher(now: Duration, size: PoolSize) -> Dispatcher {
    let mut dispatcher = Dispatcher::start(now, 1, 1, 1, Tuning::default());
    let weights: Vec<WorkspaceWeight> = (0..size.workspaces)
        .map(|workspace| WorkspaceWeight {
            workspace,
            weight: 1 + workspace % 8,
        })
        .collect();
    let engines: Vec<EngineSlots> = (0..size.engines)
        .map(|engine| EngineSlots {
            engine,
            slots: SLOTS_PER_ENGINE,
            leaving: false,
        })
        .collect();
    dispatcher.set_workspaces(&weights);
    dispatcher.set_engines(&engines);
    dispatcher
}

fn merge_costs() -> SlopeTable {
    let mut table = SlopeTable::new(
        "merge-by-workspaces",
        "Merging a counter of every workspace",
        "workspaces",
        "microseconds",
    );
    for workspaces in WORKSPACES {
        let mut ledger = Ledger::default();
        let started = Instant::now();
        for round in 0..u64::from(MEASURED_ROUNDS) {
            for workspace in 0..workspaces {
                ledger.merge_tokens(1, workspace, round * 100);
            }
        }
        let each_us = started.elapsed().as_secs_f64() * 1e6 / f64::from(MEASURED_ROUNDS);
        table.add(f64::from(workspaces), each_us);
    }
    table
}

/// Resident memory of this process, from `/proc/self/statm`; zero if it can't be read.
fn resident_bytes() -> u64 {
    const PAGE_BYTES: u64 = 4096;
    std::fs::read_to_string("/proc/self/statm")
        .ok()
        .and_then(|text| text.split_whitespace().nth(1)?.parse::<u64>().ok())
        .map_or(0, |pages| pages * PAGE_BYTES)
}
