//! The budget of recoveries, as tables of requests and verdicts.

use std::time::Duration;
use tulipstall_recovery::budget::{Budget, RecoveryRequest, Verdict};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn recovery_request(reread_tokens: u32, sent_tokens: u32) -> RecoveryRequest {
    RecoveryRequest { reread_tokens, sent_tokens, max_tokens: 100, deadline: ms(4000) }
}

/// However many answers ask at once, they take at most the full budget plus what deliveries refill.
#[test]
fn a_burst_of_losses_takes_at_most_the_budget_and_its_refill() {
    // Answers lost at once, tokens delivered afterwards, the share.
    let cases: [(u32, u32, f64); 4] =
        [(2000, 0, 0.25), (2000, 40_000, 0.25), (50, 0, 0.25), (5000, 400_000, 0.1)];
    for (lost, delivered, share) in cases {
        let mut budget = Budget::new(100_000, share);
        let (mut reread_tokens, mut waiting, mut asked) = (0.0, lost, 0);
        for step in 0..200 {
            let now = ms(step * 20);
            budget.refill(now, delivered / 200);
            let mut still_waiting = 0;
            for i in 0..waiting {
                asked += 1;
                match budget.request(now, recovery_request(800, i % 100)) {
                    Verdict::Granted => reread_tokens += 800.0,
                    Verdict::Wait(_) => still_waiting += 1,
                    Verdict::GiveUp => {}
                }
            }
            waiting = still_waiting;
        }
        let allowed = 100_000.0 + f64::from(delivered) * share;
        assert!(
            reread_tokens <= allowed,
            "{lost} lost, {delivered} delivered: {reread_tokens} read again, {allowed} allowed"
        );
        assert!(reread_tokens > 0.0 && asked >= lost);
        if lost == 50 {
            assert_eq!(reread_tokens, 40_000.0, "a small burst is recovered completely");
        }
    }
}

/// An answer that is nearly complete may use the part of the budget that is reserved from others.
#[test]
fn nearly_complete_answers_go_first() {
    let mut budget = Budget::new(10_000, 0.25);
    let granted = |budget: &mut Budget, sent_tokens: u32| {
        (0..100)
            .filter(|_| budget.request(ms(0), recovery_request(500, sent_tokens)) == Verdict::Granted)
            .count()
    };
    assert_eq!(granted(&mut budget, 0), 10, "hardly begun: half of the budget");
    assert_eq!(granted(&mut budget, 50), 5, "half done: three quarters");
    assert_eq!(granted(&mut budget, 100), 5, "nearly done: all");
    assert_eq!(budget.available(), 0.0);
}

#[test]
fn a_recovery_that_would_be_late_is_given_up_at_once() {
    // Available tokens, delivered tokens per second, deadline in milliseconds; the verdict.
    type IsExpected = fn(Verdict) -> bool;
    let cases: [(u32, u32, u64, IsExpected); 5] = [
        (0, 0, 4000, |verdict| verdict == Verdict::GiveUp),
        (0, 8000, 4000, |verdict| matches!(verdict, Verdict::Wait(span) if span >= ms(20))),
        (0, 8000, 1, |verdict| verdict == Verdict::GiveUp),
        (500, 0, 4000, |verdict| verdict == Verdict::Granted),
        (499, 0, 4000, |verdict| verdict == Verdict::GiveUp),
    ];
    for (i, (left, delivered, until, is_expected)) in cases.into_iter().enumerate() {
        let mut budget = Budget::new(10_000, 0.25);
        let all = RecoveryRequest {
            reread_tokens: 10_000 - left,
            sent_tokens: 100,
            max_tokens: 100,
            deadline: ms(4000),
        };
        assert_eq!(budget.request(ms(0), all), Verdict::Granted);
        // Deliveries whose refill other recoveries have used.
        budget.refill(ms(0), delivered);
        let filled = RecoveryRequest {
            reread_tokens: delivered / 4,
            sent_tokens: 100,
            max_tokens: 100,
            deadline: ms(4000),
        };
        assert_eq!(budget.request(ms(0), filled), Verdict::Granted);
        let verdict = budget.request(
            ms(0),
            RecoveryRequest { reread_tokens: 500, sent_tokens: 100, max_tokens: 100, deadline: ms(until) },
        );
        assert!(is_expected(verdict), "case {i}: {verdict:?}");
    }
    // More than the capacity.
    let mut budget = Budget::new(1000, 0.25);
    budget.refill(ms(0), 1_000_000);
    assert_eq!(budget.request(ms(0), recovery_request(1001, 100)), Verdict::GiveUp);
    assert_eq!(budget.request(ms(0), recovery_request(1000, 100)), Verdict::Granted);
}
