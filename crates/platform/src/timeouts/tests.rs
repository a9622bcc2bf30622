use super::*;

/// The platform's limits: 5 s of silence, and one second for the end of a stream.
#[test]
fn silence_is_limited_to_what_clients_are_promised() {
    for host_removed in [false, true] {
        assert!(silence_timeout(false, host_removed) < Duration::from_secs(5));
        assert!(silence_timeout(true, host_removed) < Duration::from_secs(1));
    }
    assert!(silence_timeout(false, true) < silence_timeout(false, false));
}
