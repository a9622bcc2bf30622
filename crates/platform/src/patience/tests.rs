use super::*;

/// The platform's limits: 5 s of silence, and one second for the end of a stream.
#[test]
fn no_client_is_left_waiting() {
    for gone in [false, true] {
        assert!(silent(false, gone) < Duration::from_secs(5));
        assert!(silent(true, gone) < Duration::from_secs(1));
    }
    assert!(silent(false, true) < silent(false, false));
}
