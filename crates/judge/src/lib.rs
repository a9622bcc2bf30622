//! Judges the five rules from a day's traffic: what hosts received, what clients got, what dispatchers were told.
//! Nothing of a dispatcher's inside is known here. Records in, verdicts out; no I/O.

mod record;

pub use record::{Answer, Effect, Figures, Group, Kill, Place, Record, Seen, Told, Try, What};

use std::collections::BTreeMap;

/// What one rule came to.
#[derive(Clone, Debug, PartialEq)]
pub struct Verdict {
    pub rule: &'static str,
    /// Each break, in words.
    pub breaks: Vec<String>,
    /// How near it came to a break, as a share of what is allowed, and where.
    pub nearest: f64,
    pub near: String,
    /// How many things were looked at: a rule that saw nothing has not been tried.
    pub looked_at: usize,
}

impl Verdict {
    fn new(rule: &'static str) -> Self {
        Verdict { rule, breaks: Vec::new(), nearest: 0.0, near: String::new(), looked_at: 0 }
    }

    fn came(&mut self, share: f64, near: impl FnOnce() -> String) {
        if share > self.nearest {
            (self.nearest, self.near) = (share, near());
        }
    }
}

/// One shot as its host saw it.
struct Shot<'a> {
    task: u32,
    host: &'a str,
    from: &'a str,
    reads: bool,
    came: u64,
    /// Absent: it never ended, or its host died.
    ended: Option<u64>,
    refused: bool,
    ran: Option<u64>,
}

/// A state as its reader saw it.
struct Held<'a> {
    id: &'a str,
    mark: &'a str,
    host: &'a str,
    from: &'a str,
    made: u64,
    /// Taken or let go; absent: never, or only by the host itself.
    gone: Option<u64>,
    host_died: Option<u64>,
}

struct Traffic<'a> {
    shots: BTreeMap<&'a str, Vec<Shot<'a>>>,
    states: Vec<Held<'a>>,
}

/// The task of a mark `TASK.TRY`.
fn task_of(mark: &str) -> u32 {
    mark.split('.').next().and_then(|task| task.parse().ok()).unwrap_or(u32::MAX)
}

fn traffic(seen: &[Seen]) -> Traffic<'_> {
    let mut traffic = Traffic { shots: BTreeMap::new(), states: Vec::new() };
    for line in seen {
        let shots = traffic.shots.entry(line.mark.as_str()).or_default();
        let open = shots.iter_mut().rev().find(|shot| shot.host == line.host && shot.ended.is_none());
        match &line.what {
            What::Read | What::Write => shots.push(Shot {
                task: task_of(&line.mark),
                host: &line.host,
                from: &line.from,
                reads: line.what == What::Read,
                came: line.at,
                ended: None,
                refused: false,
                ran: None,
            }),
            What::Ran => {
                if let Some(shot) = open {
                    shot.ran = Some(line.at);
                }
            }
            What::Ended { refused } => {
                if let Some(shot) = open {
                    (shot.ended, shot.refused) = (Some(line.at), *refused);
                }
            }
            What::StateMade(id) => traffic.states.push(Held {
                id,
                mark: &line.mark,
                host: &line.host,
                from: &line.from,
                made: line.at,
                gone: None,
                host_died: None,
            }),
            What::StateTaken(id) | What::StateLetGo(id) => {
                let held =
                    traffic.states.iter_mut().rev().find(|held| held.id == id && held.host == line.host);
                if let Some(held) = held {
                    held.gone.get_or_insert(line.at);
                }
            }
            What::Died => {
                let open =
                    traffic.states.iter_mut().filter(|held| held.host == line.host && held.gone.is_none());
                open.for_each(|held| {
                    held.host_died.get_or_insert(line.at);
                });
                let shots = traffic.shots.values_mut().flatten();
                for shot in shots.filter(|shot| shot.host == line.host && shot.ended.is_none()) {
                    shot.ended = Some(line.at);
                }
            }
            What::Repeat | What::StateExpired(_) | What::Started | What::Fell | What::Pushed(_) => {}
        }
    }
    traffic
}

impl Record {
    fn killed(&self, dispatcher: &str, from: u64, to: u64) -> bool {
        self.kills.iter().any(|kill| kill.dispatcher == dispatcher && kill.at >= from && kill.at <= to)
    }
}

/// The verdicts on all five rules.
pub fn judge(record: &Record) -> Vec<Verdict> {
    let traffic = traffic(&record.seen);
    vec![
        one_answer(record, &traffic),
        no_effect_twice(record, &traffic),
        drains_kept(record, &traffic),
        cold_hosts(record),
        nothing_pinned(record, &traffic),
    ]
}

