//! Whether a backend server runs on after it has ended a response with its connection.

use {
    super::{active_connection::ActiveConnection, exchange::KeepAlive},
    crate::core::Core,
    baobab_place::{ConnectionLimits, Server},
    std::{rc::Rc, time::Duration},
    tokio::time::{Instant, sleep},
};

/// Time within which the other connections to a server that has ended are seen to close.
const SETTLE_TIME: Duration = Duration::from_millis(50);

/// Returns whether a server runs on that has just closed the connection of a response. A server that ends
/// closes all its connections and accepts no others; one that is sound keeps idle ones.
pub async fn runs_on(
    core: Rc<Core>,
    server: Server,
    limits: ConnectionLimits,
    keep_alive: KeepAlive,
) -> bool {
    let closed_at = Instant::now();
    if core.pool.has_idle(server.key, closed_at) {
        sleep(SETTLE_TIME).await;
        if core.pool.has_idle(server.key, closed_at) {
            return true;
        }
    }
    core.metrics
        .connections
        .with_label_values(&[server.service.as_str()])
        .inc();
    let opened = core.pool.open(&server, limits.max_busy).await;
    let Ok(connection) = opened.inspect_err(|error| {
        log::info!(server = server.id.as_str(), error = error.to_string().as_str(); "server may have ended");
    }) else {
        return false;
    };
    let mut active = ActiveConnection::new(&core, server.key, connection, false);
    sleep(SETTLE_TIME).await;
    if active.is_closed() {
        log::info!(server = server.id.as_str(); "server has closed a new connection");
        return false;
    }
    if let KeepAlive::Reuse(timeout) = keep_alive
        && let Some(connection) = active.release()
    {
        core.pool
            .put(server.key, connection, timeout, limits.max_idle);
    }
    true
}
