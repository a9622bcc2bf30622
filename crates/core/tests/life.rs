//! A task's life: crossings that sockets make possible, as tables of inputs and what must and must not follow.

use std::sync::{Arc, Mutex};
use std::time::Duration;
use tulipstall::interface::{Outcome, Ran, Standing, Term, Terms};
use tulipstall_core::{Ask, Core, End, Errand, Input, Lines, Output, Row, TaskId, replay};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn terms(effect: &str) -> Terms {
    let mut terms = Terms::default();
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
    terms.0.extend(numbers.map(|(name, value)| (name.to_owned(), Term::Number(value))));
    terms.0.extend(texts.map(|(name, value)| (name.to_owned(), Term::Text(value.to_owned()))));
    terms.0.extend(["allowed.cancel", "allowed.come_back"].map(|name| (name.to_owned(), Term::Flag(true))));
    terms
}

fn row(host: &str, kind: &str, standing: Standing) -> Row {
    let (host, kind, zone) = (host.to_owned(), kind.to_owned(), String::new());
    Row { host, kind, zone, cell: 0, weight: 1.0, up_for: None, standing }
}

struct Play {
    core: Core,
    now: Duration,
    out: Vec<Output>,
}

impl Play {
    fn new(effect: &str) -> Play {
        let mut play = Play { core: Core::new(3, terms(effect)), now: ms(0), out: Vec::new() };
        let rows = vec![
            row("r1", "prefill", Standing::Running),
            row("w1", "decode", Standing::Running),
            row("w2", "decode", Standing::Running),
        ];
        play.on(Input::Listed { whole: true, rows });
        play
    }

    fn on(&mut self, input: Input) -> Vec<Output> {
        self.now += ms(1);
        self.core.on(self.now, input, &mut self.out);
        std::mem::take(&mut self.out)
    }

    fn arrive(&mut self) -> (TaskId, Vec<Output>) {
        let task = self.core.enter();
        let ask = Ask { left: ms(4000), prompt_tokens: 100, most_tokens: 50, ..Ask::default() };
        self.core.arrive(self.now, task, &ask, &mut self.out);
        (task, std::mem::take(&mut self.out))
    }

    fn close(&mut self, task: TaskId, shot: u32, outcome: Outcome) -> Vec<Output> {
        let state = (outcome == Outcome::Read).then(|| format!("s{shot}"));
        self.on(Input::Closed { task, shot, outcome, end: End { state, ..End::default() } })
    }

    /// Through the read: the shot at a writer is out.
    fn reading_done(&mut self) -> (TaskId, Vec<Output>) {
        let (task, out) = self.arrive();
        assert!(matches!(out[0], Output::Send { errand: Errand::Read, .. }));
        let out = self.close(task, 0, Outcome::Read);
        (task, out)
    }

    fn wait(&mut self, until: Duration) -> Vec<Output> {
        let mut all = Vec::new();
        while let Some(at) = self.core.next_timer().filter(|at| *at <= until) {
            self.now = self.now.max(at);
            all.extend(self.on(Input::Tick));
        }
        all
    }
}

fn sends(out: &[Output]) -> usize {
    out.iter().filter(|o| matches!(o, Output::Send { .. })).count()
}

/// Hosts that a shot may have run at first, as told.
fn ran(out: &[Output]) -> Vec<u32> {
    out.iter().filter_map(|o| if let Output::Ran { ran, .. } = o { Some(ran.host) } else { None }).collect()
}

fn out_to(out: &[Output]) -> u32 {
    out.iter()
        .find_map(|o| if let Output::Send { host, .. } = o { Some(*host) } else { None })
        .expect("a send")
}

fn answers(out: &[Output]) -> usize {
    out.iter().filter(|o| matches!(o, Output::Bounce { .. } | Output::BreakOff { .. })).count()
}

