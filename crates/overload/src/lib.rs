//! Overload of the router's own processor: how it is detected, and which requests are refused because of it.

mod arrivals;
mod overload;
mod shedding;
mod unread;

pub use {
    arrivals::{Arrivals, Counts},
    overload::Overload,
    shedding::{Arrival, Shedding},
    unread::Unread,
};
