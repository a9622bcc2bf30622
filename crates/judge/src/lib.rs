//! Checks the five rules against recorded traffic: what hosts received, what clients got, and which host lists
//! dispatchers confirmed. Uses nothing from inside a dispatcher, and does no I/O.

mod record;

pub use record::{
    Answer, ClientAttempt, Effect, Group, HostEvent, HostEventKind, HostNotice, Kill, Location, Record,
    RuleParams,
};

use std::collections::BTreeMap;

/// The result of one rule.
#[derive(Clone, Debug, PartialEq)]
pub struct Verdict {
    pub rule: &'static str,
    /// A description of each violation.
    pub violations: Vec<String>,
    /// The highest value observed, as a share of what is allowed.
    pub peak_share: f64,
    /// Where that was.
    pub peak_at: String,
    /// How many cases were checked. With none, the rule has not been tested.
    pub checked: usize,
}

impl Verdict {
    fn new(rule: &'static str) -> Self {
        Verdict { rule, violations: Vec::new(), peak_share: 0.0, peak_at: String::new(), checked: 0 }
    }

    fn record_share(&mut self, share: f64, peak_at: impl FnOnce() -> String) {
        if share > self.peak_share {
            (self.peak_share, self.peak_at) = (share, peak_at());
        }
    }
}

/// One attempt of a request at one host, as the host saw it.
struct Shot<'a> {
    task: u32,
    host: &'a str,
    dispatcher: &'a str,
    reads: bool,
    arrived: u64,
    /// None if it never ended.
    ended: Option<u64>,
    refused: bool,
    ran: Option<u64>,
}

/// A held state (KV cache) as its reader saw it.
struct HeldState<'a> {
    id: &'a str,
    tag: &'a str,
    host: &'a str,
    dispatcher: &'a str,
    created: u64,
    /// When it was fetched or released. None if neither happened, or if only the host itself dropped it.
    released: Option<u64>,
    host_died: Option<u64>,
}

struct Traffic<'a> {
    shots: BTreeMap<&'a str, Vec<Shot<'a>>>,
    states: Vec<HeldState<'a>>,
}

/// The task of a tag `TASK.ATTEMPT`.
fn task_of(tag: &str) -> u32 {
    tag.split('.').next().and_then(|task| task.parse().ok()).unwrap_or(u32::MAX)
}

fn collect_traffic(host_events: &[HostEvent]) -> Traffic<'_> {
    let mut traffic = Traffic { shots: BTreeMap::new(), states: Vec::new() };
    for event in host_events {
        let shots = traffic.shots.entry(event.tag.as_str()).or_default();
        let open = shots.iter_mut().rev().find(|shot| shot.host == event.host && shot.ended.is_none());
        match &event.kind {
            HostEventKind::Read | HostEventKind::Write => shots.push(Shot {
                task: task_of(&event.tag),
                host: &event.host,
                dispatcher: &event.dispatcher,
                reads: event.kind == HostEventKind::Read,
                arrived: event.at,
                ended: None,
                refused: false,
                ran: None,
            }),
            HostEventKind::Ran => {
                if let Some(shot) = open {
                    shot.ran = Some(event.at);
                }
            }
            HostEventKind::Ended { refused } => {
                if let Some(shot) = open {
                    (shot.ended, shot.refused) = (Some(event.at), *refused);
                }
            }
            HostEventKind::StateMade(id) => traffic.states.push(HeldState {
                id,
                tag: &event.tag,
                host: &event.host,
                dispatcher: &event.dispatcher,
                created: event.at,
                released: None,
                host_died: None,
            }),
            HostEventKind::StateTaken(id) | HostEventKind::StateReleased(id) => {
                let state =
                    traffic.states.iter_mut().rev().find(|state| state.id == id && state.host == event.host);
                if let Some(state) = state {
                    state.released.get_or_insert(event.at);
                }
            }
            HostEventKind::Died => {
                let open = traffic
                    .states
                    .iter_mut()
                    .filter(|state| state.host == event.host && state.released.is_none());
                open.for_each(|state| {
                    state.host_died.get_or_insert(event.at);
                });
                let shots = traffic.shots.values_mut().flatten();
                for shot in shots.filter(|shot| shot.host == event.host && shot.ended.is_none()) {
                    shot.ended = Some(event.at);
                }
            }
            HostEventKind::Repeat
            | HostEventKind::StateExpired(_)
            | HostEventKind::Started
            | HostEventKind::Overloaded
            | HostEventKind::ColdLoad(_) => {}
        }
    }
    traffic
}

impl Record {
    /// Whether a dispatcher was killed between two times.
    fn killed(&self, dispatcher: &str, from: u64, to: u64) -> bool {
        self.kills.iter().any(|kill| kill.dispatcher == dispatcher && kill.at >= from && kill.at <= to)
    }
}

