//! Codec of the engines' protocol (docs/engines.md), without I/O: completions over HTTP, the transfer of a
//! state (KV cache) from a reader to a writer in `kv_transfer_params`, and load reports in the ORCA header.

use http::HeaderMap;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value, json};
use tulipstall::interface::{LoadReport, Outcome};

/// Path of completions.
pub const COMPLETIONS_PATH: &str = "/v1/completions";
/// Path of held states; a state's id follows.
pub const STATES_PATH: &str = "/v1/states/";
/// Extension of the protocol: the reason for rejecting a request, given only if the request was not started.
pub const REASON_HEADER: &str = "x-tulipstall-why";
/// Extension of the protocol: the reference by which a host discards repeats of a request of a referenced
/// offering.
pub const REFERENCE_HEADER: &str = "x-tulipstall-reference";
/// Header with a load report in the ORCA format.
pub const LOAD_HEADER: &str = "endpoint-load-metrics";

/// The request of a task to its engines, in all stages.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineRequest {
    pub model: String,
    pub text: String,
    /// Maximum number of tokens in the answer.
    pub max_tokens: u32,
    /// Stop sequences.
    pub stop: Vec<String>,
    /// Sampling parameters, passed on unchanged.
    pub sampling: Map<String, Value>,
    /// Reference of the request, by which hosts discard repeats.
    pub reference: Option<String>,
    /// Set if an answer begun at another writer is resumed.
    pub resume: Option<Resume>,
}

/// Extension of the protocol for resuming an answer begun at another writer: the prompt ends with
/// `answer_bytes` bytes of that answer, and the writer sends the tokens from position `from` on, each with
/// its position.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resume {
    pub answer_bytes: usize,
    pub from: u32,
}

/// The field of a body that carries [`Resume`].
pub const RESUME_FIELD: &str = "tulipstall_resume";

/// A state (KV cache) that a reader holds, as the reader reported it. It is passed on to the writer
/// unchanged.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct State {
    pub remote_engine_id: String,
    pub remote_host: String,
    pub remote_port: u16,
    /// Extension of the protocol: a single id of the state, instead of a list of blocks.
    pub state_id: String,
}

/// What an attempt asks of an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Stage<'a> {
    /// Read (prefill) the prompt and hold its state for a writer.
    Read,
    /// Fetch the state from its reader and write the answer (decode).
    Write(&'a State),
    /// Read the prompt and write the answer.
    Whole,
}

/// The JSON body of an attempt.
pub fn body(request: &EngineRequest, stage: Stage) -> Vec<u8> {
    let mut body = request.sampling.clone();
    body.insert("model".into(), json!(request.model));
    body.insert("prompt".into(), json!(request.text));
    let is_read = stage == Stage::Read;
    if let Some(resume) = &request.resume {
        body.insert(RESUME_FIELD.into(), json!(resume));
    }
    body.insert("max_tokens".into(), json!(if is_read { 1 } else { request.max_tokens }));
    body.insert("stream".into(), json!(!is_read));
    if !is_read {
        body.insert("stream_options".into(), json!({"include_usage": true}));
        if !request.stop.is_empty() {
            body.insert("stop".into(), json!(request.stop));
        }
    }
    match stage {
        Stage::Read => {
            body.insert(
                "kv_transfer_params".into(),
                json!({"do_remote_decode": true, "do_remote_prefill": false}),
            );
        }
        Stage::Write(state) => {
            let mut params = serde_json::to_value(state).unwrap_or_default();
            params["do_remote_prefill"] = json!(true);
            params["do_remote_decode"] = json!(false);
            body.insert("kv_transfer_params".into(), params);
        }
        Stage::Whole => {}
    }
    serde_json::to_vec(&Value::Object(body)).unwrap_or_default()
}

/// The complete HTTP request of an attempt. The `via` header names the dispatcher (RFC 9110 section 7.6.3).
pub fn request(
    host: &str,
    dispatcher: &str,
    request_id: &str,
    request: &EngineRequest,
    body: &[u8],
) -> Vec<u8> {
    let mut out = Vec::with_capacity(body.len() + 256);
    out.extend_from_slice(
        format!(
            "POST {COMPLETIONS_PATH} HTTP/1.1\r\nhost: {host}\r\nvia: 1.1 {dispatcher}\r\n\
             content-type: application/json\r\nx-request-id: {request_id}\r\ncontent-length: {}\r\n",
            body.len()
        )
        .as_bytes(),
    );
    if let Some(reference) = &request.reference {
        out.extend_from_slice(format!("{REFERENCE_HEADER}: {reference}\r\n").as_bytes());
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(body);
    out
}

/// The outcome of an attempt that was answered with an error status and, optionally, the reason in the
/// [`REASON_HEADER`] header.
pub fn error_outcome(status: u16, reason: Option<&str>) -> Outcome {
    match (status, reason) {
        (429 | 503, Some("full" | "draining")) => Outcome::Full,
        (404 | 409 | 424, Some("no-state")) => Outcome::NoState,
        // Without the reason the engine may have started the request.
        _ => Outcome::Error,
    }
}

/// Token counts reported by an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    pub prompt_tokens: u32,
    pub completion_tokens: u32,
    pub cached_tokens: u32,
}

