//! When states that servers may hold for a request are released, by the fate of its attempts.

mod harness;

use harness::*;
use tulipstall::interface::Outcome::*;
use tulipstall::interface::{Action, Event, HostStatus, Outcome, ReleaseReason};

/// Milliseconds after which a release begins while an attempt is unanswered: 0.85 of the hold limit of half a
/// second.
const RELEASE_AFTER_MS: u64 = 425;

/// When the request's read ends, in milliseconds after its start.
const READ_ENDS_MS: u64 = 30;

/// Two readers and three writers that have served a few requests.
fn served_harness(extra: &[(&str, &str)]) -> Harness {
    let hosts = [(READER, 0), (READER, 0), (WRITER, 0), (WRITER, 0), (WRITER, 0)];
    let mut harness = Harness::new(extra, &hosts);
    for i in 0..20 {
        harness.serve_task(i * 100, i as u32, i as u32, 1000);
    }
    harness
}

/// When the requests under test start, in milliseconds.
const START_MS: u64 = 5000;

const REQUEST: u32 = 99;

/// Has the request's prompt read by [`READ_ENDS_MS`] and sent to a writer, which it returns.
fn read_and_send(harness: &mut Harness) -> u32 {
    harness.send_order(START_MS, REQUEST, 99, 1000);
    let next = harness.close_shot(START_MS + READ_ENDS_MS, REQUEST, 0, Read);
    assert_eq!(action_letters(&next), "S");
    sent_host(&next).expect("a writer")
}

/// The first release and its reason, with a timer every millisecond from `from` to `until` after the start.
fn first_release(harness: &mut Harness, from: u64, until: u64) -> Option<(u64, ReleaseReason)> {
    (from..until).find_map(|at| {
        let actions = harness.on_event(START_MS + at, Event::Timer { token: u64::from(REQUEST) << 32 | 1 });
        released(&actions).map(|reason| (at, reason))
    })
}

fn released(actions: &[Action]) -> Option<ReleaseReason> {
    actions.iter().find_map(|action| match action {
        Action::Release { reason, .. } => Some(*reason),
        _ => None,
    })
}

fn is_cancelled(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Cancel { .. }))
}

/// Whatever the effect, a writer's unanswered attempt does not extend the time for which a state is held.
#[test]
fn an_unanswered_attempt_does_not_delay_the_release_of_a_state() {
    for effect in ["replayable", "referenced", "single-use"] {
        for cancel in ["true", "false"] {
            let mut harness = served_harness(&[("offerings.0.effect", effect), ("allowed.cancel", cancel)]);
            read_and_send(&mut harness);
            let found = first_release(&mut harness, READ_ENDS_MS, 4000);
            assert_eq!(
                found,
                Some((READ_ENDS_MS + RELEASE_AFTER_MS, ReleaseReason::Unanswered)),
                "{effect} {cancel}"
            );
        }
    }
}

/// If attempts may not be cancelled, one for a client that has left does not extend it either.
#[test]
fn an_attempt_for_a_client_that_left_does_not_delay_the_release_of_a_state() {
    let mut harness = served_harness(&[("allowed.cancel", "false")]);
    read_and_send(&mut harness);
    harness.on_event(START_MS + 100, Event::ClientGone { task: REQUEST });
    let found = first_release(&mut harness, 100, 4000);
    assert_eq!(found, Some((READ_ENDS_MS + RELEASE_AFTER_MS, ReleaseReason::Unanswered)));
}

