//! Errors found in a file, with their lines.

use std::{error::Error, fmt};

/// An error in a file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// Name of the file as given by the operator.
    pub file: String,
    /// Line number, from one; zero for the file as a whole.
    pub line: u32,
    /// Description for the person who edits the file.
    pub message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.file, self.line, self.message)
    }
}

/// All errors of a file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Findings {
    file: String,
    list: Vec<Finding>,
}

impl Findings {
    /// Creates an empty collection for a file.
    #[must_use]
    pub fn new(file: &str) -> Self {
        Self {
            file: file.to_owned(),
            list: Vec::new(),
        }
    }

    /// Adds a finding for a line.
    pub fn add(&mut self, line: u32, message: impl Into<String>) {
        self.list.push(Finding {
            file: self.file.clone(),
            line,
            message: message.into(),
        });
    }

    /// Returns the findings collected so far.
    #[must_use]
    pub fn list(&self) -> &[Finding] {
        &self.list
    }

    /// Returns `value` if there are no findings.
    ///
    /// # Errors
    ///
    /// Returns the findings, sorted by line, if there is at least one.
    pub fn into_result<T>(mut self, value: T) -> Result<T, Self> {
        if self.list.is_empty() {
            return Ok(value);
        }
        self.list.sort_by_key(|finding| finding.line);
        Err(self)
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for finding in &self.list {
            writeln!(f, "{finding}")?;
        }
        write!(f, "{} finding(s) in {}", self.list.len(), self.file)
    }
}

impl Error for Findings {}
