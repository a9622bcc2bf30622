//! The control socket: operators push lists of hosts to it and query the prefix index, health and metrics.

use crate::owner::OwnerMessage;
use crate::reply::{self, ResponseOptions};
use crate::{Shared, front};
use serde_json::{Value, json};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tulipstall_core::Core;
use tulipstall_http1::{RequestEvent, RequestHead, RequestReader};
use tulipstall_net::{Link, Listener, READ_BUFFER_BYTES, spawn};
use tulipstall_prefix::CachedPrefix;
use tulipstall_prefix::chain::BLOCK_TOKENS;
use tulipstall_settings::HostList;

/// How long a control connection may be idle.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Accepts control connections and serves each in a coroutine.
pub fn start(shared: Arc<Shared>, listener: Listener) {
    spawn(move || {
        loop {
            let Ok((link, _)) = listener.accept() else {
                tulipstall_net::sleep(Duration::from_millis(10));
                continue;
            };
            let shared = shared.clone();
            spawn(move || serve_connection(&shared, &link));
        }
    });
}

fn serve_connection(shared: &Arc<Shared>, link: &Link) {
    let mut reader = RequestReader::new(front::http_limits(shared));
    let mut buffer = [0; READ_BUFFER_BYTES];
    loop {
        let deadline = Instant::now() + IDLE_TIMEOUT;
        match reader.poll() {
            Ok(RequestEvent::Request(head, body)) => {
                let response = handle_request(shared, &head, body);
                if link.write(&response, deadline).is_err() || !head.keep_alive {
                    return;
                }
            }
            Ok(RequestEvent::Continue) => {
                if link.write(b"HTTP/1.1 100 Continue\r\n\r\n", deadline).is_err() {
                    return;
                }
            }
            Ok(RequestEvent::NeedMore { .. }) => match link.read(&mut buffer, deadline) {
                Ok(received) if received > 0 => reader.feed(&buffer[..received]),
                _ => return,
            },
            Err(refusal) => {
                let _ = link.write(
                    &reply::refusal(refusal.status(), refusal.reason(), ResponseOptions::default()),
                    deadline,
                );
                return;
            }
        }
    }
}

fn handle_request(shared: &Arc<Shared>, head: &RequestHead, body: Vec<u8>) -> Vec<u8> {
    let options = ResponseOptions { keep_alive: head.keep_alive, ..ResponseOptions::default() };
    match (head.method.as_str(), head.path()) {
        ("POST", "/v1/hosts") => push_list(shared, body, options),
        ("GET", "/v1/hosts") => {
            reply::json(options, &serde_json::to_string(&shared.hosts.list()).unwrap_or_default())
        }
        ("GET", "/v1/index") => index_summary(shared, options),
        ("POST", "/v1/index/explain") => explain(shared, head, &body, options),
        ("GET", "/health/live") => reply::json(options, "{\"live\":true}"),
        ("GET", "/metrics") => {
            reply::complete(200, "text/plain; version=0.0.4", options, &shared.metrics.text(shared))
        }
        _ => reply::refusal(404, "there is nothing here", options),
    }
}

/// Runs a query on the decision core in its owner's thread and waits for the result.
fn query_core<T: Send + 'static>(
    shared: &Shared,
    query: impl FnOnce(&mut Core, Duration) -> T + Send + 'static,
) -> Option<T> {
    let (result_sender, result) = may::sync::mpsc::channel();
    shared.owner_queue.send(OwnerMessage::Query(Box::new(move |core, now| {
        // The connection that asked may be gone.
        let _ = result_sender.send(query(core, now));
    })));
    result.recv().ok()
}

fn no_index_response(options: ResponseOptions) -> Vec<u8> {
    reply::refusal(409, "opening texts are not known by content here: prefixes.by", options)
}

/// Sizes of the prefix index, and for each listed host how many tokens it is estimated to hold and the confidence in
/// that estimate.
fn index_summary(shared: &Arc<Shared>, options: ResponseOptions) -> Vec<u8> {
    let hosts: Vec<String> = shared.hosts.list().hosts.iter().map(|line| line.host.to_string()).collect();
    let summary = query_core(shared, move |core, now| {
        let rows: Vec<_> =
            hosts.into_iter().filter_map(|name| Some((core.host_index(&name)?, name))).collect();
        let prefixes = core.prefixes()?;
        let (blocks, holdings) = prefixes.index().sizes();
        let rows: Vec<Value> = rows
            .into_iter()
            .map(|(host, name)| {
                let (held_blocks, confidence) = prefixes.host_status(now, host);
                json!({"host": name, "tokens": u64::from(held_blocks) * u64::from(BLOCK_TOKENS), "belief": confidence})
            })
            .collect();
        Some(json!({
            "blocks": blocks, "held": holdings, "most_blocks": prefixes.index().max_blocks(),
            "bytes": prefixes.index().max_bytes(), "tokens_a_block": BLOCK_TOKENS,
            "doubted": prefixes.fleet_suspected(), "hosts": rows,
        }))
    });
    match summary.flatten() {
        Some(summary) => reply::json(options, &summary.to_string()),
        None => no_index_response(options),
    }
}

/// What each host is estimated to hold of the prompt in the body, as a prompt of the customer named by `x-customer`.
fn explain(shared: &Arc<Shared>, head: &RequestHead, body: &[u8], options: ResponseOptions) -> Vec<u8> {
    let Ok(text) = std::str::from_utf8(body) else { return reply::refusal(400, "a prompt is text", options) };
    let customers = &shared.settings.customers;
    let customer = head.header("x-customer").and_then(|name| customers.iter().position(|c| c.name == name));
    let chain = shared.chain(customer.map(|index| index as u32), text);
    let block_count = chain.len();
    let cached = query_core(shared, move |core, now| {
        core.prefixes()?;
        let cached = core.cached_estimates(now, &chain);
        let row = |prefix: &CachedPrefix| {
            let host = core.host_name(prefix.host).unwrap_or_default();
            json!({"host": host, "tokens": prefix.blocks * BLOCK_TOKENS, "belief": prefix.confidence})
        };
        Some(cached.iter().map(row).collect::<Vec<Value>>())
    });
    match cached.flatten() {
        Some(cached) => reply::json(
            options,
            &json!({"prompt_tokens_in_blocks": block_count as u64 * u64::from(BLOCK_TOKENS), "kept": cached})
                .to_string(),
        ),
        None => no_index_response(options),
    }
}

/// Applies a pushed list. Validation against the schema needs a deep stack and some time, so a thread does it while this
/// coroutine waits.
fn push_list(shared: &Arc<Shared>, body: Vec<u8>, options: ResponseOptions) -> Vec<u8> {
    let (result_sender, result) = may::sync::mpsc::channel();
    let checker = std::thread::Builder::new().name("check-list".into()).spawn(move || {
        let text = String::from_utf8_lossy(&body);
        let _ = result_sender.send(HostList::read(&text));
    });
    let checked = checker.ok().and_then(|_| result.recv().ok());
    match checked {
        Some(Ok(list)) => {
            shared.hosts.apply(shared, &list, "push");
            reply::json(options, &format!("{{\"version\":{}}}", list.version))
        }
        Some(Err(violations)) => {
            shared.metrics.lists.with_label_values(&["push", "refused"]).inc();
            let violations: Vec<String> = violations.iter().map(ToString::to_string).collect();
            tracing::warn!(faults = violations.join("; "), "a pushed list is refused, the last one stays");
            reply::refusal(400, &violations.join("; "), options)
        }
        None => reply::refusal(503, "no thread to check the list", options),
    }
}
