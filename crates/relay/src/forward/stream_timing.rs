//! Arrival times of the data of a stream.

use {std::time::Duration, tokio::time::Instant};

/// Arrival times of the data of a stream.
#[derive(Debug, Default)]
pub struct StreamTiming {
    /// Time from the arrival of the request to the first data.
    pub first: Duration,
    /// Longest time between two arrivals.
    pub longest_pause: Duration,
    last_at: Option<Instant>,
}

impl StreamTiming {
    /// Whether any data has arrived.
    #[must_use]
    pub fn has_data(&self) -> bool {
        self.last_at.is_some()
    }

    /// Records an arrival of data.
    pub fn on_data(&mut self, arrived: Instant) {
        let now = Instant::now();
        match self.last_at {
            Some(last_at) => self.longest_pause = self.longest_pause.max(now - last_at),
            None => self.first = now - arrived,
        }
        self.last_at = Some(now);
    }
}
