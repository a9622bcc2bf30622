use super::*;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// An idle time at which requests were lost is avoided, others are not, and after a while it is tried again.
#[test]
fn idle_connections_are_reused_by_the_outcome_of_earlier_uses() {
    // Idle time in ms, number of uses, every how many-th is lost; whether it is used right after, and a
    // minute later.
    for (idle, used, every, used_now, later) in [
        (300, 40, 2, false, true),
        (300, 40, 5, false, true),
        (300, 40, 40, true, true),
        (3000, 8, 2, false, true),
        (300, 1, 1, false, true),
        (90_000_000, 40, 2, false, true),
    ] {
        let mut history = ReuseHistory::default();
        for i in 0..used {
            history.record_use(ms(10 * i), ms(idle), i % every == every - 1);
        }
        let now = ms(10 * used);
        assert_eq!(history.worth_using(now, ms(idle)), used_now, "{idle} {used} {every}");
        assert_eq!(history.worth_using(now + ms(90_000), ms(idle)), later, "{idle} {used} {every} later");
        assert!(history.worth_using(now, ms(idle.min(1000) / 8)), "{idle}: shorter idle times");
        assert_eq!(
            history.worth_using(now, ms(idle * 8)),
            used_now,
            "{idle}: longer idle times without uses"
        );
    }
}
