//! The dispatcher's decisions alone, without sockets.

use {
    super::Table,
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
/// Slots of an engine at the size of the next two years.
const SLOTS: u32 = 280;
/// Time between two rounds.
const ROUND: Duration = Duration::from_millis(10);
const ROUNDS: u32 = 200;
/// Rounds until all slots are in use.
const WARM_UP_ROUNDS: u32 = 100;
/// Rounds that a stream lasts.
const STREAM_ROUNDS: u32 = 500;
const DISPATCHER: u32 = 1_000_000;

/// The size of a pool.
#[derive(Debug, Clone, Copy)]
struct Size {
    workspaces: u32,
    routers: u32,
    engines: u32,
}

/// What a dispatcher of such a pool costs.
struct Cost {
    round_us: f64,
    report_us: f64,
    memory_mb: f64,
}

/// Measures all.
pub fn measure() -> Vec<Table> {
    // A pool of today's plan: 600 engines are 8 models in 6 domains, 350 nodes are 58 a domain.
    let standard = Size {
        workspaces: 150,
        routers: 58,
        engines: 13,
    };
    let mut tables = Vec::new();
    tables.extend(series("workspaces", &WORKSPACES, |workspaces| Size {
        workspaces,
        ..standard
    }));
    tables.extend(series("routers", &ROUTERS, |routers| Size {
        routers,
        ..standard
    }));
    tables.extend(series("engines", &ENGINES, |engines| Size {
        engines,
        ..standard
    }));
    tables.push(merges());
    tables
}

fn series(unit: &str, sizes: &[u32], size_of: impl Fn(u32) -> Size) -> Vec<Table> {
    let name = |what: &str| format!("{what}-by-{unit}");
    let mut rounds = Table::new(
        &name("round"),
        &format!("A dispatcher's round, by {unit}"),
        unit,
        "microseconds",
    );
    let mut reports = Table::new(
        &name("report"),
        &format!("Taking a report in, by {unit}"),
        unit,
        "microseconds",
    );
    let mut memory = Table::new(
        &name("dispatcher-memory"),
        &format!("Memory of a dispatcher and its routers' reporters, by {unit}"),
        unit,
        "MB",
    );
    for size in sizes {
        let cost = drive(size_of(*size));
        rounds.add(f64::from(*size), cost.round_us);
        reports.add(f64::from(*size), cost.report_us);
        memory.add(f64::from(*size), cost.memory_mb);
    }
    vec![rounds, reports, memory]
}

/// A router whose state is made up: every workspace waits, and a part of its streams ends in each
/// round.
struct Driven {
    host: u32,
    reporter: Reporter,
    tokens: u64,
    running: BTreeMap<(EngineId, WorkspaceId), u32>,
}

impl Driven {
    fn state(&mut self, size: Size) -> PoolState {
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
        let received = self.reporter.on_grants(now, DISPATCHER, 1, 1, grants);
        for grant in received.grants {
            let slot = (grant.engine, grant.workspace);
            *self.running.entry(slot).or_default() += 1;
        }
    }

    /// Ends the streams whose turn it is in this round.
    fn end_streams(&mut self, round: u32) {
        for (index, running) in (0_u32..).zip(self.running.values_mut()) {
            if (index + round).is_multiple_of(STREAM_ROUNDS) {
                *running = running.saturating_sub(1);
            }
        }
        self.running.retain(|_, running| *running > 0);
    }
}

fn drive(size: Size) -> Cost {
    let before = resident_bytes();
    let mut now = Duration::from_secs(1);
    let mut dispatcher = new_dispatcher(now, size);
    let mut routers: Vec<Driven> = (0..size.routers)
        .map(|host| {
            let mut reporter = Reporter::start(1);
            reporter.set_dispatcher(Some(DISPATCHER));
            Driven {
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
    for round in 0..WARM_UP_ROUNDS + ROUNDS {
        now += ROUND;
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
    Cost {
        round_us: round_time.as_secs_f64() * 1e6 / f64::from(ROUNDS),
        report_us: report_time.as_secs_f64() * 1e6 / f64::from(reports.max(1)),
        memory_mb: memory as f64 / 1e6,
    }
}

fn new_dispatcher(now: Duration, size: Size) -> Dispatcher {
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
            slots: SLOTS,
            leaving: false,
        })
        .collect();
    dispatcher.set_workspaces(&weights);
    dispatcher.set_engines(&engines);
    dispatcher
}

fn merges() -> Table {
    let mut table = Table::new(
        "merge-by-workspaces",
        "Merging a counter of every workspace",
        "workspaces",
        "microseconds",
    );
    for workspaces in WORKSPACES {
        let mut ledger = Ledger::default();
        let started = Instant::now();
        for round in 0..u64::from(ROUNDS) {
            for workspace in 0..workspaces {
                ledger.merge_tokens(1, workspace, round * 100);
            }
        }
        let each_us = started.elapsed().as_secs_f64() * 1e6 / f64::from(ROUNDS);
        table.add(f64::from(workspaces), each_us);
    }
    table
}

/// Resident memory of this process, from the kernel's own account.
fn resident_bytes() -> u64 {
    const PAGE_BYTES: u64 = 4096;
    std::fs::read_to_string("/proc/self/statm")
        .ok()
        .and_then(|text| text.split_whitespace().nth(1)?.parse::<u64>().ok())
        .map_or(0, |pages| pages * PAGE_BYTES)
}
