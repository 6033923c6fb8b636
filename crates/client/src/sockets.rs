//! Socket options that notice a silent peer.

use {
    socket2::{SockRef, TcpKeepalive},
    std::{io, time::Duration},
    tokio::net::TcpStream,
};

/// Time without traffic after which an idle connection is probed.
const PROBE_AFTER: Duration = Duration::from_secs(1);
/// Time between two probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered probes after which the connection counts as broken.
const PROBES: u32 = 2;

/// Sends small writes at once, and breaks the connection where bytes stay unacknowledged for
/// `silence` or probes stay unanswered.
///
/// # Errors
///
/// Fails where the system refuses an option.
pub fn tune(stream: &TcpStream, silence: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(silence))?;
    socket.set_tcp_keepalive(
        &TcpKeepalive::new()
            .with_time(PROBE_AFTER)
            .with_interval(PROBE_INTERVAL)
            .with_retries(PROBES),
    )
}