/// The verdicts on all five rules.
pub fn judge(record: &Record) -> Vec<Verdict> {
    let traffic = collect_traffic(&record.host_events);
    vec![
        one_answer_in_time(record, &traffic),
        no_effect_twice(record, &traffic),
        drains_respected(record, &traffic),
        cold_hosts(record),
        held_states_released(record, &traffic),
    ]
}

/// Rule 1: each accepted task gets exactly one final answer in time, and nothing is sent for it afterwards.
fn one_answer_in_time(record: &Record, traffic: &Traffic) -> Verdict {
    let mut verdict = Verdict::new("1 one final answer in time");
    let slack = record.params.slack_us;
    for attempt in &record.attempts {
        if attempt.answer == Answer::Unreachable {
            continue;
        }
        verdict.checked += 1;
        // A dispatcher that was killed no longer answers for the tasks that it had.
        let killed = record.killed(&attempt.dispatcher, attempt.at, attempt.ended + slack);
        let tag = attempt.tag();
        match &attempt.answer {
            Answer::Late if !killed => verdict.violations.push(format!("{tag}: no final answer in time")),
            Answer::Cut if !killed => {
                verdict.violations.push(format!("{tag}: cut off without a final answer"))
            }
            Answer::Wrong(why) => verdict.violations.push(format!("{tag}: {why}")),
            _ => {}
        }
        if attempt.trailing_bytes > 0 {
            verdict
                .violations
                .push(format!("{tag}: {} bytes after the final answer", attempt.trailing_bytes));
        }
        if !attempt.text_correct {
            verdict.violations.push(format!("{tag}: not the text that its writer wrote"));
        }
        let took = attempt.ended.saturating_sub(attempt.at);
        if matches!(attempt.answer, Answer::Bounced | Answer::BrokenOff) && !attempt.begun {
            if took > attempt.deadline_us + slack {
                verdict
                    .violations
                    .push(format!("{tag}: answered after {took} of {} us", attempt.deadline_us));
            }
            verdict.record_share(took as f64 / (attempt.deadline_us + slack) as f64, || {
                format!("{tag} answered after {took} us")
            });
        }
        let tolerance = if attempt.answer == Answer::Left { record.params.notice_us } else { slack };
        let is_final = matches!(
            attempt.answer,
            Answer::Delivered | Answer::Bounced | Answer::BrokenOff | Answer::Left | Answer::Refused(_)
        );
        let shots = traffic.shots.get(tag.as_str()).map_or(&[][..], Vec::as_slice);
        for shot in shots.iter().filter(|shot| is_final && shot.arrived > attempt.ended + tolerance) {
            let late = shot.arrived - attempt.ended;
            verdict.violations.push(format!("{tag}: sent to {} {late} us after its final answer", shot.host));
        }
    }
    verdict
}

/// Rule 2: no effect happens twice.
fn no_effect_twice(record: &Record, traffic: &Traffic) -> Verdict {
    let mut verdict = Verdict::new("2 no effect twice");
    // Shots that may have run, over all attempts of a task, in order of arrival.
    let mut by_task: BTreeMap<u32, Vec<&Shot>> = BTreeMap::new();
    for shot in traffic.shots.values().flatten().filter(|shot| !shot.reads && !shot.refused) {
        by_task.entry(shot.task).or_default().push(shot);
    }
    by_task.values_mut().for_each(|shots| shots.sort_by_key(|shot| shot.arrived));
    let attempts: BTreeMap<u32, Vec<&ClientAttempt>> =
        record.attempts.iter().fold(BTreeMap::new(), |mut tasks, attempt| {
            tasks.entry(attempt.task).or_insert_with(Vec::new).push(attempt);
            tasks
        });
    for (task, attempts) in &attempts {
        let effect = &record.params.effects[attempts[0].offering];
        let shots = by_task.get(task).map_or(&[][..], Vec::as_slice);
        match effect {
            Effect::Replayable => {}
            Effect::SingleUse => {
                verdict.checked += 1;
                if let [_, again, ..] = shots {
                    verdict
                        .violations
                        .push(format!("{task}: sent again to {} after it may have run", again.host));
                }
                if shots.iter().filter(|shot| shot.ran.is_some()).count() > 1 {
                    verdict.violations.push(format!("{task}: ran more than once"));
                }
                check_retry_advice(*task, attempts, shots, &mut verdict);
            }
            Effect::Referenced { group, window_us } => {
                verdict.checked += 1;
                let ran: Vec<&&Shot> = shots.iter().filter(|shot| shot.ran.is_some()).collect();
                if let [_, again, ..] = ran.as_slice() {
                    verdict.violations.push(format!("{task}: its effect happened again at {}", again.host));
                }
                let Some((first, more)) = shots.split_first() else { continue };
                for shot in more {
                    let after = shot.arrived - first.arrived;
                    if !record.params.same_group(*group, first.host, shot.host) {
                        verdict.violations.push(format!("{task}: sent to {} outside its group", shot.host));
                    }
                    if after > window_us + record.params.slack_us {
                        verdict
                            .violations
                            .push(format!("{task}: sent again after {after} us, outside its window"));
                    }
                    verdict.record_share(after as f64 / (*window_us).max(1) as f64, || {
                        format!("{task} sent again after {after} us")
                    });
                }
                if *group != Group::All {
                    check_retry_advice(*task, attempts, shots, &mut verdict);
                }
            }
        }
    }
    verdict
}

