use super::*;

#[test]
fn an_id_is_one_requests_until_nothing_of_it_can_run() {
    let s = Duration::from_secs;
    let mut ids = Ids::new(s(10));
    // When; the id; whether it ends then, else whether a request may have it.
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
    // However many end, memory is bounded.
    for i in 0..3 * MOST {
        let id = format!("id{i}");
        assert!(ids.take(s(70), &id));
        ids.ends(s(70), id);
    }
    assert!(ids.taken.len() <= MOST + 4 && ids.ended.len() <= MOST + 2);
}