#[test]
fn a_state_goes_to_its_writer_with_what_its_reader_told() {
    let mut play = Play::new("replayable");
    let (task, out) = play.reading_done();
    let Some(Output::Send { errand: Errand::Write, held: Some(held), .. }) = out.first() else {
        panic!("{out:?}")
    };
    assert_eq!((held.host, held.state.as_str()), (0, "s0"));
    assert_eq!(ran(&play.on(Input::Began { task, shot: 1 })), [out_to(&out)]);
    let out = play.close(task, 1, Outcome::Delivered);
    assert_eq!(out, vec![Output::Forget { task }]);
    let counts = play.core.counts();
    assert_eq!((counts.taken, counts.delivered, play.core.in_hand()), (1, 1, 0));
}

/// What may follow a shot that a writer ended before its answer began, by effect.
#[test]
fn what_follows_each_end_by_effect() {
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
    for (effect, outcome, again) in cases {
        let mut play = Play::new(effect);
        let (task, _) = play.reading_done();
        let mut out = play.close(task, 1, outcome);
        out.extend(play.wait(ms(300)));
        assert_eq!(sends(&out) > 0, again, "{effect} {outcome:?}: {out:?}");
        let broken = out.iter().any(|o| matches!(o, Output::BreakOff { .. }));
        assert_eq!(broken, !again, "{effect} {outcome:?}: {out:?}");
    }
}

/// Two shots are out, the later one answers first: the client sees that one only.
#[test]
fn the_first_answer_is_the_only_one() {
    let mut play = Play::new("replayable");
    let (task, _) = play.reading_done();
    // Gone from the list: the shot is called off, and before it has ended...
    let out = play.on(Input::Listed {
        whole: false,
        rows: vec![row("w1", "decode", Standing::Gone), row("w2", "decode", Standing::Gone)],
    });
    assert!(out.contains(&Output::Cancel { task, shot: 1 }), "{out:?}");
    // ... its answer begins after all: it is the client's, and no other shot follows.
    let out = play.on(Input::Began { task, shot: 1 });
    assert!(out.len() == 1 && ran(&out).len() == 1, "{out:?}");
    let mut out = play.wait(ms(10_000));
    out.extend(play.close(task, 1, Outcome::Delivered));
    assert_eq!((sends(&out), answers(&out)), (0, 0), "{out:?}");
    assert_eq!(play.core.counts().delivered, 1);
}

/// A read that ends after its client left: its state is let go of, nothing else is sent.
#[test]
fn a_late_read_is_let_go_of() {
    let mut play = Play::new("replayable");
    let (task, _) = play.arrive();
    let out = play.on(Input::Gone { task });
    assert!(out.contains(&Output::Cancel { task, shot: 0 }), "{out:?}");
    let out = play.close(task, 0, Outcome::Read);
    let released = out.iter().any(|o| matches!(o, Output::Release { held, .. } if held.state == "s0"));
    assert!(released && sends(&out) == 0, "{out:?}");
    assert!(out.contains(&Output::Forget { task }));
}

/// A read that ends well after it was thought overdue, before or after its task is forgotten, or may have ended well
/// although it told no good end: its state is let go of, once, and not while another shot could take one.
#[test]
fn what_reads_may_have_left_is_let_go_of() {
    let released = |out: &[Output]| -> Vec<(String, bool)> {
        let name = |o: &Output| match o {
            Output::Release { held, sure, .. } => Some((held.state.clone(), *sure)),
            _ => None,
        };
        out.iter().filter_map(name).collect()
    };
    // Overdue at 4 s: its task is bounced and forgotten, then its read is told.
    let mut play = Play::new("replayable");
    let (task, _) = play.arrive();
    let out = play.wait(ms(5000));
    assert!(answers(&out) == 1 && released(&out).is_empty(), "{out:?}");
    play.core.carried_out();
    play.arrive();
    let out = play.close(task, 0, Outcome::Read);
    assert_eq!(released(&out), [("s0".to_owned(), true)]);
    // Its writer finds no state: its reader may be cut off from that writer alone. Let go of with the task, whatever
    // ended it.
    for gone in [true, false] {
        let mut play = Play::new("replayable");
        let (task, _) = play.reading_done();
        let mut out = play.close(task, 1, Outcome::NoState);
        assert_eq!((released(&out), out_to(&out)), (vec![], 0));
        if gone {
            out = play.on(Input::Gone { task });
            out.extend(play.close(task, 2, Outcome::Cancelled));
        } else {
            out = play.close(task, 2, Outcome::Read);
            play.on(Input::Began { task, shot: 3 });
            out.extend(play.close(task, 3, Outcome::Delivered));
        }
        assert_eq!(released(&out), [("s0".to_owned(), false)], "{out:?}");
    }
    // Ended badly, and so once more: both may have left a state of one name.
    for outcome in [Outcome::Broken, Outcome::TimedOut, Outcome::Stale, Outcome::Cancelled] {
        let mut play = Play::new("replayable");
        let (task, _) = play.arrive();
        let mut out = Vec::new();
        for shot in 0..2 {
            let end = End { state: Some("s".to_owned()), ..End::default() };
            out.extend(play.on(Input::Closed { task, shot, outcome, end }));
        }
        assert!(released(&out).is_empty(), "{outcome:?}: {out:?}");
        let out = play.on(Input::Gone { task });
        let out = [out, play.close(task, 2, Outcome::Cancelled)].concat();
        assert_eq!(released(&out), [("s".to_owned(), false)], "{outcome:?}: {out:?}");
        assert_eq!(out.last(), Some(&Output::Forget { task }));
    }
}

