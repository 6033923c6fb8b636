//! A small JSON reader for the store's transactions.

use std::collections::BTreeMap;

/// A JSON value. Numbers are kept as floating point.
#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Table(fields) => fields.get(name),
            _ => None,
        }
    }

    pub fn text(&self, name: &str) -> String {
        match self.get(name) {
            Some(Json::Text(text)) => text.clone(),
            _ => String::new(),
        }
    }

    pub fn number(&self, name: &str) -> f64 {
        match self.get(name) {
            Some(Json::Number(number)) => *number,
            _ => 0.0,
        }
    }

    pub fn list(&self, name: &str) -> &[Json] {
        match self.get(name) {
            Some(Json::List(items)) => items,
            _ => &[],
        }
    }
}

/// Parses a text; malformed parts become `Null`.
pub fn parse(text: &str) -> Json {
    let mut reader = Reader {
        bytes: text.as_bytes(),
        at: 0,
    };
    reader.value()
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn peek(&mut self) -> u8 {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
        self.bytes.get(self.at).copied().unwrap_or(0)
    }

    fn value(&mut self) -> Json {
        match self.peek() {
            b'{' => {
                self.at += 1;
                let mut fields = BTreeMap::new();
                while self.peek() == b'"' {
                    let name = self.string();
                    self.peek();
                    self.at += 1;
                    fields.insert(name, self.value());
                    if self.peek() == b',' {
                        self.at += 1;
                    }
                }
                self.at += 1;
                Json::Table(fields)
            }
            b'[' => {
                self.at += 1;
                let mut items = Vec::new();
                while !matches!(self.peek(), b']' | 0) {
                    items.push(self.value());
                    if self.peek() == b',' {
                        self.at += 1;
                    }
                }
                self.at += 1;
                Json::List(items)
            }
            b'"' => Json::Text(self.string()),
            _ => self.word(),
        }
    }

    fn string(&mut self) -> String {
        self.at += 1;
        let mut bytes = Vec::new();
        while let Some(&byte) = self.bytes.get(self.at) {
            self.at += 1;
            match byte {
                b'"' => break,
                b'\\' => {
                    let escaped = self.bytes.get(self.at).copied().unwrap_or(b'"');
                    self.at += 1;
                    bytes.push(match escaped {
                        b'n' => b'\n',
                        b't' => b'\t',
                        other => other,
                    });
                }
                _ => bytes.push(byte),
            }
        }
        String::from_utf8_lossy(&bytes).into_owned()
    }

    fn word(&mut self) -> Json {
        let start = self.at;
        while self
            .bytes
            .get(self.at)
            .is_some_and(|byte| !matches!(byte, b',' | b']' | b'}') && !byte.is_ascii_whitespace())
        {
            self.at += 1;
        }
        let word = std::str::from_utf8(&self.bytes[start..self.at]).unwrap_or_default();
        self.at = self.at.max(start + 1);
        match word {
            "true" => Json::Bool(true),
            "false" => Json::Bool(false),
            _ => word.parse().map_or(Json::Null, Json::Number),
        }
    }
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Encodes bytes as base64.
pub fn to_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk
            .iter()
            .chain([0, 0, 0].iter())
            .take(3)
            .fold(0_usize, |word, byte| word << 8 | usize::from(*byte));
        for position in 0..4 {
            if position <= chunk.len() {
                text.push(char::from(ALPHABET[word >> (18 - 6 * position) & 63]));
            } else {
                text.push('=');
            }
        }
    }
    text
}

/// Decodes base64; other characters are skipped.
pub fn from_base64(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let (mut word, mut bits) = (0_u32, 0);
    for byte in text.bytes() {
        let Some(value) = ALPHABET.iter().position(|letter| *letter == byte) else {
            continue;
        };
        word = word << 6 | value as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push((word >> bits) as u8);
            word &= (1 << bits) - 1;
        }
    }
    bytes
}
