//! INI configuration: the settings of one process, and the declarations for the whole fleet.
//!
//! All errors of a file are collected with their lines and reported together.

pub mod declarations;
pub mod ini;
pub mod settings;

pub use {
    declarations::{Class, Declarations, Engine, Model, Route, Service, Workspace},
    ini::{Finding, Findings},
    settings::{AddressOverride, DispatchMode, PeerConf, RouterConf, load_router_conf},
};
