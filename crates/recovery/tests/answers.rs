//! Answers over losses, as tables: what the client gets, and what is refused.

use std::sync::Arc;
use std::time::Duration;
use tulipstall_recovery::{Again, Answer, Final, Next, Refused, Store};

const WITHIN: Duration = Duration::from_secs(5);

fn store() -> Arc<Store> {
    Arc::new(Store::new(1000, 10_000))
}

fn word(at: u32) -> String {
    format!("เรือ{at} ")
}

/// Says tokens from..to; gives what the client got.
fn say(answer: &mut Answer, from: u32, to: u32) -> Result<String, Refused> {
    (from..to).map(|at| answer.piece(Some(at), word(at).as_bytes()).map(str::to_owned)).collect()
}

#[test]
fn an_answer_is_whole_over_any_losses() {
    for cuts in [vec![], vec![0], vec![1], vec![3], vec![7], vec![4, 5, 6], vec![2, 2, 9], vec![5, 5, 5, 5]] {
        let mut answer = Answer::new(store(), Again::Harmless, 20);
        let (mut got, mut from) = (String::new(), 0);
        for cut in &cuts {
            got += &say(&mut answer, from, *cut).expect("pieces");
            let Next::GoOn { from: next, most, .. } = answer.lost(Duration::ZERO, WITHIN) else {
                panic!("{cuts:?}: broken off")
            };
            assert_eq!(most, 20 - next);
            answer.goes_on();
            from = next;
        }
        got += &say(&mut answer, from, 12).expect("pieces");
        assert!(answer.may_end() && answer.tokens() == 12, "{cuts:?}");
        assert_eq!(got, (0..12).map(word).collect::<String>(), "{cuts:?}");
        assert_eq!(answer.text(), got, "{cuts:?}");
    }
}

#[test]
fn a_writer_that_goes_on_otherwise_is_refused() {
    let cases: [(&str, Option<u32>, String, Refused); 5] = [
        ("repeats", Some(3), word(3), Refused::Position),
        ("skips", Some(5), word(5), Refused::Position),
        ("does not say where", None, word(4), Refused::Position),
        ("differs", Some(4), word(9), Refused::Differs),
        ("begins anew", Some(0), word(0), Refused::Position),
    ];
    for (what, position, text, wanted) in cases {
        let mut answer = Answer::new(store(), Again::Harmless, 20);
        say(&mut answer, 0, 8).expect("pieces");
        assert_eq!(answer.lost(Duration::ZERO, WITHIN), Next::GoOn { from: 4, most: 16, until: WITHIN });
        answer.goes_on();
        assert!(!answer.may_end(), "{what}");
        assert_eq!(answer.piece(position, text.as_bytes()), Err(wanted), "{what}");
        // Refused, it is one more loss; the next writer may still do it right.
        assert!(matches!(answer.lost(Duration::ZERO, WITHIN), Next::GoOn { from: 4, .. }), "{what}");
        answer.goes_on();
        assert_eq!(say(&mut answer, 4, 9).expect("pieces"), word(8), "{what}");
    }
}

#[test]
fn ends_that_are_final() {
    let long = "x".repeat(400);
    type Play = fn(&mut Answer, &str) -> Next;
    let cases: [(&str, Again, Play, Final); 6] = [
        ("may have run", Again::Harmful, |a, _| a.lost(Duration::ZERO, WITHIN), Final::Effect),
        ("past its window", Again::Until(WITHIN / 2), |a, _| a.lost(WITHIN / 2, WITHIN), Final::Effect),
        (
            "past its window while it waits",
            Again::Until(WITHIN / 2),
            |a, _| {
                let first = Next::GoOn { from: 0, most: 20, until: WITHIN / 2 };
                assert_eq!(a.lost(Duration::ZERO, WITHIN), first, "no longer than the window");
                assert_eq!(a.may_move(), None, "two copies at once are not for a referenced one");
                a.lost(WITHIN / 2, WITHIN)
            },
            Final::Effect,
        ),
        (
            "not held",
            Again::Harmless,
            |a, long| {
                for at in 0..3 {
                    assert!(a.piece(Some(at), long.as_bytes()).is_ok());
                }
                a.lost(Duration::ZERO, WITHIN)
            },
            Final::NotHeld,
        ),
        (
            "too many losses",
            Again::Harmless,
            |a, _| {
                for _ in 0..4 {
                    assert!(matches!(a.lost(Duration::ZERO, WITHIN), Next::GoOn { .. }));
                    a.goes_on();
                }
                a.lost(Duration::ZERO, WITHIN)
            },
            Final::Losses,
        ),
        (
            "late",
            Again::Harmless,
            |a, _| {
                assert!(matches!(a.lost(Duration::ZERO, WITHIN), Next::GoOn { .. }));
                // Not begun by anyone: no further loss, but its time is up.
                a.lost(WITHIN, WITHIN)
            },
            Final::Late,
        ),
    ];
    for (what, again, play, wanted) in cases {
        let mut answer = Answer::new(store(), again, 20);
        assert_eq!(play(&mut answer, &long), Next::BreakOff(wanted), "{what}");
        assert_eq!(answer.piece(None, b"x"), Err(Refused::AfterEnd), "{what}");
    }
}

