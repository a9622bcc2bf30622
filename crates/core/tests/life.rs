//! The life cycle of a task: sequences of inputs, among them the races that sockets make possible, and which outputs must
//! and must not follow.

use std::sync::{Arc, Mutex};
use std::time::Duration;
use tulipstall::interface::{Config, ConfigValue, HostStatus, Outcome, PossibleRun};
use tulipstall_core::{
    Core, HostRow, Input, JsonLinesRecorder, Output, ShotKind, ShotReport, TaskId, TaskRequest, replay,
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn config(effect: &str) -> Config {
    let mut config = Config::default();
    let numbers = [
        ("offerings.0.agreed_time_us", 1e6),
        ("service.token_pace_us.0", 50_000.0),
        ("service.release_us", 1e6),
        ("allowed.max_shots", 6.0),
        ("allowed.max_come_back_us", 1e6),
    ];
    let texts = [
        ("offerings.0.name", "chat"),
        ("offerings.0.effect", effect),
        ("kinds.0", "prefill"),
        ("kinds.1", "decode"),
        ("service.role_by_kind.0", "read"),
        ("service.role_by_kind.1", "write"),
    ];
    config.0.extend(numbers.map(|(name, value)| (name.to_owned(), ConfigValue::Number(value))));
    config.0.extend(texts.map(|(name, value)| (name.to_owned(), ConfigValue::Text(value.to_owned()))));
    config.0.extend(
        ["allowed.cancel", "allowed.come_back"].map(|name| (name.to_owned(), ConfigValue::Flag(true))),
    );
    config
}

fn row(host: &str, kind: &str, status: HostStatus) -> HostRow {
    let (host, kind, zone) = (host.to_owned(), kind.to_owned(), String::new());
    HostRow { host, kind, zone, cell: 0, weight: 1.0, uptime: None, status }
}

struct Harness {
    core: Core,
    now: Duration,
    out: Vec<Output>,
}

impl Harness {
    fn new(effect: &str) -> Harness {
        let mut harness = Harness { core: Core::new(3, config(effect)), now: ms(0), out: Vec::new() };
        let rows = vec![
            row("r1", "prefill", HostStatus::Running),
            row("w1", "decode", HostStatus::Running),
            row("w2", "decode", HostStatus::Running),
        ];
        harness.handle(Input::HostList { complete: true, rows });
        harness
    }

    fn handle(&mut self, input: Input) -> Vec<Output> {
        self.now += ms(1);
        self.core.handle(self.now, input, &mut self.out);
        std::mem::take(&mut self.out)
    }

    fn start_task(&mut self) -> (TaskId, Vec<Output>) {
        let task = self.core.reserve_slot();
        let request = TaskRequest {
            time_left: ms(4000),
            prompt_tokens: 100,
            max_answer_tokens: 50,
            ..TaskRequest::default()
        };
        self.core.start_task(self.now, task, &request, &mut self.out);
        (task, std::mem::take(&mut self.out))
    }

    fn close(&mut self, task: TaskId, shot: u32, outcome: Outcome) -> Vec<Output> {
        let state = (outcome == Outcome::Read).then(|| format!("s{shot}"));
        self.handle(Input::Closed { task, shot, outcome, end: ShotReport { state, ..ShotReport::default() } })
    }

    /// Starts a task and completes its read, so that the shot at a writer is in progress.
    fn finish_read(&mut self) -> (TaskId, Vec<Output>) {
        let (task, out) = self.start_task();
        assert!(matches!(out[0], Output::Send { kind: ShotKind::Read, .. }));
        let out = self.close(task, 0, Outcome::Read);
        (task, out)
    }

    /// Fires all timers that are due until then.
    fn run_until(&mut self, until: Duration) -> Vec<Output> {
        let mut all = Vec::new();
        while let Some(at) = self.core.next_timer().filter(|at| *at <= until) {
            self.now = self.now.max(at);
            all.extend(self.handle(Input::Tick));
        }
        all
    }
}

fn count_sends(out: &[Output]) -> usize {
    out.iter().filter(|o| matches!(o, Output::Send { .. })).count()
}

/// The hosts named by [`Output::FirstPossibleRun`].
fn possible_run_hosts(out: &[Output]) -> Vec<u32> {
    out.iter()
        .filter_map(|o| if let Output::FirstPossibleRun { run, .. } = o { Some(run.host) } else { None })
        .collect()
}

fn sent_to(out: &[Output]) -> u32 {
    out.iter()
        .find_map(|o| if let Output::Send { host, .. } = o { Some(*host) } else { None })
        .expect("a Send output")
}

fn count_final_answers(out: &[Output]) -> usize {
    out.iter().filter(|o| matches!(o, Output::Bounce { .. } | Output::BreakOff { .. })).count()
}

#[test]
fn a_state_is_passed_to_the_writer_with_its_reader() {
    let mut harness = Harness::new("replayable");
    let (task, out) = harness.finish_read();
    let Some(Output::Send { kind: ShotKind::Write, held: Some(held), .. }) = out.first() else {
        panic!("{out:?}")
    };
    assert_eq!((held.host, held.state.as_str()), (0, "s0"));
    assert_eq!(possible_run_hosts(&harness.handle(Input::AnswerBegan { task, shot: 1 })), [sent_to(&out)]);
    let out = harness.close(task, 1, Outcome::Delivered);
    assert_eq!(out, vec![Output::Forget { task }]);
    let counts = harness.core.counts();
    assert_eq!((counts.taken, counts.delivered, harness.core.active_tasks()), (1, 1, 0));
}

/// Whether another shot may follow one that ended at a writer before its answer began, by the offering's effect.
#[test]
fn retries_after_each_outcome_follow_the_effect() {
    use Outcome::*;
    let cases = [
        ("replayable", Broken, true),
        ("replayable", Error, true),
        ("replayable", Full, true),
        ("replayable", NoState, true),
        ("single-use", Full, true),
        ("single-use", NoState, true),
        ("single-use", NoConnection, true),
        ("single-use", Moot, true),
        ("single-use", Broken, false),
        ("single-use", Error, false),
        ("single-use", TimedOut, false),
        ("single-use", Cancelled, false),
    ];
    for (effect, outcome, retried) in cases {
        let mut harness = Harness::new(effect);
        let (task, _) = harness.finish_read();
        let mut out = harness.close(task, 1, outcome);
        out.extend(harness.run_until(ms(300)));
        assert_eq!(count_sends(&out) > 0, retried, "{effect} {outcome:?}: {out:?}");
        let aborted = out.iter().any(|o| matches!(o, Output::BreakOff { .. }));
        assert_eq!(aborted, !retried, "{effect} {outcome:?}: {out:?}");
    }
}

/// The client gets one answer only: a shot that has been cancelled, but whose answer then begins all the same, is used and
/// no other shot follows.
#[test]
fn an_answer_that_begins_after_a_cancel_is_the_only_one() {
    let mut harness = Harness::new("replayable");
    let (task, _) = harness.finish_read();
    // The host is removed from the list and the shot is cancelled.
    let out = harness.handle(Input::HostList {
        complete: false,
        rows: vec![row("w1", "decode", HostStatus::Gone), row("w2", "decode", HostStatus::Gone)],
    });
    assert!(out.contains(&Output::Cancel { task, shot: 1 }), "{out:?}");
    // Before the shot has ended, its answer begins: the client gets that answer, and no other shot follows.
    let out = harness.handle(Input::AnswerBegan { task, shot: 1 });
    assert!(out.len() == 1 && possible_run_hosts(&out).len() == 1, "{out:?}");
    let mut out = harness.run_until(ms(10_000));
    out.extend(harness.close(task, 1, Outcome::Delivered));
    assert_eq!((count_sends(&out), count_final_answers(&out)), (0, 0), "{out:?}");
    assert_eq!(harness.core.counts().delivered, 1);
}

/// If a read ends after the client has disconnected, its state is released and no other shot is sent.
#[test]
fn the_state_of_a_late_read_is_released() {
    let mut harness = Harness::new("replayable");
    let (task, _) = harness.start_task();
    let out = harness.handle(Input::ClientGone { task });
    assert!(out.contains(&Output::Cancel { task, shot: 0 }), "{out:?}");
    let out = harness.close(task, 0, Outcome::Read);
    let released = out.iter().any(|o| matches!(o, Output::Release { held, .. } if held.state == "s0"));
    assert!(released && count_sends(&out) == 0, "{out:?}");
    assert!(out.contains(&Output::Forget { task }));
}

/// A read may succeed after it was considered overdue, also after its task is over, or may have succeeded without reporting
/// it. Its state is released once, and not while another shot could fetch it.
#[test]
fn unconfirmed_states_of_reads_are_released() {
    let released = |out: &[Output]| -> Vec<(String, bool)> {
        let name = |o: &Output| match o {
            Output::Release { held, confirmed, .. } => Some((held.state.clone(), *confirmed)),
            _ => None,
        };
        out.iter().filter_map(name).collect()
    };
    // The read is overdue at 4 s, so the task is rejected and its slot reused. Then the read reports success.
    let mut harness = Harness::new("replayable");
    let (task, _) = harness.start_task();
    let out = harness.run_until(ms(5000));
    assert!(count_final_answers(&out) == 1 && released(&out).is_empty(), "{out:?}");
    harness.core.outputs_carried_out();
    harness.start_task();
    let out = harness.close(task, 0, Outcome::Read);
    assert_eq!(released(&out), [("s0".to_owned(), true)]);
    // The writer finds no state, but perhaps only because it cannot reach the reader. The state is released with the task,
    // however the task ends.
    for gone in [true, false] {
        let mut harness = Harness::new("replayable");
        let (task, _) = harness.finish_read();
        let mut out = harness.close(task, 1, Outcome::NoState);
        assert_eq!((released(&out), sent_to(&out)), (vec![], 0));
        if gone {
            out = harness.handle(Input::ClientGone { task });
            out.extend(harness.close(task, 2, Outcome::Cancelled));
        } else {
            out = harness.close(task, 2, Outcome::Read);
            harness.handle(Input::AnswerBegan { task, shot: 3 });
            out.extend(harness.close(task, 3, Outcome::Delivered));
        }
        assert_eq!(released(&out), [("s0".to_owned(), false)], "{out:?}");
    }
    // Two reads in a row end without success. Both may have left a state, under the same name.
    for outcome in [Outcome::Broken, Outcome::TimedOut, Outcome::Stale, Outcome::Cancelled] {
        let mut harness = Harness::new("replayable");
        let (task, _) = harness.start_task();
        let mut out = Vec::new();
        for shot in 0..2 {
            let end = ShotReport { state: Some("s".to_owned()), ..ShotReport::default() };
            out.extend(harness.handle(Input::Closed { task, shot, outcome, end }));
        }
        assert!(released(&out).is_empty(), "{outcome:?}: {out:?}");
        let out = harness.handle(Input::ClientGone { task });
        let out = [out, harness.close(task, 2, Outcome::Cancelled)].concat();
        assert_eq!(released(&out), [("s".to_owned(), false)], "{outcome:?}: {out:?}");
        assert_eq!(out.last(), Some(&Output::Forget { task }));
    }
}

/// Late inputs for a task that has ended are ignored, also once its slot belongs to another task.
#[test]
fn late_inputs_are_ignored() {
    let mut harness = Harness::new("replayable");
    let (task, _) = harness.finish_read();
    harness.handle(Input::AnswerBegan { task, shot: 1 });
    harness.close(task, 1, Outcome::Delivered);
    harness.core.outputs_carried_out();
    let (next, _) = harness.start_task();
    assert_eq!((next.slot, next.generation), (task.slot, task.generation + 1));
    for input in [
        Input::AnswerBegan { task, shot: 1 },
        Input::AnswerBegan { task, shot: 0 },
        Input::ClientGone { task },
        Input::Closed { task, shot: 0, outcome: Outcome::Error, end: ShotReport::default() },
        Input::Closed { task: next, shot: 9, outcome: Outcome::Delivered, end: ShotReport::default() },
    ] {
        let what = format!("{input:?}");
        assert!(harness.handle(input).is_empty(), "{what}");
    }
    assert_eq!(harness.core.active_tasks(), 1);
}

/// If no host ever answers, the client still gets exactly one answer within its time.
#[test]
fn a_task_without_any_host_answer_is_answered_once() {
    for effect in ["replayable", "single-use"] {
        let mut harness = Harness::new(effect);
        let (task, _) = harness.start_task();
        let mut all = harness.run_until(ms(3990));
        let until = ms(3996);
        for shot in 0..8 {
            harness.now = harness.now.max(until);
            all.extend(harness.close(task, shot, Outcome::TimedOut));
        }
        all.extend(harness.run_until(ms(60_000)));
        assert_eq!(count_final_answers(&all), 1, "{effect}: {all:?}");
        assert_eq!(harness.core.active_tasks(), 0, "{effect}");
    }
}

/// If the coroutine of a shot is stuck, the task is answered in time all the same, and what the shot reports later is
/// ignored.
#[test]
fn a_stuck_shot_does_not_delay_the_answer() {
    for effect in ["replayable", "single-use"] {
        let mut harness = Harness::new(effect);
        let (task, _) = harness.finish_read();
        let out = harness.run_until(ms(4010));
        assert_eq!((count_final_answers(&out), count_sends(&out)), (1, 0), "{effect}: {out:?}");
        assert!(out.contains(&Output::Cancel { task, shot: 1 }) && out.contains(&Output::Forget { task }));
        assert_eq!((harness.core.counts().overdue, harness.core.active_tasks()), (1, 0), "{effect}");
        for outcome in [Outcome::Delivered, Outcome::Broken] {
            assert!(harness.close(task, 1, outcome).is_empty(), "{effect}");
        }
    }
}

/// A record replays without differences; a changed action or an incomplete last line is detected.
#[test]
fn records_replay_exactly() {
    let lines: Arc<Mutex<Vec<String>>> = Arc::default();
    let sink = lines.clone();
    let recorder = JsonLinesRecorder(move |line| sink.lock().expect("an unpoisoned lock").push(line));
    let mut harness = Harness::new("replayable");
    harness.core = Core::with_recorder(17, config("replayable"), Box::new(recorder));
    let rows =
        (0..6).map(|i| row(&format!("h{i}"), ["prefill", "decode"][i % 2], HostStatus::Running)).collect();
    harness.handle(Input::HostList { complete: true, rows });
    for round in 0..50 {
        let (task, out) = harness.start_task();
        let host =
            out.iter().find_map(|o| if let Output::Send { host, .. } = o { Some(*host) } else { None });
        if host.is_some() {
            let outcome = [Outcome::Read, Outcome::Error, Outcome::Full][round % 3];
            harness.close(task, 0, outcome);
        }
        harness.run_until(ms(20 * round as u64));
    }
    let text = lines.lock().expect("an unpoisoned lock").join("\n");
    let same = replay(text.as_bytes()).expect("a record");
    assert!(same.events > 50 && same.actions > 50 && same.differences.is_empty(), "{same:?}");
    let changed = text.replacen("\"host\":0", "\"host\":1", 400);
    assert!(replay(changed.as_bytes()).is_ok_and(|replay| !replay.differences.is_empty()));
    let cut = &text[..text.len() - 20];
    assert!(replay(cut.as_bytes()).is_ok_and(|replay| replay.cut_short && replay.differences.is_empty()));
    assert!(replay("{\"record\":9}".as_bytes()).is_err());
    assert!(replay("".as_bytes()).is_err());
}

/// A timer ends a task in the same step in which another task arrives. If the new task got the slot before the final answer
/// of the old one was carried out, that answer could not be matched to its client any more. Without this, one client in
/// some thousands waited forever on a busy machine.
#[test]
fn a_slot_is_not_reused_before_its_last_output_is_carried_out() {
    let mut harness = Harness::new("replayable");
    let (first, _) = harness.start_task();
    let mut out = harness.handle(Input::ClientGone { task: first });
    out.extend(harness.close(first, 0, Outcome::Cancelled));
    out.extend(harness.run_until(ms(10_000)));
    assert!(out.contains(&Output::Forget { task: first }), "{out:?}");
    let (second, _) = harness.start_task();
    assert_ne!(second.slot, first.slot);
    harness.core.outputs_carried_out();
    let (third, _) = harness.start_task();
    assert_eq!(third.slot, first.slot);
    assert_ne!(third.generation, first.generation);
}

/// Which shot of a task is reported as the first that may have run: never a read or a refused shot, but an earlier shot even
/// if it ends late.
#[test]
fn the_first_shot_that_may_have_run_is_reported() {
    for (outcome, reported) in [
        (Outcome::Full, false),
        (Outcome::NoConnection, false),
        (Outcome::Moot, false),
        (Outcome::Error, true),
        (Outcome::Broken, true),
        (Outcome::TimedOut, true),
    ] {
        let mut harness = Harness::new("replayable");
        let (task, first) = harness.finish_read();
        let second = harness.close(task, 1, outcome);
        let hosts = possible_run_hosts(&second);
        assert_eq!(hosts, if reported { vec![sent_to(&first)] } else { vec![] }, "{outcome:?}");
        // The next shot is the first one only if none was reported before. A repeated read, if any, reports none.
        let mut shot = 2;
        let mut out = second;
        if out.iter().any(|o| matches!(o, Output::Send { kind: ShotKind::Read, .. })) {
            out = harness.close(task, shot, Outcome::Read);
            assert!(possible_run_hosts(&out).is_empty(), "{outcome:?}");
            shot += 1;
        }
        let begun = harness.handle(Input::AnswerBegan { task, shot });
        assert_eq!(
            possible_run_hosts(&begun),
            if reported { vec![] } else { vec![sent_to(&out)] },
            "{outcome:?}"
        );
    }
    // A shot of the interrupted answer that the task continues precedes all shots of the task itself.
    let mut harness = Harness::new("replayable");
    let task = harness.core.reserve_slot();
    let earlier = Some(PossibleRun { host: 1, sent: ms(0) });
    let request = TaskRequest {
        time_left: ms(4000),
        prompt_tokens: 100,
        max_answer_tokens: 50,
        earlier_run: earlier,
        ..TaskRequest::default()
    };
    harness.core.start_task(harness.now, task, &request, &mut harness.out);
    harness.out.clear();
    let out = harness.close(task, 0, Outcome::Read);
    assert_eq!(sent_to(&out), 2, "the writer of the interrupted answer must not be preferred");
    assert!(possible_run_hosts(&harness.handle(Input::AnswerBegan { task, shot: 1 })).is_empty());
    assert!(possible_run_hosts(&harness.close(task, 1, Outcome::Broken)).is_empty());
}