/// What comes for a task that has ended, or for the next owner of its place, changes nothing.
#[test]
fn late_words_change_nothing() {
    let mut play = Play::new("replayable");
    let (task, _) = play.reading_done();
    play.on(Input::Began { task, shot: 1 });
    play.close(task, 1, Outcome::Delivered);
    play.core.carried_out();
    let (next, _) = play.arrive();
    assert_eq!((next.place, next.turn), (task.place, task.turn + 1));
    for input in [
        Input::Began { task, shot: 1 },
        Input::Began { task, shot: 0 },
        Input::Gone { task },
        Input::Closed { task, shot: 0, outcome: Outcome::Error, end: End::default() },
        Input::Closed { task: next, shot: 9, outcome: Outcome::Delivered, end: End::default() },
    ] {
        let what = format!("{input:?}");
        assert!(play.on(input).is_empty(), "{what}");
    }
    assert_eq!(play.core.in_hand(), 1);
}

/// Silence to the very end: one answer in the client's time.
#[test]
fn a_task_nobody_answers_is_answered_once() {
    for effect in ["replayable", "single-use"] {
        let mut play = Play::new(effect);
        let (task, _) = play.arrive();
        let mut all = play.wait(ms(3990));
        let until = ms(3996);
        for shot in 0..8 {
            play.now = play.now.max(until);
            all.extend(play.close(task, shot, Outcome::TimedOut));
        }
        all.extend(play.wait(ms(60_000)));
        assert_eq!(answers(&all), 1, "{effect}: {all:?}");
        assert_eq!(play.core.in_hand(), 0, "{effect}");
    }
}

/// A shot whose coroutine is stuck: the task is answered in time all the same, and what the shot tells later is
/// passed over.
#[test]
fn a_stuck_shot_holds_up_no_answer() {
    for effect in ["replayable", "single-use"] {
        let mut play = Play::new(effect);
        let (task, _) = play.reading_done();
        let out = play.wait(ms(4010));
        assert_eq!((answers(&out), sends(&out)), (1, 0), "{effect}: {out:?}");
        assert!(out.contains(&Output::Cancel { task, shot: 1 }) && out.contains(&Output::Forget { task }));
        assert_eq!((play.core.counts().overdue, play.core.in_hand()), (1, 0), "{effect}");
        for outcome in [Outcome::Delivered, Outcome::Broken] {
            assert!(play.close(task, 1, outcome).is_empty(), "{effect}");
        }
    }
}

