//! Busy sockets on the only worker. The number of workers holds for a whole process.

mod busy_sockets;

#[test]
fn sockets_that_are_always_ready_leave_one_worker_to_others() {
    busy_sockets::check_echoes_beside_busy_sockets(1);
}
