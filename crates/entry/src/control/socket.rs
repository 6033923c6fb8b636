//! The UDP socket towards peers.

use {
    super::Command,
    crate::metrics::Metrics,
    baobab_unit::HostId,
    baobab_wire::{Codec, Guard, Packet},
    flume::Sender,
    std::{
        io::Result,
        net::{SocketAddr, UdpSocket},
        sync::Arc,
        thread,
    },
};

const BUFFER_BYTES: usize = 64 * 1024;

/// Sends and receives packets.
#[derive(Debug, Clone)]
pub struct PeerSocket {
    socket: Arc<UdpSocket>,
    codec: Codec,
}

impl PeerSocket {
    /// Binds the socket.
    pub fn bind(address: SocketAddr, codec: Codec) -> Result<Self> {
        Ok(Self {
            socket: Arc::new(UdpSocket::bind(address)?),
            codec,
        })
    }

    /// Starts the receiving thread.
    pub fn spawn_receiver(
        &self,
        own: HostId,
        commands: Sender<Command>,
        metrics: Metrics,
    ) -> Result<()> {
        let socket = self.clone();
        thread::Builder::new()
            .name("peers".into())
            .spawn(move || socket.receive(own, &commands, &metrics))
            .map(drop)
    }

    /// Sends a packet. Returns its size, without the headers of lower layers.
    pub fn send(&self, address: SocketAddr, packet: &Packet) -> Option<usize> {
        let bytes = match self.codec.encode(packet) {
            Ok(bytes) => bytes,
            Err(error) => {
                log::error!("a packet can't be encoded: {error}");
                return None;
            }
        };
        // A datagram that can't be sent is a lost one, which every message allows for.
        self.socket.send_to(&bytes, address).ok()
    }

    fn receive(&self, own: HostId, commands: &Sender<Command>, metrics: &Metrics) {
        let mut guard = Guard::default();
        let mut buffer = vec![0; BUFFER_BYTES];
        loop {
            let Ok((size_bytes, _)) = self.socket.recv_from(&mut buffer) else {
                continue;
            };
            match self.open(own, &mut guard, &buffer[..size_bytes]) {
                Ok(packet) => {
                    if commands.send(Command::Packet(packet)).is_err() {
                        return;
                    }
                }
                Err(reason) => metrics.datagrams_dropped.with_label_values(&[reason]).inc(),
            }
        }
    }

    fn open(
        &self,
        own: HostId,
        guard: &mut Guard,
        datagram: &[u8],
    ) -> std::result::Result<Packet, &'static str> {
        let packet = self
            .codec
            .decode(datagram)
            .map_err(baobab_wire::WireError::reason)?;
        if packet.receiver != own {
            return Err("misdirected");
        }
        guard
            .accept(&packet)
            .map_err(baobab_wire::WireError::reason)?;
        Ok(packet)
    }
}
