//! Which software version of a service began a stream, as state without I/O.
//!
//! A stream may go on only at the version that began it, at any router, also after all routers were
//! killed. Three kinds of knowledge answer that, and where none does, the stream is refused:
//!
//! - The versions of a service that may have begun a stream are recorded in the store before they
//!   begin any. While there is one only, it began all streams.
//! - While there are several, routers tell the owner of the streams which version began each.
//! - The owner writes what it is told to the store, in batches.

mod contact;
mod journal;
mod note;
mod origins;
mod row;
mod versions;

pub use {
    contact::{Contact, Standing},
    journal::MAX_NOTES_PER_ROW,
    note::{Note, StreamKey},
    origins::{Lookup, Origins, Write},
    row::{RecordRow, RowError},
    versions::{ServiceName, SoftwareVersion, VersionOf},
};
