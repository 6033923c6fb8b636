//! JSON of chat completions: the request fields that the router reads, and the responses.

use serde::{Deserialize, Serialize};

/// Characters of the first message whose digest identifies the prompt's prefix.
const PREFIX_CHARS: usize = 256;

/// The fields of a request that the router reads.
#[derive(Debug, Deserialize)]
pub struct ChatRequest {
    /// Name of the model.
    pub model: String,
    /// Messages of the prompt; never empty.
    pub messages: Vec<ChatMessage>,
    /// Whether the caller wants a streamed response.
    #[serde(default)]
    pub stream: bool,
}

/// A message of a prompt or completion.
#[derive(Debug, Serialize, Deserialize)]
pub struct ChatMessage {
    /// Role of the author, such as `assistant`.
    pub role: String,
    /// Text of the message.
    pub content: String,
}

impl ChatRequest {
    /// Parses a body. Returns the request and the body for engines, which always asks for a stream.
    /// Returns `None` if the body is malformed or has no messages.
    pub fn parse(body: &[u8]) -> Option<(Self, Vec<u8>)> {
        let mut json: serde_json::Value = serde_json::from_slice(body).ok()?;
        let request = Self::deserialize(&json).ok()?;
        if request.messages.is_empty() {
            return None;
        }
        json.as_object_mut()?.insert("stream".into(), true.into());
        let forwarded = serde_json::to_vec(&json).ok()?;
        Some((request, forwarded))
    }

    /// Returns the digest of the start of the prompt.
    pub fn prefix(&self) -> u32 {
        let first = self
            .messages
            .first()
            .map_or("", |message| message.content.as_str());
        let start: String = first.chars().take(PREFIX_CHARS).collect();
        baobab_unit::id_of(&start)
    }
}

#[derive(Debug, Serialize)]
struct Chunk<'a> {
    id: &'a str,
    object: &'a str,
    model: &'a str,
    choices: [ChunkChoice<'a>; 1],
}

#[derive(Debug, Serialize)]
struct ChunkChoice<'a> {
    index: u32,
    delta: Delta<'a>,
    finish_reason: Option<&'a str>,
}

#[derive(Debug, Serialize)]
struct Delta<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    content: Option<&'a str>,
}

#[derive(Debug, Serialize)]
struct Completion<'a> {
    id: &'a str,
    object: &'a str,
    model: &'a str,
    choices: [CompletionChoice<'a>; 1],
    usage: Usage,
}

#[derive(Debug, Serialize)]
struct CompletionChoice<'a> {
    index: u32,
    message: ChatMessage,
    finish_reason: &'a str,
}

#[derive(Debug, Serialize)]
struct Usage {
    completion_tokens: u64,
}

/// Returns the server-sent event of a token, or of the end of the stream if `text` is `None`.
pub fn chunk_event(id: &str, model: &str, index: u64, text: Option<&str>) -> Vec<u8> {
    let chunk = Chunk {
        id,
        object: "chat.completion.chunk",
        model,
        choices: [ChunkChoice {
            index: 0,
            delta: Delta { content: text },
            finish_reason: text.is_none().then_some("stop"),
        }],
    };
    let json = serde_json::to_string(&chunk).unwrap_or_default();
    format!("id: {index}\ndata: {json}\n\n").into_bytes()
}

/// Returns the JSON of a complete response.
pub fn completion_json(id: &str, model: &str, text: String, tokens: u64) -> Vec<u8> {
    let completion = Completion {
        id,
        object: "chat.completion",
        model,
        choices: [CompletionChoice {
            index: 0,
            message: ChatMessage {
                role: "assistant".into(),
                content: text,
            },
            finish_reason: "stop",
        }],
        usage: Usage {
            completion_tokens: tokens,
        },
    };
    serde_json::to_vec(&completion).unwrap_or_default()
}
