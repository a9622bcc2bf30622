//! When a stream whose writer still speaks is better off elsewhere, as a table.

use std::time::Duration;
use tulipstall_recovery::pace::{Paces, Stream, Why};

fn ms(ms: f64) -> Duration {
    Duration::from_secs_f64(ms / 1e3)
}

/// Thirty answers of so many tokens at so many milliseconds each.
fn known(tokens: u32, pace: f64) -> Paces {
    let mut paces = Paces::default();
    for _ in 0..30 {
        paces.note(0, tokens, ms(150.0), ms(pace * f64::from(tokens - 1)));
    }
    paces.went_on(ms(200.0));
    paces
}

#[test]
fn a_stream_moves_where_that_keeps_its_pace() {
    // Agreed: 50 ms a token. Usual tokens of an answer and usual pace; how many tokens the stream has and its pace, how
    // long its host stays; what is best.
    let cases = [
        ("sound", 100, 20.0, 40, 20.0, None, None),
        ("a little slow", 100, 20.0, 40, 39.0, None, None),
        ("slow, but within what is agreed", 100, 10.0, 40, 45.0, None, None),
        ("slow past what is agreed", 100, 20.0, 40, 80.0, None, Some(Why::Slow)),
        ("as slow as all others", 100, 80.0, 40, 80.0, None, None),
        ("too late to mend", 100, 45.0, 96, 100.0, None, None),
        ("far past the usual length", 100, 20.0, 400, 80.0, None, None),
        ("drains, ends in time", 100, 20.0, 40, 20.0, Some(ms(2000.0)), None),
        ("drains, would be broken", 100, 20.0, 40, 20.0, Some(ms(1000.0)), Some(Why::Drains)),
        ("drains, nearly done", 100, 20.0, 98, 20.0, Some(ms(600.0)), None),
    ];
    for (what, length, usual, has, pace, stays, wanted) in cases {
        let usual = known(length, usual).usual(0).expect("thirty answers are enough");
        // It has come all its way at this pace.
        let now = ms(100_000.0);
        let first = now - ms(pace * f64::from(has));
        let mut stream = Stream::new(first, now - ms(pace * 8.0), has - 8);
        assert_eq!(stream.look(now, has, 1000, ms(50.0), &usual, stays), wanted, "{what}");
        // Not again before eight more tokens.
        assert_eq!(stream.look(now, has + 7, 1000, ms(50.0), &usual, stays), None, "{what}");
    }
}

#[test]
fn nothing_is_usual_before_twenty_answers() {
    let mut paces = Paces::default();
    for answers in 0..20 {
        assert_eq!(paces.usual(0), None, "{answers}");
        paces.note(0, 50, ms(300.0), ms(980.0));
    }
    let usual = paces.usual(0).expect("known");
    assert!((usual.token - 0.02).abs() < 1e-9 && (usual.length - 50.0).abs() < 1e-9);
    assert!((usual.gap - 0.3).abs() < 1e-9, "the time to a first token stands for a gap that was never seen");
    assert_eq!(paces.usual(1), None, "another offering's lengths are not known");
    // Short answers say nothing of a pace.
    let mut short = Paces::default();
    (0..30).for_each(|_| short.note(0, 5, ms(1.0), ms(1.0)));
    assert_eq!(short.usual(0), None);
}
