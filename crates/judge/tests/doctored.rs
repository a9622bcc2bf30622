//! Edited records: each violation that the checks must report, and beside it a near miss that they must not.

use tulipstall_judge::*;

const MS: u64 = 1000;

fn params() -> RuleParams {
    let location = |zone: &str, cell| Location { zone: zone.into(), cell };
    let locations = [
        ("r1", location("a", 1)),
        ("w1", location("a", 1)),
        ("w2", location("a", 2)),
        ("w3", location("b", 3)),
    ];
    RuleParams {
        effects: vec![
            Effect::Replayable,
            Effect::Referenced { group: Group::Zone, window_us: 3000 * MS },
            Effect::SingleUse,
        ],
        locations: locations.map(|(host, location)| (host.to_owned(), location)).into(),
        drain_grace_us: 250 * MS,
        release_us: 1000 * MS,
        slack_us: 20 * MS,
        notice_us: 100 * MS,
    }
}

fn host_event(at_ms: u64, host: &str, kind: HostEventKind) -> HostEvent {
    HostEvent { at: at_ms * MS, host: host.into(), tag: "7.0".into(), dispatcher: "d0".into(), kind }
}

fn attempt(offering: usize, answer: Answer, ended_ms: u64) -> ClientAttempt {
    ClientAttempt {
        task: 7,
        number: 0,
        dispatcher: "d0".into(),
        offering,
        at: 0,
        deadline_us: 6000 * MS,
        ended: ended_ms * MS,
        answer,
        first_token_us: 0,
        prompt_tokens: 0,
        cached_tokens: 0,
        begun: false,
        retry_advised: false,
        text_correct: true,
        trailing_bytes: 0,
    }
}

fn made() -> HostEventKind {
    HostEventKind::StateMade("s1".into())
}

fn taken() -> HostEventKind {
    HostEventKind::StateTaken("s1".into())
}

fn released() -> HostEventKind {
    HostEventKind::StateReleased("s1".into())
}

const ENDED: HostEventKind = HostEventKind::Ended { refused: false };
const REFUSED: HostEventKind = HostEventKind::Ended { refused: true };

/// A correct request: read at r1, written at w1, delivered.
fn correct_record() -> Record {
    let host_events = vec![
        host_event(10, "r1", HostEventKind::Read),
        host_event(50, "r1", made()),
        host_event(50, "r1", ENDED),
        host_event(52, "w1", HostEventKind::Write),
        host_event(60, "r1", taken()),
        host_event(61, "w1", HostEventKind::Ran),
        host_event(300, "w1", ENDED),
    ];
    let attempts = vec![ClientAttempt { begun: true, ..attempt(0, Answer::Delivered, 301) }];
    Record { params: params(), host_events, attempts, ended: 20_000 * MS, ..Record::default() }
}

fn violated_rules(record: &Record) -> Vec<usize> {
    let verdicts = judge(record);
    (1..).zip(&verdicts).filter(|(_, verdict)| !verdict.violations.is_empty()).map(|(rule, _)| rule).collect()
}

