//! Declarations: the fleet-wide configuration, which operators apply as one file.

mod apply;
mod head;
mod model;
mod parse;

pub use {
    apply::{ActiveDeclarations, ApplyError, apply_declarations, changed_lines, read_active},
    head::{Head, object_key},
    model::{Class, Declarations, Engine, Model, Route, Service, Workspace},
    parse::{digest_of, parse_declarations},
};
