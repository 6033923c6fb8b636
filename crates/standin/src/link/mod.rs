//! Simulated network link: relays UDP and TCP between failure domains with delay, loss and cuts.

mod admin;
mod conf;
mod delay;
mod state;
mod tcp;
mod udp;

pub use {
    admin::spawn_admin,
    conf::{LinkConf, Protocol, RouteConf, parse_links},
    state::{LinkCounts, LinkState},
};

use {crate::StandinError, std::sync::Arc};

/// Starts all routes of a link process and returns their shared state.
///
/// # Errors
///
/// Fails if an address can't be bound.
pub fn spawn_link(conf: &LinkConf) -> Result<Arc<LinkState>, StandinError> {
    let state = Arc::new(LinkState::new(conf.seed));
    let delays = delay::DelayQueue::spawn();
    for route in &conf.routes {
        match route.protocol {
            Protocol::Udp => udp::spawn(route, Arc::clone(&state), delays.clone())?,
            Protocol::Tcp => tcp::spawn(route, Arc::clone(&state))?,
        }
    }
    Ok(state)
}
