use super::*;

/// What leases hold together stays within the limits, and all of it comes back, whoever drops which part.
#[test]
fn leases_stay_within_the_limits_and_are_given_back() {
    const STEP: usize = 256 << 10;
    let memory = RequestMemory::new(MemoryBudget::new(40), 100, 100);
    let limits = MemoryBudget::new(40).request_limits(100, 100, 0);
    for (kind, limit) in
        [(RequestKind::Next, limits.for_request(STEP)), (RequestKind::Ahead, limits.read_ahead())]
    {
        let mut leases = Vec::new();
        loop {
            let mut lease = memory.lease(kind);
            if !lease.try_resize(STEP) {
                break;
            }
            leases.push(lease);
        }
        assert!(memory.held() <= limit && memory.held() + STEP > limit, "{kind:?}: {}", memory.held());
        // A lease that may not grow keeps its size.
        assert!(!leases[0].try_resize(limit));
        // A part that is split off is given back on its own.
        let before = memory.held();
        drop(leases[0].split_off(1000));
        assert_eq!(memory.held(), before - 1000);
        assert!(leases[0].try_resize(10));
        drop(leases);
        assert_eq!(memory.held(), 0, "{kind:?}");
        assert_eq!(memory.read_ahead.load(Ordering::Relaxed), 0, "{kind:?}");
    }
}
