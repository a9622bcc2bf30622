//! The messages API: parsed bodies, rejected bodies, and the events of answers.

use proptest::prelude::*;
use serde_json::{Value, json};
use tulipstall_http1::sse;
use tulipstall_messages::{
    AnswerWriter, ErrorKind, TokenCounts, estimate_tokens, parse, parse_for_count, stop_reason,
};

fn body(change: Value) -> Vec<u8> {
    let mut body = json!({"model": "m", "max_tokens": 5, "messages": [{"role": "user", "content": "hi"}]});
    for (name, value) in change.as_object().into_iter().flatten() {
        if value.is_null() {
            body.as_object_mut().map(|body| body.remove(name));
        } else {
            body[name] = value.clone();
        }
    }
    body.to_string().into_bytes()
}

#[test]
fn invalid_and_unsupported_fields_are_rejected_by_name() {
    let cases = [
        (json!({"model": null}), "model"),
        (json!({"max_tokens": null}), "max_tokens"),
        (json!({"max_tokens": 0}), "max_tokens"),
        (json!({"max_tokens": -4}), "max_tokens"),
        (json!({"max_tokens": 1.5}), "max_tokens"),
        (json!({"messages": null}), "messages"),
        (json!({"messages": []}), "messages"),
        (json!({"messages": [{"role": "system", "content": "x"}]}), "messages.0.role"),
        (json!({"messages": [{"role": "assistant", "content": "x"}]}), "messages.0.role"),
        (json!({"messages": [{"role": "user", "content": ""}]}), "messages.0.content"),
        (
            json!({"messages": [{"role": "user", "content": [{"type": "image", "source": {}}]}]}),
            "messages.0.content.0",
        ),
        (json!({"messages": [{"role": "user", "content": [{"type": "text"}]}]}), "messages.0.content.0.text"),
        (
            json!({"messages": [{"role": "user", "content": [{"type": "sound"}]}]}),
            "messages.0.content.0.type",
        ),
        (json!({"tools": [{"name": "x"}]}), "tools"),
        (json!({"thinking": {"type": "enabled", "budget_tokens": 1024}}), "thinking"),
        (json!({"temperature": 1.1}), "temperature"),
        (json!({"stop_sequences": [" "]}), "stop_sequences"),
        (json!({"stop_sequences": vec!["x"; 17]}), "stop_sequences"),
        (json!({"metadata": {"user_id": "u".repeat(257)}}), "metadata.user_id"),
        (
            json!({"system": [{"type": "text", "text": "x", "cache_control": {"type": "for-ever"}}]}),
            "system.0.cache_control",
        ),
        (json!({"stream": "yes"}), "the body"),
    ];
    for (change, field) in cases {
        let error = parse(&body(change.clone())).expect_err(field);
        assert_eq!(error.kind, ErrorKind::InvalidRequest, "{change}");
        assert!(error.message.starts_with(field), "{change}: {}", error.message);
    }
    assert!(parse(&body(json!({"tools": [], "top_k": 3, "unknown": 1}))).is_ok());
    assert!(parse_for_count(&body(json!({"max_tokens": null}))).is_ok());
}

#[test]
fn the_shared_text_ends_at_the_last_breakpoint_or_with_the_system_text() {
    let cache_control = json!({"type": "ephemeral"});
    let message = |text: &str, has_breakpoint: bool| {
        let mut block = json!({"type": "text", "text": text});
        if has_breakpoint {
            block["cache_control"] = cache_control.clone();
        }
        json!({"role": "user", "content": [block]})
    };
    let cases = [
        (json!({}), ""),
        (json!({"system": "S"}), "S"),
        (
            json!({"system": [{"type": "text", "text": "A", "cache_control": cache_control}, {"type": "text", "text": "B"}]}),
            "A",
        ),
        (json!({"system": "S", "messages": [message("x", true)]}), "S\n\nHuman: x"),
        (json!({"system": "S", "messages": [message("x", true), message("y", false)]}), "S\n\nHuman: x"),
    ];
    for (change, shared) in cases {
        let call = parse(&body(change.clone())).expect("a valid body");
        assert_eq!(&call.prompt[..call.shared_bytes], shared, "{change}");
        assert_eq!(call.shared_hash.is_some(), !shared.is_empty(), "{change}");
    }
}

