//! Parses clients' requests: head and body become a task or a rejection. Anything that two parties could
//! interpret differently is rejected here, as a host must never receive a request that no client has made.

use serde::Deserialize;
use serde::de::IgnoredAny;
use std::time::Duration;
use tulipstall::interface::Config;
use tulipstall_core::TaskRequest;
use tulipstall_http1::RequestHead;

/// Target of completion requests.
pub const COMPLETIONS_PATH: &str = "/v1/chat/completions";
/// Target of the readiness check.
pub const READY_PATH: &str = "/health/ready";
/// Target of the liveness check.
pub const LIVE_PATH: &str = "/health/live";

pub const ID_HEADER: &str = "x-txn";
pub const TIME_LEFT_HEADER: &str = "x-remaining-ms";
/// By this key hosts recognise repeats of a request of a keyed class
/// (draft-ietf-httpapi-idempotency-key-header).
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
const OFFERING_HEADER: &str = "x-lane";
const CUSTOMER_HEADER: &str = "x-org";
const SESSION_HEADER: &str = "x-entity";
const LABELS_HEADER: &str = "x-labels";
const RESENT_HEADER: &str = "x-resent";
const EXPECTED_DURATION_HEADER: &str = "x-estimate";

/// The platform's limit for a body.
pub const MAX_BODY_BYTES: usize = 256 << 10;
/// Ids appear in paths and logs; those of the platform have 16 characters.
const MAX_ID_BYTES: usize = 64;
/// Limit for names of sessions and shared texts, which are stored.
const MAX_NAME_BYTES: usize = 128;
/// Limit for the digits of a time or a length.
const MAX_DIGITS: usize = 12;

/// The effect of offerings whose requests may run any number of times.
const REPEATABLE_EFFECT: &str = "replayable";

/// Why a request is rejected: the status and the text of the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    pub status: u16,
    pub reason: &'static str,
}

fn bad_request<T>(reason: &'static str) -> Result<T, Rejection> {
    Err(Rejection { status: 400, reason })
}

/// The offerings and customers, in the order of the configuration.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    offerings: Vec<Offering>,
    customers: Vec<String>,
}

/// What is known of an offering here.
#[derive(Clone, Debug)]
struct Offering {
    name: String,
    deadline: Duration,
    /// Its requests may run any number of times.
    is_repeatable: bool,
}

impl Catalog {
    pub fn new(config: &Config) -> Self {
        let name =
            |list: &str, i: usize| config.text(&format!("{list}.{i}.name")).unwrap_or_default().to_owned();
        let deadline = |i: usize| {
            config.duration(&format!("offerings.{i}.hard_stop_us")).unwrap_or(Duration::from_secs(3600))
        };
        let is_repeatable =
            |i: usize| config.text(&format!("offerings.{i}.effect")) == Some(REPEATABLE_EFFECT);
        let offering = |i| Offering {
            name: name("offerings", i),
            deadline: deadline(i),
            is_repeatable: is_repeatable(i),
        };
        Catalog {
            offerings: (0..config.list_len("offerings")).map(offering).collect(),
            customers: (0..config.list_len("customers")).map(|i| name("customers", i)).collect(),
        }
    }
}

impl Catalog {
    /// The longest time for which any request may wait.
    pub fn max_deadline(&self) -> Duration {
        self.offerings.iter().map(|offering| offering.deadline).max().unwrap_or_default()
    }

    /// Whether requests of an offering may run any number of times.
    pub fn is_repeatable(&self, offering: u32) -> bool {
        self.offerings.get(offering as usize).is_some_and(|offering| offering.is_repeatable)
    }
}

/// A parsed completion request.
#[derive(Clone, Debug)]
pub struct Call {
    pub id: String,
    /// Idempotency key, forwarded unchanged with every attempt.
    pub key: Option<String>,
    pub request: TaskRequest,
}

/// The part of the body that is checked here. The hosts read the rest.
#[derive(Deserialize)]
struct Body {
    messages: Vec<IgnoredAny>,
}

