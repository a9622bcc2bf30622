//! Busy sockets on two workers, each of which polls for the events of its own sockets.

mod busy_sockets;

#[test]
fn sockets_that_are_always_ready_leave_two_workers_to_others() {
    busy_sockets::check_echoes_beside_busy_sockets(2);
}
