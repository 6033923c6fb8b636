//! The operators' HTTP interface of a router.

mod server;
mod status;

pub use server::spawn_admin;
