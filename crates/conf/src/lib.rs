//! Settings of processes and declarations of operators, both written in INI.
//!
//! Everything wrong with a file is collected with its line and reported together.

pub mod declarations;
pub mod ini;
pub mod settings;

pub use {
    declarations::{Class, Declarations, Engine, Model, Route, Service, Workspace},
    ini::{Finding, Findings},
    settings::{DispatchMode, PeerConf, Reach, RouterConf, load_router_conf},
};
