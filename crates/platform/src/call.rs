//! Parses clients' requests: head and body become a task or a rejection. Anything that two parties could
//! interpret differently is rejected here, as a host must never receive a request that no client has made.

use serde::Deserialize;
use serde::de::IgnoredAny;
use std::time::Duration;
use tulipstall::interface::Terms;
use tulipstall_core::Ask;
use tulipstall_http1::Head;

pub const PATH: &str = "/v1/chat/completions";
pub const READY: &str = "/health/ready";
pub const LIVE: &str = "/health/live";

pub const ID: &str = "x-txn";
pub const LEFT: &str = "x-remaining-ms";
/// By this key hosts recognise repeats of a request of a keyed class (draft-ietf-httpapi-idempotency-key-
/// header).
pub const KEY: &str = "idempotency-key";
const OFFERING: &str = "x-lane";
const CUSTOMER: &str = "x-org";
const SESSION: &str = "x-entity";
const LABELS: &str = "x-labels";
const RESENT: &str = "x-resent";
const HINT: &str = "x-estimate";

/// The platform's limit for a body.
pub const BODY: usize = 256 << 10;
/// Ids appear in paths and logs; those of the platform have 16 characters.
const ID_BYTES: usize = 64;
/// Limit for names of sessions and shared texts, which are stored.
const NAME_BYTES: usize = 128;
/// Limit for the digits of a time or a length.
const DIGITS: usize = 12;

/// Why a request is rejected: the status and the text of the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused {
    pub status: u16,
    pub why: &'static str,
}

fn bad<T>(why: &'static str) -> Result<T, Refused> {
    Err(Refused { status: 400, why })
}

/// The offerings and customers, in the order of the configuration.
#[derive(Clone, Debug, Default)]
pub struct Names {
    offerings: Vec<(String, Duration)>,
    customers: Vec<String>,
}

impl Names {
    pub fn new(terms: &Terms) -> Self {
        let name =
            |list: &str, i: usize| terms.text(&format!("{list}.{i}.name")).unwrap_or_default().to_owned();
        let stop = |i: usize| {
            terms.span(&format!("offerings.{i}.hard_stop_us")).unwrap_or(Duration::from_secs(3600))
        };
        Names {
            offerings: (0..terms.entries("offerings")).map(|i| (name("offerings", i), stop(i))).collect(),
            customers: (0..terms.entries("customers")).map(|i| name("customers", i)).collect(),
        }
    }
}

impl Names {
    /// The longest time for which any request may wait.
    pub fn longest(&self) -> Duration {
        self.offerings.iter().map(|(_, stop)| *stop).max().unwrap_or_default()
    }
}

#[derive(Clone, Debug)]
pub struct Call {
    pub id: String,
    /// Forwarded unchanged with every attempt.
    pub key: Option<String>,
    pub ask: Ask,
}

/// The part of the body that is checked here. The hosts read the rest.
#[derive(Deserialize)]
struct Body {
    messages: Vec<IgnoredAny>,
}

/// The value of a header that may occur at most once.
fn one<'a>(head: &'a Head, name: &str) -> Result<Option<&'a str>, Refused> {
    let mut values = head.headers.get_all(name).iter();
    let Some(value) = values.next() else { return Ok(None) };
    // Names may be in any script: the header's bytes are decoded as UTF-8.
    match (std::str::from_utf8(value.as_bytes()), values.next()) {
        (Ok(text), None) => Ok(Some(text.trim())),
        _ => bad("a header can't be read, or stands twice"),
    }
}

fn number(text: &str) -> Option<u64> {
    let digits = !text.is_empty() && text.len() <= DIGITS && text.bytes().all(|b| b.is_ascii_digit());
    digits.then(|| text.parse().ok()).flatten()
}

fn name(text: Option<&str>) -> Result<Option<String>, Refused> {
    match text {
        Some(text) if text.len() > NAME_BYTES => bad("a name is too long"),
        other => Ok(other.filter(|text| !text.is_empty()).map(str::to_owned)),
    }
}

pub fn read(head: &Head, body: &[u8], names: &Names) -> Result<Call, Refused> {
    let id = match one(head, ID)? {
        None | Some("") => return bad("a request needs an id"),
        Some(id) => id,
    };
    if id.len() > ID_BYTES
        || !id.bytes().all(|b| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.'))
    {
        return bad("the id can't be read");
    }
    let Some(offering) =
        one(head, OFFERING)?.and_then(|lane| names.offerings.iter().position(|(name, _)| name == lane))
    else {
        return bad("there is no such class");
    };
    let Some(left) = one(head, LEFT)?.and_then(number) else {
        return bad("the time left is no number");
    };
    if serde_json::from_slice::<Body>(body).map_or(true, |body| body.messages.is_empty()) {
        return bad("the body can't be read");
    }
    let customer = one(head, CUSTOMER)?.and_then(|org| names.customers.iter().position(|name| name == org));
    let (mut shared, mut lengths) = (None, [0_u64; 3]);
    for label in one(head, LABELS)?.unwrap_or_default().split(',').filter(|label| !label.is_empty()) {
        let (key, value) =
            label.split_once('=').ok_or(Refused { status: 400, why: "a label can't be read" })?;
        let length = match key.trim() {
            "prefix" => {
                shared = Some(value);
                continue;
            }
            "prompt_len" => &mut lengths[0],
            "prefix_len" => &mut lengths[1],
            "max_out" => &mut lengths[2],
            _ => continue,
        };
        *length = number(value.trim()).ok_or(Refused { status: 400, why: "a label is no number" })?;
    }
    // A token takes at least one byte, so that no prompt has more tokens than the largest body has bytes.
    let tokens = |length: u64| length.min(BODY as u64) as u32;
    let stop = names.offerings[offering].1;
    let hint = one(head, HINT)?.and_then(number).filter(|us| *us > 0).map(Duration::from_micros);
    let ask = Ask {
        offering: offering as u32,
        customer: customer.map(|customer| customer as u32),
        session: name(one(head, SESSION)?)?,
        shared: name(shared)?,
        left: Duration::from_millis(left).min(stop),
        hint,
        prompt_tokens: tokens(lengths[0]),
        shared_tokens: tokens(lengths[1]),
        most_tokens: tokens(lengths[2]),
        again: one(head, RESENT)?.is_some(),
        ..Ask::default()
    };
    Ok(Call { id: id.to_owned(), key: one(head, KEY)?.map(str::to_owned), ask })
}
