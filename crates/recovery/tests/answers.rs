//! Answers with lost writers, as tables: what the client gets, and which pieces are rejected.

use std::sync::Arc;
use std::time::Duration;
use tulipstall_recovery::{AbortReason, AfterLoss, PieceRejected, RepeatPolicy, ResumableAnswer, TextBudget};

const RESUME_LIMIT: Duration = Duration::from_secs(5);

fn text_budget() -> Arc<TextBudget> {
    Arc::new(TextBudget::new(1000, 10_000))
}

fn word(at: u32) -> String {
    format!("เรือ{at} ")
}

/// Sends tokens `from..to` and returns what the client got.
fn send(answer: &mut ResumableAnswer, from: u32, to: u32) -> Result<String, PieceRejected> {
    (from..to).map(|at| answer.push_piece(Some(at), word(at).as_bytes()).map(str::to_owned)).collect()
}

#[test]
fn an_answer_is_complete_after_any_losses() {
    for losses in [vec![], vec![0], vec![1], vec![3], vec![7], vec![4, 5, 6], vec![2, 2, 9], vec![5, 5, 5, 5]]
    {
        let mut answer = ResumableAnswer::new(text_budget(), RepeatPolicy::Always, 20);
        let (mut got, mut from) = (String::new(), 0);
        for loss in &losses {
            got += &send(&mut answer, from, *loss).expect("pieces");
            let AfterLoss::Resume { from: next, max_tokens, .. } =
                answer.record_loss(Duration::ZERO, RESUME_LIMIT)
            else {
                panic!("{losses:?}: aborted")
            };
            assert_eq!(max_tokens, 20 - next);
            answer.resumed();
            from = next;
        }
        got += &send(&mut answer, from, 12).expect("pieces");
        assert!(answer.may_end() && answer.tokens() == 12, "{losses:?}");
        assert_eq!(got, (0..12).map(word).collect::<String>(), "{losses:?}");
        assert_eq!(answer.text(), got, "{losses:?}");
    }
}

#[test]
fn a_writer_that_resumes_differently_is_rejected() {
    let cases: [(&str, Option<u32>, String, PieceRejected); 5] = [
        ("repeats", Some(3), word(3), PieceRejected::WrongPosition),
        ("skips", Some(5), word(5), PieceRejected::WrongPosition),
        ("does not report its position", None, word(4), PieceRejected::WrongPosition),
        ("differs", Some(4), word(9), PieceRejected::DifferentText),
        ("starts over", Some(0), word(0), PieceRejected::WrongPosition),
    ];
    for (case, position, text, expected) in cases {
        let mut answer = ResumableAnswer::new(text_budget(), RepeatPolicy::Always, 20);
        send(&mut answer, 0, 8).expect("pieces");
        assert_eq!(
            answer.record_loss(Duration::ZERO, RESUME_LIMIT),
            AfterLoss::Resume { from: 4, max_tokens: 16, until: RESUME_LIMIT }
        );
        answer.resumed();
        assert!(!answer.may_end(), "{case}");
        assert_eq!(answer.push_piece(position, text.as_bytes()), Err(expected), "{case}");
        // A rejected writer counts as one more loss; the next writer may still resume correctly.
        assert!(
            matches!(answer.record_loss(Duration::ZERO, RESUME_LIMIT), AfterLoss::Resume { from: 4, .. }),
            "{case}"
        );
        answer.resumed();
        assert_eq!(send(&mut answer, 4, 9).expect("pieces"), word(8), "{case}");
    }
}

