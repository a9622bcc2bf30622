use super::*;
use EndedRequest::*;

fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[test]
fn an_id_stays_reserved_until_nothing_of_its_request_can_run() {
    for request in [Repeatable, Unrepeatable] {
        let mut ids = RequestIds::new(s(10));
        // Time, id, and the expected result of reserving it; `None` ends its request.
        for (at, id, reserved) in [
            (0, "a", Some(true)),
            (1, "a", Some(false)),
            (1, "b", Some(true)),
            (2, "a", None),
            (3, "a", Some(false)),
            (11, "a", Some(false)),
            (12, "a", Some(true)),
            (13, "a", Some(false)),
            (60, "b", Some(false)),
        ] {
            match reserved {
                Some(reserved) => {
                    let expected = if reserved { Ok(()) } else { Err(ReserveError::InUse) };
                    assert_eq!(ids.reserve(s(at), id), expected, "{id} at {at}");
                }
                None => ids.end(s(at), id, request),
            }
        }
    }
}

/// Memory is bounded, however many requests end. Ids of requests that may run again are forgotten for it.
#[test]
fn the_number_of_ids_is_bounded() {
    let mut ids = RequestIds::new(s(10));
    for i in 0..3 * MAX_ENDED_IDS {
        let id = format!("id{i}");
        assert_eq!(ids.reserve(s(70), &id), Ok(()));
        ids.end(s(70), &id, Repeatable);
    }
    assert!(ids.reserved.len() <= MAX_ENDED_IDS && ids.ended_repeatable.len() <= MAX_ENDED_IDS);
    for i in 0..2 * MAX_ENDED_IDS {
        let id = format!("unsafe{i}");
        let reserved = ids.reserve(s(71), &id);
        assert_eq!(reserved.is_ok(), i < MAX_ENDED_IDS, "{i}");
        ids.end(s(71), &id, Unrepeatable);
    }
    assert!(ids.reserved.len() <= MAX_ENDED_IDS && ids.ended_repeatable.is_empty());
    // There is room again once their time is over.
    assert_eq!(ids.reserve(s(81), "later"), Ok(()));
}

/// A client leaves and its id comes again while others send ever new ones: the request must not run twice.
#[test]
fn no_flood_of_new_ids_frees_one_whose_request_must_not_run_again() {
    let mut ids = RequestIds::new(s(10));
    assert_eq!(ids.reserve(s(0), "left"), Ok(()));
    ids.end(s(1), "left", Unrepeatable);
    for (flood, request) in [("safe", Repeatable), ("refused", Unsent), ("unsafe", Unrepeatable)] {
        for i in 0..2 * MAX_ENDED_IDS {
            let id = format!("{flood}{i}");
            let _ = ids.reserve(s(2), &id);
            ids.end(s(2), &id, request);
        }
        assert_eq!(ids.reserve(s(3), "left"), Err(ReserveError::InUse), "{flood}");
    }
}

/// Nothing was sent for a request that is turned away: its id may come again at once, and takes no room.
#[test]
fn the_id_of_a_request_that_was_not_sent_is_free_at_once() {
    let mut ids = RequestIds::new(s(10));
    for _ in 0..3 {
        assert_eq!(ids.reserve(s(0), "refused"), Ok(()));
        ids.end(s(0), "refused", Unsent);
    }
    assert!(ids.reserved.is_empty());
}
