//! Doctored records: each break that the judge must catch, and beside it the near miss that it must not.

use tulipstall_judge::*;

const MS: u64 = 1000;

fn figures() -> Figures {
    let place = |zone: &str, cell| Place { zone: zone.into(), cell };
    let places = [("r1", place("a", 1)), ("w1", place("a", 1)), ("w2", place("a", 2)), ("w3", place("b", 3))];
    Figures {
        effects: vec![
            Effect::Replayable,
            Effect::Referenced { group: Group::Zone, window_us: 3000 * MS },
            Effect::SingleUse,
        ],
        places: places.map(|(host, place)| (host.to_owned(), place)).into(),
        grace_us: 250 * MS,
        release_us: 1000 * MS,
        slack_us: 20 * MS,
        notice_us: 100 * MS,
    }
}

fn seen(at_ms: u64, host: &str, what: What) -> Seen {
    Seen { at: at_ms * MS, host: host.into(), mark: "7.0".into(), from: "d0".into(), what }
}

fn try_of(offering: usize, answer: Answer, ended_ms: u64) -> Try {
    Try {
        task: 7,
        number: 0,
        dispatcher: "d0".into(),
        offering,
        at: 0,
        stop: 6000 * MS,
        ended: ended_ms * MS,
        answer,
        first: 0,
        prompt_tokens: 0,
        kept_tokens: 0,
        begun: false,
        told_to_retry: false,
        text_right: true,
        after: 0,
    }
}

fn made() -> What {
    What::StateMade("s1".into())
}

fn taken() -> What {
    What::StateTaken("s1".into())
}

fn let_go() -> What {
    What::StateLetGo("s1".into())
}

const OK: What = What::Ended { refused: false };
const REFUSED: What = What::Ended { refused: true };

/// A whole, sound path: read at r1, written at w1, delivered.
fn sound() -> Record {
    let seen = vec![
        seen(10, "r1", What::Read),
        seen(50, "r1", made()),
        seen(50, "r1", OK),
        seen(52, "w1", What::Write),
        seen(60, "r1", taken()),
        seen(61, "w1", What::Ran),
        seen(300, "w1", OK),
    ];
    let tries = vec![Try { begun: true, ..try_of(0, Answer::Delivered, 301) }];
    Record { figures: figures(), seen, tries, ended: 20_000 * MS, ..Record::default() }
}

fn broken(record: &Record) -> Vec<usize> {
    let verdicts = judge(record);
    (1..).zip(&verdicts).filter(|(_, verdict)| !verdict.breaks.is_empty()).map(|(rule, _)| rule).collect()
}