#[test]
fn an_abort_has_its_reason_and_is_final() {
    let long = "x".repeat(400);
    type Scenario = fn(&mut ResumableAnswer, &str) -> AfterLoss;
    let cases: [(&str, RepeatPolicy, Scenario, AbortReason); 6] = [
        (
            "may have run",
            RepeatPolicy::Never,
            |answer, _| answer.record_loss(Duration::ZERO, RESUME_LIMIT),
            AbortReason::MayHaveRun,
        ),
        (
            "past its window",
            RepeatPolicy::Until(RESUME_LIMIT / 2),
            |answer, _| answer.record_loss(RESUME_LIMIT / 2, RESUME_LIMIT),
            AbortReason::MayHaveRun,
        ),
        (
            "past its window while it waits",
            RepeatPolicy::Until(RESUME_LIMIT / 2),
            |answer, _| {
                let first = AfterLoss::Resume { from: 0, max_tokens: 20, until: RESUME_LIMIT / 2 };
                assert_eq!(
                    answer.record_loss(Duration::ZERO, RESUME_LIMIT),
                    first,
                    "no longer than the window"
                );
                assert_eq!(answer.may_move(), None, "a referenced answer must not run twice at once");
                answer.record_loss(RESUME_LIMIT / 2, RESUME_LIMIT)
            },
            AbortReason::MayHaveRun,
        ),
        (
            "not held",
            RepeatPolicy::Always,
            |answer, long| {
                for at in 0..3 {
                    assert!(answer.push_piece(Some(at), long.as_bytes()).is_ok());
                }
                answer.record_loss(Duration::ZERO, RESUME_LIMIT)
            },
            AbortReason::NotHeld,
        ),
        (
            "too many losses",
            RepeatPolicy::Always,
            |answer, _| {
                for _ in 0..4 {
                    assert!(matches!(
                        answer.record_loss(Duration::ZERO, RESUME_LIMIT),
                        AfterLoss::Resume { .. }
                    ));
                    answer.resumed();
                }
                answer.record_loss(Duration::ZERO, RESUME_LIMIT)
            },
            AbortReason::TooManyLosses,
        ),
        (
            "late",
            RepeatPolicy::Always,
            |answer, _| {
                assert!(matches!(answer.record_loss(Duration::ZERO, RESUME_LIMIT), AfterLoss::Resume { .. }));
                // No writer has started: this is no further loss, but the time is over.
                answer.record_loss(RESUME_LIMIT, RESUME_LIMIT)
            },
            AbortReason::NoWriterInTime,
        ),
    ];
    for (case, policy, scenario, expected) in cases {
        let mut answer = ResumableAnswer::new(text_budget(), policy, 20);
        assert_eq!(scenario(&mut answer, &long), AfterLoss::Abort(expected), "{case}");
        assert_eq!(answer.push_piece(None, b"x"), Err(PieceRejected::AfterEnd), "{case}");
    }
}

#[test]
fn held_text_is_bounded_and_released() {
    let text_budget = Arc::new(TextBudget::new(100, 250));
    let mut answers: Vec<ResumableAnswer> =
        (0..5).map(|_| ResumableAnswer::new(text_budget.clone(), RepeatPolicy::Always, 1000)).collect();
    for at in 0..9 {
        for answer in &mut answers {
            answer.push_piece(Some(at), b"0123456789").expect("a piece");
            assert!(text_budget.held() <= 250);
        }
    }
    let resumes = |answer: &mut ResumableAnswer| {
        matches!(answer.record_loss(Duration::ZERO, RESUME_LIMIT), AfterLoss::Resume { .. })
    };
    let held = answers.iter_mut().filter_map(|answer| resumes(answer).then_some(())).count();
    assert!(held == 2, "{held} of five answers fit");
    drop(answers);
    assert_eq!(text_budget.held(), 0);
}

#[test]
fn tokens_beyond_the_maximum_are_rejected() {
    let mut answer = ResumableAnswer::new(text_budget(), RepeatPolicy::Always, 3);
    assert_eq!(send(&mut answer, 0, 4), Err(PieceRejected::TooManyTokens));
    let mut answer = ResumableAnswer::new(text_budget(), RepeatPolicy::Never, 3);
    assert_eq!(answer.push_piece(Some(1), b"x"), Err(PieceRejected::WrongPosition));
    assert_eq!(answer.push_piece(None, b"x"), Ok("x"));
}

