//! Declarations: what operators want the whole fleet to do, applied as one file.

mod apply;
mod head;
mod model;
mod parse;

pub use {
    apply::{Applied, ApplyError, apply_text, changed_lines, read_in_force},
    head::{Head, object_key},
    model::{Class, Declarations, Engine, Model, Route, Service, Workspace},
    parse::{digest_of, parse_declarations},
};
