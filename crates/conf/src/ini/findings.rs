//! What is wrong with a file, and where.

use std::{error::Error, fmt};

/// One thing wrong with a file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// The file's name as the operator gave it.
    pub file: String,
    /// Line, counted from one.
    pub line: u32,
    /// What is wrong, for the person who edits the file.
    pub message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.file, self.line, self.message)
    }
}

/// Everything wrong with a file, in the order of its lines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Findings {
    file: String,
    list: Vec<Finding>,
}

impl Findings {
    /// Starts an empty collection for a file.
    #[must_use]
    pub fn new(file: &str) -> Self {
        Self {
            file: file.to_owned(),
            list: Vec::new(),
        }
    }

    /// Adds a finding.
    pub fn add(&mut self, line: u32, message: impl Into<String>) {
        self.list.push(Finding {
            file: self.file.clone(),
            line,
            message: message.into(),
        });
    }

    /// Returns the findings.
    #[must_use]
    pub fn list(&self) -> &[Finding] {
        &self.list
    }

    /// Returns the value where nothing was found, else the findings in line order.
    ///
    /// # Errors
    ///
    /// Returns itself where it holds at least one finding.
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
