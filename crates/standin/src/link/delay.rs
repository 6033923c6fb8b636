//! Holds datagrams back until they are due.

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

/// Longest wait of the thread while nothing is due.
const IDLE_WAIT: Duration = Duration::from_millis(100);

/// A datagram on its way.
pub struct Held {
    /// When it arrives.
    pub due: Instant,
    /// The socket that it is sent from.
    pub socket: Arc<UdpSocket>,
    /// Where it goes.
    pub to: SocketAddr,
    /// Its content.
    pub content: Vec<u8>,
}

struct Entry {
    held: Held,
    number: u64,
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Entry {}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entry {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.held.due, self.number).cmp(&(other.held.due, other.number))
    }
}

/// The way to the thread that sends held datagrams.
#[derive(Clone)]
pub struct DelayLine {
    held: Sender<Held>,
}

impl DelayLine {
    /// Starts the thread.
    pub fn spawn() -> Self {
        let (held, received) = flume::unbounded();
        thread::spawn(move || run(&received));
        Self { held }
    }

    /// Sends a datagram when it is due.
    pub fn send(&self, held: Held) {
        if self.held.send(held).is_err() {
            log::error!("the delaying thread is gone");
        }
    }
}

fn run(received: &Receiver<Held>) {
    let mut heap: BinaryHeap<Reverse<Entry>> = BinaryHeap::new();
    let mut number = 0;
    loop {
        let now = Instant::now();
        while heap
            .peek()
            .is_some_and(|Reverse(entry)| entry.held.due <= now)
        {
            if let Some(Reverse(Entry { held, .. })) = heap.pop()
                && let Err(error) = held.socket.send_to(&held.content, held.to)
            {
                log::debug!("a datagram is lost: {error}");
            }
        }
        let wait = heap.peek().map_or(IDLE_WAIT, |Reverse(entry)| {
            entry.held.due.saturating_duration_since(now).min(IDLE_WAIT)
        });
        if let Ok(held) = received.recv_timeout(wait) {
            number += 1;
            heap.push(Reverse(Entry { held, number }));
        }
    }
}
