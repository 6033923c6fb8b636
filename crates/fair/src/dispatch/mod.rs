//! The dispatcher of one pool: state, decisions and messages.

mod action;
mod dispatcher;
mod estimate;
mod granting;
mod sending;

pub use {
    action::{Action, DispatcherStatus},
    dispatcher::Dispatcher,
};
