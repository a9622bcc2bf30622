//! Waits of coroutines that a notification ends.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};
use tulipstall_net::{Notify, spawn};

const LONG: Duration = Duration::from_secs(20);
const SHORT: Duration = Duration::from_millis(50);

/// A notification ends a wait that is under way, or else the next one, and only one. Without that, a change that comes just
/// before a pause goes unnoticed for all of it.
#[test]
fn a_notification_ends_one_wait() {
    let notify = Arc::new(Notify::default());
    let waiting = notify.clone();
    let waits = spawn(move || {
        let started = Instant::now();
        let notified = [waiting.wait_timeout(LONG), waiting.wait_timeout(LONG), waiting.wait_timeout(SHORT)];
        (notified, started.elapsed())
    });
    thread::sleep(SHORT);
    notify.notify();
    thread::sleep(SHORT);
    notify.notify();
    let (notified, took) = waits.join().expect("no panic");
    assert_eq!(notified, [true, true, false]);
    assert!(took >= 2 * SHORT && took < LONG, "{took:?}");
    notify.notify();
    assert!(notify.wait_timeout(LONG));
    let before = Instant::now();
    assert!(!notify.wait_timeout(SHORT) && before.elapsed() >= SHORT);
}

/// Waits with notifications from several threads at any moments: none is missed and none hangs.
#[test]
fn notifications_at_any_moment_are_seen() {
    let notify = Arc::new(Notify::default());
    let waiting = notify.clone();
    let waits = spawn(move || (0..2000).filter(|_| waiting.wait_timeout(Duration::from_micros(200))).count());
    let notifiers: Vec<_> = (0..3)
        .map(|_| {
            let notify = notify.clone();
            thread::spawn(move || (0..2000).for_each(|_| notify.notify()))
        })
        .collect();
    notifiers.into_iter().for_each(|notifier| notifier.join().expect("no panic"));
    let seen = waits.join().expect("no panic");
    assert!(seen > 0);
    notify.notify();
    assert!(notify.wait_timeout(LONG));
}
