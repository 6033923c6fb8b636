//! TCP options that detect an unresponsive peer.

use {
    socket2::{SockRef, TcpKeepalive},
    std::{io, time::Duration},
    tokio::net::TcpStream,
};

/// Idle time before the first keepalive probe.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered probes after which the connection is closed.
const KEEPALIVE_RETRIES: u32 = 2;

/// Disables Nagle's algorithm, and makes the kernel close the connection if bytes stay
/// unacknowledged for `user_timeout` or keepalive probes stay unanswered.
///
/// # Errors
///
/// Returns the error of the option that the system rejects.
pub fn configure_socket(stream: &TcpStream, user_timeout: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(user_timeout))?;
    socket.set_tcp_keepalive(
        &TcpKeepalive::new()
            .with_time(KEEPALIVE_IDLE)
            .with_interval(KEEPALIVE_INTERVAL)
            .with_retries(KEEPALIVE_RETRIES),
    )
}
