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

/// Returns whether a server runs on that has just closed the connection of a response, which began at
/// `began_at`. A server that ends closes all its connections and accepts no others.
pub async fn runs_on(
    core: Rc<Core>,
    server: Server,
    limits: ConnectionLimits,
    keep_alive: KeepAlive,
    began_at: Instant,
) -> bool {
    let (closed_at, since) = (Instant::now(), core.now());
    if core.pool.has_idle(server.key, began_at) {
        sleep(SETTLE_TIME).await;
        if core.pool.has_idle(server.key, began_at) {
            return true;
        }
    }
    let accepts = accepts(&core, &server, limits, keep_alive).await;
    // A server that accepts connections may have started again: between the idle connections that it has
    // closed, or while this process stood still.
    let has_lost_idle = core.pool.has_lost_idle(server.key, closed_at - SETTLE_TIME);
    let has_paused = core
        .overload
        .borrow()
        .has_paused_since(since.saturating_sub(SETTLE_TIME));
    let runs_on = accepts && !has_lost_idle && !has_paused;
    if !runs_on {
        log::info!(server = server.id.as_str(), accepts, has_lost_idle, has_paused; "server may have ended");
    }
    runs_on
}

/// Whether the server accepts a new connection, and keeps it.
async fn accepts(
    core: &Rc<Core>,
    server: &Server,
    limits: ConnectionLimits,
    keep_alive: KeepAlive,
) -> bool {
    core.metrics
        .connections
        .with_label_values(&[server.service.as_str()])
        .inc();
    let Ok(connection) = core.pool.open(server, limits.max_busy).await else {
        return false;
    };
    let mut active = ActiveConnection::new(core, server.key, connection, false);
    sleep(SETTLE_TIME).await;
    let is_open = !active.is_closed();
    if let KeepAlive::Reuse(timeout) = keep_alive
        && is_open
        && let Some(connection) = active.release()
    {
        core.pool
            .put(server.key, connection, timeout, limits.max_idle);
    }
    is_open
}
