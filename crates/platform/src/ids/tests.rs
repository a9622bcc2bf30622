use super::*;

#[test]
fn an_id_stays_reserved_until_nothing_of_its_request_can_run() {
    let s = Duration::from_secs;
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
            Some(reserved) => assert_eq!(ids.reserve(s(at), id), reserved, "{id} at {at}"),
            None => ids.end(s(at), id.to_owned()),
        }
    }
    // Memory is bounded, however many requests end.
    for i in 0..3 * MAX_ENDED_IDS {
        let id = format!("id{i}");
        assert!(ids.reserve(s(70), &id));
        ids.end(s(70), id);
    }
    assert!(ids.reserved.len() <= MAX_ENDED_IDS + 4 && ids.ended.len() <= MAX_ENDED_IDS + 2);
}
