//! Measures the sizes of peer messages and of the declarations.

use {
    super::SlopeTable,
    baobab_conf::declarations::parse_declarations,
    baobab_fair::{EngineRow, PoolUpdate, PoolUpdateRow, Report, StreamRow, WorkspaceRow},
    baobab_unit::{Window, id_of, to_u32},
    baobab_wire::{Codec, Message, Packet},
    std::{
        fmt::Write,
        time::{Duration, Instant},
    },
};

const WORKSPACES: [u32; 5] = [16, 50, 150, 500, 1500];
const STREAMS: [u32; 5] = [10, 50, 150, 300, 480];
/// Token counter of a busy workspace after a day.
const BUSY_DAY_TOKENS: u64 = 400_000_000;
const ENGINES: u32 = 100;

/// Measures message sizes, the declarations' size and their parse time.
pub fn measure() -> Vec<SlopeTable> {
    vec![
        report_sizes(),
        pool_update_sizes(),
        declaration_sizes(),
        parse_times(),
    ]
}

fn packet_bytes(message: Message) -> f64 {
    let packet = Packet {
        sender: id_of("r1"),
        receiver: id_of("r2"),
        incarnation: 1_700_000_000_000,
        number: 100_000,
        messages: vec![message],
    };
    let bytes = Codec::new([0; 32]).encode(&packet).unwrap_or_default();
    bytes.len() as f64
}

/// Sizes of a router's full report; its streams are spread over engines and workspaces.
fn report_sizes() -> SlopeTable {
    let mut table = SlopeTable::new(
        "report-bytes",
        "Size of a full report, by streams on the router",
        "streams",
        "bytes",
    );
    for streams in STREAMS {
        let report = Report {
            pool: id_of("pool"),
            number: 100_000,
            base: 0,
            sent_at: Duration::from_hours(24),
            dispatcher_incarnation: 1_700_000_000_000,
            received: Window {
                highest: 100_000,
                mask: u64::MAX,
            },
            workspaces: (0..streams.min(150)).map(workspace_row).collect(),
            streams: (0..streams).map(stream_row).collect(),
            engines: (0..ENGINES.min(streams)).map(engine_row).collect(),
        };
        table.add(f64::from(streams), packet_bytes(Message::Report(report)));
    }
    table
}

fn workspace_row(index: u32) -> WorkspaceRow {
    WorkspaceRow {
        workspace: id_of(&format!("w{index}")),
        waiting_urgent: 1,
        waiting: 100,
        tokens: BUSY_DAY_TOKENS,
    }
}

fn stream_row(index: u32) -> StreamRow {
    StreamRow {
        engine: id_of(&format!("e{}", index % ENGINES)),
        workspace: id_of(&format!("w{}", index % 150)),
        running: 1,
    }
}

fn engine_row(index: u32) -> EngineRow {
    EngineRow {
        engine: id_of(&format!("e{index}")),
        tokens: BUSY_DAY_TOKENS,
        failing: false,
    }
}

fn pool_update_sizes() -> SlopeTable {
    let mut table = SlopeTable::new(
        "news-bytes",
        "Size of news with a row for each workspace",
        "workspaces",
        "bytes",
    );
    for workspaces in WORKSPACES {
        let rows = (0..workspaces)
            .map(|index| PoolUpdateRow {
                workspace: id_of(&format!("w{index}")),
                tokens: BUSY_DAY_TOKENS,
                lift: BUSY_DAY_TOKENS,
                running: 10,
                waiting_urgent: 0,
                waiting: 100,
                router: id_of("r1"),
            })
            .collect();
        let update = PoolUpdate {
            pool: id_of("pool"),
            model: id_of("model"),
            number: 100_000,
            wants_sync: false,
            stream_rate: 20,
            rows,
        };
        table.add(
            f64::from(workspaces),
            packet_bytes(Message::PoolUpdate(update)),
        );
    }
    table
}

/// Generates declarations with 600 engines and the given number of workspaces.
fn declarations_text(workspaces: u32) -> String {
    let mut text = String::from("[model.m]\n");
    for index in 0..600 {
        // Writing to a string is infallible.
        write!(
            text,
            "[engine.e{index}]\nmodel = m\ndomain = d{}\naddress = 10.0.0.1:{}\nslots = 280\n",
            index % 6,
            8000 + index
        )
        .ok();
    }
    for index in 0..workspaces {
        let digest = key_digest(index);
        write!(
            text,
            "[workspace.w{index}]\nweight = 3\nkey_digests = {digest}\nmodels = m\n"
        )
        .ok();
    }
    text
}

fn key_digest(index: u32) -> String {
    baobab_conf::declarations::digest_of(&index.to_string())
}

fn declaration_sizes() -> SlopeTable {
    let mut table = SlopeTable::new(
        "configuration-bytes",
        "Size of the declarations with 600 engines",
        "workspaces",
        "kB",
    );
    for workspaces in WORKSPACES {
        let size_bytes = to_u32(declarations_text(workspaces).len());
        table.add(f64::from(workspaces), f64::from(size_bytes) / 1000.0);
    }
    table
}

fn parse_times() -> SlopeTable {
    let mut table = SlopeTable::new(
        "configuration-parse",
        "Time to parse and check the declarations",
        "workspaces",
        "ms",
    );
    for workspaces in WORKSPACES {
        let text = declarations_text(workspaces);
        let started = Instant::now();
        let parsed = parse_declarations("slopes.ini", &text);
        let elapsed = started.elapsed();
        assert!(parsed.is_ok(), "the generated declarations are invalid");
        table.add(f64::from(workspaces), elapsed.as_secs_f64() * 1000.0);
    }
    table
}
