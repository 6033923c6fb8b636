//! HTTP interface to cut and heal links.

use {
    super::LinkState,
    crate::StandinError,
    rouille::{Request, Response, Server},
    std::{net::SocketAddr, sync::Arc, thread},
};

/// Starts the admin server.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub fn spawn_admin(address: SocketAddr, state: Arc<LinkState>) -> Result<(), StandinError> {
    let server = Server::new(address, move |request| respond(&state, request))
        .map_err(|error| StandinError::Bind(address, error.to_string()))?
        .pool_size(2);
    thread::spawn(move || server.run());
    Ok(())
}

fn respond(state: &LinkState, request: &Request) -> Response {
    match request.url().as_str() {
        "/stats" => Response::json(&state.counts()),
        "/heal" => {
            state.heal();
            Response::text("healed\n")
        }
        "/cut" => match (request.get_param("from"), request.get_param("to")) {
            (Some(from), Some(to)) => {
                state.cut(&from, &to);
                Response::text("cut\n")
            }
            _ => Response::empty_400(),
        },
        _ => Response::empty_404(),
    }
}
