//! Chat completions: the request's fields that the router reads, and the answer's JSON.

use serde::{Deserialize, Serialize};

/// Characters of the first message that stand for a prompt's prefix.
const PREFIX_CHARS: usize = 256;

/// What the router reads of a request.
#[derive(Debug, Deserialize)]
pub struct ChatRequest {
    /// Model.
    pub model: String,
    /// Messages.
    pub messages: Vec<ChatMessage>,
    /// Whether the answer is streamed.
    #[serde(default)]
    pub stream: bool,
}

/// A message.
#[derive(Debug, Serialize, Deserialize)]
pub struct ChatMessage {
    /// Role.
    pub role: String,
    /// Text.
    pub content: String,
}

impl ChatRequest {
    /// Parses a body and returns it with the body that engines are sent, which always streams.
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

    /// Returns the identifier of the prompt's start.
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

/// Returns the event of a token, or of the end where `text` is `None`.
pub fn event(id: &str, model: &str, index: u64, text: Option<&str>) -> Vec<u8> {
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

/// Returns the whole answer's JSON.
pub fn whole(id: &str, model: &str, text: String, tokens: u64) -> Vec<u8> {
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
