//! What the control thread tells the traffic thread.

use {
    crate::{PeerKey, settings::Bounds},
    baobab_place::{Server, ServerId},
    baobab_routing::{Configuration, Confirmation},
    baobab_unit::Incarnation,
    baobab_watch::TableDelta,
    std::{net::SocketAddr, sync::Arc},
};

/// Another router.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerHost {
    /// Name of the host.
    pub host: String,
    /// Where it takes datagrams.
    pub address: SocketAddr,
    /// Run of the process.
    pub incarnation: Incarnation,
    /// Key of its datagrams.
    pub key: PeerKey,
}

/// News for the traffic thread.
#[derive(Debug)]
pub enum Command {
    /// A configuration was received.
    Adopt(Arc<Configuration>),
    /// A configuration was confirmed to be the newest.
    Confirm(Confirmation),
    /// The whole list of backend servers.
    Servers(Vec<Server>),
    /// One backend server was announced or has changed.
    Announce(Box<Server>),
    /// A backend server's announcement has ended.
    Withdraw(ServerId),
    /// The list of backend servers can be read.
    ServersAvailable,
    /// The list of backend servers is out of reach.
    ServersUnavailable,
    /// The routers of the fleet, this one included.
    Peers(Vec<PeerHost>),
    /// One router has started.
    PeerStarted(PeerHost),
    /// One router has ended.
    PeerStopped(String),
    /// Changes of a table were read, to be told to other routers.
    PublishTable(u8, TableDelta),
    /// A table can no longer be read.
    StopPublishing(u8),
    /// The deployment's bounds have changed.
    Bounds(Bounds),
    /// Ends the router without breaking off answers.
    Stop,
}
