//! Server-sent events of a chat completion.

use {crate::EngineError, serde::Deserialize};

/// A token, or the end of the stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamEvent {
    /// A generated token.
    Token {
        /// Position in the response, from zero.
        index: u64,
        /// Text of the token.
        text: String,
    },
    /// The response is complete.
    End,
}

#[derive(Debug, Deserialize)]
struct Chunk {
    choices: Vec<Choice>,
}

#[derive(Debug, Deserialize)]
struct Choice {
    delta: Delta,
}

#[derive(Debug, Deserialize)]
struct Delta {
    #[serde(default)]
    content: String,
}

/// Parses an event from its `id` and `data` fields.
///
/// # Errors
///
/// Returns [`EngineError::Malformed`] if the fields are not those of a chat completion event.
pub fn parse_event(id: Option<u64>, data: &str) -> Result<StreamEvent, EngineError> {
    if data == "[DONE]" {
        return Ok(StreamEvent::End);
    }
    let malformed = || EngineError::Malformed(data.chars().take(80).collect());
    let index = id.ok_or_else(malformed)?;
    let chunk: Chunk = serde_json::from_str(data).map_err(|_| malformed())?;
    let choice = chunk.choices.into_iter().next().ok_or_else(malformed)?;
    Ok(StreamEvent::Token {
        index,
        text: choice.delta.content,
    })
}
