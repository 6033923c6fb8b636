//! Messages to peers, put together into datagrams.

use {
    super::PeerSocket,
    crate::metrics::Metrics,
    baobab_conf::PeerConf,
    baobab_unit::{DomainId, HostId, Incarnation, Sequence, id_of, to_u64},
    baobab_wire::{Message, Packet},
    std::{collections::BTreeMap, net::SocketAddr},
};

/// Bytes of IP and UDP headers.
const HEADER_BYTES: usize = 28;

#[derive(Debug)]
struct Peer {
    domain: DomainId,
    address: SocketAddr,
    number: Sequence,
    waiting: Vec<Message>,
}

/// Outgoing messages.
#[derive(Debug)]
pub struct Outbox {
    own: HostId,
    own_domain: DomainId,
    incarnation: Incarnation,
    peers: BTreeMap<HostId, Peer>,
    socket: PeerSocket,
    metrics: Metrics,
}

impl Outbox {
    /// Makes an empty outbox.
    pub fn new(
        own: HostId,
        own_domain: DomainId,
        incarnation: Incarnation,
        peers: &[PeerConf],
        socket: PeerSocket,
        metrics: Metrics,
    ) -> Self {
        let peers = peers
            .iter()
            .map(|peer| {
                let entry = Peer {
                    domain: id_of(&peer.domain),
                    address: peer.address,
                    number: 0,
                    waiting: Vec::new(),
                };
                (id_of(&peer.host), entry)
            })
            .collect();
        Self {
            own,
            own_domain,
            incarnation,
            peers,
            socket,
            metrics,
        }
    }

    /// Adds a message to a peer; one to an unknown host is dropped.
    pub fn add(&mut self, to: HostId, message: Message) {
        if let Some(peer) = self.peers.get_mut(&to) {
            peer.waiting.push(message);
        }
    }

    /// Adds a message to every peer of this host's failure domain, or of the others.
    pub fn add_to_peers(&mut self, same_domain: bool, message: &Message) {
        let own_domain = self.own_domain;
        for peer in self.peers.values_mut() {
            if (peer.domain == own_domain) == same_domain {
                peer.waiting.push(message.clone());
            }
        }
    }

    /// Sends all waiting messages, those to one peer in one datagram.
    pub fn flush(&mut self) {
        for (host, peer) in &mut self.peers {
            if peer.waiting.is_empty() {
                continue;
            }
            peer.number += 1;
            let packet = Packet {
                sender: self.own,
                receiver: *host,
                incarnation: self.incarnation,
                number: peer.number,
                messages: std::mem::take(&mut peer.waiting),
            };
            let scope = if peer.domain == self.own_domain {
                "same_domain"
            } else {
                "other_domain"
            };
            for message in &packet.messages {
                let labels = [message.kind(), scope];
                self.metrics.messages.with_label_values(&labels).inc();
            }
            let Some(size_bytes) = self.socket.send(peer.address, &packet) else {
                continue;
            };
            self.metrics
                .control_bytes
                .with_label_values(&[scope])
                .inc_by(to_u64(size_bytes + HEADER_BYTES));
        }
    }
}
