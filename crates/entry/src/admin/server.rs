//! HTTP server for status and metrics.

use {
    super::status::Status,
    crate::context::AppContext,
    baobab_web::{Handler, Header, Limits, Rejection, Request, ResponseWriter, Server},
    std::{io, sync::Arc},
};

/// Maximum number of operators' connections.
const MAX_CONNECTIONS: usize = 64;
const TEXT: &[Header] = &[("Content-Type", "text/plain; charset=utf-8")];
const JSON: &[Header] = &[("Content-Type", "application/json; charset=utf-8")];
const METRICS: &[Header] = &[("Content-Type", "text/plain; version=0.0.4")];

/// Starts the HTTP server of the operators' interface.
pub fn spawn_admin(context: Arc<AppContext>) -> io::Result<Server> {
    let address = context.conf.admin_address;
    let limits = Limits {
        max_connections: MAX_CONNECTIONS,
        ..Limits::default()
    };
    Server::bind(address, limits, AdminHandler(context))
}

struct AdminHandler(Arc<AppContext>);

impl Handler for AdminHandler {
    fn handle(&self, request: Request, writer: ResponseWriter) {
        let context = &self.0;
        match request.path.as_str() {
            "/live" => send(writer, 200, TEXT, b"live\n"),
            "/status" => match serde_json::to_vec(&Status::collect(context)) {
                Ok(status) => send(writer, 200, JSON, &status),
                Err(error) => send(writer, 500, TEXT, error.to_string().as_bytes()),
            },
            "/metrics" => send(writer, 200, METRICS, context.metrics.render().as_ref()),
            _ => send(writer, 404, &[], b""),
        }
    }

    fn reject(&self, rejection: Rejection, writer: ResponseWriter) {
        let status = match rejection {
            Rejection::TooManyConnections => 503,
            Rejection::HeadTimeout => 408,
            _ => 400,
        };
        send(writer, status, TEXT, rejection.to_string().as_bytes());
    }
}

fn send(writer: ResponseWriter, status: u16, headers: &[Header], body: &[u8]) {
    if let Err(error) = writer.send(status, headers, body) {
        log::debug!("an operator's connection broke: {error}");
    }
}
