//! Settings of one process, read from its own file when it starts.

mod router;

pub use router::{AddressOverride, DispatchMode, PeerConf, RouterConf, load_router_conf};
