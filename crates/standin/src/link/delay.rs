//! Queue that delays datagrams until they are due.

use {
    flume::{Receiver, Sender},
    std::{
        cmp::Reverse,
        collections::BinaryHeap,
        net::{SocketAddr, UdpSocket},
        sync::Arc,
        thread,
        time::{Duration, Instant},
    },
};

/// Maximum wait of the thread while no datagram is due.
const IDLE_WAIT: Duration = Duration::from_millis(100);

/// Datagram waiting to be sent.
pub struct DelayedDatagram {
    /// When to send it.
    pub due: Instant,
    /// Socket to send from.
    pub socket: Arc<UdpSocket>,
    /// Destination address.
    pub to: SocketAddr,
    /// Payload.
    pub content: Vec<u8>,
}

struct QueueEntry {
    datagram: DelayedDatagram,
    sequence: u64,
}

impl PartialEq for QueueEntry {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for QueueEntry {}

impl PartialOrd for QueueEntry {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for QueueEntry {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.datagram.due, self.sequence).cmp(&(other.datagram.due, other.sequence))
    }
}

/// Handle of the thread that sends delayed datagrams.
#[derive(Clone)]
pub struct DelayQueue {
    datagrams: Sender<DelayedDatagram>,
}

impl DelayQueue {
    /// Starts the thread.
    pub fn spawn() -> Self {
        let (datagrams, received) = flume::unbounded();
        thread::spawn(move || run(&received));
        Self { datagrams }
    }

    /// Schedules a datagram to be sent when it is due.
    pub fn send(&self, datagram: DelayedDatagram) {
        if self.datagrams.send(datagram).is_err() {
            log::error!("the delay thread has stopped");
        }
    }
}

fn run(received: &Receiver<DelayedDatagram>) {
    let mut heap: BinaryHeap<Reverse<QueueEntry>> = BinaryHeap::new();
    let mut sequence = 0;
    loop {
        let now = Instant::now();
        while heap
            .peek()
            .is_some_and(|Reverse(entry)| entry.datagram.due <= now)
        {
            if let Some(Reverse(QueueEntry { datagram, .. })) = heap.pop()
                && let Err(error) = datagram.socket.send_to(&datagram.content, datagram.to)
            {
                log::debug!("cannot send a datagram: {error}");
            }
        }
        let wait = heap.peek().map_or(IDLE_WAIT, |Reverse(entry)| {
            entry
                .datagram
                .due
                .saturating_duration_since(now)
                .min(IDLE_WAIT)
        });
        if let Ok(datagram) = received.recv_timeout(wait) {
            sequence += 1;
            heap.push(Reverse(QueueEntry { datagram, sequence }));
        }
    }
}