#[test]
fn each_break_is_caught_and_each_near_miss_is_not() {
    let with = |change: &dyn Fn(&mut Record)| {
        let mut record = sound();
        change(&mut record);
        record
    };
    let told = |at_ms: u64, host: &str, runs| Told {
        at: at_ms * MS,
        dispatcher: "d0".into(),
        host: host.into(),
        runs,
    };
    let cases: Vec<(&str, Vec<usize>, Record)> = vec![
        ("a sound path", vec![], sound()),
        // Rule 1.
        ("no answer in time", vec![1], with(&|r| r.tries[0].answer = Answer::Late)),
        ("cut off", vec![1], with(&|r| r.tries[0].answer = Answer::Cut)),
        (
            "cut off by a kill",
            vec![],
            with(&|r| {
                r.tries[0].answer = Answer::Cut;
                r.kills.push(Kill { at: 300 * MS, dispatcher: "d0".into() });
            }),
        ),
        (
            "cut off, another dispatcher killed",
            vec![1],
            with(&|r| {
                r.tries[0].answer = Answer::Cut;
                r.kills.push(Kill { at: 300 * MS, dispatcher: "d1".into() });
            }),
        ),
        ("two answers", vec![1], with(&|r| r.tries[0].after = 3)),
        ("another's text", vec![1], with(&|r| r.tries[0].text_right = false)),
        ("bounced late", vec![1], with(&|r| r.tries[0] = try_of(0, Answer::Bounced, 6021))),
        ("bounced just in time", vec![], with(&|r| r.tries[0] = try_of(0, Answer::Bounced, 6019))),
        ("sent after the answer", vec![1], with(&|r| r.seen.push(seen(330, "w2", What::Write)))),
        (
            "sent as the answer went",
            vec![],
            with(&|r| {
                r.seen.push(seen(310, "w2", What::Write));
                r.seen.push(seen(311, "w2", OK));
            }),
        ),
        // Rule 2.
        (
            "single-use sent again",
            vec![2],
            with(&|r| {
                r.tries[0].offering = 2;
                r.seen.push(seen(301, "w2", What::Write));
            }),
        ),
        (
            "single-use sent again after a refusal",
            vec![],
            with(&|r| {
                r.tries[0].offering = 2;
                r.seen.insert(3, seen(51, "w2", What::Write));
                r.seen.insert(4, seen(51, "w2", REFUSED));
            }),
        ),
        (
            "single-use read twice",
            vec![],
            with(&|r| {
                r.tries[0].offering = 2;
                r.seen.insert(0, seen(5, "r1", What::Read));
                r.seen.insert(1, seen(9, "r1", OK));
            }),
        ),
        (
            "single-use bounced after it may have run",
            vec![2],
            with(&|r| r.tries[0] = try_of(2, Answer::Bounced, 301)),
        ),
        (
            "referenced sent again inside group and window",
            vec![],
            with(&|r| {
                r.tries[0].offering = 1;
                r.seen.insert(3, seen(51, "w2", What::Write));
                r.seen.insert(4, seen(51, "w2", OK));
            }),
        ),
        (
            "referenced sent outside its group",
            vec![2],
            with(&|r| {
                r.tries[0].offering = 1;
                r.seen.insert(3, seen(51, "w3", What::Write));
                r.seen.insert(4, seen(51, "w3", OK));
            }),
        ),
        (
            "referenced sent after its window",
            vec![2],
            with(&|r| {
                r.tries[0] = Try { ended: 4001 * MS, ..r.tries[0].clone() };
                r.tries[0].offering = 1;
                r.seen.push(seen(4000, "w2", What::Write));
            }),
        ),
        // Rule 3.
        (
            "sent after the grace",
            vec![3],
            with(&|r| r.told.push(Told { at: 0, ..told(0, "w1", false) }))
                .tap(|r| r.seen.iter_mut().filter(|s| s.host == "w1").for_each(|s| s.at += 230 * MS)),
        ),
        ("sent inside the grace", vec![], with(&|r| r.told.push(told(0, "w1", false)))),
        (
            "sent to one that runs again",
            vec![],
            with(&|r| r.told.extend([told(0, "w1", false), told(40, "w1", true)]))
                .tap(|r| r.seen.iter_mut().filter(|s| s.host == "w1").for_each(|s| s.at += 400 * MS))
                .tap(|r| r.tries[0].ended += 500 * MS),
        ),
        (
            "told twice: the first time counts",
            vec![3],
            with(&|r| r.told.extend([told(0, "w1", false), told(200, "w1", false)]))
                .tap(|r| r.seen.iter_mut().filter(|s| s.host == "w1").for_each(|s| s.at += 230 * MS)),
        ),
        // Rule 4.
        ("fell over", vec![4], with(&|r| r.seen.push(seen(320, "w1", What::Fell)))),
        ("nearly fell over", vec![], with(&|r| r.seen.push(seen(320, "w1", What::Pushed(990))))),
        // Rule 5.
        (
            "held too long",
            vec![5],
            with(&|r| {
                r.seen.truncate(3);
                r.seen.push(seen(1080, "r1", let_go()));
            }),
        ),
        (
            "let go in time",
            vec![],
            with(&|r| {
                r.seen.truncate(3);
                r.seen.push(seen(1060, "r1", let_go()));
            }),
        ),
        ("never let go", vec![5], with(&|r| r.seen.truncate(3))),
        (
            "held while a shot is out",
            vec![],
            with(&|r| {
                r.seen.truncate(3);
                r.seen.push(seen(60, "w2", What::Write));
                r.seen.push(seen(3000, "w2", OK));
                r.seen.push(seen(3010, "r1", let_go()));
                r.tries[0].ended = 3020 * MS;
            }),
        ),
        (
            "its dispatcher was killed",
            vec![],
            with(&|r| {
                r.seen.truncate(3);
                r.kills.push(Kill { at: 100 * MS, dispatcher: "d0".into() });
            }),
        ),
    ];
    for (what, rules, record) in cases {
        assert_eq!(broken(&record), rules, "{what}");
    }
}

trait Tap: Sized {
    fn tap(mut self, change: impl FnOnce(&mut Self)) -> Self {
        change(&mut self);
        self
    }
}

impl Tap for Record {}
