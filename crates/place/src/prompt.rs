//! Prompt and output size of a model request.

/// Identity of a prompt part, the same on every router.
pub type PartId = u64;

/// A segment of a prompt that several requests may have in common.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Part {
    /// Identity; equal for equal parts of different requests.
    pub id: PartId,
    /// Length in tokens.
    pub tokens: u64,
}

/// Prompt and output bounds of a model request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Prompt {
    /// Parts in order; the last one is specific to the request or its session.
    pub parts: Vec<Part>,
    /// Length of the whole prompt in tokens.
    pub tokens: u64,
    /// Maximum number of generated tokens.
    pub output_limit: u64,
    /// The caller's estimate of the number of generated tokens.
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

    /// Returns the expected number of generated tokens: the caller's estimate, else half of the
    /// limit.
    #[must_use]
    pub fn expected_output(&self) -> u64 {
        let estimate = self.output_hint.unwrap_or(self.output_limit / 2);
        estimate.min(self.output_limit)
    }

    /// Returns the tokens that the request claims from its workspace's share: each prompt token
    /// counts once, each token of the output limit twice.
    #[must_use]
    pub fn claim_tokens(&self) -> u64 {
        self.tokens + 2 * self.output_limit
    }

    /// Returns the expected memory use of the running request, in tokens.
    #[must_use]
    pub fn memory_tokens(&self) -> u64 {
        self.tokens + self.expected_output()
    }
}
