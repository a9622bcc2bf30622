//! The state machine of one answer under all orders of five events. The client always has a prefix of the answer, an abort is
//! final, and no text stays held.

use std::sync::Arc;
use std::time::Duration;
use tulipstall_recovery::{AfterLoss, PieceRejected, RepeatPolicy, ResumableAnswer, TextBudget};

/// An event: what a writer sends, or what happens to it.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    /// The writer sends its next token.
    Token,
    /// The writer sends its next token without a position.
    TokenWithoutPosition,
    /// The writer sends the previous token again.
    Repeat,
    /// The writer skips a token.
    Gap,
    /// The writer sends other text where it should send known tokens again.
    OtherText,
    Loss,
    /// Another writer starts after a loss.
    Resume,
    /// Another writer takes over while this one still streams.
    Move,
    /// Half of the time limit for resuming passes.
    TimePasses,
}

const STEPS: [Step; 9] = [
    Step::Token,
    Step::TokenWithoutPosition,
    Step::Repeat,
    Step::Gap,
    Step::OtherText,
    Step::Loss,
    Step::Resume,
    Step::Move,
    Step::TimePasses,
];

/// Events in each order: enough for two losses, a rejected writer and the end of the time limit.
const DEPTH: u32 = 5;
/// Tokens sent before the first event: enough in some runs that a resuming writer has known tokens to send again.
const INITIAL_TOKENS: [u32; 3] = [0, 2, 6];
const MAX_TOKENS: u32 = 8;
const RESUME_LIMIT: Duration = Duration::from_millis(100);

/// Each token has different text, so that a repeat or a gap shows.
fn token(at: u32) -> String {
    format!("{at}ก")
}

struct Run {
    text_budget: Arc<TextBudget>,
    answer: ResumableAnswer,
    client: String,
    /// The position of the token that the writer sends next; `None` while there is no writer.
    next_position: Option<u32>,
    was_lost: bool,
    aborted: Option<AfterLoss>,
    resume_until: Duration,
    now: Duration,
}

impl Run {
    fn new(policy: RepeatPolicy, before: u32) -> Run {
        let text_budget = Arc::new(TextBudget::new(1000, 1000));
        let answer = ResumableAnswer::new(text_budget.clone(), policy, MAX_TOKENS);
        let mut run = Run {
            text_budget,
            answer,
            client: String::new(),
            next_position: Some(0),
            was_lost: false,
            aborted: None,
            resume_until: Duration::ZERO,
            now: Duration::ZERO,
        };
        (0..before).for_each(|_| run.step(Step::Token));
        run
    }

    fn lose_writer(&mut self) {
        let next = self.answer.record_loss(self.now, RESUME_LIMIT);
        if let Some(abort) = self.aborted {
            assert_eq!(next, abort, "an abort is final");
            return;
        }
        (self.next_position, self.was_lost) = (None, true);
        match next {
            AfterLoss::Resume { from, max_tokens, until } => {
                assert!(from <= self.answer.tokens() && from + max_tokens == MAX_TOKENS);
                assert!(
                    until > self.now && until <= self.now + RESUME_LIMIT,
                    "the time for resuming is bounded"
                );
                self.resume_until = until;
            }
            AfterLoss::Abort(_) => self.aborted = Some(next),
        }
    }

    fn send(&mut self, position: Option<u32>, text: &str, is_correct: bool) {
        let tokens_before = self.answer.tokens();
        let result = self.answer.push_piece(position, text.as_bytes()).map(str::to_owned);
        match result {
            Ok(new) => {
                assert!(
                    self.next_position.is_some() && self.aborted.is_none(),
                    "a piece was accepted with no writer"
                );
                assert!(is_correct, "{position:?} {text} was accepted");
                self.client.push_str(&new);
                self.next_position = self.next_position.map(|at| at + 1);
            }
            Err(rejected) => {
                assert_eq!(self.answer.tokens(), tokens_before);
                if matches!(rejected, PieceRejected::WrongPosition | PieceRejected::DifferentText) {
                    self.lose_writer();
                }
            }
        }
    }

    fn step(&mut self, step: Step) {
        let at = self.next_position.unwrap_or(self.answer.tokens());
        let overlaps = self.was_lost && at < self.answer.tokens();
        match step {
            Step::Token => self.send(Some(at), &token(at), true),
            // Without a position a repeated token cannot be told from a new one, so that this is accepted only outside of an
            // overlap.
            Step::TokenWithoutPosition => self.send(None, &token(at), !overlaps),
            Step::Repeat if at > 0 => self.send(Some(at - 1), &token(at - 1), false),
            Step::Gap => self.send(Some(at + 1), &token(at + 1), false),
            Step::OtherText if overlaps => self.send(Some(at), "other", false),
            Step::Loss => self.lose_writer(),
            Step::Resume if self.was_lost && self.aborted.is_none() && self.next_position.is_none() => {
                let from = match self.answer.record_loss(self.now, RESUME_LIMIT) {
                    AfterLoss::Resume { from, .. } => from,
                    abort => {
                        self.aborted = Some(abort);
                        return;
                    }
                };
                self.answer.resumed();
                self.next_position = Some(from);
            }
            Step::Move if self.next_position.is_some() && self.aborted.is_none() => {
                if let Some((from, max_tokens)) = self.answer.may_move() {
                    assert!(from <= self.answer.tokens() && from + max_tokens == MAX_TOKENS);
                    self.answer.moved();
                    (self.next_position, self.was_lost) = (Some(from), true);
                }
            }
            Step::TimePasses => self.now += RESUME_LIMIT / 2,
            _ => {}
        }
        let expected: String = (0..self.answer.tokens()).map(token).collect();
        assert_eq!(self.client, expected, "neither a gap nor a repeat");
        assert!(self.answer.tokens() <= MAX_TOKENS);
        assert!(
            self.aborted.is_none() || !self.answer.may_end(),
            "an aborted answer must not end as complete"
        );
        assert!(self.text_budget.held() <= self.client.len());
    }
}

#[test]
fn all_orders_of_five_events() {
    let (mut aborted, mut complete) = (0u32, 0u32);
    for policy in [RepeatPolicy::Always, RepeatPolicy::Never] {
        for before in INITIAL_TOKENS {
            for order in 0..(STEPS.len() as u32).pow(DEPTH) {
                let mut run = Run::new(policy, before);
                let mut remaining = order;
                for _ in 0..DEPTH {
                    run.step(STEPS[remaining as usize % STEPS.len()]);
                    remaining /= STEPS.len() as u32;
                }
                aborted += u32::from(run.aborted.is_some());
                complete += u32::from(run.answer.tokens() == MAX_TOKENS);
                if policy == RepeatPolicy::Never && run.was_lost {
                    assert!(
                        run.aborted.is_some(),
                        "an answer whose effect may have happened must not start again"
                    );
                }
                let text_budget = run.text_budget.clone();
                drop(run);
                assert_eq!(text_budget.held(), 0, "nothing stays held");
            }
        }
    }
    assert!(
        aborted > 5000 && complete > 5000,
        "{aborted} aborted, {complete} complete: too few orders reach an end"
    );
}