/// One piece of an answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Piece {
    pub text: String,
    /// Bytes of the token, where the engine reports them: if a character is split between several tokens.
    pub bytes: Option<Vec<u8>>,
    /// Position of the token in the whole answer, where the engine reports it.
    pub position: Option<u32>,
    /// Why the answer ended, in its last piece.
    pub finish: Option<String>,
    /// The stop sequence that ended the answer, where the engine reports it.
    pub stop: Option<String>,
    pub usage: Option<Usage>,
    /// The state that a reader holds.
    pub state: Option<State>,
    /// The engine reported an error within the answer.
    pub error: bool,
}

#[derive(Deserialize)]
struct RawPiece {
    #[serde(default)]
    choices: Vec<RawChoice>,
    usage: Option<RawUsage>,
    kv_transfer_params: Option<State>,
    error: Option<Value>,
}

#[derive(Deserialize)]
struct RawChoice {
    #[serde(default)]
    text: String,
    bytes: Option<Vec<u8>>,
    position: Option<u32>,
    finish_reason: Option<String>,
    stop_reason: Option<Value>,
}

#[derive(Deserialize)]
struct RawUsage {
    #[serde(default)]
    prompt_tokens: u32,
    #[serde(default)]
    completion_tokens: u32,
    prompt_tokens_details: Option<RawDetails>,
}

#[derive(Deserialize)]
struct RawDetails {
    cached_tokens: Option<u32>,
}

impl Piece {
    /// The text of the piece as bytes.
    pub fn text_bytes(&self) -> &[u8] {
        self.bytes.as_deref().unwrap_or(self.text.as_bytes())
    }

    /// Whether the piece is a token. A token may have no text if the engine waits for the remaining bytes of
    /// a character.
    pub fn is_token(&self) -> bool {
        !self.text_bytes().is_empty() || (self.position.is_some() && self.finish.is_none())
    }
}

/// The data of the event that ends a stream.
pub const END_OF_STREAM: &str = "[DONE]";

/// Parses the data of one event of a stream, or the body of a reader's answer. Absent if it is malformed.
pub fn piece(data: &str) -> Option<Piece> {
    let raw: RawPiece = serde_json::from_str(data).ok()?;
    let usage = raw.usage.map(|usage| Usage {
        prompt_tokens: usage.prompt_tokens,
        completion_tokens: usage.completion_tokens,
        cached_tokens: usage.prompt_tokens_details.and_then(|d| d.cached_tokens).unwrap_or(0),
    });
    let error = raw.error.is_some();
    let mut piece = Piece { usage, state: raw.kv_transfer_params, error, ..Piece::default() };
    if let Some(choice) = raw.choices.into_iter().next() {
        (piece.text, piece.bytes, piece.position) = (choice.text, choice.bytes, choice.position);
        piece.finish = choice.finish_reason;
        piece.stop = choice.stop_reason.and_then(|stop| stop.as_str().map(str::to_owned));
    }
    Some(piece)
}

/// Parses a load report in the ORCA header (`JSON {…}` or `TEXT name=value, …`): the metrics with the given
/// names, in the order of the names. Absent if one of them is missing or not finite.
pub fn load(headers: &HeaderMap, names: &[String]) -> Option<LoadReport> {
    let text = headers.get(LOAD_HEADER)?.to_str().ok()?;
    let (format, rest) = text.split_once(' ')?;
    let mut load = LoadReport { count: names.len().min(4), ..LoadReport::default() };
    let metrics = match format {
        "JSON" => Metrics::Json(serde_json::from_str(rest).ok()?),
        "TEXT" => Metrics::Text(rest),
        _ => return None,
    };
    for (i, name) in names.iter().take(4).enumerate() {
        load.values[i] = metrics.find(name).filter(|value| value.is_finite())?;
    }
    Some(load)
}

/// The metrics of a load report, in either format.
enum Metrics<'a> {
    Json(Value),
    Text(&'a str),
}

impl Metrics<'_> {
    /// The value of a metric; dots in the name separate levels.
    fn find(&self, name: &str) -> Option<f64> {
        match self {
            Metrics::Json(value) => value.pointer(&format!("/{}", name.replace('.', "/")))?.as_f64(),
            Metrics::Text(text) => {
                let mut pairs = text.split(',').filter_map(|pair| pair.split_once('='));
                pairs.find(|(key, _)| key.trim() == name)?.1.trim().parse().ok()
            }
        }
    }
}
