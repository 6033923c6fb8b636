//! The configuration in force, and the thread that keeps it so.

mod cell;
mod copies;
mod watcher;

pub use {
    cell::{ConfigCell, InForce},
    copies::spawn_copies,
    watcher::Watcher,
};
