//! Writes answers: as the events of a stream, in the order that the API defines, or as a single message.

use serde_json::{Value, json};
use tulipstall_http1::sse;

/// Token counts as reported by the engines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TokenCounts {
    pub prompt_tokens: u32,
    pub cached_tokens: u32,
    pub output_tokens: u32,
}

impl TokenCounts {
    /// The `usage` object. As the API defines it, `input_tokens` excludes cached tokens.
    fn usage(&self) -> Value {
        json!({
            "input_tokens": self.prompt_tokens.saturating_sub(self.cached_tokens),
            "cache_creation_input_tokens": 0,
            "cache_read_input_tokens": self.cached_tokens.min(self.prompt_tokens),
            "output_tokens": self.output_tokens,
        })
    }
}

/// Converts an engine's finish reason and matched stop sequence to the API's stop reason and stop sequence.
pub fn stop_reason(finish: Option<&str>, stop: Option<&str>) -> (&'static str, Option<String>) {
    match (finish, stop) {
        (Some("length"), _) => ("max_tokens", None),
        (_, Some(stop)) => ("stop_sequence", Some(stop.to_owned())),
        _ => ("end_turn", None),
    }
}

/// Writer of one answer. Events are appended to a buffer.
pub struct AnswerWriter {
    pub id: String,
    pub model: String,
}

impl AnswerWriter {
    /// Writes the events that begin a stream.
    pub fn start(&self, counts: &TokenCounts, out: &mut Vec<u8>) {
        let message = json!({"type": "message_start", "message": {
            "id": self.id, "type": "message", "role": "assistant", "model": self.model, "content": [],
            "stop_reason": null, "stop_sequence": null, "usage": counts.usage(),
        }});
        sse::write_event("message_start", &message.to_string(), out);
        let block = r#"{"type":"content_block_start","index":0,"content_block":{"type":"text","text":""}}"#;
        sse::write_event("content_block_start", block, out);
        Self::ping(out);
    }

    pub fn ping(out: &mut Vec<u8>) {
        sse::write_event("ping", r#"{"type":"ping"}"#, out);
    }

    /// Writes an event with a piece of text.
    pub fn delta(text: &str, out: &mut Vec<u8>) {
        // Serializing a string cannot fail.
        let text = serde_json::to_string(text).unwrap_or_default();
        out.extend_from_slice(
            b"event: content_block_delta\ndata: {\"type\":\"content_block_delta\",\"index\":0,",
        );
        out.extend_from_slice(b"\"delta\":{\"type\":\"text_delta\",\"text\":");
        out.extend_from_slice(text.as_bytes());
        out.extend_from_slice(b"}}\n\n");
    }

    /// Writes the events that end a stream. `stop` is the result of [`stop_reason`].
    pub fn end(counts: &TokenCounts, stop: &(&'static str, Option<String>), out: &mut Vec<u8>) {
        sse::write_event("content_block_stop", r#"{"type":"content_block_stop","index":0}"#, out);
        let delta = json!({
            "type": "message_delta",
            "delta": {"stop_reason": stop.0, "stop_sequence": stop.1},
            "usage": counts.usage(),
        });
        sse::write_event("message_delta", &delta.to_string(), out);
        sse::write_event("message_stop", r#"{"type":"message_stop"}"#, out);
    }

    /// Writes an error event, for a stream in progress that cannot be completed.
    pub fn error(error: &crate::ApiError, request_id: &str, out: &mut Vec<u8>) {
        sse::write_event("error", &error.body(request_id), out);
    }

    /// The complete message, for a request without a stream.
    pub fn message(&self, text: &str, counts: &TokenCounts, stop: &(&'static str, Option<String>)) -> String {
        json!({
            "id": self.id, "type": "message", "role": "assistant", "model": self.model,
            "content": [{"type": "text", "text": text}],
            "stop_reason": stop.0, "stop_sequence": stop.1, "usage": counts.usage(),
        })
        .to_string()
    }
}

/// The body of the answer to `POST /v1/messages/count_tokens`.
pub fn count_tokens(tokens: u32) -> String {
    json!({"input_tokens": tokens}).to_string()
}

/// The body of the answer to `GET /v1/models`.
pub fn models(names: &[String]) -> String {
    let data: Vec<Value> = names
        .iter()
        .map(|name| {
            json!({"type": "model", "id": name, "display_name": name, "created_at": "1970-01-01T00:00:00Z"})
        })
        .collect();
    json!({"data": data, "has_more": false, "first_id": names.first(), "last_id": names.last()}).to_string()
}
