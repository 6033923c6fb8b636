//! The text that a stand-in engine generates: a function of the prompt alone, so that whoever
//! knows the prompt can check an answer byte by byte.

const WORDS: [&str; 16] = [
    "pump ", "valve ", "gauge ", "hose ", "seal ", "drawer ", "sheet ", "map ", "chart ", "index ",
    "copper ", "rivet ", "ledger ", "coast ", "survey ", "plate ",
];

/// Marks the number of tokens at the end of a prompt.
const LENGTH_MARK: &str = " #";
const DEFAULT_TOKENS: u64 = 16;

/// Adds the number of tokens that the answer shall have to a prompt.
#[must_use]
pub fn prompt_with_length(prompt: &str, tokens: u64) -> String {
    format!("{prompt}{LENGTH_MARK}{tokens}")
}

/// Returns the number of tokens that the answer to a prompt has.
#[must_use]
pub fn answer_tokens(prompt: &str) -> u64 {
    prompt
        .rsplit_once(LENGTH_MARK)
        .and_then(|(_, digits)| digits.parse().ok())
        .unwrap_or(DEFAULT_TOKENS)
}

/// Generates the answer to one prompt.
#[derive(Debug, Clone)]
pub struct Generator {
    seed: [u8; 32],
    tokens: u64,
}

impl Generator {
    /// Makes the generator of a prompt's answer.
    #[must_use]
    pub fn new(prompt: &str) -> Self {
        Self {
            seed: *blake3::hash(prompt.as_bytes()).as_bytes(),
            tokens: answer_tokens(prompt),
        }
    }

    /// Returns the number of tokens.
    #[must_use]
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Returns one token.
    #[must_use]
    pub fn token(&self, index: u64) -> &'static str {
        let digest = blake3::keyed_hash(&self.seed, &index.to_le_bytes());
        WORDS[usize::from(digest.as_bytes()[0]) % WORDS.len()]
    }

    /// Returns the whole answer.
    #[must_use]
    pub fn answer(&self) -> String {
        (0..self.tokens).map(|index| self.token(index)).collect()
    }
}
