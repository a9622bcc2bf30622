use super::*;
use crate::socket_budget::SocketBudget;

/// Everything that clients can make the process hold fits into the limit, for all limits that the platform grants.
/// Without this, the number of connections times the largest body exceeds it.
#[test]
fn all_that_clients_can_fill_fits_into_the_limit() {
    for memory_mb in [32, 48, 64, 80, 128, 192, 2048] {
        for sockets in [256, 512, 1024] {
            for hosts in [4, 100, 800] {
                let budget = MemoryBudget::new(memory_mb);
                let connections =
                    SocketBudget::new(sockets).limited_to(budget.max_clients(), budget.max_tasks());
                let (clients, tasks) = (connections.max_clients(), connections.max_tasks());
                let requests = budget.request_limits(clients, tasks, hosts);
                let names = 2 * budget.max_names() * NAME_BYTES;
                let others =
                    PROCESS_BYTES + clients * CLIENT_BYTES + tasks * TASK_BYTES + hosts * HOST_BYTES + names;
                let case = format!("{memory_mb} MB, {sockets} sockets, {hosts} hosts");
                assert!(others + requests.total <= memory_mb * MIB, "{case}");
                assert!(clients >= 60 && tasks >= 60, "{case}: {clients} clients, {tasks} tasks");
                assert!(requests.total >= MIN_REQUEST_BYTES, "{case}");
            }
        }
    }
}

/// Large requests and requests that were read ahead leave memory to the others.
#[test]
fn large_requests_leave_memory_to_small_ones() {
    let limits = MemoryBudget::new(80).request_limits(500, 400, 100);
    assert_eq!(limits.for_request(SMALL_REQUEST_BYTES), limits.total);
    assert!(limits.for_request(SMALL_REQUEST_BYTES + 1) <= limits.total * 3 / 4);
    assert!(limits.read_ahead() <= limits.total / 8);
}

/// Of the unfinished requests, the one that keeps most memory idle for longest is rejected first.
#[test]
fn which_unfinished_request_is_rejected() {
    let request =
        |kib: usize, idle_ms| UnfinishedRequest { bytes: kib << 10, idle: Duration::from_millis(idle_ms) };
    for (all, rejected) in [
        (vec![], None),
        // A stopped large request before one that is still arriving.
        (vec![request(250, 0), request(250, 400), request(20, 0)], Some(1)),
        // A large stopped one before a small slow one.
        (vec![request(8, 900), request(250, 100)], Some(1)),
        // Of those that are arriving, the largest.
        (vec![request(20, 0), request(200, 1), request(40, 1)], Some(1)),
    ] {
        assert_eq!(request_to_reject(all.iter().copied().enumerate()), rejected, "{all:?}");
    }
}
