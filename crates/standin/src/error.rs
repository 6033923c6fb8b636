//! Errors of the stand-ins.

use {baobab_conf::Findings, quick_error::quick_error, std::net::SocketAddr};

quick_error! {
    /// Why a stand-in could not start or write its files.
    #[derive(Debug)]
    pub enum StandinError {
        /// An address can't be bound.
        Bind(address: SocketAddr, reason: String) {
            display("cannot bind {address}: {reason}")
        }
        /// The settings are invalid.
        Settings(findings: Findings) {
            display("{findings}")
            from()
        }
        /// A file can't be read or written.
        File(path: String, reason: String) {
            display("{path}: {reason}")
        }
    }
}
