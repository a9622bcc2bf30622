//! Ids of requests whose clients have left.

mod platform;

use platform::*;
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;

/// More ids than are kept.
const NEW_IDS: usize = 20_000;
const CLIENTS: usize = 16;

/// Sends requests of the class `safe` with ever new ids, each as soon as the one before is answered.
fn send_new_ids(address: SocketAddr, client: usize) {
    let mut stream = connect(address);
    let mut buffer = [0; 4096];
    for number in 0..NEW_IDS / CLIENTS {
        let text = request_text(&format!("new{client}x{number}"), "").replace("X-Lane: chat", "X-Lane: safe");
        stream.write_all(text.as_bytes()).expect("a request");
        let mut answer = Vec::new();
        while !answer.ends_with(b"0\r\n\r\n") && !answer.ends_with(b"\"}") {
            let got = stream.read(&mut buffer).expect("an answer");
            assert!(got > 0, "the connection was closed");
            answer.extend_from_slice(&buffer[..got]);
        }
    }
}

/// A client leaves while its request runs, others send ever new ids, and the id comes again: a request that must not be
/// repeated ran twice.
#[test]
fn an_id_that_comes_again_after_a_flood_of_others_does_not_run_twice() {
    let _exclusive = EXCLUSIVE.lock().unwrap_or_else(PoisonError::into_inner);
    let (reads, writes) = (Script::default(), Script::default());
    let (r1, w1) = (Host::start("r1", &reads), Host::start("w1", &writes));
    let registry = Registry::start(&[&r1, &w1]);
    let config = config(&registry, 256, 1);
    let (before, chat) = config.split_once("\"Profiles\":[").expect("classes");
    let chat = chat.replace("\"pure\"", "\"side_effect\"").replace("3000000", "30000000");
    let safe =
        r#"{"Name":"safe","TargetUs":1500000,"HardLimitUs":3000000,"Idempotency":"pure","Group":"all"}"#;
    let node = start_node_with(&format!("{before}\"Profiles\":[{safe},{chat}"));
    let attempts =
        || w1.calls().iter().filter(|(call, id, _)| call.starts_with("POST") && id == "left").count();
    w1.script_replies(&[ScriptedReply::NoAnswer]);
    let mut stream = connect(node.address());
    stream.write_all(request_text("left", "").as_bytes()).expect("a request");
    thread::sleep(Duration::from_millis(200));
    drop(stream);
    assert_eq!(attempts(), 1, "the request runs");
    thread::scope(|scope| {
        for client in 0..CLIENTS {
            let address = node.address();
            scope.spawn(move || send_new_ids(address, client));
        }
    });
    let answer = exchange(node.address(), &request_text("left", "Connection: close\r\n"));
    assert_eq!(attempts(), 1, "it ran twice: {answer}");
    assert!(answer.starts_with("HTTP/1.1 409"), "{answer}");
}
