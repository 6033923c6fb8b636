//! The configuration in force, and the thread that keeps it so.

mod cell;
mod watcher;

pub use {
    cell::{ConfigCell, InForce},
    watcher::Watcher,
};
