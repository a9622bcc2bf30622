//! The control socket: lists of hosts are pushed here, and the daemon tells of itself.

use crate::owner::Post;
use crate::reply::{self, With};
use crate::{Shared, front};
use serde_json::{Value, json};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tulipstall_core::Core;
use tulipstall_http1::{Head, RequestReader, Step};
use tulipstall_net::{Link, Listener, READ, spawn};
use tulipstall_prefix::Kept;
use tulipstall_prefix::chain::BLOCK;
use tulipstall_settings::HostList;

/// How long a control connection may be silent.
const IDLE: Duration = Duration::from_secs(60);

pub fn start(shared: Arc<Shared>, listener: Listener) {
    spawn(move || {
        loop {
            let Ok((link, _)) = listener.accept() else {
                tulipstall_net::sleep(Duration::from_millis(10));
                continue;
            };
            let shared = shared.clone();
            spawn(move || serve(&shared, &link));
        }
    });
}

fn serve(shared: &Arc<Shared>, link: &Link) {
    let mut reader = RequestReader::new(front::limits(shared));
    let mut buffer = [0; READ];
    loop {
        let until = Instant::now() + IDLE;
        match reader.poll() {
            Ok(Step::Request(head, body)) => {
                let answer = answer(shared, &head, body);
                if link.write(&answer, until).is_err() || !head.keep_alive {
                    return;
                }
            }
            Ok(Step::Continue) => {
                if link.write(b"HTTP/1.1 100 Continue\r\n\r\n", until).is_err() {
                    return;
                }
            }
            Ok(Step::More { .. }) => match link.read(&mut buffer, until) {
                Ok(got) if got > 0 => reader.feed(&buffer[..got]),
                _ => return,
            },
            Err(refusal) => {
                let _ = link.write(&reply::refusal(refusal.status(), refusal.why(), With::default()), until);
                return;
            }
        }
    }
}

fn answer(shared: &Arc<Shared>, head: &Head, body: Vec<u8>) -> Vec<u8> {
    let with = With { keep_alive: head.keep_alive, ..With::default() };
    match (head.method.as_str(), head.path()) {
        ("POST", "/v1/hosts") => push(shared, body, with),
        ("GET", "/v1/hosts") => {
            reply::json(with, &serde_json::to_string(&shared.hosts.list()).unwrap_or_default())
        }
        ("GET", "/v1/index") => about_index(shared, with),
        ("POST", "/v1/index/explain") => explain(shared, head, &body, with),
        ("GET", "/health/live") => reply::json(with, "{\"live\":true}"),
        ("GET", "/metrics") => {
            reply::whole(200, "text/plain; version=0.0.4", with, &shared.metrics.text(shared))
        }
        _ => reply::refusal(404, "there is nothing here", with),
    }
}

/// Asks the owner of the decisions, and waits for its answer.
fn look<T: Send + 'static>(
    shared: &Shared,
    what: impl FnOnce(&mut Core, Duration) -> T + Send + 'static,
) -> Option<T> {
    let (done, answer) = may::sync::mpsc::channel();
    shared.posts.post(Post::Look(Box::new(move |core, now| {
        // Who asked may have gone.
        let _ = done.send(what(core, now));
    })));
    answer.recv().ok()
}

fn no_index(with: With) -> Vec<u8> {
    reply::refusal(409, "opening texts are not known by content here: prefixes.by", with)
}

/// Sizes of the index, and for each listed host what it holds and how far that is believed.
fn about_index(shared: &Arc<Shared>, with: With) -> Vec<u8> {
    let hosts: Vec<String> = shared.hosts.list().hosts.iter().map(|line| line.host.to_string()).collect();
    let about = look(shared, move |core, now| {
        let rows: Vec<_> = hosts.into_iter().filter_map(|name| Some((core.host(&name)?, name))).collect();
        let prefixes = core.prefixes()?;
        let (blocks, held) = prefixes.index().sizes();
        let rows: Vec<Value> = rows
            .into_iter()
            .map(|(host, name)| {
                let (held, belief) = prefixes.host(now, host);
                json!({"host": name, "tokens": u64::from(held) * u64::from(BLOCK), "belief": belief})
            })
            .collect();
        Some(json!({
            "blocks": blocks, "held": held, "most_blocks": prefixes.index().most_blocks(),
            "bytes": prefixes.index().bytes(), "tokens_a_block": BLOCK, "doubted": prefixes.doubted(), "hosts": rows,
        }))
    });
    match about.flatten() {
        Some(about) => reply::json(with, &about.to_string()),
        None => no_index(with),
    }
}

/// What hosts hold of the prompt that is sent as the body, and whose the customer is that `x-customer` names.
fn explain(shared: &Arc<Shared>, head: &Head, body: &[u8], with: With) -> Vec<u8> {
    let Ok(text) = std::str::from_utf8(body) else { return reply::refusal(400, "a prompt is text", with) };
    let customers = &shared.settings.customers;
    let customer = head.text("x-customer").and_then(|name| customers.iter().position(|c| c.name == name));
    let chain = shared.chain(customer.map(|at| at as u32), text);
    let whole = chain.len();
    let kept = look(shared, move |core, now| {
        core.prefixes()?;
        let kept = core.kept_of(now, &chain);
        let row = |kept: &Kept| {
            let host = core.host_name(kept.host).unwrap_or_default();
            json!({"host": host, "tokens": kept.blocks * BLOCK, "belief": kept.belief})
        };
        Some(kept.iter().map(row).collect::<Vec<Value>>())
    });
    match kept.flatten() {
        Some(kept) => reply::json(
            with,
            &json!({"prompt_tokens_in_blocks": whole as u64 * u64::from(BLOCK), "kept": kept}).to_string(),
        ),
        None => no_index(with),
    }
}

/// Validating a list against its schema takes deep stacks and some time: a thread does it, this coroutine
/// waits.
fn push(shared: &Arc<Shared>, body: Vec<u8>, with: With) -> Vec<u8> {
    let (done, result) = may::sync::mpsc::channel();
    let checker = std::thread::Builder::new().name("check-list".into()).spawn(move || {
        let text = String::from_utf8_lossy(&body);
        let _ = done.send(HostList::read(&text));
    });
    let checked = checker.ok().and_then(|_| result.recv().ok());
    match checked {
        Some(Ok(list)) => {
            shared.hosts.apply(shared, &list, "push");
            reply::json(with, &format!("{{\"version\":{}}}", list.version))
        }
        Some(Err(faults)) => {
            shared.metrics.lists.with_label_values(&["push", "refused"]).inc();
            let faults: Vec<String> = faults.iter().map(ToString::to_string).collect();
            tracing::warn!(faults = faults.join("; "), "a pushed list is refused, the last one stays");
            reply::refusal(400, &faults.join("; "), with)
        }
        None => reply::refusal(503, "no thread to check the list", with),
    }
}
