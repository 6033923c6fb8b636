//! One server-sent event of a chat completion.

use {crate::EngineError, serde::Deserialize};

/// One token, or the end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Piece {
    /// A token at its position in the answer.
    Token {
        /// Position, from zero.
        index: u64,
        /// Text.
        text: String,
    },
    /// The answer is complete.
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
/// Fails where the fields are not those of a chat completion's event.
pub fn parse_event(id: Option<u64>, data: &str) -> Result<Piece, EngineError> {
    if data == "[DONE]" {
        return Ok(Piece::End);
    }
    let malformed = || EngineError::Malformed(data.chars().take(80).collect());
    let index = id.ok_or_else(malformed)?;
    let chunk: Chunk = serde_json::from_str(data).map_err(|_| malformed())?;
    let choice = chunk.choices.into_iter().next().ok_or_else(malformed)?;
    Ok(Piece::Token {
        index,
        text: choice.delta.content,
    })
}