/// The value of a header that may occur at most once.
fn single_header<'a>(head: &'a RequestHead, name: &str) -> Result<Option<&'a str>, Rejection> {
    let mut values = head.headers.get_all(name).iter();
    let Some(value) = values.next() else { return Ok(None) };
    // Names may be in any script: the header's bytes are decoded as UTF-8.
    match (std::str::from_utf8(value.as_bytes()), values.next()) {
        (Ok(text), None) => Ok(Some(text.trim())),
        _ => bad_request("a header can't be read, or stands twice"),
    }
}

fn parse_number(text: &str) -> Option<u64> {
    let is_valid = !text.is_empty() && text.len() <= MAX_DIGITS && text.bytes().all(|b| b.is_ascii_digit());
    is_valid.then(|| text.parse().ok()).flatten()
}

fn bounded_name(text: Option<&str>) -> Result<Option<String>, Rejection> {
    match text {
        Some(text) if text.len() > MAX_NAME_BYTES => bad_request("a name is too long"),
        other => Ok(other.filter(|text| !text.is_empty()).map(str::to_owned)),
    }
}

/// Parses a request to [`COMPLETIONS_PATH`].
pub fn parse(head: &RequestHead, body: &[u8], catalog: &Catalog) -> Result<Call, Rejection> {
    let id = match single_header(head, ID_HEADER)? {
        None | Some("") => return bad_request("a request needs an id"),
        Some(id) => id,
    };
    if id.len() > MAX_ID_BYTES
        || !id.bytes().all(|b| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.'))
    {
        return bad_request("the id can't be read");
    }
    let Some(offering) = single_header(head, OFFERING_HEADER)?
        .and_then(|lane| catalog.offerings.iter().position(|offering| offering.name == lane))
    else {
        return bad_request("there is no such class");
    };
    let Some(time_left_ms) = single_header(head, TIME_LEFT_HEADER)?.and_then(parse_number) else {
        return bad_request("the time left is no number");
    };
    if serde_json::from_slice::<Body>(body).map_or(true, |body| body.messages.is_empty()) {
        return bad_request("the body can't be read");
    }
    let customer = single_header(head, CUSTOMER_HEADER)?
        .and_then(|org| catalog.customers.iter().position(|name| name == org));
    let (mut shared, mut token_counts) = (None, [0_u64; 3]);
    for label in
        single_header(head, LABELS_HEADER)?.unwrap_or_default().split(',').filter(|label| !label.is_empty())
    {
        let (key, value) =
            label.split_once('=').ok_or(Rejection { status: 400, reason: "a label can't be read" })?;
        let count = match key.trim() {
            "prefix" => {
                shared = Some(value);
                continue;
            }
            "prompt_len" => &mut token_counts[0],
            "prefix_len" => &mut token_counts[1],
            "max_out" => &mut token_counts[2],
            _ => continue,
        };
        *count =
            parse_number(value.trim()).ok_or(Rejection { status: 400, reason: "a label is no number" })?;
    }
    // A token takes at least one byte, so that no prompt has more tokens than the largest body has bytes.
    let capped = |count: u64| count.min(MAX_BODY_BYTES as u64) as u32;
    let deadline = catalog.offerings[offering].deadline;
    let expected_duration = single_header(head, EXPECTED_DURATION_HEADER)?
        .and_then(parse_number)
        .filter(|us| *us > 0)
        .map(Duration::from_micros);
    let request = TaskRequest {
        offering: offering as u32,
        customer: customer.map(|customer| customer as u32),
        session: bounded_name(single_header(head, SESSION_HEADER)?)?,
        shared: bounded_name(shared)?,
        time_left: Duration::from_millis(time_left_ms).min(deadline),
        expected_duration,
        prompt_tokens: capped(token_counts[0]),
        shared_tokens: capped(token_counts[1]),
        max_answer_tokens: capped(token_counts[2]),
        is_repeat: single_header(head, RESENT_HEADER)?.is_some(),
        ..TaskRequest::default()
    };
    Ok(Call {
        id: id.to_owned(),
        key: single_header(head, IDEMPOTENCY_KEY_HEADER)?.map(str::to_owned),
        request,
    })
}
