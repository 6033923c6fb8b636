//! Commands from the control thread to the traffic thread.

use {
    crate::{PeerKey, settings::Bounds},
    baobab_origin::RecordRow,
    baobab_place::{Server, ServerId},
    baobab_routing::{Configuration, Confirmation},
    baobab_unit::Incarnation,
    baobab_watch::TableDelta,
    std::{collections::BTreeSet, net::SocketAddr, sync::Arc},
};

/// Another router.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerHost {
    /// Name of the router's host.
    pub host: String,
    /// Address that receives its datagrams.
    pub address: SocketAddr,
    /// Run of the router's process.
    pub incarnation: Incarnation,
    /// Key that authenticates its datagrams.
    pub key: PeerKey,
}

/// Command for the traffic thread.
#[derive(Debug)]
pub enum Command {
    /// A configuration was received.
    Adopt(Arc<Configuration>),
    /// A configuration was confirmed to be the newest.
    Confirm(Confirmation),
    /// The failure domains that the operators have evacuated.
    Evacuated(BTreeSet<String>),
    /// The whole list of backend servers.
    Servers(Vec<Server>),
    /// One backend server was announced or has changed.
    Announce(Box<Server>),
    /// A backend server's announcement has ended.
    Withdraw(ServerId),
    /// The list of backend servers can be read.
    ServersAvailable,
    /// All changes of the list of backend servers up to now were sent.
    ServersCurrent,
    /// The list of backend servers cannot be read.
    ServersUnavailable,
    /// The store was restored from a copy; the next list of servers may be outdated.
    StoreRestored,
    /// The host of this router had no earlier run.
    FirstRun,
    /// The routers of the fleet, including this one.
    Peers(Vec<PeerHost>),
    /// The routers listed after a restoration of the store: some may be outdated or missing.
    RestoredPeers(Vec<PeerHost>),
    /// One router has started.
    PeerStarted(PeerHost),
    /// One router has stopped; holds its host.
    PeerStopped(String),
    /// Changes of a table were read, to be published to other routers.
    PublishTable(u8, TableDelta),
    /// A table can no longer be read.
    StopPublishing(u8),
    /// The records of streams were read: each row, and whether this host wrote it.
    Records(Vec<(RecordRow, bool)>),
    /// Records of streams were written, or may not have been.
    RecordsWritten(bool),
    /// The deployment's limits have changed.
    Bounds(Bounds),
    /// Stops the router gracefully, within its grace period.
    Stop,
}