#[test]
fn each_violation_is_reported_and_no_near_miss_is() {
    let with = |change: &dyn Fn(&mut Record)| {
        let mut record = correct_record();
        change(&mut record);
        record
    };
    let notice = |at_ms: u64, host: &str, running| HostNotice {
        at: at_ms * MS,
        dispatcher: "d0".into(),
        host: host.into(),
        running,
    };
    let cases: Vec<(&str, Vec<usize>, Record)> = vec![
        ("a correct request", vec![], correct_record()),
        // Rule 1.
        ("no answer in time", vec![1], with(&|r| r.attempts[0].answer = Answer::Late)),
        ("cut off", vec![1], with(&|r| r.attempts[0].answer = Answer::Cut)),
        (
            "cut off by a kill",
            vec![],
            with(&|r| {
                r.attempts[0].answer = Answer::Cut;
                r.kills.push(Kill { at: 300 * MS, dispatcher: "d0".into() });
            }),
        ),
        (
            "cut off, another dispatcher killed",
            vec![1],
            with(&|r| {
                r.attempts[0].answer = Answer::Cut;
                r.kills.push(Kill { at: 300 * MS, dispatcher: "d1".into() });
            }),
        ),
        ("two answers", vec![1], with(&|r| r.attempts[0].trailing_bytes = 3)),
        ("the text of another answer", vec![1], with(&|r| r.attempts[0].text_correct = false)),
        ("bounced late", vec![1], with(&|r| r.attempts[0] = attempt(0, Answer::Bounced, 6021))),
        ("bounced just in time", vec![], with(&|r| r.attempts[0] = attempt(0, Answer::Bounced, 6019))),
        (
            "sent after the answer",
            vec![1],
            with(&|r| r.host_events.push(host_event(330, "w2", HostEventKind::Write))),
        ),
        (
            "sent as the answer went",
            vec![],
            with(&|r| {
                r.host_events.push(host_event(310, "w2", HostEventKind::Write));
                r.host_events.push(host_event(311, "w2", ENDED));
            }),
        ),
        // Rule 2.
        (
            "single-use sent again",
            vec![2],
            with(&|r| {
                r.attempts[0].offering = 2;
                r.host_events.push(host_event(301, "w2", HostEventKind::Write));
            }),
        ),
        (
            "single-use sent again after a refusal",
            vec![],
            with(&|r| {
                r.attempts[0].offering = 2;
                r.host_events.insert(3, host_event(51, "w2", HostEventKind::Write));
                r.host_events.insert(4, host_event(51, "w2", REFUSED));
            }),
        ),
        (
            "single-use read twice",
            vec![],
            with(&|r| {
                r.attempts[0].offering = 2;
                r.host_events.insert(0, host_event(5, "r1", HostEventKind::Read));
                r.host_events.insert(1, host_event(9, "r1", ENDED));
            }),
        ),
        (
            "single-use bounced after it may have run",
            vec![2],
            with(&|r| r.attempts[0] = attempt(2, Answer::Bounced, 301)),
        ),
        (
            "referenced sent again inside group and window",
            vec![],
            with(&|r| {
                r.attempts[0].offering = 1;
                r.host_events.insert(3, host_event(51, "w2", HostEventKind::Write));
                r.host_events.insert(4, host_event(51, "w2", ENDED));
            }),
        ),
        (
            "referenced sent outside its group",
            vec![2],
            with(&|r| {
                r.attempts[0].offering = 1;
                r.host_events.insert(3, host_event(51, "w3", HostEventKind::Write));
                r.host_events.insert(4, host_event(51, "w3", ENDED));
            }),
        ),
        (
            "referenced sent after its window",
            vec![2],
            with(&|r| {
                r.attempts[0] = ClientAttempt { ended: 4001 * MS, ..r.attempts[0].clone() };
                r.attempts[0].offering = 1;
                r.host_events.push(host_event(4000, "w2", HostEventKind::Write));
            }),
        ),
        // Rule 3.
        (
            "sent after the grace",
            vec![3],
            with(&|r| r.notices.push(HostNotice { at: 0, ..notice(0, "w1", false) }))
                .tap(|r| r.host_events.iter_mut().filter(|s| s.host == "w1").for_each(|s| s.at += 230 * MS)),
        ),
        ("sent inside the grace", vec![], with(&|r| r.notices.push(notice(0, "w1", false)))),
        (
            "sent to a host that runs again",
            vec![],
            with(&|r| r.notices.extend([notice(0, "w1", false), notice(40, "w1", true)]))
                .tap(|r| r.host_events.iter_mut().filter(|s| s.host == "w1").for_each(|s| s.at += 400 * MS))
                .tap(|r| r.attempts[0].ended += 500 * MS),
        ),
        (
            "two notices: the first one counts",
            vec![3],
            with(&|r| r.notices.extend([notice(0, "w1", false), notice(200, "w1", false)]))
                .tap(|r| r.host_events.iter_mut().filter(|s| s.host == "w1").for_each(|s| s.at += 230 * MS)),
        ),
        // Rule 4.
        (
            "failed from overload",
            vec![4],
            with(&|r| r.host_events.push(host_event(320, "w1", HostEventKind::Overloaded))),
        ),
        (
            "nearly overloaded",
            vec![],
            with(&|r| r.host_events.push(host_event(320, "w1", HostEventKind::ColdLoad(990)))),
        ),
        // Rule 5.
        (
            "held too long",
            vec![5],
            with(&|r| {
                r.host_events.truncate(3);
                r.host_events.push(host_event(1080, "r1", released()));
            }),
        ),
        (
            "released in time",
            vec![],
            with(&|r| {
                r.host_events.truncate(3);
                r.host_events.push(host_event(1060, "r1", released()));
            }),
        ),
        ("never released", vec![5], with(&|r| r.host_events.truncate(3))),
        (
            "held while a shot is out",
            vec![],
            with(&|r| {
                r.host_events.truncate(3);
                r.host_events.push(host_event(60, "w2", HostEventKind::Write));
                r.host_events.push(host_event(3000, "w2", ENDED));
                r.host_events.push(host_event(3010, "r1", released()));
                r.attempts[0].ended = 3020 * MS;
            }),
        ),
        (
            "its dispatcher was killed",
            vec![],
            with(&|r| {
                r.host_events.truncate(3);
                r.kills.push(Kill { at: 100 * MS, dispatcher: "d0".into() });
            }),
        ),
    ];
    for (what, rules, record) in cases {
        assert_eq!(violated_rules(&record), rules, "{what}");
    }
}

trait Tap: Sized {
    fn tap(mut self, change: impl FnOnce(&mut Self)) -> Self {
        change(&mut self);
        self
    }
}

impl Tap for Record {}
