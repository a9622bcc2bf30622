//! A follower against an engine that restarts, has a short replay buffer, and whose batches are lost,
//! duplicated, late and reordered. Once the connection is reliable, the follower has to arrive at the
//! engine's batch number and must not report blocks that are not cached.

use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeSet, VecDeque};
use tulipstall_prefix::follow::{Batch, CacheEvent, CacheView, Follower, Request};

fn stored(blocks: &[u64], parent: Option<u64>) -> CacheEvent {
    CacheEvent::Stored { blocks: blocks.to_vec(), parent }
}

fn batch(number: u64, incarnation: Option<u64>) -> Batch {
    Batch { number, incarnation, events: vec![stored(&[number], None)] }
}

#[test]
fn gaps_duplicates_and_restarts_are_detected() {
    type Case = (&'static str, &'static [(u64, Option<u64>)], &'static [u64], Request, bool);
    // Batches as (number, incarnation); the numbers that came out in order; the request after the last batch;
    // whether everything known was invalidated at some time.
    let cases: [Case; 9] = [
        ("in order", &[(0, None), (1, None), (2, None)], &[0, 1, 2], Request::Nothing, false),
        ("a gap", &[(0, None), (2, None)], &[0], Request::Replay { from: 1 }, false),
        ("a gap is requested once only", &[(0, None), (2, None), (3, None)], &[0], Request::Nothing, false),
        ("a gap that closes", &[(0, None), (2, None), (1, None)], &[0, 1, 2], Request::Nothing, false),
        ("a duplicate", &[(0, None), (1, None), (1, None)], &[0, 1], Request::Nothing, false),
        ("the first batches are missing", &[(5, None)], &[], Request::Replay { from: 0 }, false),
        (
            "a restart without an incarnation",
            &[(0, None), (1, None), (0, None)],
            &[0, 1, 0],
            Request::Nothing,
            true,
        ),
        (
            "another incarnation",
            &[(0, Some(1)), (1, Some(1)), (2, Some(2))],
            &[0, 1],
            Request::Replay { from: 0 },
            true,
        ),
        (
            "number 0 again in the same incarnation",
            &[(0, Some(1)), (1, Some(1)), (0, Some(1))],
            &[0, 1],
            Request::Nothing,
            false,
        ),
    ];
    for (what, batches, expected, request, invalidated) in cases {
        let (mut follower, mut out, mut last) = (Follower::default(), Vec::new(), Request::Nothing);
        // A new follower takes the incarnation that it is first given as the engine's; only a later, different one is a
        // restart.
        for (number, incarnation) in batches {
            last = follower.receive(batch(*number, *incarnation), &mut out);
        }
        let numbers: Vec<u64> = out
            .iter()
            .filter_map(
                |event| if let CacheEvent::Stored { blocks, .. } = event { Some(blocks[0]) } else { None },
            )
            .collect();
        assert_eq!(numbers, expected, "{what}");
        assert_eq!(last, request, "{what}");
        assert_eq!(out.contains(&CacheEvent::Cleared), invalidated, "{what}");
    }
}

#[test]
fn a_short_replay_buffer_and_a_long_gap_invalidate_everything() {
    let (mut follower, mut out) = (Follower::default(), Vec::new());
    follower.receive(batch(0, None), &mut out);
    assert_eq!(follower.receive(batch(9, None), &mut out), Request::Replay { from: 1 });
    out.clear();
    assert_eq!(follower.replay_starts_at(8, &mut out), Request::Replay { from: 8 });
    assert_eq!(out, [CacheEvent::Cleared], "what was known before the gap is invalid");
    assert_eq!(follower.receive(batch(8, None), &mut out), Request::Nothing);
    assert_eq!(follower.next(), 10);
    // The gap is never closed and thousands of batches follow: memory stays bounded, and the follower starts
    // again from the newest batch.
    out.clear();
    for number in 11..5000 {
        follower.receive(batch(number, None), &mut out);
    }
    assert!(out.contains(&CacheEvent::Cleared));
    assert!(follower.next() > 4000, "{}", follower.next());
    assert_eq!(follower.connection_lost(), Request::Replay { from: follower.next() });
}

/// Blocks count only if their parents are cached, and the view is bounded.
#[test]
fn a_cached_run_needs_its_parents() {
    let mut view = CacheView::new(4);
    view.apply(&stored(&[1, 2, 3], None));
    assert_eq!(
        (view.cached_run(&[1, 2, 3, 4]), view.cached_run(&[2, 3]), view.cached_run(&[1, 3])),
        (3, 0, 1)
    );
    view.apply(&CacheEvent::Removed { blocks: vec![2] });
    assert_eq!(view.cached_run(&[1, 2, 3]), 1);
    view.apply(&stored(&[4, 5, 6, 7], Some(3)));
    assert_eq!(view.len(), 4);
    view.apply(&CacheEvent::Cleared);
    assert!(view.is_empty() && view.cached_run(&[1]) == 0);
}

/// An engine with a short replay buffer.
struct Engine {
    incarnation: u64,
    cached: BTreeSet<u64>,
    replay_buffer: VecDeque<Batch>,
    number: u64,
}

impl Engine {
    fn publish(&mut self, events: Vec<CacheEvent>) -> Batch {
        let batch = Batch { number: self.number, incarnation: Some(self.incarnation), events };
        self.number += 1;
        self.replay_buffer.push_back(batch.clone());
        if self.replay_buffer.len() > 12 {
            self.replay_buffer.pop_front();
        }
        batch
    }

    fn step(&mut self, rng: &mut Pcg64Mcg) -> Batch {
        match rng.random_range(0..40) {
            0 => {
                *self = Engine {
                    incarnation: self.incarnation + 1,
                    cached: BTreeSet::new(),
                    replay_buffer: VecDeque::new(),
                    number: 0,
                };
                self.publish(vec![])
            }
            1 => {
                self.cached.clear();
                self.publish(vec![CacheEvent::Cleared])
            }
            2..=12 if !self.cached.is_empty() => {
                let at = rng.random_range(0..self.cached.len());
                let block = self.cached.iter().nth(at).copied().unwrap_or_default();
                self.cached.remove(&block);
                self.publish(vec![CacheEvent::Removed { blocks: vec![block] }])
            }
            _ => {
                let block = rng.random_range(1..60);
                self.cached.insert(block);
                self.publish(vec![stored(&[block], None)])
            }
        }
    }
}

#[test]
fn the_view_recovers_from_lost_and_reordered_batches() {
    let (mut invalidations, mut replays) = (0, 0);
    for seed in 0..300 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut engine =
            Engine { incarnation: 1, cached: BTreeSet::new(), replay_buffer: VecDeque::new(), number: 0 };
        let (mut follower, mut view) = (Follower::default(), CacheView::new(1000));
        let mut in_transit: VecDeque<Batch> = VecDeque::new();
        let receive =
            |follower: &mut Follower, view: &mut CacheView, batch: Batch, invalidations: &mut u32| {
                let mut out = Vec::new();
                let request = follower.receive(batch, &mut out);
                *invalidations += u32::from(out.contains(&CacheEvent::Cleared));
                out.iter().for_each(|event| view.apply(event));
                request
            };
        for step in 0..400 {
            let reliable = step >= 380;
            let batch = engine.step(&mut rng);
            match rng.random_range(0..10) {
                0 if !reliable => {}
                1 if !reliable => in_transit.extend([batch.clone(), batch]),
                _ => in_transit.push_back(batch),
            }
            if !reliable && rng.random_range(0..5) == 0 {
                in_transit.make_contiguous().shuffle(&mut rng);
            }
            while in_transit.len() > usize::from(!reliable) * 3 {
                let Some(batch) = in_transit.pop_front() else { break };
                let Request::Replay { from } = receive(&mut follower, &mut view, batch, &mut invalidations)
                else {
                    continue;
                };
                replays += 1;
                // Sometimes the replay is lost with its connection, which the follower is informed of.
                if !reliable && rng.random_range(0..4) == 0 {
                    follower.connection_lost();
                    continue;
                }
                let replay: Vec<Batch> =
                    engine.replay_buffer.iter().filter(|batch| batch.number >= from).cloned().collect();
                let oldest = engine.replay_buffer.front().map_or(engine.number, |batch| batch.number);
                let mut out = Vec::new();
                follower.replay_starts_at(oldest, &mut out);
                out.iter().for_each(|event| view.apply(event));
                for batch in replay {
                    receive(&mut follower, &mut view, batch, &mut invalidations);
                }
            }
        }
        let known: BTreeSet<u64> = (1..60).filter(|block| view.cached_run(&[*block]) == 1).collect();
        assert!(known.is_subset(&engine.cached), "seed {seed}: {known:?} of {:?}", engine.cached);
        assert_eq!(follower.next(), engine.number, "seed {seed}");
    }
    assert!(
        invalidations > 100 && replays > 1000,
        "{invalidations} invalidations, {replays} replays: too few for a test"
    );
}
