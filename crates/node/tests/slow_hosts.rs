//! Hosts that read large requests slowly.

mod platform;

use platform::*;
use socket2::{Domain, Socket, Type};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::PoisonError;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

const BODY_BYTES: usize = 250_000;
/// Time that the client waits.
const TIME_LEFT: Duration = Duration::from_millis(2000);
/// Up to this long after its time an answer is late and not lost; the test asks for a fifth of it.
const SLACK: Duration = Duration::from_millis(100);

/// A host whose system buffers little of what it has not read.
fn host_with_small_buffer(name: &'static str, script: &Script) -> Host {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(4096).expect("an option");
    let any: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    socket.bind(&any.into()).and_then(|()| socket.listen(64)).expect("a port");
    Host::start_on(TcpListener::from(socket), "a", name, script)
}

fn large_request(id: &str) -> String {
    let body = BODY.replace("\"x\"", &format!("\"{}\"", "x".repeat(BODY_BYTES)));
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: backend.local\r\nX-Txn: {id}\r\nX-Lane: chat\r\n\
         X-Remaining-Ms: {}\r\nX-Labels: prompt_len=20,max_out=10\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
        TIME_LEFT.as_millis(),
        body.len()
    )
}

/// A host that reads a request slowly takes no more of the answer's time than one that does not answer.
#[test]
fn a_host_that_reads_slowly_does_not_hold_the_answer_past_its_time() {
    let _exclusive = EXCLUSIVE.lock().unwrap_or_else(PoisonError::into_inner);
    for effect in ["pure", "side_effect"] {
        for slow in ["reader", "writers"] {
            for read_pause_ms in [5, 30, 400] {
                let (reads, writes) = (Script::default(), Script::default());
                let r1 = host_with_small_buffer("r1", &reads);
                let (w1, w2) = (host_with_small_buffer("w1", &writes), host_with_small_buffer("w2", &writes));
                let registry = Registry::start(&[&r1, &w1, &w2]);
                let config = config(&registry, 256, 1).replace("\"pure\"", &format!("\"{effect}\""));
                let node = start_node_with(&config);
                let slow_hosts = if slow == "reader" { vec![&r1] } else { vec![&w1, &w2] };
                slow_hosts.iter().for_each(|host| host.read_pause_ms.store(read_pause_ms, Ordering::SeqCst));
                let mut stream = connect(node.address());
                stream.write_all(large_request("large").as_bytes()).expect("a request");
                let sent = Instant::now();
                let mut answer = String::new();
                let _ = stream.read_to_string(&mut answer);
                let took = sent.elapsed();
                let status = answer.lines().next().unwrap_or("no answer").to_owned();
                let name = format!("{effect}, slow {slow}, {read_pause_ms} ms");
                println!("{name}: {status} after {took:?}");
                assert!(!answer.is_empty() && took < TIME_LEFT + SLACK, "{name}: {status} after {took:?}");
            }
        }
    }
}
