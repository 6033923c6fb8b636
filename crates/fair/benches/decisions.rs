//! Time of a grant decision, of applying a report and of a merge, by size.

// The macros of criterion generate functions without documentation.
#![allow(missing_docs)]

use {
    baobab_fair::{
        Dispatcher, EngineSlots, Ledger, Report, StreamRow, Tuning, WorkspaceRow, WorkspaceWeight,
    },
    baobab_unit::Window,
    criterion::{BenchmarkId, Criterion, criterion_group, criterion_main},
    std::{hint::black_box, time::Duration},
};

const WORKSPACES: [u32; 4] = [16, 150, 500, 1500];
const ROUTERS: [u32; 4] = [6, 25, 100, 350];
const ENGINES: [u32; 4] = [6, 20, 150, 600];

fn report(number: u64, workspaces: u32, engine: u32) -> Report {
    Report {
        pool: 1,
        number,
        base: 0,
        sent_at: Duration::from_secs(1),
        dispatcher_incarnation: 1,
        received: Window::default(),
        workspaces: (0..workspaces)
            .map(|workspace| WorkspaceRow {
                workspace,
                waiting_urgent: 0,
                waiting: 100,
                tokens: number * 100,
            })
            .collect(),
        streams: vec![StreamRow {
            engine,
            workspace: 0,
            running: 1,
        }],
        engines: Vec::new(),
    }
}

/// A dispatcher that has applied a report of every router and has not yet issued grants.
fn dispatcher(workspaces: u32, routers: u32, engines: u32) -> Dispatcher {
    let start = Duration::from_secs(1);
    let mut dispatcher = Dispatcher::start(start, 1, 1, 1, Tuning::default());
    let weights: Vec<WorkspaceWeight> = (0..workspaces)
        .map(|workspace| WorkspaceWeight {
            workspace,
            weight: 1 + workspace % 8,
        })
        .collect();
    let slots: Vec<EngineSlots> = (0..engines)
        .map(|engine| EngineSlots {
            engine,
            slots: 12,
            leaving: false,
        })
        .collect();
    dispatcher.set_workspaces(&weights);
    dispatcher.set_engines(&slots);
    for host in 0..routers {
        let report = report(1, workspaces, host % engines);
        dispatcher.on_report(start, host, 1, &report);
    }
    dispatcher
}

fn decide(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("fill all free slots");
    group.sample_size(10);
    let now = Duration::from_secs(2);
    let mut case = |name: &str, size: u32, make: &dyn Fn() -> Dispatcher| {
        group.bench_function(BenchmarkId::new(name, size), |bencher| {
            bencher.iter_batched_ref(
                make,
                |dispatcher| black_box(dispatcher.tick(now)),
                criterion::BatchSize::LargeInput,
            );
        });
    };
    for size in WORKSPACES {
        case("workspaces", size, &|| dispatcher(size, 6, 6));
    }
    for size in ROUTERS {
        case("routers", size, &|| dispatcher(150, size, 6));
    }
    for size in ENGINES {
        case("engines", size, &|| dispatcher(150, 6, size));
    }
}

fn apply_report(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("take a report in");
    for size in WORKSPACES {
        let mut dispatcher = dispatcher(size, 6, 6);
        let mut number = 1;
        group.bench_function(BenchmarkId::new("workspaces", size), |bencher| {
            bencher.iter(|| {
                number += 1;
                let report = report(number, size, 0);
                dispatcher.on_report(Duration::from_secs(1), 0, 1, &report);
            });
        });
    }
}

fn merge(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("merge a counter of every workspace");
    for size in WORKSPACES {
        let mut ledger = Ledger::default();
        let mut total = 0;
        group.bench_function(BenchmarkId::new("workspaces", size), |bencher| {
            bencher.iter(|| {
                total += 1;
                for workspace in 0..size {
                    ledger.merge_tokens(1, workspace, total);
                }
            });
        });
    }
}

criterion_group!(benches, decide, apply_report, merge);
criterion_main!(benches);