/// A record replays to the letter; a changed action or a cut line is seen.
#[test]
fn records_replay_to_the_letter() {
    let lines: Arc<Mutex<Vec<String>>> = Arc::default();
    let to = lines.clone();
    let recorder = Lines(move |line| to.lock().expect("a lock").push(line));
    let mut play = Play::new("replayable");
    play.core = Core::recorded(17, terms("replayable"), Box::new(recorder));
    let rows =
        (0..6).map(|i| row(&format!("h{i}"), ["prefill", "decode"][i % 2], Standing::Running)).collect();
    play.on(Input::Listed { whole: true, rows });
    for round in 0..50 {
        let (task, out) = play.arrive();
        let host =
            out.iter().find_map(|o| if let Output::Send { host, .. } = o { Some(*host) } else { None });
        if host.is_some() {
            let outcome = [Outcome::Read, Outcome::Error, Outcome::Full][round % 3];
            play.close(task, 0, outcome);
        }
        play.wait(ms(20 * round as u64));
    }
    let text = lines.lock().expect("a lock").join("\n");
    let same = replay(text.as_bytes()).expect("a record");
    assert!(same.events > 50 && same.actions > 50 && same.differences.is_empty(), "{same:?}");
    let changed = text.replacen("\"host\":0", "\"host\":1", 400);
    assert!(replay(changed.as_bytes()).is_ok_and(|replay| !replay.differences.is_empty()));
    let cut = &text[..text.len() - 20];
    assert!(replay(cut.as_bytes()).is_ok_and(|replay| replay.cut_short && replay.differences.is_empty()));
    assert!(replay("{\"record\":9}".as_bytes()).is_err());
    assert!(replay("".as_bytes()).is_err());
}

/// A timer that ends a task in the same step in which another comes: the new one must not get the old one's place
/// before the old one's answer is out, or nobody knows any more whose answer it is. Seen as clients that waited for
/// ever, one in some thousands on a busy machine.
#[test]
fn a_place_is_not_given_anew_before_its_last_answer_is_out() {
    let mut play = Play::new("replayable");
    let (first, _) = play.arrive();
    let mut out = play.on(Input::Gone { task: first });
    out.extend(play.close(first, 0, Outcome::Cancelled));
    out.extend(play.wait(ms(10_000)));
    assert!(out.contains(&Output::Forget { task: first }), "{out:?}");
    let (second, _) = play.arrive();
    assert_ne!(second.place, first.place);
    play.core.carried_out();
    let (third, _) = play.arrive();
    assert_eq!(third.place, first.place);
    assert_ne!(third.turn, first.turn);
}

/// Which shot of a task is the first that may have run: reads and refusals are not, an earlier one that ends late is.
#[test]
fn the_first_shot_that_may_have_run_is_told() {
    for (outcome, tells) in [
        (Outcome::Full, false),
        (Outcome::NoConnection, false),
        (Outcome::Moot, false),
        (Outcome::Error, true),
        (Outcome::Broken, true),
        (Outcome::TimedOut, true),
    ] {
        let mut play = Play::new("replayable");
        let (task, first) = play.reading_done();
        let second = play.close(task, 1, outcome);
        let told = ran(&second);
        assert_eq!(told, if tells { vec![out_to(&first)] } else { vec![] }, "{outcome:?}");
        // The next one is the first only where none was before; the read anew, if any, has none.
        let mut shot = 2;
        let mut out = second;
        if out.iter().any(|o| matches!(o, Output::Send { errand: Errand::Read, .. })) {
            out = play.close(task, shot, Outcome::Read);
            assert!(ran(&out).is_empty(), "{outcome:?}");
            shot += 1;
        }
        let begun = play.on(Input::Began { task, shot });
        assert_eq!(ran(&begun), if tells { vec![] } else { vec![out_to(&out)] }, "{outcome:?}");
    }
    // What a task goes on with was before all of its own.
    let mut play = Play::new("replayable");
    let task = play.core.enter();
    let earlier = Some(Ran { host: 1, sent: ms(0) });
    let ask = Ask { left: ms(4000), prompt_tokens: 100, most_tokens: 50, ran: earlier, ..Ask::default() };
    play.core.arrive(play.now, task, &ask, &mut play.out);
    play.out.clear();
    let out = play.close(task, 0, Outcome::Read);
    assert_eq!(out_to(&out), 2, "the writer that it leaves is past what is alike");
    assert!(ran(&play.on(Input::Began { task, shot: 1 })).is_empty());
    assert!(ran(&play.close(task, 1, Outcome::Broken)).is_empty());
}
