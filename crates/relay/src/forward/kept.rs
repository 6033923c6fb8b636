//! Memory for what the router keeps of servers' responses.

use {
    bytes::Bytes,
    prometheus::IntGauge,
    std::{mem, ops::Deref},
};

/// What is kept of all responses may use the process's memory divided by this.
const MEMORY_DIVISOR: u64 = 8;
/// What is kept of one response may use the free rest divided by this.
const REST_DIVISOR: u64 = 8;
/// What may be kept of any response: no more than its connection's read buffer.
const MIN_SHARE_BYTES: u64 = 4096;

/// A bound on what is kept of all responses together. The share of one response shrinks while more is in use, so
/// that those without end reach it first and there is a rest for others.
#[derive(Debug, Clone)]
pub struct KeptMemory {
    max_bytes: u64,
    used_bytes: IntGauge,
}

impl KeptMemory {
    /// Derives the bound from the memory of the process; `used_bytes` counts what is in use.
    #[must_use]
    pub fn new(memory_bytes: u64, used_bytes: IntGauge) -> Self {
        Self {
            max_bytes: memory_bytes / MEMORY_DIVISOR,
            used_bytes,
        }
    }

    /// Returns what may be kept of one response.
    fn share_bytes(&self) -> u64 {
        let used_bytes = u64::try_from(self.used_bytes.get()).unwrap_or(0);
        let rest_bytes = self.max_bytes.saturating_sub(used_bytes);
        (rest_bytes / REST_DIVISOR).max(MIN_SHARE_BYTES)
    }
}

/// Bytes that are kept of a response. They are counted until they are dropped, also once they are passed on.
#[derive(Debug)]
pub struct KeptBytes {
    memory: KeptMemory,
    bytes: Vec<u8>,
    counted: i64,
}

impl KeptBytes {
    /// Keeps no bytes yet.
    #[must_use]
    pub fn new(memory: &KeptMemory) -> Self {
        Self {
            memory: memory.clone(),
            bytes: Vec::new(),
            counted: 0,
        }
    }

    /// Appends bytes.
    pub fn push(&mut self, data: &[u8]) {
        self.bytes.extend_from_slice(data);
        self.count();
    }

    /// Drops the first bytes.
    pub fn drop_front(&mut self, length: usize) {
        if length > 0 {
            self.bytes = self.bytes.split_off(length);
            self.count();
        }
    }

    /// Whether they are within the share of one response, and may stay.
    #[must_use]
    pub fn is_within_share(&self) -> bool {
        u64::try_from(self.counted).is_ok_and(|counted| counted <= self.memory.share_bytes())
    }

    /// Returns the bytes, and keeps none.
    #[must_use]
    pub fn take(&mut self) -> Bytes {
        let none = Self::new(&self.memory);
        let kept = mem::replace(self, none);
        if kept.is_empty() {
            return Bytes::new();
        }
        Bytes::from_owner(kept)
    }

    fn count(&mut self) {
        let counted = i64::try_from(self.bytes.capacity()).unwrap_or(i64::MAX);
        self.memory.used_bytes.add(counted - self.counted);
        self.counted = counted;
    }
}

impl Deref for KeptBytes {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.bytes
    }
}

impl AsRef<[u8]> for KeptBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for KeptBytes {
    fn drop(&mut self) {
        self.memory.used_bytes.sub(self.counted);
    }
}
