//! Outgoing messages to peers, batched into one datagram per peer.

use {
    super::PeerSocket,
    crate::metrics::Metrics,
    baobab_conf::PeerConf,
    baobab_unit::{DomainId, HostId, Incarnation, Sequence, id_of, to_u64},
    baobab_wire::{Message, Packet},
    std::{collections::BTreeMap, net::SocketAddr},
};

/// IPv4 and UDP header bytes per datagram.
const HEADER_BYTES: usize = 28;

#[derive(Debug)]
struct Peer {
    domain: DomainId,
    address: SocketAddr,
    last_number: Sequence,
    pending: Vec<Message>,
}

/// Collects messages to peers until they are flushed.
#[derive(Debug)]
pub struct Outbox {
    own_host: HostId,
    own_domain: DomainId,
    incarnation: Incarnation,
    peers: BTreeMap<HostId, Peer>,
    socket: PeerSocket,
    metrics: Metrics,
}

impl Outbox {
    /// Creates an empty outbox.
    pub fn new(
        own_host: HostId,
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
                    last_number: 0,
                    pending: Vec::new(),
                };
                (id_of(&peer.host), entry)
            })
            .collect();
        Self {
            own_host,
            own_domain,
            incarnation,
            peers,
            socket,
            metrics,
        }
    }

    /// Adds a message to a peer. A message to an unknown host is dropped.
    pub fn add(&mut self, to: HostId, message: Message) {
        if let Some(peer) = self.peers.get_mut(&to) {
            peer.pending.push(message);
        }
    }

    /// Adds a message to every peer of this host's failure domain, or to every peer outside it.
    pub fn add_for_peers(&mut self, same_domain: bool, message: &Message) {
        let own_domain = self.own_domain;
        for peer in self.peers.values_mut() {
            if (peer.domain == own_domain) == same_domain {
                peer.pending.push(message.clone());
            }
        }
    }

    /// Sends all pending messages, one datagram per peer.
    pub fn flush(&mut self) {
        for (host, peer) in &mut self.peers {
            if peer.pending.is_empty() {
                continue;
            }
            peer.last_number += 1;
            let packet = Packet {
                sender: self.own_host,
                receiver: *host,
                incarnation: self.incarnation,
                number: peer.last_number,
                messages: std::mem::take(&mut peer.pending),
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
