use super::*;

#[test]
fn an_id_is_one_requests_until_nothing_of_it_can_run() {
    let s = Duration::from_secs;
    let mut ids = Ids::new(s(10));
    // Time, id, and the expected result of reserving it; `None` ends its request.
    for (at, id, taken) in [
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
        match taken {
            Some(taken) => assert_eq!(ids.take(s(at), id), taken, "{id} at {at}"),
            None => ids.ends(s(at), id.to_owned()),
        }
    }
    // Memory is bounded, however many requests end.
    for i in 0..3 * MOST {
        let id = format!("id{i}");
        assert!(ids.take(s(70), &id));
        ids.ends(s(70), id);
    }
    assert!(ids.taken.len() <= MOST + 4 && ids.ended.len() <= MOST + 2);
}
