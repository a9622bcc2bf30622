//! What holding begun answers costs: time for each token passed on, against the same answers that are not held, and
//! memory for ten thousand of them. Ratios of one run; nothing here fails on a figure.

use std::fs;
use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tulipstall_recovery::{Again, Answer, Store};

const ANSWERS: usize = 10_000;
const TOKENS: u32 = 500;
const ROUNDS: usize = 7;
/// A token as the stand-ins say them: Thai words have nine to thirty bytes.
const TOKEN: &str = "เรือออก";

fn answer(store: &Arc<Store>, again: Again) -> Answer {
    Answer::new(store.clone(), again, TOKENS + 1)
}

/// Nanoseconds a token, over answers that come to their end one after the other.
fn a_token(again: Again, bytes: &[&[u8]]) -> f64 {
    let store = Arc::new(Store::new(1 << 20, 1 << 30));
    let began = Instant::now();
    for _ in 0..200 {
        let mut answer = answer(&store, again);
        for at in 0..TOKENS {
            let said = answer.piece(Some(at), bytes[at as usize % bytes.len()]);
            black_box(said.map(str::len).unwrap_or(0));
        }
    }
    began.elapsed().as_nanos() as f64 / (200.0 * f64::from(TOKENS))
}

/// Bytes resident, from the system.
fn resident() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok()).unwrap_or(0) * 1024
}

fn main() {
    let whole = [TOKEN.as_bytes()];
    let broken: Vec<&[u8]> = TOKEN.as_bytes().chunks(2).collect();
    let middle = |mut figures: Vec<f64>| {
        figures.sort_by(f64::total_cmp);
        figures[figures.len() / 2]
    };
    let of = |again, bytes: &[&[u8]]| middle((0..ROUNDS).map(|_| a_token(again, bytes)).collect());
    let (not_held, held) = (of(Again::Harmful, &whole), of(Again::Harmless, &whole));
    println!("a token not held {not_held:.1} ns, held {held:.1} ns: {:.2} times", held / not_held);
    let broken = of(Again::Harmless, &broken);
    println!("held, of two bytes each {broken:.1} ns: {:.2} times", broken / not_held);
    let store = Arc::new(Store::new(1 << 20, 1 << 30));
    let before = resident();
    let mut answers: Vec<Answer> = (0..ANSWERS).map(|_| answer(&store, Again::Harmless)).collect();
    for at in 0..TOKENS {
        for answer in &mut answers {
            black_box(answer.piece(Some(at), TOKEN.as_bytes()).map(str::len).unwrap_or(0));
        }
    }
    let text = store.held() as f64 / ANSWERS as f64;
    let each = (resident() - before) as f64 / ANSWERS as f64;
    println!(
        "{ANSWERS} answers of {TOKENS} tokens: {text:.0} bytes of text each, {each:.0} resident: {:.2} times",
        each / text
    );
    let began = Instant::now();
    let on = answers.iter_mut().filter_map(|answer| answer.may_move()).count();
    let lost = answers.iter_mut().map(|answer| answer.lost(Duration::ZERO, Duration::from_secs(1))).count();
    println!("{on} asked whether they may move and {lost} lost in {:?}", began.elapsed());
}
