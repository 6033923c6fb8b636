//! What a request asks an engine to read and to generate.

/// Identity of a prompt part.
pub type PartId = u64;

/// A stretch of a prompt that requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Part {
    /// Identity of the part.
    pub id: PartId,
    /// Its length in tokens.
    pub tokens: u64,
}

/// A request's demand on an engine.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Parts in order; the last one belongs to the request or its session.
    pub parts: Vec<Part>,
    /// Length of the whole prompt in tokens.
    pub tokens: u64,
    /// Most tokens that are generated.
    pub output_limit: u64,
    /// The caller's estimate of the tokens that are generated.
    pub output_hint: Option<u64>,
}

impl Prompt {
    /// Returns the last part that other requests may share.
    #[must_use]
    pub fn last_shared(&self) -> Option<Part> {
        self.parts
            .len()
            .checked_sub(2)
            .map(|index| self.parts[index])
    }

    /// Returns the parts that other requests may share.
    #[must_use]
    pub fn shared(&self) -> &[Part] {
        &self.parts[..self.parts.len().saturating_sub(1)]
    }

    /// Returns the estimated number of generated tokens.
    #[must_use]
    pub fn expected_output(&self) -> u64 {
        let estimate = self.output_hint.unwrap_or(self.output_limit / 2);
        estimate.min(self.output_limit)
    }

    /// Returns what the request claims of a workspace's share: tokens read once and generated
    /// twice.
    #[must_use]
    pub fn claim_tokens(&self) -> u64 {
        self.tokens + 2 * self.output_limit
    }

    /// Returns the memory that the request takes while it runs, in tokens.
    #[must_use]
    pub fn memory_tokens(&self) -> u64 {
        self.tokens + self.expected_output()
    }
}
