//! Fair dispatch as plain state machines: time and events in, actions out.

mod anticipated;
mod backlog;
mod dispatch;
mod engines;
mod ledger;
mod message;
mod peers;
mod ranking;
mod reporter;
mod revoking;
mod router_view;
mod routers;
mod shares;
mod standing;
mod told;
mod tuning;

pub use {
    dispatch::{Action, Dispatcher, DispatcherStatus},
    ledger::Ledger,
    message::{
        EngineRow, Grant, Grants, PoolUpdate, PoolUpdateRow, Report, Revocation, StreamRow,
        SyncRow, WorkspaceRow,
    },
    reporter::{PoolState, ReceivedGrants, Reporter},
    shares::{EngineUsage, ShareGrant, Shares, Waiting},
    tuning::{EngineSlots, Tuning, WorkspaceWeight},
};
