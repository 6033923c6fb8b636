//! Text that a simulated engine generates. It depends only on the prompt, so a test can compare a
//! response byte by byte.

const WORDS: [&str; 16] = [
    "pump ", "valve ", "gauge ", "hose ", "seal ", "drawer ", "sheet ", "map ", "chart ", "index ",
    "copper ", "rivet ", "ledger ", "coast ", "survey ", "plate ",
];

/// Separates a prompt from the requested number of response tokens at its end.
const LENGTH_SEPARATOR: &str = " #";
/// Response length for a prompt without a requested length.
const DEFAULT_TOKENS: u64 = 16;

/// Appends the requested number of response tokens to a prompt.
#[must_use]
pub fn prompt_with_length(prompt: &str, tokens: u64) -> String {
    format!("{prompt}{LENGTH_SEPARATOR}{tokens}")
}

/// Returns the number of tokens in the response to a prompt.
#[must_use]
pub fn response_tokens(prompt: &str) -> u64 {
    prompt
        .rsplit_once(LENGTH_SEPARATOR)
        .and_then(|(_, digits)| digits.parse().ok())
        .unwrap_or(DEFAULT_TOKENS)
}

/// Generates the response to one prompt.
#[derive(Debug, Clone)]
pub struct Generator {
    seed: [u8; 32],
    tokens: u64,
}

impl Generator {
    /// Creates the generator for a prompt.
    #[must_use]
    pub fn new(prompt: &str) -> Self {
        Self {
            seed: *blake3::hash(prompt.as_bytes()).as_bytes(),
            tokens: response_tokens(prompt),
        }
    }

    /// Returns the number of tokens in the response.
    #[must_use]
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Returns the token at an index, counted from zero.
    #[must_use]
    pub fn token(&self, index: u64) -> &'static str {
        let digest = blake3::keyed_hash(&self.seed, &index.to_le_bytes());
        WORDS[usize::from(digest.as_bytes()[0]) % WORDS.len()]
    }

    /// Returns the complete response.
    #[must_use]
    pub fn response(&self) -> String {
        (0..self.tokens).map(|index| self.token(index)).collect()
    }
}
