//! The active configuration, and the threads that update and share it.

mod active_configuration;
mod copies;
mod watcher;

pub use {
    active_configuration::{ActiveConfiguration, Configuration},
    copies::spawn_copy_server,
    watcher::ConfigWatcher,
};
