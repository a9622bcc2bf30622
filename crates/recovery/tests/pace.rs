//! When a stream should move although its writer still streams, as a table.

use std::time::Duration;
use tulipstall_recovery::pace::{MoveReason, Paces, StreamPace};

fn ms(ms: f64) -> Duration {
    Duration::from_secs_f64(ms / 1e3)
}

/// Statistics of thirty answers with this many tokens and milliseconds per token.
fn recorded_paces(tokens: u32, pace_ms: f64) -> Paces {
    let mut paces = Paces::default();
    for _ in 0..30 {
        paces.record_answer(0, tokens, ms(150.0), ms(pace_ms * f64::from(tokens - 1)));
    }
    paces.record_gap(ms(200.0));
    paces
}

#[test]
fn a_stream_moves_where_that_keeps_the_agreed_pace() {
    // Agreed: 50 ms per token. Usual tokens of an answer and usual milliseconds per token; the stream's tokens and its
    // milliseconds per token; how long its draining host still runs; the expected result.
    let cases = [
        ("sound", 100, 20.0, 40, 20.0, None, None),
        ("a little slow", 100, 20.0, 40, 39.0, None, None),
        ("slow, but within what is agreed", 100, 10.0, 40, 45.0, None, None),
        ("slow past what is agreed", 100, 20.0, 40, 80.0, None, Some(MoveReason::Slow)),
        ("as slow as all other writers", 100, 80.0, 40, 80.0, None, None),
        ("a move would not meet the agreed pace", 100, 45.0, 96, 100.0, None, None),
        ("far past the usual length", 100, 20.0, 400, 80.0, None, None),
        ("drains, ends in time", 100, 20.0, 40, 20.0, Some(ms(2000.0)), None),
        ("drains, ends too late", 100, 20.0, 40, 20.0, Some(ms(1000.0)), Some(MoveReason::Drains)),
        ("drains, nearly done", 100, 20.0, 98, 20.0, Some(ms(600.0)), None),
    ];
    for (case, answer_tokens, usual_ms, has, pace_ms, host_remaining, expected) in cases {
        let means = recorded_paces(answer_tokens, usual_ms).means(0).expect("thirty answers are enough");
        // The whole stream so far had this pace.
        let now = ms(100_000.0);
        let first = now - ms(pace_ms * f64::from(has));
        let mut stream = StreamPace::new(first, now - ms(pace_ms * 8.0), has - 8);
        assert_eq!(stream.check(now, has, 1000, ms(50.0), &means, host_remaining), expected, "{case}");
        // Not evaluated again before eight more tokens.
        assert_eq!(stream.check(now, has + 7, 1000, ms(50.0), &means, host_remaining), None, "{case}");
    }
}

#[test]
fn there_are_no_means_before_twenty_answers() {
    let mut paces = Paces::default();
    for answers in 0..20 {
        assert_eq!(paces.means(0), None, "{answers}");
        paces.record_answer(0, 50, ms(300.0), ms(980.0));
    }
    let means = paces.means(0).expect("known");
    assert!((means.token_seconds - 0.02).abs() < 1e-9 && (means.answer_tokens - 50.0).abs() < 1e-9);
    assert!(
        (means.gap_seconds - 0.3).abs() < 1e-9,
        "the time to a first token stands for a gap that was never seen"
    );
    assert_eq!(paces.means(1), None, "another offering's lengths are not known");
    // Short answers are not used to measure the pace.
    let mut short = Paces::default();
    (0..30).for_each(|_| short.record_answer(0, 5, ms(1.0), ms(1.0)));
    assert_eq!(short.means(0), None);
}
