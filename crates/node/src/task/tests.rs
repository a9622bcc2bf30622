use super::*;
use may::sync::mpsc::channel;

/// Of two conflicting claims exactly one takes effect; the body is held for as long as hosts may be asked.
#[test]
fn one_of_two_that_cross_holds() {
    type Claim = fn(&Task) -> bool;
    let (close, first, second): (Claim, Claim, Claim) =
        (|task| task.close(), |task| task.take(0), |task| task.take(1));
    for (claims, prompt) in
        [([close, first, second], true), ([second, first, close], false), ([first, close, second], false)]
    {
        let (call, ask) = (Passed::default(), Ask::default());
        let task = Task::new(call, ask, vec![1], (Weak::new(), channel().0));
        assert_eq!(claims.map(|claim| claim(&task)), [true, false, false]);
        assert_eq!(task.body().is_some(), prompt);
    }
    let (begun, called_off) = (Out::default(), Out::default());
    assert!(begun.begin() && !begun.begin());
    begun.cancel();
    called_off.cancel();
    assert!(!begun.cancelled() && called_off.cancelled() && !called_off.begin());
}
