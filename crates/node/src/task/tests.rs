use super::*;
use may::sync::mpsc::channel;

/// Of two conflicting claims exactly one takes effect; the body is held for as long as hosts may be asked.
#[test]
fn conflicting_claims_exclude_each_other() {
    type Claim = fn(&Task) -> bool;
    let (close, first, second): (Claim, Claim, Claim) =
        (|task| task.close(), |task| task.claim(0), |task| task.claim(1));
    for (claims, body_held) in
        [([close, first, second], true), ([second, first, close], false), ([first, close, second], false)]
    {
        let (call, request) = (ForwardedCall::default(), TaskRequest::default());
        let task = Task::new(call, request, vec![1], (Weak::new(), channel().0));
        assert_eq!(claims.map(|claim| claim(&task)), [true, false, false]);
        assert_eq!(task.body().is_some(), body_held);
    }
    let (begun, cancelled_shot) = (ShotHandle::default(), ShotHandle::default());
    assert!(begun.begin() && !begun.begin());
    begun.cancel();
    cancelled_shot.cancel();
    assert!(!begun.cancelled() && cancelled_shot.cancelled() && !cancelled_shot.begin());
}
