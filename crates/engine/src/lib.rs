//! The engines' protocol (docs/engines.md): completions over HTTP, the hand-over of a read state in
//! `kv_transfer_params`, loads in the ORCA header. Bytes in, what they prove out; no I/O.

use http::HeaderMap;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value, json};
use tulipstall::interface::{Load, Outcome};

/// The path of completions and of held states.
pub const COMPLETIONS: &str = "/v1/completions";
pub const STATES: &str = "/v1/states/";
/// Our extension: why a request was turned away, provably unread.
pub const WHY: &str = "x-tulipstall-why";
/// Our extension: the mark by which a host discards repeats of a referenced task.
pub const REFERENCE: &str = "x-tulipstall-reference";
pub const LOAD_HEADER: &str = "endpoint-load-metrics";

/// What a task asks of its engines, whatever the stage.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Prompt {
    pub model: String,
    pub text: String,
    pub most_tokens: u32,
    pub stop: Vec<String>,
    /// Sampling figures, passed on as they came.
    pub sampling: Map<String, Value>,
    pub reference: Option<String>,
    pub resume: Option<Resume>,
}

/// Our extension: the prompt ends with so many bytes of an answer that was begun elsewhere, and the writer is to say
/// its tokens from this position on, telling the position of each.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resume {
    pub answer_bytes: usize,
    pub from: u32,
}

/// The field of a body that carries [`Resume`].
pub const RESUME: &str = "tulipstall_resume";

/// A read state that waits at a reader: what the reader said, handed to the writer as it is.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct State {
    pub remote_engine_id: String,
    pub remote_host: String,
    pub remote_port: u16,
    /// Our extension: one name for the state, where engines list blocks.
    pub state_id: String,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Stage<'a> {
    /// Read the prompt and keep its state.
    Read,
    /// Fetch the state and answer.
    Write(&'a State),
    /// Read and answer.
    Whole,
}

/// The JSON body of one shot.
pub fn body(prompt: &Prompt, stage: Stage) -> Vec<u8> {
    let mut body = prompt.sampling.clone();
    body.insert("model".into(), json!(prompt.model));
    body.insert("prompt".into(), json!(prompt.text));
    let read = stage == Stage::Read;
    if let Some(resume) = &prompt.resume {
        body.insert(RESUME.into(), json!(resume));
    }
    body.insert("max_tokens".into(), json!(if read { 1 } else { prompt.most_tokens }));
    body.insert("stream".into(), json!(!read));
    if !read {
        body.insert("stream_options".into(), json!({"include_usage": true}));
        if !prompt.stop.is_empty() {
            body.insert("stop".into(), json!(prompt.stop));
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

/// A whole request for a shot, ready to be written; it names the dispatcher (RFC 9110 section 7.6.3).
pub fn request(host: &str, from: &str, task: &str, prompt: &Prompt, body: &[u8]) -> Vec<u8> {
    let mut out = Vec::with_capacity(body.len() + 256);
    out.extend_from_slice(
        format!(
            "POST {COMPLETIONS} HTTP/1.1\r\nhost: {host}\r\nvia: 1.1 {from}\r\n\
             content-type: application/json\r\nx-request-id: {task}\r\ncontent-length: {}\r\n",
            body.len()
        )
        .as_bytes(),
    );
    if let Some(reference) = &prompt.reference {
        out.extend_from_slice(format!("{REFERENCE}: {reference}\r\n").as_bytes());
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(body);
    out
}

/// What a status that is no success proves.
pub fn refused(status: u16, why: Option<&str>) -> Outcome {
    match (status, why) {
        (429 | 503, Some("full" | "draining")) => Outcome::Full,
        (404 | 409 | 424, Some("no-state")) => Outcome::NoState,
        // Without the mark nothing is proved: the engine may have begun.
        _ => Outcome::Error,
    }
}

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
    /// The token's bytes where the engine tells them, as it does where a character takes several tokens.
    pub bytes: Option<Vec<u8>>,
    /// Which token of the whole answer it is, where the engine says so.
    pub position: Option<u32>,
    pub finish: Option<String>,
    /// Which stop sequence ended it, where the engine says so.
    pub stop: Option<String>,
    pub usage: Option<Usage>,
    pub state: Option<State>,
    /// The engine reports an error inside the stream.
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
    /// What it says.
    pub fn said(&self) -> &[u8] {
        self.bytes.as_deref().unwrap_or(self.text.as_bytes())
    }

    /// Whether it is a token: one may say nothing while its engine waits for a character's other bytes.
    pub fn is_token(&self) -> bool {
        !self.said().is_empty() || (self.position.is_some() && self.finish.is_none())
    }
}

/// The end mark of a stream.
pub const DONE: &str = "[DONE]";

/// Reads the JSON of one event, or of a reader's whole answer.
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

/// A load report from the ORCA header (`JSON {…}` or `TEXT name=value, …`): the figures named, in their order.
pub fn load(headers: &HeaderMap, names: &[String]) -> Option<Load> {
    let text = headers.get(LOAD_HEADER)?.to_str().ok()?;
    let (form, rest) = text.split_once(' ')?;
    let mut load = Load { count: names.len().min(4), ..Load::default() };
    let figures = match form {
        "JSON" => Figures::Json(serde_json::from_str(rest).ok()?),
        "TEXT" => Figures::Text(rest),
        _ => return None,
    };
    for (i, name) in names.iter().take(4).enumerate() {
        load.values[i] = figures.find(name).filter(|value| value.is_finite())?;
    }
    Some(load)
}

enum Figures<'a> {
    Json(Value),
    Text(&'a str),
}

impl Figures<'_> {
    fn find(&self, name: &str) -> Option<f64> {
        match self {
            Figures::Json(value) => value.pointer(&format!("/{}", name.replace('.', "/")))?.as_f64(),
            Figures::Text(text) => {
                let mut pairs = text.split(',').filter_map(|pair| pair.split_once('='));
                pairs.find(|(own, _)| own.trim() == name)?.1.trim().parse().ok()
            }
        }
    }
}
