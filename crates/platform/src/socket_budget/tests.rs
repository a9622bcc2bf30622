use super::*;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn who_is_evicted_for_a_new_client() {
    let budget = SocketBudget::new(224);
    for (clients, held, evicted) in [
        (1, 3, None),
        (100, 174, None),
        (101, 110, Some(Eviction::Client)),
        (20, 175, Some(Eviction::IdleHostLinks)),
        (101, 190, Some(Eviction::Client)),
    ] {
        assert_eq!(budget.eviction_for_new_client(clients, held), evicted, "{clients} clients, {held} held");
    }
    // Clients that never sent a request are evicted first, then the one that has been silent longest.
    let candidate =
        |since, answered_before| EvictionCandidate { since: ms(since), partial: false, answered_before };
    let partial_request =
        |since, answered_before| EvictionCandidate { partial: true, ..candidate(since, answered_before) };
    for (all, evicted) in [
        (vec![], None),
        (vec![candidate(10, true), candidate(50, false), candidate(20, false)], Some(2)),
        (vec![candidate(30, true), candidate(10, true)], Some(1)),
        (vec![partial_request(10, false), candidate(50, true)], Some(1)),
        (vec![partial_request(30, false), partial_request(10, false)], Some(1)),
    ] {
        assert_eq!(budget.client_to_evict(ms(1000), all.iter().copied().enumerate()), evicted, "{all:?}");
    }
    // A new client has time to send its first request, unless all others are as new.
    let (new, later) = (ms(10) + FIRST_REQUEST_GRACE - ms(1), ms(10) + FIRST_REQUEST_GRACE);
    for (all, now, evicted) in [
        (vec![candidate(10, false), candidate(12, true)], new, Some(1)),
        (vec![candidate(10, false), candidate(12, true)], later, Some(0)),
        (vec![candidate(12, false), candidate(10, false)], new, Some(1)),
    ] {
        assert_eq!(budget.client_to_evict(now, all.iter().copied().enumerate()), evicted, "{all:?}");
    }
    // A small limit still leaves some sockets, and idle clients are closed sooner when there are many.
    assert!(SocketBudget::new(0).max_clients() > 0 && SocketBudget::new(0).max_tasks() > 0);
    assert!(budget.idle_timeout(10) > budget.idle_timeout(90) && budget.idle_timeout(90) > ms(2000));
}
