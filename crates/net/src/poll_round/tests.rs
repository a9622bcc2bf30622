use super::*;

/// However many sockets are busy, few of their turns come between two polls.
#[test]
fn a_round_resumes_a_few_in_their_order() {
    let rounds = PollRounds::new(1).expect("event descriptors");
    // The first one begins a round of its own.
    (0..=2 * MAX_RESUMED).for_each(|_| rounds.join_last(Waiter::current()));
    let resumed: Vec<usize> = (0..4).map(|_| rounds.end_poll(0).len()).collect();
    assert_eq!(resumed, [1, MAX_RESUMED, MAX_RESUMED, 0]);
}
