//! Parses the body of `POST /v1/messages`. Invalid and unsupported fields are rejected with status 400 and a
//! message that names the field.

use crate::{ApiError, ErrorKind};
use serde::Deserialize;
use serde_json::{Map, Value};
use std::hash::{DefaultHasher, Hash, Hasher};

/// A parsed request of a client.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MessageRequest {
    pub model: String,
    pub stream: bool,
    /// Maximum number of tokens in the answer.
    pub max_tokens: u32,
    /// The whole conversation as text for the engines.
    pub prompt: String,
    /// Length in bytes of the shared text at the start of the prompt: up to the last cache breakpoint, or the
    /// system text if there is none.
    pub shared_bytes: usize,
    /// Hash of the shared text, the same at every dispatcher. Absent if there is no shared text.
    pub shared_hash: Option<String>,
    /// Hash that identifies the session: of the user id if given, otherwise of the first message with the
    /// text before it.
    pub session: String,
    /// Stop sequences.
    pub stop_sequences: Vec<String>,
    /// Sampling parameters for the engines, by their names.
    pub sampling: Map<String, Value>,
}

#[derive(Deserialize)]
struct Body {
    model: Option<String>,
    max_tokens: Option<Value>,
    messages: Option<Vec<Message>>,
    system: Option<Content>,
    metadata: Option<Metadata>,
    stop_sequences: Option<Vec<String>>,
    #[serde(default)]
    stream: bool,
    temperature: Option<f64>,
    top_p: Option<f64>,
    top_k: Option<u64>,
    tools: Option<Vec<Value>>,
    tool_choice: Option<Value>,
    thinking: Option<Thinking>,
    service_tier: Option<Value>,
}

#[derive(Deserialize)]
struct Thinking {
    #[serde(rename = "type")]
    kind: String,
}

#[derive(Deserialize)]
struct Metadata {
    user_id: Option<String>,
}

