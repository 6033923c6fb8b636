//! Request placement: server selection, admission control and workspace shares.
//! Performs no I/O; callers pass the current time to every call.

mod admission;
mod availability;
mod cache;
mod candidate;
mod choice;
mod connections;
mod convert;
mod doubt;
mod eligibility;
mod health;
mod holders;
mod load;
mod part_directory;
mod peers;
mod placement_request;
mod placer;
mod prompt;
mod registry;
mod retired;
mod sample;
mod score;
mod server;
mod shares;
mod tuning;
mod typical_load;

pub use {
    cache::CacheView,
    connections::ConnectionLimits,
    health::{Health, ServerOutcome},
    load::Load,
    part_directory::{CACHE_LIFETIME, PartDirectory, PartHolder},
    peers::{PeerReport, Peers, WorkspaceGroup, workspace_group, workspace_groups},
    placement_request::{
        AdmissionClass, CallerAttempt, Congestion, Placement, PlacementError, PlacementRequest,
        VersionBound,
    },
    placer::{Placer, ReportedParts},
    prompt::{Part, PartId, Prompt},
    registry::Registry,
    score::rendezvous_score,
    server::{Server, ServerId, ServerKey, SoftwareVersion},
    shares::{RatesByWorkspace, ShareBasis, Shares, WorkspaceRates, max_min},
    tuning::{RunningBound, Tuning},
};