/// Tokens that split characters. The client gets complete characters only, and a resuming writer starts where a token and a
/// character ended together, whichever byte the loss came at.
#[test]
fn characters_split_over_tokens_are_complete_after_any_loss() {
    let text = "เรือออกจากท่า8โมง é🛳 ";
    // Tokens of this many bytes each; also a writer that holds the bytes of incomplete characters back and sends empty
    // tokens meanwhile.
    for (token_bytes, holds_bytes_back) in [(1, false), (2, false), (5, false), (2, true), (3, true)] {
        let tokens: Vec<Vec<u8>> = if holds_bytes_back {
            let mut held = 0;
            let ends = (1..=text.len().div_ceil(token_bytes)).map(|i| (i * token_bytes).min(text.len()));
            let char_boundary =
                |end: usize| (0..=end).rev().find(|at| text.is_char_boundary(*at)).unwrap_or(0);
            ends.map(|end| text.as_bytes()[std::mem::replace(&mut held, char_boundary(end))..held].to_vec())
                .collect()
        } else {
            text.as_bytes().chunks(token_bytes).map(<[u8]>::to_vec).collect()
        };
        assert_eq!(tokens.concat(), text.as_bytes());
        for loss in 0..tokens.len() as u32 {
            let mut answer = ResumableAnswer::new(text_budget(), RepeatPolicy::Always, 100);
            let mut got = String::new();
            let mut send = |answer: &mut ResumableAnswer, from: u32, to: u32| {
                for at in from..to {
                    got += answer.push_piece(Some(at), &tokens[at as usize]).expect("a piece");
                }
            };
            send(&mut answer, 0, loss);
            let AfterLoss::Resume { from, .. } = answer.record_loss(Duration::ZERO, RESUME_LIMIT) else {
                panic!("{token_bytes} {loss}")
            };
            // The text given to the new writer ends where its tokens begin to be new; as a `str` it has complete characters.
            assert!(text.starts_with(answer.text_before_resume()), "{token_bytes} {loss}");
            let known: usize = tokens.iter().take(loss as usize).map(Vec::len).sum();
            assert!(
                answer.text_before_resume().len() <= known
                    && known - answer.text_before_resume().len() <= 8 * token_bytes,
                "{token_bytes} {loss}"
            );
            answer.resumed();
            send(&mut answer, from, tokens.len() as u32);
            assert!(answer.may_end(), "{token_bytes} {loss}");
            assert_eq!(got, text, "{token_bytes} {holds_bytes_back} {loss}");
        }
    }
    for (bytes, expected) in [
        (&b"\xff"[..], Err(PieceRejected::InvalidText)),
        (b"\xe0\x41", Err(PieceRejected::InvalidText)),
        (b"\xe0", Ok("")),
        (b"a\xe0\xb8", Ok("a")),
    ] {
        let mut answer = ResumableAnswer::new(text_budget(), RepeatPolicy::Never, 100);
        assert_eq!(answer.push_piece(None, bytes), expected, "{bytes:?}");
    }
    // Tokens without bytes, without end: the answer cannot be resumed, and nothing grows.
    let mut answer = ResumableAnswer::new(text_budget(), RepeatPolicy::Always, 100);
    for at in 0..20 {
        assert_eq!(answer.push_piece(Some(at), b""), Ok(""));
    }
    assert_eq!(answer.record_loss(Duration::ZERO, RESUME_LIMIT), AfterLoss::Abort(AbortReason::NotHeld));
}

#[test]
fn a_move_counts_as_a_loss() {
    let mut answer = ResumableAnswer::new(text_budget(), RepeatPolicy::Always, 20);
    let mut from = 0;
    for moves in 0..4 {
        send(&mut answer, from, 6 + moves).expect("pieces");
        let (next, max_tokens) = answer.may_move().expect("a move is allowed");
        assert_eq!((next, max_tokens), (2 + moves, 18 - moves));
        answer.moved();
        assert!(!answer.may_end() && answer.may_move().is_none(), "not while known tokens are sent again");
        assert_eq!(answer.push_piece(Some(next), word(99).as_bytes()), Err(PieceRejected::DifferentText));
        from = next;
    }
    assert_eq!(send(&mut answer, from, 10).expect("pieces"), word(9));
    assert!(answer.may_move().is_none(), "no fifth move");
    assert_eq!(
        answer.record_loss(Duration::ZERO, RESUME_LIMIT),
        AfterLoss::Abort(AbortReason::TooManyLosses)
    );
}
