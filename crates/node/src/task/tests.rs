use super::*;
use crate::memory::RequestMemory;
use tulipstall_net::channel::channel;
use tulipstall_platform::memory_budget::{MemoryBudget, RequestKind};

/// Of two conflicting claims exactly one takes effect; the body is held for as long as hosts may be asked, and not
/// after that.
#[test]
fn conflicting_claims_exclude_each_other() {
    type Claim = fn(&Task) -> bool;
    let (close, first, second): (Claim, Claim, Claim) =
        (|task| task.close(), |task| task.claim(0), |task| task.claim(1));
    let memory = RequestMemory::new(MemoryBudget::new(64), 8, 8);
    for claims in [[close, first, second], [second, first, close], [first, close, second]] {
        let (call, request) = (ForwardedCall::default(), TaskRequest::default());
        let mut lease = memory.lease(RequestKind::Next);
        assert!(lease.try_resize(1));
        let task = Task::new(call, request, Body::new(vec![1], lease), (Weak::new(), channel().0));
        assert!(task.body().is_some());
        assert_eq!(claims.map(|claim| claim(&task)), [true, false, false]);
        assert!(task.body().is_none());
        assert_eq!(memory.held(), 0);
    }
    let (begun, cancelled_shot) = (ShotHandle::default(), ShotHandle::default());
    assert!(begun.begin() && !begun.begin());
    begun.cancel();
    cancelled_shot.cancel();
    assert!(!begun.cancelled() && cancelled_shot.cancelled() && !cancelled_shot.begin());
}
