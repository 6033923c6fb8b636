//! The UDP socket of a router, which numbers and seals what it sends.

use {
    super::{
        message::GossipMessage,
        seal::{Sender, seal},
    },
    crate::{identity::Identity, metrics::Metrics},
    baobab_unit::{HostId, Sequence},
    std::{cell::Cell, io, net::SocketAddr},
    tokio::net::UdpSocket,
};

/// Largest datagram that no link fragments.
const MAX_DATAGRAM_BYTES: usize = 1400;

/// Sends and receives the datagrams of one router.
#[derive(Debug)]
pub struct GossipSocket {
    socket: UdpSocket,
    host: HostId,
    identity: Identity,
    last_number: Cell<Sequence>,
}

impl GossipSocket {
    /// Binds the socket.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn bind(
        address: SocketAddr,
        host: HostId,
        identity: Identity,
    ) -> Result<Self, io::Error> {
        Ok(Self {
            socket: UdpSocket::bind(address).await?,
            host,
            identity,
            last_number: Cell::new(0),
        })
    }

    /// Sends one message to all destinations, without waiting. Datagrams that cannot be sent are
    /// counted and dropped.
    pub fn send(&self, message: &GossipMessage, destinations: &[SocketAddr], metrics: &Metrics) {
        let number = self.last_number.get() + 1;
        self.last_number.set(number);
        let sender = Sender {
            host: self.host,
            incarnation: self.identity.incarnation,
            number,
        };
        let datagram = seal(sender, message, &self.identity.key);
        if datagram.len() > MAX_DATAGRAM_BYTES {
            log::debug!(bytes = datagram.len(); "gossip message exceeds the datagram size");
        }
        for destination in destinations {
            let outcome = match self.socket.try_send_to(&datagram, *destination) {
                Ok(_) => "sent",
                Err(_) => "send_failed",
            };
            metrics.datagrams.with_label_values(&[outcome]).inc();
        }
    }

    /// Receives one datagram and returns its length.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket, such as a report that an earlier datagram reached a closed
    /// port.
    pub async fn receive(&self, buffer: &mut [u8]) -> Result<usize, io::Error> {
        let (length, _) = self.socket.recv_from(buffer).await?;
        Ok(length)
    }
}
