//! Relays UDP datagrams.

use {
    super::{
        LinkState, RouteConf,
        delay::{DelayQueue, DelayedDatagram},
    },
    crate::StandinError,
    std::{net::UdpSocket, sync::Arc, thread, time::Instant},
};

const BUFFER_BYTES: usize = 64 * 1024;

/// Starts the relay thread of a UDP route.
pub fn spawn(
    route: &RouteConf,
    state: Arc<LinkState>,
    delays: DelayQueue,
) -> Result<(), StandinError> {
    let socket = UdpSocket::bind(route.listen)
        .map_err(|error| StandinError::Bind(route.listen, error.to_string()))?;
    let route = route.clone();
    thread::spawn(move || relay(&route, &Arc::new(socket), &state, &delays));
    Ok(())
}

fn relay(route: &RouteConf, socket: &Arc<UdpSocket>, state: &LinkState, delays: &DelayQueue) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let Ok((size_bytes, _)) = socket.recv_from(&mut buffer) else {
            continue;
        };
        if let Some(delay) = state.datagram_delay(route, size_bytes) {
            delays.send(DelayedDatagram {
                due: Instant::now() + delay,
                socket: Arc::clone(socket),
                to: route.to,
                content: buffer[..size_bytes].to_vec(),
            });
        }
    }
}
