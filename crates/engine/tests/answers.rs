//! The engines' protocol: outcomes of error answers, request bodies, pieces of answers, load reports.

use http::{HeaderMap, HeaderValue};
use proptest::prelude::*;
use serde_json::Value;
use tulipstall::interface::Outcome;
use tulipstall_engine::{EngineRequest, LOAD_HEADER, Stage, State, body, error_outcome, load, piece};

#[test]
fn only_an_error_with_a_reason_proves_that_nothing_ran() {
    let cases = [
        (429, Some("full"), Outcome::Full),
        (503, Some("draining"), Outcome::Full),
        (424, Some("no-state"), Outcome::NoState),
        (429, None, Outcome::Error),
        (503, None, Outcome::Error),
        (500, Some("full"), Outcome::Error),
        (404, None, Outcome::Error),
        (400, Some("no-state"), Outcome::Error),
    ];
    for (status, reason, expected) in cases {
        assert_eq!(error_outcome(status, reason), expected, "{status} {reason:?}");
    }
}

#[test]
fn a_body_matches_its_stage() {
    let prompt = EngineRequest {
        model: "m".into(),
        text: "p".into(),
        max_tokens: 9,
        stop: vec!["x".into()],
        ..EngineRequest::default()
    };
    let state = State {
        remote_engine_id: "e".into(),
        remote_host: "127.0.0.1".into(),
        remote_port: 7,
        state_id: "s".into(),
    };
    let body_of = |stage| serde_json::from_slice::<Value>(&body(&prompt, stage)).expect("JSON");
    let read = body_of(Stage::Read);
    assert_eq!((&read["max_tokens"], &read["stream"]), (&1.into(), &false.into()));
    assert_eq!(read["kv_transfer_params"]["do_remote_decode"], true);
    let write = body_of(Stage::Write(&state));
    assert_eq!((&write["max_tokens"], &write["stop"][0]), (&9.into(), &"x".into()));
    assert_eq!(write["kv_transfer_params"]["state_id"], "s");
    assert_eq!(write["kv_transfer_params"]["do_remote_prefill"], true);
    assert!(body_of(Stage::Whole).get("kv_transfer_params").is_none());
}

#[test]
fn load_reports_in_both_formats_of_the_header() {
    let names = ["mem_utilization".to_owned(), "named_metrics.to_read".to_owned()];
    let cases = [
        ("JSON {\"mem_utilization\":0.5,\"named_metrics\":{\"to_read\":2}}", Some([0.5, 2.0])),
        ("TEXT mem_utilization=0.5, named_metrics.to_read=2", Some([0.5, 2.0])),
        ("JSON {\"mem_utilization\":0.5}", None),
        ("JSON {\"mem_utilization\":\"x\",\"named_metrics\":{\"to_read\":2}}", None),
        ("TEXT mem_utilization=NaN,named_metrics.to_read=1", None),
        ("BIN abcd", None),
        ("JSON", None),
        ("", None),
    ];
    for (text, expected) in cases {
        let mut headers = HeaderMap::new();
        headers.insert(LOAD_HEADER, HeaderValue::from_static(text));
        let values = load(&headers, &names).map(|load| [load.values[0], load.values[1]]);
        assert_eq!(values, expected, "{text}");
    }
}

#[test]
fn pieces_of_answers_are_parsed() {
    let cases = [
        (r#"{"choices":[{"text":"เรือ","finish_reason":null}]}"#, Some("เรือ"), false),
        (r#"{"choices":[],"usage":{"prompt_tokens":3,"completion_tokens":1}}"#, Some(""), false),
        (r#"{"error":{"message":"x"}}"#, Some(""), true),
        (r#"{"choices":[{"text":"#, None, false),
        (r#"[]"#, None, false),
    ];
    for (text, expected, error) in cases {
        let parsed = piece(text);
        assert_eq!(parsed.as_ref().map(|piece| piece.text.as_str()), expected, "{text}");
        assert_eq!(parsed.is_some_and(|piece| piece.error), error, "{text}");
    }
}

proptest! {
    #[test]
    fn any_text_is_parsed_without_panic(text in ".{0,300}") {
        let _ = piece(&text);
        let mut headers = HeaderMap::new();
        if let Ok(value) = HeaderValue::from_str(&text) {
            headers.insert(LOAD_HEADER, value);
        }
        let _ = load(&headers, &["a".to_owned()]);
    }
}
