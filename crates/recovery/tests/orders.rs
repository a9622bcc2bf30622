//! The state machine of one answer under all orders of a handful of events, each tried out to a depth: what the client
//! has is always a beginning of the answer, an end is for good, nothing stays held.

use std::sync::Arc;
use std::time::Duration;
use tulipstall_recovery::{Again, Answer, Next, Refused, Store};

/// What a writer and the moment may do next.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    /// The writer says its next token.
    Says,
    /// Without telling where it is.
    SaysSomewhere,
    /// The token before once more.
    Repeats,
    /// Leaves one out.
    Skips,
    /// Other words, where it says again what the client has.
    Lies,
    Lost,
    /// Another writer begins.
    GoesOn,
    /// Another writer takes over while this one still speaks.
    Moves,
    /// Half of the time for going on passes.
    Later,
}

const STEPS: [Step; 9] = [
    Step::Says,
    Step::SaysSomewhere,
    Step::Repeats,
    Step::Skips,
    Step::Lies,
    Step::Lost,
    Step::GoesOn,
    Step::Moves,
    Step::Later,
];

/// All orders of so many steps: two losses, a refused writer and the end of the time fit in.
const DEPTH: u32 = 5;
/// Tokens that every order begins with, so that an overlap is there to be broken.
const BEFORE: [u32; 3] = [0, 2, 6];
const MOST: u32 = 8;
const WITHIN: Duration = Duration::from_millis(100);

/// Each token has other words: a repeat or a gap shows.
fn token(at: u32) -> String {
    format!("{at}ก")
}

struct Run {
    store: Arc<Store>,
    answer: Answer,
    client: String,
    /// The token that the writer says next; none while there is no writer.
    writer: Option<u32>,
    lost: bool,
    over: Option<Next>,
    until: Duration,
    now: Duration,
}

impl Run {
    fn new(again: Again, before: u32) -> Run {
        let store = Arc::new(Store::new(1000, 1000));
        let answer = Answer::new(store.clone(), again, MOST);
        let mut run = Run {
            store,
            answer,
            client: String::new(),
            writer: Some(0),
            lost: false,
            over: None,
            until: Duration::ZERO,
            now: Duration::ZERO,
        };
        (0..before).for_each(|_| run.step(Step::Says));
        run
    }

    fn lose(&mut self) {
        let again = self.answer.lost(self.now, WITHIN);
        if let Some(over) = self.over {
            assert_eq!(again, over, "an end is for good");
            return;
        }
        (self.writer, self.lost) = (None, true);
        match again {
            Next::GoOn { from, most, until } => {
                assert!(from <= self.answer.tokens() && from + most == MOST);
                assert!(until > self.now && until <= self.now + WITHIN, "the time for going on is bounded");
                self.until = until;
            }
            Next::BreakOff(_) => self.over = Some(again),
        }
    }

    fn says(&mut self, position: Option<u32>, text: &str, honest: bool) {
        let had = self.answer.tokens();
        let said = self.answer.piece(position, text.as_bytes()).map(str::to_owned);
        match said {
            Ok(new) => {
                assert!(self.writer.is_some() && self.over.is_none(), "words of nobody were taken");
                assert!(honest, "{position:?} {text} was taken");
                self.client.push_str(&new);
                self.writer = self.writer.map(|at| at + 1);
            }
            Err(refused) => {
                assert_eq!(self.answer.tokens(), had);
                if matches!(refused, Refused::Position | Refused::Differs) {
                    self.lose();
                }
            }
        }
    }

    fn step(&mut self, step: Step) {
        let at = self.writer.unwrap_or(self.answer.tokens());
        let overlaps = self.lost && at < self.answer.tokens();
        match step {
            Step::Says => self.says(Some(at), &token(at), true),
            // Nobody can tell a repeat from a word where no position is told: taken from a first writer only.
            Step::SaysSomewhere => self.says(None, &token(at), !overlaps),
            Step::Repeats if at > 0 => self.says(Some(at - 1), &token(at - 1), false),
            Step::Skips => self.says(Some(at + 1), &token(at + 1), false),
            Step::Lies if overlaps => self.says(Some(at), "other", false),
            Step::Lost => self.lose(),
            Step::GoesOn if self.lost && self.over.is_none() && self.writer.is_none() => {
                let from = match self.answer.lost(self.now, WITHIN) {
                    Next::GoOn { from, .. } => from,
                    over => {
                        self.over = Some(over);
                        return;
                    }
                };
                self.answer.goes_on();
                self.writer = Some(from);
            }
            Step::Moves if self.writer.is_some() && self.over.is_none() => {
                if let Some((from, most)) = self.answer.may_move() {
                    assert!(from <= self.answer.tokens() && from + most == MOST);
                    self.answer.moved();
                    (self.writer, self.lost) = (Some(from), true);
                }
            }
            Step::Later => self.now += WITHIN / 2,
            _ => {}
        }
        let whole: String = (0..self.answer.tokens()).map(token).collect();
        assert_eq!(self.client, whole, "neither a gap nor a double");
        assert!(self.answer.tokens() <= MOST);
        assert!(self.over.is_none() || !self.answer.may_end(), "an answer that is over ends whole");
        assert!(self.store.held() <= self.client.len());
    }
}

#[test]
fn all_orders_of_a_handful_of_events() {
    let (mut ended, mut whole) = (0u32, 0u32);
    for again in [Again::Harmless, Again::Harmful] {
        for before in BEFORE {
            for order in 0..(STEPS.len() as u32).pow(DEPTH) {
                let mut run = Run::new(again, before);
                let mut rest = order;
                for _ in 0..DEPTH {
                    run.step(STEPS[rest as usize % STEPS.len()]);
                    rest /= STEPS.len() as u32;
                }
                ended += u32::from(run.over.is_some());
                whole += u32::from(run.answer.tokens() == MOST);
                if again == Again::Harmful && run.lost {
                    assert!(run.over.is_some(), "what may have run is not begun anew");
                }
                let store = run.store.clone();
                drop(run);
                assert_eq!(store.held(), 0, "nothing stays held");
            }
        }
    }
    assert!(ended > 5000 && whole > 5000, "{ended} ended, {whole} whole: too little was tried");
}
