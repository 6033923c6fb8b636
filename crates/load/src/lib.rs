//! Replays traces against real routers and reports the results.

mod caller;
mod error;
mod fairness;
mod generate;
mod probe;
mod recorder;
mod replay;
mod report;
mod slopes;
mod trace;

pub use {
    error::LoadError,
    fairness::{FairnessGap, Sample, WorkspaceSample, largest_gap},
    generate::{Flood, GenerateOptions, generate},
    replay::{ReplayOptions, replay},
    report::Report,
    slopes::{SlopeTable, measure_slopes, write_slopes},
    trace::{Event, EventKind, read_trace, write_trace},
};