/// A release cancels no attempt: a writer that is slow to its first token still answers, and what must not be
/// repeated is not, whatever was released.
#[test]
fn a_release_cancels_no_attempt() {
    // How the attempt ends a second after the release, and the actions that follow.
    let cases: &[(Option<Outcome>, &str)] = &[
        (None, ""),
        (Some(Delivered), ""),
        (Some(NoState), "S"),
        (Some(Full), "S"),
        (Some(NoConnection), "S"),
        (Some(Error), "RX"),
        (Some(Broken), "RX"),
        (Some(Stale), "RX"),
        (Some(TimedOut), "RX"),
        (Some(Cancelled), "RX"),
    ];
    for (outcome, expected) in cases {
        let mut harness = served_harness(&[("offerings.0.effect", "single-use")]);
        read_and_send(&mut harness);
        first_release(&mut harness, READ_ENDS_MS, 4000).expect("a release");
        for at in 400..1400 {
            let actions =
                harness.on_event(START_MS + at, Event::Timer { token: u64::from(REQUEST) << 32 | 1 });
            assert!(
                !is_cancelled(&actions) && action_letters(&actions).is_empty(),
                "{actions:?} after {at} ms"
            );
        }
        let next = match outcome {
            Some(outcome) => harness.close_shot(START_MS + 1400, REQUEST, 1, *outcome),
            None => harness.on_event(START_MS + 1400, Event::Started { task: REQUEST, shot: 1 }),
        };
        assert_eq!(action_letters(&next), *expected, "{outcome:?}");
        let reads_again = sent_host(&next).is_none_or(|host| host < 2);
        assert!(reads_again, "{outcome:?}: a released state must not be fetched: {next:?}");
    }
}

/// Only an answer proves that an attempt had arrived, and restarts the hold time of the state.
#[test]
fn only_an_answer_restarts_the_hold_time() {
    const ENDS_MS: u64 = 200;
    for (outcome, since) in [
        (Full, ENDS_MS),
        (Error, ENDS_MS),
        (Broken, READ_ENDS_MS),
        (Stale, READ_ENDS_MS),
        (TimedOut, READ_ENDS_MS),
        (Cancelled, READ_ENDS_MS),
        (NoConnection, READ_ENDS_MS),
        (Moot, READ_ENDS_MS),
    ] {
        let mut harness = served_harness(&[]);
        read_and_send(&mut harness);
        assert_eq!(
            action_letters(&harness.close_shot(START_MS + ENDS_MS, REQUEST, 1, outcome)),
            "S",
            "{outcome:?}"
        );
        let found = first_release(&mut harness, ENDS_MS, 4000);
        assert_eq!(found, Some((since + RELEASE_AFTER_MS, ReleaseReason::Unanswered)), "{outcome:?}");
    }
}

/// If the task may be repeated, a writer that is silent while its peers answer is given up while another can
/// still fetch the state. The attempt at the other one does not extend the hold time either.
#[test]
fn a_silent_writer_is_given_up_while_another_can_fetch_the_state() {
    // The hold limit; whether a peer answers meanwhile; how long after the read the attempt is cancelled: at
    // 0.65 of the hold limit, but never before a quarter of the agreed time; and when the release begins.
    for (hold_limit_us, peer_answers, expected, begins) in [
        ("1000000", true, Some(650), 850),
        ("1000000", false, None, 850),
        ("500000", true, Some(375), 425),
        ("500000", false, None, 425),
    ] {
        let expected = expected.map(|after| READ_ENDS_MS + after);
        let mut harness = served_harness(&[("service.release_us", hold_limit_us)]);
        let writer = read_and_send(&mut harness);
        if peer_answers {
            // Another writer answers; this one gets nothing meanwhile.
            harness.list_host(START_MS + 90, writer, HostStatus::Draining, None);
            harness.serve_task(START_MS + 100, 200, 200, 1000);
        }
        let cancelled_at = (200..READ_ENDS_MS + begins).find(|at| {
            let token = u64::from(REQUEST) << 32 | 1;
            is_cancelled(&harness.on_event(START_MS + at, Event::Timer { token }))
        });
        assert_eq!(cancelled_at, expected, "{hold_limit_us} {peer_answers}");
        if let Some(at) = cancelled_at {
            let next = harness.close_shot(START_MS + at + 1, REQUEST, 1, Cancelled);
            assert_eq!(
                (action_letters(&next).as_str(), sent_host(&next) >= Some(2)),
                ("S", true),
                "{next:?}"
            );
            let found = first_release(&mut harness, at + 2, 4000);
            assert_eq!(found, Some((READ_ENDS_MS + begins, ReleaseReason::Unanswered)), "{hold_limit_us}");
        }
    }
}

