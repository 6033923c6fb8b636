//! A section of an INI file, read key by key.

use {
    super::{Entry, Findings},
    std::{net::SocketAddr, str::FromStr, time::Duration},
};

/// A section with the entries that were not yet taken.
#[derive(Debug)]
pub struct Section {
    title: String,
    line: u32,
    entries: Vec<Entry>,
}

impl Section {
    /// Creates an empty section.
    #[must_use]
    pub fn new(title: &str, line: u32) -> Self {
        Self {
            title: title.to_owned(),
            line,
            entries: Vec::new(),
        }
    }

    /// Returns the whole title, such as `workspace.north`.
    #[must_use]
    pub fn title(&self) -> &str {
        &self.title
    }

    /// Returns the title's part before the first dot.
    #[must_use]
    pub fn kind(&self) -> &str {
        self.title.split('.').next().unwrap_or_default()
    }

    /// Returns the title's part after the first dot.
    #[must_use]
    pub fn name(&self) -> &str {
        self.title.split_once('.').map_or("", |(_, name)| name)
    }

    /// Returns the line number of the title.
    #[must_use]
    pub fn line(&self) -> u32 {
        self.line
    }

    /// Adds an entry; a duplicate key is skipped and adds a finding.
    pub fn add(&mut self, entry: Entry, findings: &mut Findings) {
        if let Some(earlier) = self.entries.iter().find(|other| other.key == entry.key) {
            findings.add(
                entry.line,
                format!("'{}' stands already on line {}", entry.key, earlier.line),
            );
            return;
        }
        self.entries.push(entry);
    }

    /// Removes and returns all remaining entries, for sections with arbitrary keys.
    #[must_use]
    pub fn take_all(&mut self) -> Vec<Entry> {
        std::mem::take(&mut self.entries)
    }

    /// Removes and returns an entry.
    #[must_use]
    pub fn take(&mut self, key: &str) -> Option<Entry> {
        let index = self.entries.iter().position(|entry| entry.key == key)?;
        Some(self.entries.remove(index))
    }

    /// Takes a text; adds a finding if it is missing.
    #[must_use]
    pub fn text(&mut self, key: &str, findings: &mut Findings) -> String {
        if let Some(entry) = self.take(key) {
            return entry.value;
        }
        findings.add(self.line, format!("[{}] lacks '{key}'", self.title));
        String::new()
    }

    /// Takes a parsed value, or `default` if it is missing or, with a finding, invalid. `expected`
    /// describes valid values in the finding.
    #[must_use]
    pub fn value<T: FromStr>(
        &mut self,
        key: &str,
        default: T,
        expected: &str,
        findings: &mut Findings,
    ) -> T {
        let Some(entry) = self.take(key) else {
            return default;
        };
        entry.value.parse().unwrap_or_else(|_| {
            findings.add(
                entry.line,
                format!("'{key} = {}' is not {expected}", entry.value),
            );
            default
        })
    }

    /// Takes an address written as IP and port; adds a finding if it is missing or invalid.
    #[must_use]
    pub fn address(&mut self, key: &str, findings: &mut Findings) -> SocketAddr {
        let unset = SocketAddr::from(([127, 0, 0, 1], 0));
        let Some(entry) = self.take(key) else {
            findings.add(
                self.line,
                format!("[{}] lacks the address '{key}'", self.title),
            );
            return unset;
        };
        entry.value.parse().unwrap_or_else(|_| {
            findings.add(
                entry.line,
                format!("'{}' is not an address such as 10.0.0.1:8080", entry.value),
            );
            unset
        })
    }

    /// Takes a duration such as `250ms`, `5s` or `2m`; an invalid one adds a finding.
    #[must_use]
    pub fn time(&mut self, key: &str, default: Duration, findings: &mut Findings) -> Duration {
        let Some(entry) = self.take(key) else {
            return default;
        };
        parse_time(&entry.value).unwrap_or_else(|| {
            findings.add(
                entry.line,
                format!(
                    "'{key} = {}' is not a time such as 250ms, 5s or 2m",
                    entry.value
                ),
            );
            default
        })
    }

    /// Takes a boolean written as `yes` or `no`; another value adds a finding.
    #[must_use]
    pub fn flag(&mut self, key: &str, default: bool, findings: &mut Findings) -> bool {
        let Some(entry) = self.take(key) else {
            return default;
        };
        match entry.value.as_str() {
            "yes" => true,
            "no" => false,
            other => {
                findings.add(entry.line, format!("'{key} = {other}' is not yes or no"));
                default
            }
        }
    }

    /// Takes a comma-separated list; each name becomes an entry with the list's line.
    #[must_use]
    pub fn names(&mut self, key: &str) -> Vec<Entry> {
        let Some(entry) = self.take(key) else {
            return Vec::new();
        };
        entry
            .value
            .split(',')
            .map(str::trim)
            .filter(|name| !name.is_empty())
            .map(|name| Entry {
                key: entry.key.clone(),
                value: name.to_owned(),
                line: entry.line,
            })
            .collect()
    }

    /// Adds a finding for each key that was not taken.
    pub fn finish(self, findings: &mut Findings) {
        for entry in self.entries {
            findings.add(
                entry.line,
                format!("unknown key '{}' in [{}]", entry.key, self.title),
            );
        }
    }
}

fn parse_time(text: &str) -> Option<Duration> {
    let digits = text.find(|c: char| !c.is_ascii_digit())?;
    let count: u64 = text[..digits].parse().ok()?;
    match text[digits..].trim() {
        "ms" => Some(Duration::from_millis(count)),
        "s" => Some(Duration::from_secs(count)),
        "m" => Some(Duration::from_mins(count)),
        _ => None,
    }
}
