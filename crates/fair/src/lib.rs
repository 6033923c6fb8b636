//! Weighted fair dispatch of requests to engine slots, as state machines without I/O: time and
//! events in, actions out.

mod anticipated_grants;
mod backlog;
mod dispatch;
mod engines;
mod ledger;
mod message;
mod peers;
mod published_rows;
mod ranking;
mod reporter;
mod revoker;
mod router_view;
mod routers;
mod standing_queues;
mod static_shares;
mod tuning;

pub use {
    dispatch::{Action, Dispatcher, DispatcherStatus},
    ledger::Ledger,
    message::{
        EngineRow, Grant, Grants, PoolUpdate, PoolUpdateRow, Report, Revocation, StreamRow,
        SyncRow, WorkspaceRow,
    },
    reporter::{PoolState, ReceivedGrants, Reporter},
    static_shares::{EngineUsage, ShareGrant, StaticShares, Waiting},
    tuning::{EngineSlots, Tuning, WorkspaceWeight},
};
