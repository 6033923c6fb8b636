//! Limits on the requests a second that backend servers take from all routers together.
//!
//! Routers exchange what servers say of their limits. The owner of a server among the routers gives out
//! permits, one for each request that is sent to it. Performs no I/O; callers pass the current time to
//! every call. Notices may arrive late, twice and in any order.

mod bucket;
mod change;
mod limits;
mod notice;

pub use {
    change::LimitChange,
    limits::{Limits, Priority, ServerKey},
    notice::{LimitPerS, Notice, NoticeVersion},
};
