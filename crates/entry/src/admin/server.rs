//! HTTP server for status and metrics.

use {
    super::status::Status,
    crate::context::AppContext,
    rouille::{Request, Response, Server},
    std::{sync::Arc, thread},
};

/// Threads that serve operators' requests.
const WORKER_THREADS: usize = 2;

/// Starts the HTTP server of the operators' interface.
pub fn spawn_admin(context: Arc<AppContext>) -> Result<(), Box<dyn std::error::Error>> {
    let address = context.conf.admin_address;
    let server = Server::new(address, move |request| respond(&context, request))
        .map_err(|error| error.to_string())?
        .pool_size(WORKER_THREADS);
    thread::Builder::new()
        .name("admin".into())
        .spawn(move || server.run())?;
    Ok(())
}

fn respond(context: &AppContext, request: &Request) -> Response {
    match request.url().as_str() {
        "/live" => Response::text("live\n"),
        "/status" => Response::json(&Status::collect(context)),
        "/metrics" => Response::from_data("text/plain; version=0.0.4", context.metrics.render()),
        _ => Response::empty_404(),
    }
}
