//! Ages of servers' processes while the wall clock is set.

use std::time::Duration;
use tulipstall_platform::age::{Age, WallClock};

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Unix time at the dispatcher's start.
const START: u64 = 1_800_000_000;

#[test]
fn a_process_is_never_aged_by_a_step_of_the_wall_clock() {
    // Seconds since the dispatcher's start; by how many seconds the wall clock was set; the process's true
    // age; the expected age.
    for (since_start, set_by, age, expected) in
        [(20, 0, 5, 5), (20, 3600, 5, 5), (20, -3600, 5, 0), (20, 3600, 7200, 7200), (20, -3600, 7200, 3600)]
    {
        let now = START + since_start;
        let started = seconds(now - age);
        let wall = WallClock {
            at_start: seconds(START),
            now: seconds(now.checked_add_signed(set_by).expect("a time")),
            since_start: seconds(since_start),
        };
        assert_eq!(wall.age(started), seconds(expected), "set by {set_by}, {age} s old");
    }
}

/// The clocks of all machines are set, and a process starts after that: its start is given by the new time.
#[test]
fn a_process_that_begins_after_all_clocks_were_set_is_young() {
    for set_by in [3600, -3600] {
        let now = (START + 20).checked_add_signed(set_by).expect("a time");
        let wall = WallClock { at_start: seconds(START), now: seconds(now), since_start: seconds(20) };
        assert!(wall.age(seconds(now - 2)) <= seconds(2), "set by {set_by}");
    }
}

#[test]
fn an_age_grows_by_the_monotonic_clock() {
    let age = Age { at_listing: seconds(3), listed_at: seconds(100) };
    assert_eq!(age.at(seconds(107)), seconds(10));
    assert_eq!(age.at(seconds(90)), seconds(3));
}
