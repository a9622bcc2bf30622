use super::*;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// An idle time at which requests were lost is avoided, others are not, and after a while it is tried again.
#[test]
fn idle_connections_are_trusted_by_what_became_of_others() {
    // Idle time in ms, number of uses, every how many-th is lost; whether it is used right after, and a
    // minute later.
    for (idle, used, every, trusted, later) in [
        (300, 40, 2, false, true),
        (300, 40, 5, false, true),
        (300, 40, 40, true, true),
        (3000, 8, 2, false, true),
        (300, 1, 1, false, true),
        (90_000_000, 40, 2, false, true),
    ] {
        let mut kept = Kept::default();
        for i in 0..used {
            kept.used(ms(10 * i), ms(idle), i % every == every - 1);
        }
        let now = ms(10 * used);
        assert_eq!(kept.trusts(now, ms(idle)), trusted, "{idle} {used} {every}");
        assert_eq!(kept.trusts(now + ms(90_000), ms(idle)), later, "{idle} {used} {every} later");
        assert!(kept.trusts(now, ms(idle.min(1000) / 8)), "{idle}: shorter spans");
        assert_eq!(kept.trusts(now, ms(idle * 8)), trusted, "{idle}: longer ones, not met yet");
    }
}