#[test]
fn sessions_are_identified_by_user_or_by_first_message() {
    let session = |change: Value| parse(&body(change)).expect("a valid body").session;
    let conversation = |texts: &[&str]| {
        let message = |(i, text): (usize, &&str)| {
            let role = ["user", "assistant"][i % 2];
            json!({"role": role, "content": text})
        };
        json!({"messages": texts.iter().enumerate().map(message).collect::<Vec<_>>()})
    };
    assert_eq!(
        session(conversation(&["a"])),
        session(conversation(&["a", "b", "c"])),
        "a continued conversation is the same session"
    );
    assert_ne!(session(conversation(&["a"])), session(conversation(&["b"])));
    let user = |id: &str, text: &str| json!({"metadata": {"user_id": id}, "messages": [{"role": "user", "content": text}]});
    assert_eq!(session(user("u", "a")), session(user("u", "b")));
    assert_ne!(session(user("u", "a")), session(user("v", "a")));
}

#[test]
fn events_have_the_names_and_order_of_the_api() {
    let answer = AnswerWriter { id: "msg_1".into(), model: "m".into() };
    let counts = TokenCounts { prompt_tokens: 10, cached_tokens: 4, output_tokens: 2 };
    let mut bytes = Vec::new();
    answer.start(&counts, &mut bytes);
    AnswerWriter::delta("เรือ \"\n", &mut bytes);
    AnswerWriter::end(&counts, &stop_reason(Some("stop"), Some("x")), &mut bytes);
    let (mut reader, mut events) = (sse::EventReader::new(10_000), Vec::new());
    reader.feed(&bytes, &mut events).expect("events");
    let data: Vec<Value> = events.iter().map(|e| serde_json::from_str(&e.data).expect("JSON")).collect();
    let names: Vec<&str> = events.iter().map(|event| event.name.as_str()).collect();
    let expected = [
        "message_start",
        "content_block_start",
        "ping",
        "content_block_delta",
        "content_block_stop",
        "message_delta",
        "message_stop",
    ];
    assert_eq!(names, expected);
    assert!(events.iter().zip(&data).all(|(event, data)| data["type"] == event.name));
    assert_eq!(data[0]["message"]["usage"]["input_tokens"], 6);
    assert_eq!(data[0]["message"]["usage"]["cache_read_input_tokens"], 4);
    assert_eq!(data[3]["delta"]["text"], "เรือ \"\n");
    assert_eq!(data[5]["delta"], json!({"stop_reason": "stop_sequence", "stop_sequence": "x"}));
}

#[test]
fn stop_reasons() {
    let cases = [
        (Some("stop"), None, "end_turn"),
        (Some("length"), None, "max_tokens"),
        (Some("stop"), Some("x"), "stop_sequence"),
        (None, None, "end_turn"),
    ];
    for (finish, stop, expected) in cases {
        assert_eq!(stop_reason(finish, stop).0, expected, "{finish:?} {stop:?}");
    }
}

proptest! {
    #[test]
    fn any_bytes_are_parsed_without_panic(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let _ = parse(&bytes);
    }

    #[test]
    fn token_estimates_are_within_their_bounds(text in ".{0,200}") {
        let tokens = estimate_tokens(&text) as usize;
        let chars = text.chars().count();
        prop_assert!(tokens <= chars && tokens * 4 >= chars);
    }

    #[test]
    fn deep_json_is_rejected(depth in 1usize..4000) {
        let text = format!("{{\"model\":\"m\",\"x\":{}{}}}", "[".repeat(depth), "]".repeat(depth));
        prop_assert!(parse(text.as_bytes()).is_err());
    }
}