/// Each task taken gets exactly one final answer in time; nothing is sent for it after.
fn one_answer(record: &Record, traffic: &Traffic) -> Verdict {
    let mut verdict = Verdict::new("1 one final answer in time");
    let slack = record.figures.slack_us;
    for one in &record.tries {
        if one.answer == Answer::Unreachable {
            continue;
        }
        verdict.looked_at += 1;
        // What a dispatcher held when it was killed is no longer its duty.
        let killed = record.killed(&one.dispatcher, one.at, one.ended + slack);
        let mark = one.mark();
        match &one.answer {
            Answer::Late if !killed => verdict.breaks.push(format!("{mark}: no final answer in time")),
            Answer::Cut if !killed => verdict.breaks.push(format!("{mark}: cut off without a final answer")),
            Answer::Wrong(why) => verdict.breaks.push(format!("{mark}: {why}")),
            _ => {}
        }
        if one.after > 0 {
            verdict.breaks.push(format!("{mark}: {} bytes after the final answer", one.after));
        }
        if !one.text_right {
            verdict.breaks.push(format!("{mark}: not the text that its writer wrote"));
        }
        let took = one.ended.saturating_sub(one.at);
        if matches!(one.answer, Answer::Bounced | Answer::BrokenOff) && !one.begun {
            if took > one.stop + slack {
                verdict.breaks.push(format!("{mark}: answered after {took} of {} us", one.stop));
            }
            verdict
                .came(took as f64 / (one.stop + slack) as f64, || format!("{mark} answered after {took} us"));
        }
        let notices = if one.answer == Answer::Left { record.figures.notice_us } else { slack };
        let ends = matches!(
            one.answer,
            Answer::Delivered | Answer::Bounced | Answer::BrokenOff | Answer::Left | Answer::Refused(_)
        );
        let shots = traffic.shots.get(mark.as_str()).map_or(&[][..], Vec::as_slice);
        for shot in shots.iter().filter(|shot| ends && shot.came > one.ended + notices) {
            let late = shot.came - one.ended;
            verdict.breaks.push(format!("{mark}: sent to {} {late} us after its final answer", shot.host));
        }
    }
    verdict
}

/// No effect happens twice.
fn no_effect_twice(record: &Record, traffic: &Traffic) -> Verdict {
    let mut verdict = Verdict::new("2 no effect twice");
    // Shots that may have run, over all tries of a task, in the order in which they came.
    let mut by_task: BTreeMap<u32, Vec<&Shot>> = BTreeMap::new();
    for shot in traffic.shots.values().flatten().filter(|shot| !shot.reads && !shot.refused) {
        by_task.entry(shot.task).or_default().push(shot);
    }
    by_task.values_mut().for_each(|shots| shots.sort_by_key(|shot| shot.came));
    let tries: BTreeMap<u32, Vec<&Try>> = record.tries.iter().fold(BTreeMap::new(), |mut tasks, one| {
        tasks.entry(one.task).or_insert_with(Vec::new).push(one);
        tasks
    });
    for (task, tries) in &tries {
        let effect = &record.figures.effects[tries[0].offering];
        let shots = by_task.get(task).map_or(&[][..], Vec::as_slice);
        match effect {
            Effect::Replayable => {}
            Effect::SingleUse => {
                verdict.looked_at += 1;
                if let [_, again, ..] = shots {
                    verdict
                        .breaks
                        .push(format!("{task}: sent again to {} after it may have run", again.host));
                }
                if shots.iter().filter(|shot| shot.ran.is_some()).count() > 1 {
                    verdict.breaks.push(format!("{task}: ran more than once"));
                }
                bounced_after(*task, tries, shots, &mut verdict);
            }
            Effect::Referenced { group, window_us } => {
                verdict.looked_at += 1;
                let ran: Vec<&&Shot> = shots.iter().filter(|shot| shot.ran.is_some()).collect();
                if let [_, again, ..] = ran.as_slice() {
                    verdict.breaks.push(format!("{task}: its effect happened again at {}", again.host));
                }
                let Some((first, more)) = shots.split_first() else { continue };
                for shot in more {
                    let after = shot.came - first.came;
                    if !record.figures.same_group(*group, first.host, shot.host) {
                        verdict.breaks.push(format!("{task}: sent to {} outside its group", shot.host));
                    }
                    if after > window_us + record.figures.slack_us {
                        verdict
                            .breaks
                            .push(format!("{task}: sent again after {after} us, outside its window"));
                    }
                    verdict.came(after as f64 / (*window_us).max(1) as f64, || {
                        format!("{task} sent again after {after} us")
                    });
                }
                if *group != Group::All {
                    bounced_after(*task, tries, shots, &mut verdict);
                }
            }
        }
    }
    verdict
}

