//! The UDP socket for messages between peers.

use {
    super::Command,
    crate::metrics::Metrics,
    baobab_unit::HostId,
    baobab_wire::{Codec, Packet, ReplayGuard},
    flume::Sender,
    std::{
        io::Result,
        net::{SocketAddr, UdpSocket},
        sync::Arc,
        thread,
    },
};

/// Receive buffer; no UDP datagram is larger.
const BUFFER_BYTES: usize = 64 * 1024;

/// Sends and receives authenticated packets. Clones share one socket.
#[derive(Debug, Clone)]
pub struct PeerSocket {
    socket: Arc<UdpSocket>,
    codec: Codec,
}

impl PeerSocket {
    /// Binds the socket to the peer address.
    pub fn bind(address: SocketAddr, codec: Codec) -> Result<Self> {
        Ok(Self {
            socket: Arc::new(UdpSocket::bind(address)?),
            codec,
        })
    }

    /// Starts the thread that receives packets and passes valid ones on as commands.
    pub fn spawn_receiver(
        &self,
        own_host: HostId,
        commands: Sender<Command>,
        metrics: Metrics,
    ) -> Result<()> {
        let socket = self.clone();
        thread::Builder::new()
            .name("peers".into())
            .spawn(move || socket.run_receiver(own_host, &commands, &metrics))
            .map(drop)
    }

    /// Sends a packet. Returns its size in bytes without IP and UDP headers, or `None` if it was
    /// not sent.
    pub fn send(&self, address: SocketAddr, packet: &Packet) -> Option<usize> {
        let bytes = match self.codec.encode(packet) {
            Ok(bytes) => bytes,
            Err(error) => {
                log::error!("failed to encode a packet: {error}");
                return None;
            }
        };
        // A datagram that fails to send counts as lost, which every message tolerates.
        self.socket.send_to(&bytes, address).ok()
    }

    fn run_receiver(&self, own_host: HostId, commands: &Sender<Command>, metrics: &Metrics) {
        let mut replay_guard = ReplayGuard::default();
        let mut buffer = vec![0; BUFFER_BYTES];
        loop {
            let Ok((size_bytes, _)) = self.socket.recv_from(&mut buffer) else {
                continue;
            };
            match self.decode_datagram(own_host, &mut replay_guard, &buffer[..size_bytes]) {
                Ok(packet) => {
                    if commands.send(Command::Packet(packet)).is_err() {
                        return;
                    }
                }
                Err(reason) => metrics.datagrams_dropped.with_label_values(&[reason]).inc(),
            }
        }
    }

    fn decode_datagram(
        &self,
        own_host: HostId,
        replay_guard: &mut ReplayGuard,
        datagram: &[u8],
    ) -> std::result::Result<Packet, &'static str> {
        let packet = self
            .codec
            .decode(datagram)
            .map_err(baobab_wire::WireError::reason)?;
        if packet.receiver != own_host {
            return Err("misdirected");
        }
        replay_guard
            .accept(&packet)
            .map_err(baobab_wire::WireError::reason)?;
        Ok(packet)
    }
}
