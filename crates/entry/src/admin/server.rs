//! Status and metrics over HTTP.

use {
    super::status::Status,
    crate::context::AppContext,
    rouille::{Request, Response, Server},
    std::{sync::Arc, thread},
};

/// Threads that answer operators.
const THREADS: usize = 2;

/// Starts the operators' interface.
pub fn spawn_admin(context: Arc<AppContext>) -> Result<(), Box<dyn std::error::Error>> {
    let address = context.conf.admin_address;
    let server = Server::new(address, move |request| answer(&context, request))
        .map_err(|error| error.to_string())?
        .pool_size(THREADS);
    thread::Builder::new()
        .name("admin".into())
        .spawn(move || server.run())?;
    Ok(())
}

fn answer(context: &AppContext, request: &Request) -> Response {
    match request.url().as_str() {
        "/live" => Response::text("live\n"),
        "/status" => Response::json(&Status::of(context)),
        "/metrics" => Response::from_data("text/plain; version=0.0.4", context.metrics.render()),
        _ => Response::empty_404(),
    }
}