#[test]
fn the_store_is_bounded_and_given_back() {
    let store = Arc::new(Store::new(100, 250));
    let mut answers: Vec<Answer> =
        (0..5).map(|_| Answer::new(store.clone(), Again::Harmless, 1000)).collect();
    for at in 0..9 {
        for answer in &mut answers {
            answer.piece(Some(at), b"0123456789").expect("a piece");
            assert!(store.held() <= 250);
        }
    }
    let goes_on = |answer: &mut Answer| matches!(answer.lost(Duration::ZERO, WITHIN), Next::GoOn { .. });
    let held = answers.iter_mut().filter_map(|answer| goes_on(answer).then_some(())).count();
    assert!(held == 2, "{held} of five fit");
    drop(answers);
    assert_eq!(store.held(), 0);
}

#[test]
fn no_more_tokens_than_asked_for() {
    let mut answer = Answer::new(store(), Again::Harmless, 3);
    assert_eq!(say(&mut answer, 0, 4), Err(Refused::TooMany));
    let mut answer = Answer::new(store(), Again::Harmful, 3);
    assert_eq!(answer.piece(Some(1), b"x"), Err(Refused::Position));
    assert_eq!(answer.piece(None, b"x"), Ok("x"));
}

/// Tokens that break characters: the client gets whole characters only, and a writer that goes on begins where a token
/// and a character ended together, whatever byte the loss came at.
#[test]
fn characters_that_break_over_tokens_are_whole_over_any_loss() {
    let text = "เรือออกจากท่า8โมง é🛳 ";
    // Tokens of so many bytes each; also a writer that keeps unfinished bytes to itself and says nothing meanwhile.
    for (size, holds_back) in [(1, false), (2, false), (5, false), (2, true), (3, true)] {
        let tokens: Vec<Vec<u8>> = if holds_back {
            let mut held = 0;
            let ends = (1..=text.len().div_ceil(size)).map(|i| (i * size).min(text.len()));
            let cut = |end: usize| (0..=end).rev().find(|at| text.is_char_boundary(*at)).unwrap_or(0);
            ends.map(|end| text.as_bytes()[std::mem::replace(&mut held, cut(end))..held].to_vec()).collect()
        } else {
            text.as_bytes().chunks(size).map(<[u8]>::to_vec).collect()
        };
        assert_eq!(tokens.concat(), text.as_bytes());
        for cut in 0..tokens.len() as u32 {
            let mut answer = Answer::new(store(), Again::Harmless, 100);
            let mut got = String::new();
            let mut say = |answer: &mut Answer, from: u32, to: u32| {
                for at in from..to {
                    got += answer.piece(Some(at), &tokens[at as usize]).expect("a piece");
                }
            };
            say(&mut answer, 0, cut);
            let Next::GoOn { from, .. } = answer.lost(Duration::ZERO, WITHIN) else { panic!("{size} {cut}") };
            // What the new writer is given ends where its tokens begin to be new, and is whole text by its type.
            assert!(text.starts_with(answer.before()), "{size} {cut}");
            let known: usize = tokens.iter().take(cut as usize).map(Vec::len).sum();
            assert!(
                answer.before().len() <= known && known - answer.before().len() <= 8 * size,
                "{size} {cut}"
            );
            answer.goes_on();
            say(&mut answer, from, tokens.len() as u32);
            assert!(answer.may_end(), "{size} {cut}");
            assert_eq!(got, text, "{size} {holds_back} {cut}");
        }
    }
    for (bytes, wanted) in [
        (&b"\xff"[..], Err(Refused::NoText)),
        (b"\xe0\x41", Err(Refused::NoText)),
        (b"\xe0", Ok("")),
        (b"a\xe0\xb8", Ok("a")),
    ] {
        let mut answer = Answer::new(store(), Again::Harmful, 100);
        assert_eq!(answer.piece(None, bytes), wanted, "{bytes:?}");
    }
    // Tokens that say nothing for ever: not to be gone on with, and nothing grows.
    let mut answer = Answer::new(store(), Again::Harmless, 100);
    for at in 0..20 {
        assert_eq!(answer.piece(Some(at), b""), Ok(""));
    }
    assert_eq!(answer.lost(Duration::ZERO, WITHIN), Next::BreakOff(Final::NotHeld));
}

#[test]
fn an_answer_that_moves_counts_it_as_a_loss() {
    let mut answer = Answer::new(store(), Again::Harmless, 20);
    let mut from = 0;
    for moves in 0..4 {
        say(&mut answer, from, 6 + moves).expect("pieces");
        let (next, most) = answer.may_move().expect("it may");
        assert_eq!((next, most), (2 + moves, 18 - moves));
        answer.moved();
        assert!(!answer.may_end() && answer.may_move().is_none(), "not while it says again what is known");
        assert_eq!(answer.piece(Some(next), word(99).as_bytes()), Err(Refused::Differs));
        from = next;
    }
    assert_eq!(say(&mut answer, from, 10).expect("pieces"), word(9));
    assert!(answer.may_move().is_none(), "four are enough");
    assert_eq!(answer.lost(Duration::ZERO, WITHIN), Next::BreakOff(Final::Losses));
}
