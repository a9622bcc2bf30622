use super::*;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn who_goes_for_a_new_client() {
    let room = Room::new(224);
    for (clients, held, goes) in [
        (1, 3, None),
        (100, 174, None),
        (101, 110, Some(Goes::Client)),
        (20, 175, Some(Goes::IdleHosts)),
        (101, 190, Some(Goes::Client)),
    ] {
        assert_eq!(room.must_go(clients, held), goes, "{clients} clients, {held} held");
    }
    // Clients that never sent a request are evicted first, then the one that has been silent longest.
    let idle = |since, known| Idle { since: ms(since), part: false, known };
    let part = |since, known| Idle { part: true, ..idle(since, known) };
    for (all, goes) in [
        (vec![], None),
        (vec![idle(10, true), idle(50, false), idle(20, false)], Some(2)),
        (vec![idle(30, true), idle(10, true)], Some(1)),
        (vec![part(10, false), idle(50, true)], Some(1)),
        (vec![part(30, false), part(10, false)], Some(1)),
    ] {
        assert_eq!(room.goes(all.iter().copied().enumerate()), goes, "{all:?}");
    }
    // A small limit still leaves some sockets, and idle clients are closed sooner when there are many.
    assert!(Room::new(0).clients() > 0 && Room::new(0).tasks() > 0);
    assert!(room.idle(10) > room.idle(90) && room.idle(90) > ms(2000));
}
