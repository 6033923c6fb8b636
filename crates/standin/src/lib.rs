//! Simulated dependencies of the routers for tests: platform, engines, services and links.

pub mod engine;
pub mod link;
pub mod platform;
pub mod service;
pub mod site;
pub mod text;

mod error;

pub use error::StandinError;
