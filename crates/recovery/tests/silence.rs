//! The time-out for silent writers, as a table.

use std::time::Duration;
use tulipstall_recovery::silence::SilenceTimeout;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn the_timeout_follows_the_longest_pauses() {
    // Longest pauses of completed answers in milliseconds, repeated in turn; number of answers; agreed time per token; bounds
    // of the time-out.
    let cases: [(&[u64], u32, u64, u64, u64); 6] = [
        (&[10], 19, 20, 5000, 5000),
        (&[10], 100, 20, 250, 250),
        (&[10], 100, 100, 800, 800),
        (&[100], 100, 20, 400, 500),
        // Occasional long pauses: the time-out is longer than the longest.
        (&[20, 20, 20, 300], 100, 20, 900, 5000),
        (&[4000], 100, 20, 5000, 5000),
    ];
    for (longest, answers, pace_ms, min_ms, max_ms) in cases {
        let mut silence = SilenceTimeout::default();
        longest.iter().cycle().take(answers as usize).for_each(|longest| silence.record_pause(ms(*longest)));
        let timeout = silence.timeout(ms(pace_ms), ms(5000));
        assert!(timeout >= ms(min_ms) && timeout <= ms(max_ms), "{longest:?} x {answers}: {timeout:?}");
    }
}

/// All writers become slower by a twentieth per answer: no pause exceeds the time-out, which follows them.
#[test]
fn slowly_rising_pauses_cause_no_time_out() {
    let mut silence = SilenceTimeout::default();
    (0..50).for_each(|_| silence.record_pause(ms(20)));
    let mut longest = 20.0;
    while longest < 2000.0 {
        longest *= 1.05;
        let now = Duration::from_secs_f64(longest / 1e3);
        assert!(now < silence.timeout(ms(20), ms(5000)), "{now:?}");
        silence.record_pause(now);
    }
}