/// A bounce says that a repeat is harmless: not for a try of which a shot may have run.
fn bounced_after(task: u32, tries: &[&Try], shots: &[&Shot], verdict: &mut Verdict) {
    for one in tries.iter().filter(|one| one.answer == Answer::Bounced || one.told_to_retry) {
        let span = one.at..=one.ended;
        if shots.iter().any(|shot| span.contains(&shot.came)) {
            verdict.breaks.push(format!("{task}: told to ask again after a shot that may have run"));
        }
    }
}

/// Nothing new to a host after the grace once this dispatcher was told that it drains or is gone.
fn drains_kept(record: &Record, traffic: &Traffic) -> Verdict {
    let mut verdict = Verdict::new("3 drains kept");
    let grace = record.figures.grace_us;
    let mut told: Vec<&Told> = record.told.iter().collect();
    told.sort_by_key(|told| told.at);
    for shot in traffic.shots.values().flatten() {
        let about =
            |told: &&&Told| told.host == shot.host && told.dispatcher == shot.from && told.at <= shot.came;
        let last = told.iter().rev().find(about);
        let Some(last) = last.filter(|told| !told.runs) else { continue };
        // A restarted dispatcher has its last list from before.
        if record.killed(shot.from, last.at, shot.came) {
            continue;
        }
        // Told again and again: the first time of this closing counts.
        let closed = told
            .iter()
            .filter(|told| told.host == shot.host && told.dispatcher == shot.from && told.at <= last.at)
            .rev()
            .take_while(|told| !told.runs)
            .last()
            .map_or(last.at, |told| told.at);
        let after = shot.came - closed;
        if after > grace + record.figures.slack_us {
            verdict.breaks.push(format!("{} sent to {} {after} us after it was told", shot.from, shot.host));
        }
        verdict.came(after as f64 / grace as f64, || {
            format!("{} sent to {} {after} us after", shot.from, shot.host)
        });
    }
    verdict.looked_at = record.told.iter().filter(|told| !told.runs).count();
    verdict
}

/// A cold host is not pushed over.
fn cold_hosts(record: &Record) -> Verdict {
    let mut verdict = Verdict::new("4 no cold host pushed over");
    for line in &record.seen {
        match line.what {
            What::Fell => verdict.breaks.push(format!("{} fell over", line.host)),
            What::Pushed(share) => {
                verdict.came(share as f64 / 1000.0, || {
                    format!("{} sent {share}/1000 of what it stands", line.host)
                });
            }
            What::Started => verdict.looked_at += 1,
            _ => {}
        }
    }
    verdict
}

/// With no shot out, a held state is taken or let go in the stated time.
fn nothing_pinned(record: &Record, traffic: &Traffic) -> Verdict {
    let mut verdict = Verdict::new("5 nothing pinned");
    let allowed = record.figures.release_us;
    for held in &traffic.states {
        verdict.looked_at += 1;
        let end = held.gone.or(held.host_died).unwrap_or(u64::MAX);
        let mut covered: Vec<(u64, u64)> = traffic
            .shots
            .get(held.mark)
            .map_or(&[][..], Vec::as_slice)
            .iter()
            .filter(|shot| shot.came < end && shot.ended.is_none_or(|ended| ended > held.made))
            // The read that made it ended with it.
            .filter(|shot| !(shot.reads && shot.host == held.host && shot.came < held.made))
            .map(|shot| (shot.came, shot.ended.unwrap_or(u64::MAX)))
            .collect();
        covered.sort_unstable();
        let (mut from, mut longest) = (held.made, 0);
        for (came, ended) in covered {
            longest = longest.max(came.saturating_sub(from));
            from = from.max(ended);
        }
        // A day's record ends somewhere: what is still held by then counts up to there.
        let end = if end == u64::MAX { record.ended.max(held.made) } else { end };
        longest = longest.max(end.saturating_sub(from));
        if record.killed(held.from, held.made, end) {
            continue;
        }
        if longest > allowed + record.figures.slack_us {
            let what = if held.gone.is_some() { "held" } else { "never let go, held" };
            verdict
                .breaks
                .push(format!("{} at {}: {what} {longest} us with no shot out", held.mark, held.host));
        }
        verdict.came(longest as f64 / allowed as f64, || format!("{} held {longest} us", held.mark));
    }
    verdict
}