#[derive(Deserialize)]
struct Message {
    role: String,
    content: Content,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Content {
    Text(String),
    Blocks(Vec<Block>),
}

#[derive(Deserialize)]
struct Block {
    #[serde(rename = "type")]
    kind: String,
    text: Option<String>,
    cache_control: Option<CacheControl>,
}

#[derive(Deserialize)]
struct CacheControl {
    #[serde(rename = "type")]
    kind: String,
}

/// Limits for stop sequences, well within what engines accept.
const MAX_STOP_SEQUENCE_BYTES: usize = 256;
const MAX_STOP_SEQUENCES: usize = 16;
/// Maximum number of messages in a conversation, far more than a body of permitted size has.
const MAX_MESSAGES: usize = 100_000;

fn invalid(message: impl Into<String>) -> ApiError {
    ApiError::new(ErrorKind::InvalidRequest, message)
}

fn stable_hash(parts: &[&str]) -> String {
    // Unseeded, so that all dispatchers compute the same hash.
    let mut hasher = DefaultHasher::new();
    parts.hash(&mut hasher);
    format!("{:016x}", hasher.finish())
}

impl MessageRequest {
    /// Appends a message's content to the prompt and sets `breakpoint` to the end of its last block with a
    /// cache breakpoint. `path` is the path of the content in the body, for error messages.
    fn append_content(
        &mut self,
        content: &Content,
        path: &str,
        breakpoint: &mut Option<usize>,
    ) -> Result<(), ApiError> {
        let blocks = match content {
            Content::Text(text) => {
                self.prompt.push_str(text);
                return Ok(());
            }
            Content::Blocks(blocks) => blocks,
        };
        for (i, block) in blocks.iter().enumerate() {
            let text = match (block.kind.as_str(), &block.text) {
                ("text", Some(text)) => text,
                ("text", None) => return Err(invalid(format!("{path}.{i}.text: field required"))),
                (kind @ ("image" | "document" | "tool_use" | "tool_result" | "thinking"), _) => {
                    let why = format!("{path}.{i}: blocks of type '{kind}' are not served here");
                    return Err(invalid(why));
                }
                (kind, _) => return Err(invalid(format!("{path}.{i}.type: unknown type '{}'", clip(kind)))),
            };
            self.prompt.push_str(text);
            if let Some(control) = &block.cache_control {
                if control.kind != "ephemeral" {
                    return Err(invalid(format!("{path}.{i}.cache_control.type: 'ephemeral' is wanted")));
                }
                *breakpoint = Some(self.prompt.len());
            }
        }
        Ok(())
    }
}

/// Clips a text sent by the client for use in an error message.
fn clip(text: &str) -> String {
    text.chars().take(40).collect()
}

/// Parses the body of a request for an answer.
pub fn parse(body: &[u8]) -> Result<MessageRequest, ApiError> {
    parse_body(body, true)
}

/// Parses the body of a `count_tokens` request, which does not need `max_tokens`.
pub fn parse_for_count(body: &[u8]) -> Result<MessageRequest, ApiError> {
    parse_body(body, false)
}

fn parse_body(body: &[u8], needs_max_tokens: bool) -> Result<MessageRequest, ApiError> {
    let body: Body = serde_json::from_slice(body).map_err(|error| invalid(format!("the body: {error}")))?;
    let required = |field: &str| invalid(format!("{field}: field required"));
    let mut call =
        MessageRequest { model: body.model.ok_or_else(|| required("model"))?, ..MessageRequest::default() };
    if call.model.is_empty() || call.model.len() > 256 {
        return Err(invalid("model: 1 to 256 characters are wanted"));
    }
    if needs_max_tokens {
        let max_tokens = body.max_tokens.ok_or_else(|| required("max_tokens"))?;
        let max_tokens =
            max_tokens.as_u64().filter(|max_tokens| (1..=u64::from(u32::MAX)).contains(max_tokens));
        call.max_tokens =
            max_tokens.ok_or_else(|| invalid("max_tokens: a whole number of at least 1 is wanted"))? as u32;
    }
    if body.tools.is_some_and(|tools| !tools.is_empty()) || body.tool_choice.is_some() {
        return Err(invalid("tools: the engines behind this API have no tools"));
    }
    if body.thinking.is_some_and(|thinking| thinking.kind != "disabled") {
        return Err(invalid("thinking: the engines behind this API have none"));
    }
    // Accepted for compatibility, has no effect.
    drop(body.service_tier);
    call.stream = body.stream;
    let range = |field: &str, value: Option<f64>| match value {
        Some(value) if !(0.0..=1.0).contains(&value) => Err(invalid(format!("{field}: 0 to 1 is wanted"))),
        Some(value) => Ok(Some(Value::from(value))),
        None => Ok(None),
    };
    for (field, value) in [
        ("temperature", range("temperature", body.temperature)?),
        ("top_p", range("top_p", body.top_p)?),
        ("top_k", body.top_k.map(Value::from)),
    ] {
        if let Some(value) = value {
            call.sampling.insert(field.to_owned(), value);
        }
    }
    call.stop_sequences = body.stop_sequences.unwrap_or_default();
    if call.stop_sequences.len() > MAX_STOP_SEQUENCES
        || call.stop_sequences.iter().any(|stop| stop.len() > MAX_STOP_SEQUENCE_BYTES)
    {
        return Err(invalid(format!(
            "stop_sequences: at most {MAX_STOP_SEQUENCES} of {MAX_STOP_SEQUENCE_BYTES} bytes each"
        )));
    }
    if call.stop_sequences.iter().any(|stop| stop.trim().is_empty()) {
        return Err(invalid("stop_sequences: each must have a character that is no white space"));
    }
    let messages = body.messages.ok_or_else(|| required("messages"))?;
    if messages.is_empty() || messages.len() > MAX_MESSAGES {
        return Err(invalid("messages: at least one message is required"));
    }
    let mut breakpoint = None;
    if let Some(system) = &body.system {
        call.append_content(system, "system", &mut breakpoint)?;
    }
    let system_bytes = call.prompt.len();
    let mut first_message_end = 0;
    for (i, message) in messages.iter().enumerate() {
        let role_prefix = match message.role.as_str() {
            "user" => "\n\nHuman: ",
            "assistant" => "\n\nAssistant: ",
            other => {
                let why =
                    format!("messages.{i}.role: 'user' or 'assistant' is wanted, not '{}'", clip(other));
                return Err(invalid(why));
            }
        };
        if i == 0 && message.role != "user" {
            return Err(invalid("messages.0.role: the first message must be the user's"));
        }
        call.prompt.push_str(role_prefix);
        let content_start = call.prompt.len();
        call.append_content(&message.content, &format!("messages.{i}.content"), &mut breakpoint)?;
        if call.prompt.len() == content_start {
            return Err(invalid(format!("messages.{i}.content: text is wanted")));
        }
        if i == 0 {
            first_message_end = call.prompt.len();
        }
    }
    // If the last message is the assistant's, the engine continues it; otherwise the assistant's turn begins.
    if messages.last().is_some_and(|message| message.role == "user") {
        call.prompt.push_str("\n\nAssistant:");
    }
    call.shared_bytes = breakpoint.unwrap_or(system_bytes);
    if call.shared_bytes > 0 {
        call.shared_hash = Some(stable_hash(&["shared", &call.prompt[..call.shared_bytes]]));
    }
    call.session = match body.metadata.and_then(|metadata| metadata.user_id) {
        Some(user) if user.len() > 256 => return Err(invalid("metadata.user_id: at most 256 characters")),
        Some(user) => stable_hash(&["user", &user]),
        None => stable_hash(&["opening", &call.prompt[..first_message_end]]),
    };
    Ok(call)
}