/// A state that a failed read may have left is released in time, even if no reader may be sent to and the
/// request still waits.
#[test]
fn a_state_that_a_failed_read_may_have_left_is_released_while_its_request_waits() {
    let mut harness =
        served_harness(&[("service.release_us", "300000"), ("offerings.0.agreed_time_us", "3000000")]);
    harness.send_order(START_MS, REQUEST, 99, 1000);
    assert_eq!(action_letters(&harness.close_shot(START_MS + 100, REQUEST, 0, Broken)), "S");
    for reader in [0, 1] {
        harness.list_host(START_MS + 110, reader, HostStatus::Draining, None);
    }
    assert_eq!(action_letters(&harness.close_shot(START_MS + 200, REQUEST, 1, NoConnection)), "");
    let found = first_release(&mut harness, 100, 4000);
    assert_eq!(found, Some((100 + 210, ReleaseReason::Left)));
}

/// A server may keep a released state for the attempt that waits for it. If that ends without the state, it
/// is released once more, after another hold time or with the request.
#[test]
fn a_state_released_under_an_attempt_that_ends_without_it_is_released_again() {
    for (outcome, released_again) in [
        (Cancelled, true),
        (TimedOut, true),
        (Broken, true),
        (Error, true),
        (Full, true),
        (NoState, false),
        (Spoilt, false),
        (Delivered, false),
    ] {
        // If it must not be repeated: with the final answer, if not before.
        let mut harness = served_harness(&[("offerings.0.effect", "single-use")]);
        read_and_send(&mut harness);
        first_release(&mut harness, READ_ENDS_MS, 4000).expect("a release");
        let next = harness.close_shot(START_MS + 1000, REQUEST, 1, outcome);
        let found = released(&next).or_else(|| {
            harness.on_event(START_MS + 1010, Event::ClientGone { task: REQUEST });
            released(&harness.close_shot(START_MS + 1020, REQUEST, 2, Cancelled))
        });
        assert_eq!(found.is_some(), released_again, "{outcome:?}: {next:?}");
    }
}

/// An answer that has begun shows that the state was fetched: nothing is released while it streams.
#[test]
fn nothing_is_released_while_an_answer_streams() {
    let mut harness = served_harness(&[]);
    read_and_send(&mut harness);
    harness.on_event(START_MS + 300, Event::Started { task: REQUEST, shot: 1 });
    assert_eq!(first_release(&mut harness, 300, 4000), None);
}

/// A read that ended without an answer may have left a state. That is released in time even while the next
/// read is in flight, and the state of the next read has its own time.
#[test]
fn a_state_that_a_lost_read_may_have_left_is_released_in_time() {
    const LOST_MS: u64 = 100;
    for (outcome, left) in
        [(Broken, true), (TimedOut, true), (Stale, true), (Error, true), (NoConnection, false), (Full, false)]
    {
        let mut harness = served_harness(&[("allowed.cancel", "false")]);
        harness.send_order(START_MS, REQUEST, 99, 1000);
        assert_eq!(
            action_letters(&harness.close_shot(START_MS + LOST_MS, REQUEST, 0, outcome)),
            "S",
            "{outcome:?}"
        );
        let expected = left.then_some((LOST_MS + RELEASE_AFTER_MS, ReleaseReason::Unanswered));
        assert_eq!(first_release(&mut harness, LOST_MS, 1000), expected, "{outcome:?}");
        assert_eq!(
            action_letters(&harness.close_shot(START_MS + 1000, REQUEST, 1, Read)),
            "S",
            "{outcome:?}"
        );
        let found = first_release(&mut harness, 1000, 4000);
        assert_eq!(found, Some((1000 + RELEASE_AFTER_MS, ReleaseReason::Unanswered)), "{outcome:?}");
    }
}
