use super::*;
use std::thread;

/// A socket that is always ready is busy however slowly its process runs; one that was waited for is not, if its turn was long.
#[test]
fn only_a_long_turn_with_a_wait_is_slow() {
    for (has_waited, pause, expected) in [
        (false, Duration::ZERO, false),
        (true, Duration::ZERO, false),
        (false, SLOW_TURN, false),
        (true, SLOW_TURN, true),
    ] {
        let turn = Turn::default();
        turn.count_bytes(1);
        if has_waited {
            turn.note_wait();
        }
        thread::sleep(pause);
        assert_eq!(turn.take_is_slow(), expected, "{has_waited} {pause:?}");
        // The next turn has had no wait.
        assert!(!turn.take_is_slow());
    }
}
