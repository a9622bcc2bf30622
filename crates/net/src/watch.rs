//! One thread looks over all links and shuts those whose moment is past. It costs a link two loads a look, and no
//! entry in any queue for a wait that ends in time, as nearly all do.

use crate::Inner;
use std::any::Any;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, OnceLock, Weak};
use std::thread;
use std::time::{Duration, Instant};

/// How often links are looked at: half the slack that the rules leave an answer, with which this need not be exact
/// as the decisions have timers of their own.
const LOOK: Duration = Duration::from_millis(4);

/// Looks for which what was buried is kept at least, some 250 ms: a worker that the system halts between two
/// instructions of `may` goes on before, and few file numbers are held. Counted in looks, not by the clock, so that
/// a process that stood still as a whole loses nothing.
const KEPT: u32 = 60;

/// With one worker: until the look after the next, as nobody can be between those instructions.
const KEPT_BY_ONE: u32 = 2;

static KEEPS: AtomicU32 = AtomicU32::new(KEPT);

pub fn keep_buried(workers: usize) {
    KEEPS.store(if workers == 1 { KEPT_BY_ONE } else { KEPT }, Ordering::Relaxed);
}

struct Watch {
    start: Instant,
    links: Mutex<Vec<Weak<Inner>>>,
    buried: Mutex<Vec<Buried>>,
}

type Buried = Box<dyn Any + Send>;

fn watch() -> &'static Watch {
    static WATCH: OnceLock<Watch> = OnceLock::new();
    static THREAD: OnceLock<bool> = OnceLock::new();
    let watch = WATCH.get_or_init(|| Watch {
        start: Instant::now(),
        links: Mutex::default(),
        buried: Mutex::default(),
    });
    THREAD.get_or_init(|| thread::Builder::new().name("watch-links".into()).spawn(|| look(watch)).is_ok());
    watch
}

/// A moment on the watch's clock.
pub fn at(moment: Instant) -> u64 {
    moment.saturating_duration_since(watch().start).as_micros() as u64
}

pub fn add(link: &Arc<Inner>) {
    if let Ok(mut links) = watch().links.lock() {
        links.push(Arc::downgrade(link));
    }
}

/// Keeps something for a while that `may` may still hold a pointer to (docs/coroutines.md), then drops it.
pub fn bury(what: Buried) {
    if let Ok(mut buried) = watch().buried.lock() {
        buried.push(what);
    }
}

fn look(watch: &Watch) {
    let mut all: Vec<Weak<Inner>> = Vec::new();
    let (mut looks, mut older) = (0, Vec::new());
    loop {
        thread::sleep(LOOK);
        looks += 1;
        if looks >= KEEPS.load(Ordering::Relaxed) {
            looks = 0;
            // Dropped with no lock held: what is dropped may bury more.
            let buried = watch.buried.lock().map(|mut buried| std::mem::take(&mut *buried));
            drop(std::mem::replace(&mut older, buried.unwrap_or_default()));
        }
        // The lock is held for as long as it takes to move the new ones over.
        if let Ok(mut new) = watch.links.lock() {
            all.append(&mut new);
        }
        let now = at(Instant::now());
        all.retain(|link| {
            let Some(link) = link.upgrade() else { return false };
            link.shut_if_due(now);
            true
        });
    }
}
