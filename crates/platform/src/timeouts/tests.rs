use super::*;

/// The platform's limits: 5 s of silence, and one second for the end of a stream. A host that is removed gets less time from its
/// removal on, and never more in all.
#[test]
fn silence_is_limited_to_what_clients_are_promised() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let after_event =
        |end_marker_seen| StreamProgress { last_event: start, slow_event_bytes_at: None, end_marker_seen };
    for removed_at in [None, Some(at(0)), Some(at(1500)), Some(at(4000))] {
        assert!(after_event(false).deadline(removed_at) < at(5000), "{removed_at:?}");
        assert!(after_event(true).deadline(removed_at) < at(1000), "{removed_at:?}");
    }
    assert_eq!(after_event(false).deadline(Some(at(0))), at(2000));
    assert_eq!(after_event(false).deadline(Some(at(1500))), at(3500));
    assert!(after_event(false).deadline(Some(at(0))) < after_event(false).deadline(None));
    // The removal was before the last event.
    let later = StreamProgress { last_event: at(1000), ..after_event(false) };
    assert_eq!(later.deadline(Some(at(0))), at(3000));
}

/// A slow event is waited for as long as its bytes come without long pauses, and not without end.
#[test]
fn a_slow_event_has_more_time_than_silence() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let silent = StreamProgress { last_event: start, slow_event_bytes_at: None, end_marker_seen: false };
    let slow = |bytes_at| StreamProgress { slow_event_bytes_at: Some(at(bytes_at)), ..silent };
    assert_eq!(slow(0).deadline(None), silent.deadline(None));
    // Its host has stopped within it: no longer than the platform's 5 s.
    assert_eq!(slow(1000).deadline(None), silent.deadline(None));
    assert!(slow(4499).deadline(None) <= at(5000));
    assert_eq!(slow(10_000).deadline(None), at(10_500));
    assert_eq!(slow(19_900).deadline(None), at(20_000));
    // What a removed host wrote before has time to arrive, and no more.
    assert_eq!(slow(4000).deadline(Some(at(0))), silent.deadline(Some(at(0))));
}
