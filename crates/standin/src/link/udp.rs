//! Relaying of datagrams.

use {
    super::{
        LinkState, RouteConf,
        delay::{DelayLine, Held},
    },
    crate::StandinError,
    std::{net::UdpSocket, sync::Arc, thread, time::Instant},
};

const BUFFER_BYTES: usize = 64 * 1024;

/// Starts relaying.
pub fn spawn(
    route: &RouteConf,
    state: Arc<LinkState>,
    delays: DelayLine,
) -> Result<(), StandinError> {
    let socket = UdpSocket::bind(route.listen)
        .map_err(|error| StandinError::Bind(route.listen, error.to_string()))?;
    let route = route.clone();
    thread::spawn(move || relay(&route, &Arc::new(socket), &state, &delays));
    Ok(())
}

fn relay(route: &RouteConf, socket: &Arc<UdpSocket>, state: &LinkState, delays: &DelayLine) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let Ok((size_bytes, _)) = socket.recv_from(&mut buffer) else {
            continue;
        };
        if let Some(delay) = state.datagram(route, size_bytes) {
            delays.send(Held {
                due: Instant::now() + delay,
                socket: Arc::clone(socket),
                to: route.to,
                content: buffer[..size_bytes].to_vec(),
            });
        }
    }
}