/// Retry advice claims that a repeat is harmless, so it must not follow a shot that may have run.
fn check_retry_advice(task: u32, attempts: &[&ClientAttempt], shots: &[&Shot], verdict: &mut Verdict) {
    for attempt in
        attempts.iter().filter(|attempt| attempt.answer == Answer::Bounced || attempt.retry_advised)
    {
        let span = attempt.at..=attempt.ended;
        if shots.iter().any(|shot| span.contains(&shot.arrived)) {
            verdict.violations.push(format!("{task}: told to ask again after a shot that may have run"));
        }
    }
}

/// Rule 3: once a dispatcher knows that a host drains or is gone, it sends it nothing new after the grace period.
fn drains_respected(record: &Record, traffic: &Traffic) -> Verdict {
    let mut verdict = Verdict::new("3 drains kept");
    let grace = record.params.drain_grace_us;
    let mut notices: Vec<&HostNotice> = record.notices.iter().collect();
    notices.sort_by_key(|notice| notice.at);
    for shot in traffic.shots.values().flatten() {
        let about = |notice: &&&HostNotice| {
            notice.host == shot.host && notice.dispatcher == shot.dispatcher && notice.at <= shot.arrived
        };
        let last = notices.iter().rev().find(about);
        let Some(last) = last.filter(|notice| !notice.running) else { continue };
        // A restarted dispatcher has only the list that it had stored before.
        if record.killed(shot.dispatcher, last.at, shot.arrived) {
            continue;
        }
        // Repeated notices: the first one since the host last ran counts.
        let closed_at = notices
            .iter()
            .filter(|notice| {
                notice.host == shot.host && notice.dispatcher == shot.dispatcher && notice.at <= last.at
            })
            .rev()
            .take_while(|notice| !notice.running)
            .last()
            .map_or(last.at, |notice| notice.at);
        let after = shot.arrived - closed_at;
        if after > grace + record.params.slack_us {
            verdict
                .violations
                .push(format!("{} sent to {} {after} us after it was told", shot.dispatcher, shot.host));
        }
        verdict.record_share(after as f64 / grace as f64, || {
            format!("{} sent to {} {after} us after", shot.dispatcher, shot.host)
        });
    }
    verdict.checked = record.notices.iter().filter(|notice| !notice.running).count();
    verdict
}

/// Rule 4: no cold host is overloaded.
fn cold_hosts(record: &Record) -> Verdict {
    let mut verdict = Verdict::new("4 no cold host pushed over");
    for event in &record.host_events {
        match event.kind {
            HostEventKind::Overloaded => verdict.violations.push(format!("{} fell over", event.host)),
            HostEventKind::ColdLoad(share) => {
                verdict.record_share(share as f64 / 1000.0, || {
                    format!("{} sent {share}/1000 of what it stands", event.host)
                });
            }
            HostEventKind::Started => verdict.checked += 1,
            _ => {}
        }
    }
    verdict
}

/// Rule 5: with no shot in progress, a held state is fetched or released in the stated time.
fn held_states_released(record: &Record, traffic: &Traffic) -> Verdict {
    let mut verdict = Verdict::new("5 nothing pinned");
    let allowed = record.params.release_us;
    for state in &traffic.states {
        verdict.checked += 1;
        let end = state.released.or(state.host_died).unwrap_or(u64::MAX);
        let mut covered: Vec<(u64, u64)> = traffic
            .shots
            .get(state.tag)
            .map_or(&[][..], Vec::as_slice)
            .iter()
            .filter(|shot| shot.arrived < end && shot.ended.is_none_or(|ended| ended > state.created))
            // The read that made the state does not cover it.
            .filter(|shot| !(shot.reads && shot.host == state.host && shot.arrived < state.created))
            .map(|shot| (shot.arrived, shot.ended.unwrap_or(u64::MAX)))
            .collect();
        covered.sort_unstable();
        let (mut uncovered_since, mut longest) = (state.created, 0);
        for (arrived, ended) in covered {
            longest = longest.max(arrived.saturating_sub(uncovered_since));
            uncovered_since = uncovered_since.max(ended);
        }
        // A state that is still held when the record ends counts up to there.
        let end = if end == u64::MAX { record.ended.max(state.created) } else { end };
        longest = longest.max(end.saturating_sub(uncovered_since));
        if record.killed(state.dispatcher, state.created, end) {
            continue;
        }
        if longest > allowed + record.params.slack_us {
            let what = if state.released.is_some() { "held" } else { "never let go, held" };
            verdict
                .violations
                .push(format!("{} at {}: {what} {longest} us with no shot out", state.tag, state.host));
        }
        verdict.record_share(longest as f64 / allowed as f64, || format!("{} held {longest} us", state.tag));
    }
    verdict
}
