//! Traces: one JSON object a line.

use {
    crate::LoadError,
    serde::{Deserialize, Serialize},
    std::path::Path,
};

/// What a caller asks for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum EventKind {
    /// A chat completion.
    Chat {
        /// Urgency class.
        class: String,
        /// Number of the prompt's common start.
        prefix: u32,
        /// Tokens of the answer.
        tokens: u64,
        /// Whether the answer is streamed.
        streamed: bool,
    },
    /// A call of the plain service.
    Call {
        /// Method.
        method: String,
        /// Path.
        path: String,
        /// Idempotency key.
        #[serde(skip_serializing_if = "Option::is_none")]
        key: Option<String>,
    },
}

/// One request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Time since the trace's start.
    pub at_ms: u64,
    /// Workspace.
    pub workspace: String,
    /// Router that the balancer chooses, counted from zero.
    pub router: usize,
    /// Number within the trace; makes the prompt unique.
    pub number: u64,
    /// What is asked for.
    #[serde(flatten)]
    pub kind: EventKind,
}

/// Reads a trace.
///
/// # Errors
///
/// Fails where the file can't be read or a line is malformed.
pub fn read_trace(path: &Path) -> Result<Vec<Event>, LoadError> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path)
        .map_err(|error| LoadError::File(name.clone(), error.to_string()))?;
    text.lines()
        .enumerate()
        .map(|(index, line)| {
            serde_json::from_str(line)
                .map_err(|error| LoadError::Trace(name.clone(), index + 1, error.to_string()))
        })
        .collect()
}

/// Writes a trace.
///
/// # Errors
///
/// Fails where the file can't be written.
pub fn write_trace(path: &Path, events: &[Event]) -> Result<(), LoadError> {
    let mut text = String::new();
    for event in events {
        text.push_str(&serde_json::to_string(event).unwrap_or_default());
        text.push('\n');
    }
    std::fs::write(path, text)
        .map_err(|error| LoadError::File(path.display().to_string(), error.to_string()))
}
