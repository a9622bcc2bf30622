//! A follower against a publisher whose batches are lost, doubled, late and out of order, whose past is short and which
//! starts anew: once it is quiet the follower is at the publisher's number and knows nothing that is not kept.

use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeSet, VecDeque};
use tulipstall_prefix::follow::{Batch, Follower, Told, View, Want};

fn stored(blocks: &[u64], parent: Option<u64>) -> Told {
    Told::Stored { blocks: blocks.to_vec(), parent }
}

fn batch(number: u64, life: Option<u64>) -> Batch {
    Batch { number, life, told: vec![stored(&[number], None)] }
}

#[test]
fn numbers_tell_what_is_missing() {
    type Case = (&'static str, &'static [(u64, Option<u64>)], &'static [u64], Want, bool);
    // Batches as (number, life); which of them have come out in order at the end, what is wanted after the last, whether
    // all before was void at some time.
    let cases: [Case; 9] = [
        ("in order", &[(0, None), (1, None), (2, None)], &[0, 1, 2], Want::Nothing, false),
        ("a gap", &[(0, None), (2, None)], &[0], Want::Again { from: 1 }, false),
        ("asked for once only", &[(0, None), (2, None), (3, None)], &[0], Want::Nothing, false),
        ("a gap that closes", &[(0, None), (2, None), (1, None)], &[0, 1, 2], Want::Nothing, false),
        ("doubled", &[(0, None), (1, None), (1, None)], &[0, 1], Want::Nothing, false),
        ("the first is not the first", &[(5, None)], &[], Want::Again { from: 0 }, false),
        ("counts anew", &[(0, None), (1, None), (0, None)], &[0, 1, 0], Want::Nothing, true),
        ("another life", &[(0, Some(1)), (1, Some(1)), (2, Some(2))], &[0, 1], Want::Again { from: 0 }, true),
        (
            "the same life, nought again",
            &[(0, Some(1)), (1, Some(1)), (0, Some(1))],
            &[0, 1],
            Want::Nothing,
            false,
        ),
    ];
    for (what, batches, wanted, want, void) in cases {
        let (mut follower, mut out, mut last) = (Follower::default(), Vec::new(), Want::Nothing);
        // One that was told a life first hears of another as itself.
        for (number, life) in batches {
            last = follower.batch(batch(*number, *life), &mut out);
        }
        let came: Vec<u64> = out
            .iter()
            .filter_map(|told| if let Told::Stored { blocks, .. } = told { Some(blocks[0]) } else { None })
            .collect();
        assert_eq!(came, wanted, "{what}");
        assert_eq!(last, want, "{what}");
        assert_eq!(out.contains(&Told::Cleared), void, "{what}");
    }
}

#[test]
fn a_past_out_of_reach_and_a_follower_too_slow_begin_anew() {
    let (mut follower, mut out) = (Follower::default(), Vec::new());
    follower.batch(batch(0, None), &mut out);
    assert_eq!(follower.batch(batch(9, None), &mut out), Want::Again { from: 1 });
    out.clear();
    assert_eq!(follower.reaches_back_to(8, &mut out), Want::Again { from: 8 });
    assert_eq!(out, [Told::Cleared], "what was known before the gap is void");
    assert_eq!(follower.batch(batch(8, None), &mut out), Want::Nothing);
    assert_eq!(follower.next(), 10);
    // Nothing closes the gap, thousands come behind it: bounded, and known again from the newest on.
    out.clear();
    for number in 11..5000 {
        follower.batch(batch(number, None), &mut out);
    }
    assert!(out.contains(&Told::Cleared));
    assert!(follower.next() > 4000, "{}", follower.next());
    assert_eq!(follower.broke(), Want::Again { from: follower.next() });
}

/// Blocks count only with their parents, and the view is bounded.
#[test]
fn a_run_needs_its_parents() {
    let mut view = View::new(4);
    view.take(&stored(&[1, 2, 3], None));
    assert_eq!((view.run(&[1, 2, 3, 4]), view.run(&[2, 3]), view.run(&[1, 3])), (3, 0, 1));
    view.take(&Told::Removed { blocks: vec![2] });
    assert_eq!(view.run(&[1, 2, 3]), 1);
    view.take(&stored(&[4, 5, 6, 7], Some(3)));
    assert_eq!(view.len(), 4);
    view.take(&Told::Cleared);
    assert!(view.is_empty() && view.run(&[1]) == 0);
}

/// An engine with a short past.
struct Engine {
    life: u64,
    kept: BTreeSet<u64>,
    past: VecDeque<Batch>,
    number: u64,
}

impl Engine {
    fn publish(&mut self, told: Vec<Told>) -> Batch {
        let batch = Batch { number: self.number, life: Some(self.life), told };
        self.number += 1;
        self.past.push_back(batch.clone());
        if self.past.len() > 12 {
            self.past.pop_front();
        }
        batch
    }

    fn step(&mut self, chance: &mut Pcg64Mcg) -> Batch {
        match chance.random_range(0..40) {
            0 => {
                *self =
                    Engine { life: self.life + 1, kept: BTreeSet::new(), past: VecDeque::new(), number: 0 };
                self.publish(vec![])
            }
            1 => {
                self.kept.clear();
                self.publish(vec![Told::Cleared])
            }
            2..=12 if !self.kept.is_empty() => {
                let at = chance.random_range(0..self.kept.len());
                let block = self.kept.iter().nth(at).copied().unwrap_or_default();
                self.kept.remove(&block);
                self.publish(vec![Told::Removed { blocks: vec![block] }])
            }
            _ => {
                let block = chance.random_range(1..60);
                self.kept.insert(block);
                self.publish(vec![stored(&[block], None)])
            }
        }
    }
}

#[test]
fn after_any_trouble_the_view_is_the_engines() {
    let (mut voids, mut replays) = (0, 0);
    for seed in 0..300 {
        let mut chance = Pcg64Mcg::seed_from_u64(seed);
        let mut engine = Engine { life: 1, kept: BTreeSet::new(), past: VecDeque::new(), number: 0 };
        let (mut follower, mut view) = (Follower::default(), View::new(1000));
        let mut way: VecDeque<Batch> = VecDeque::new();
        let take = |follower: &mut Follower, view: &mut View, batch: Batch, voids: &mut u32| {
            let mut out = Vec::new();
            let want = follower.batch(batch, &mut out);
            *voids += u32::from(out.contains(&Told::Cleared));
            out.iter().for_each(|told| view.take(told));
            want
        };
        for step in 0..400 {
            let quiet = step >= 380;
            let batch = engine.step(&mut chance);
            match chance.random_range(0..10) {
                0 if !quiet => {}
                1 if !quiet => way.extend([batch.clone(), batch]),
                _ => way.push_back(batch),
            }
            if !quiet && chance.random_range(0..5) == 0 {
                way.make_contiguous().shuffle(&mut chance);
            }
            while way.len() > usize::from(!quiet) * 3 {
                let Some(batch) = way.pop_front() else { break };
                let Want::Again { from } = take(&mut follower, &mut view, batch, &mut voids) else {
                    continue;
                };
                replays += 1;
                // Now and then the answer is lost with its connection, which is noticed.
                if !quiet && chance.random_range(0..4) == 0 {
                    follower.broke();
                    continue;
                }
                let again: Vec<Batch> =
                    engine.past.iter().filter(|batch| batch.number >= from).cloned().collect();
                let oldest = engine.past.front().map_or(engine.number, |batch| batch.number);
                let mut out = Vec::new();
                follower.reaches_back_to(oldest, &mut out);
                out.iter().for_each(|told| view.take(told));
                for batch in again {
                    take(&mut follower, &mut view, batch, &mut voids);
                }
            }
        }
        let known: BTreeSet<u64> = (1..60).filter(|block| view.run(&[*block]) == 1).collect();
        assert!(known.is_subset(&engine.kept), "seed {seed}: {known:?} of {:?}", engine.kept);
        assert_eq!(follower.next(), engine.number, "seed {seed}");
    }
    assert!(voids > 100 && replays > 1000, "{voids} voids, {replays} replays: too little was tried");
}
