//! Why a stand-in could not start.

use {baobab_conf::Findings, quick_error::quick_error, std::net::SocketAddr};

quick_error! {
    /// Why a stand-in could not start.
    #[derive(Debug)]
    pub enum StandinError {
        /// An address can't be used.
        Bind(address: SocketAddr, reason: String) {
            display("the address {address} can't be used: {reason}")
        }
        /// The settings are wrong.
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
