//! The traffic thread: accepts callers' requests, forwards each to the backend server that
//! `baobab-place` chooses, and returns the response.

mod availability;
mod callers;
mod command;
mod connection_metrics;
mod core;
mod error;
mod evidence;
mod forward;
mod gossip;
mod header_codec;
mod identity;
mod idle_connections;
mod idle_limits;
mod idle_time;
mod idle_timeout;
mod limits;
mod load_metrics;
mod load_report;
mod loads;
mod metrics;
mod operators;
mod owners;
mod pace;
mod pool;
mod rates;
mod relay;
mod retries;
mod settings;
mod shared;
mod shared_tables;
mod streams;
mod ticker;

pub use {
    callers::{ConnectionPermit, UnreadRefusal, accept, bind, discard_request, refuse_unread},
    command::{Command, PeerHost},
    error::RelayError,
    evidence::EvidenceOutbox,
    gossip::{
        Clearance, CrashReport, EvidenceMessage, GossipMessage, HolderAnswer, KeptHistory,
        LoadAnswer, LoadQuery, Outbox, PeerDirectory, PeerKey, PermitAnswer, PermitQuery,
        RetryMessage, SealError, Sender, ServerAnswer, StreamQuery, seal,
    },
    header_codec::{
        ForwardHeaders, HeaderCodec, HeaderError, LimitNotice, RequestHeaders, ResponseOrigin,
        ServerNotices, TakeUp,
    },
    identity::Identity,
    idle_connections::{ConnectionReuse, Idle, IdleBounds, IdleConnections, excess_idle_time},
    idle_limits::{IdleLimits, IdleTimes},
    idle_timeout::ObservedIdleTimeout,
    owners::{OwnerReport, OwnerReports, Owners, group_by_owner},
    relay::{Handle, spawn},
    settings::{Bounds, Settings},
    shared::{RecordCall, RecordCalls, Shared},
    shared_tables::{SharedTables, TableGossipChannel},
};
