//! Request placement: server selection, admission control, workspace shares and retry budgets.
//! Performs no I/O; callers pass the current time to every call.

mod admission;
mod budget;
mod cache;
mod candidate;
mod choice;
mod connections;
mod convert;
mod health;
mod load;
mod peers;
mod placement_request;
mod placer;
mod prompt;
mod registry;
mod retired;
mod score;
mod server;
mod shares;
mod tuning;

pub use {
    budget::RetryBudget,
    cache::CacheView,
    connections::ConnectionLimits,
    health::{Health, ServerOutcome},
    load::Load,
    peers::{PeerReport, Peers},
    placement_request::{AdmissionClass, Congestion, Placement, PlacementError, PlacementRequest},
    placer::Placer,
    prompt::{Part, PartId, Prompt},
    registry::Registry,
    server::{Server, ServerId, ServerKey},
    shares::{RatesByWorkspace, Shares, WorkspaceRates, max_min},
    tuning::{RunningBound, Tuning},
};
