//! Trace files: one JSON object per line.

use {
    crate::LoadError,
    serde::{Deserialize, Serialize},
    std::path::Path,
};

/// Kind of request that a caller sends.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum EventKind {
    /// A chat completion.
    Chat {
        /// Urgency class.
        class: String,
        /// Index of the prompt's shared prefix.
        prefix: u32,
        /// Tokens in the response.
        tokens: u64,
        /// Whether the response is streamed.
        streamed: bool,
    },
    /// A call to the plain service.
    Call {
        /// HTTP method.
        method: String,
        /// Path within the service.
        path: String,
        /// Idempotency key, if the call is not idempotent.
        #[serde(skip_serializing_if = "Option::is_none")]
        key: Option<String>,
    },
}

/// One request of a trace.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Time since the start of the trace, in milliseconds.
    pub at_ms: u64,
    /// Name of the caller's workspace.
    pub workspace: String,
    /// Index of the router that the balancer chooses.
    pub router: usize,
    /// Sequence number in the trace; makes the prompt unique.
    pub number: u64,
    /// The request itself.
    #[serde(flatten)]
    pub kind: EventKind,
}

/// Reads a trace file.
///
/// # Errors
///
/// Fails if the file can't be read or a line is malformed.
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

/// Writes a trace file.
///
/// # Errors
///
/// Fails if the file can't be written.
pub fn write_trace(path: &Path, events: &[Event]) -> Result<(), LoadError> {
    let mut text = String::new();
    for event in events {
        text.push_str(&serde_json::to_string(event).unwrap_or_default());
        text.push('\n');
    }
    std::fs::write(path, text)
        .map_err(|error| LoadError::File(path.display().to_string(), error.to_string()))
}
