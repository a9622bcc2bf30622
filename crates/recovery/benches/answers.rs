//! The cost of holding answers for recovery: time per token compared with answers that are not held, and memory for ten
//! thousand answers. Prints ratios of one run and does not fail on any figure.

use std::fs;
use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tulipstall_recovery::{RepeatPolicy, ResumableAnswer, TextBudget};

const ANSWERS: usize = 10_000;
const TOKENS: u32 = 500;
const ROUNDS: usize = 7;
/// A token as the simulated hosts send them: Thai words have nine to thirty bytes.
const TOKEN: &str = "เรือออก";

fn answer(text_budget: &Arc<TextBudget>, policy: RepeatPolicy) -> ResumableAnswer {
    ResumableAnswer::new(text_budget.clone(), policy, TOKENS + 1)
}

/// Measures answers that are completed one after the other.
fn nanoseconds_per_token(policy: RepeatPolicy, bytes: &[&[u8]]) -> f64 {
    let text_budget = Arc::new(TextBudget::new(1 << 20, 1 << 30));
    let start = Instant::now();
    for _ in 0..200 {
        let mut answer = answer(&text_budget, policy);
        for at in 0..TOKENS {
            let new = answer.push_piece(Some(at), bytes[at as usize % bytes.len()]);
            black_box(new.map(str::len).unwrap_or(0));
        }
    }
    start.elapsed().as_nanos() as f64 / (200.0 * f64::from(TOKENS))
}

/// Resident memory of the process, from the system.
fn resident_bytes() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok()).unwrap_or(0) * 1024
}

fn main() {
    let whole = [TOKEN.as_bytes()];
    let split: Vec<&[u8]> = TOKEN.as_bytes().chunks(2).collect();
    let median = |mut figures: Vec<f64>| {
        figures.sort_by(f64::total_cmp);
        figures[figures.len() / 2]
    };
    let measure =
        |policy, bytes: &[&[u8]]| median((0..ROUNDS).map(|_| nanoseconds_per_token(policy, bytes)).collect());
    let (not_held, held) = (measure(RepeatPolicy::Never, &whole), measure(RepeatPolicy::Always, &whole));
    println!("a token not held {not_held:.1} ns, held {held:.1} ns: {:.2} times", held / not_held);
    let held_split = measure(RepeatPolicy::Always, &split);
    println!("held, of two bytes each {held_split:.1} ns: {:.2} times", held_split / not_held);
    let text_budget = Arc::new(TextBudget::new(1 << 20, 1 << 30));
    let before = resident_bytes();
    let mut answers: Vec<ResumableAnswer> =
        (0..ANSWERS).map(|_| answer(&text_budget, RepeatPolicy::Always)).collect();
    for at in 0..TOKENS {
        for answer in &mut answers {
            black_box(answer.push_piece(Some(at), TOKEN.as_bytes()).map(str::len).unwrap_or(0));
        }
    }
    let text_bytes = text_budget.held() as f64 / ANSWERS as f64;
    let resident_each = (resident_bytes() - before) as f64 / ANSWERS as f64;
    println!(
        "{ANSWERS} answers of {TOKENS} tokens: {text_bytes:.0} bytes of text each, {resident_each:.0} resident: {:.2} times",
        resident_each / text_bytes
    );
    let start = Instant::now();
    let movable = answers.iter_mut().filter_map(|answer| answer.may_move()).count();
    let lost =
        answers.iter_mut().map(|answer| answer.record_loss(Duration::ZERO, Duration::from_secs(1))).count();
    println!("{movable} asked whether they may move and {lost} lost in {:?}", start.elapsed());
}
