//! The dispatcher of one pool.

mod action;
mod dispatcher;
mod estimate;
mod granting;
mod telling;

pub use {
    action::{Action, DispatcherStatus},
    dispatcher::Dispatcher,
};
