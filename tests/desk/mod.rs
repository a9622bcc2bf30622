//! A dispatcher's rules on a desk: events in, actions out.
#![allow(dead_code)] // each test file uses its part

use std::time::Duration;
use tulipstall::Rules;
use tulipstall::interface::Outcome::*;
use tulipstall::interface::{
    Action, Closed, Event, Key, Listed, Order, Outcome, Role, Standing, Term, Terms,
};

pub const READER: Role = Role::Reader;
pub const WRITER: Role = Role::Writer;
pub const MIXED: Role = Role::Mixed;

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A dispatcher under test, its hosts, and what it asked for last.
pub struct Desk {
    pub rules: Rules,
    pub hosts: Vec<Listed>,
    pub offering: u32,
}

impl Desk {
    /// `hosts` gives each host's role and cell.
    pub fn new(extra: &[(&str, &str)], hosts: &[(Role, u32)]) -> Desk {
        let base = "dispatchers=2 offerings.0.agreed_time_us=1500000 offerings.0.gain=1 \
            offerings.0.effect=replayable \
            offerings.0.group=all offerings.0.window_us=5000000 service.token_pace_us.0=60000 \
            service.release_us=500000 allowed.max_shots=6 allowed.cancel=true \
            allowed.come_back=true allowed.max_come_back_us=1000000 \
            rules.cold_from=0.3 rules.warm_up_us=10000000 \
            report.fields.0=x1 rules.fall_multiple=2.5";
        let mut terms = Terms::default();
        let base = base.split_whitespace().filter_map(|pair| pair.split_once('='));
        for (name, value) in base.chain(extra.iter().copied()) {
            let value = match (value, value.parse()) {
                ("true" | "false", _) => Term::Flag(value == "true"),
                (_, Ok(number)) => Term::Number(number),
                _ => Term::Text(value.to_owned()),
            };
            terms.0.insert(name.to_owned(), value);
        }
        let listed = |(i, (role, cell)): (usize, &(Role, u32))| Listed {
            host: i as u32,
            mark: tulipstall::door::mark(&format!("host {i}")),
            up_for: None,
            cell: *cell,
            zone: *cell,
            weight: 1.0,
            role: *role,
            memory_tokens: Some(150_000.0),
            standing: Standing::Running,
        };
        let hosts: Vec<Listed> = hosts.iter().enumerate().map(listed).collect();
        let mut desk = Desk { rules: Rules::new(7, &terms), hosts, offering: 0 };
        desk.tell(0, Event::Hosts { whole: true, listed: desk.hosts.clone() });
        desk
    }

    pub fn tell(&mut self, at: u64, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.rules.on(ms(at), &event, &mut out);
        out
    }

    pub fn list(&mut self, at: u64, host: u32, standing: Standing, up_for: Option<Duration>) -> Vec<Action> {
        let line = Listed { standing, up_for, ..self.hosts[host as usize] };
        self.tell(at, Event::Hosts { whole: false, listed: vec![line] })
    }

    pub fn order(&mut self, at: u64, task: u32, session: u32, prompt_tokens: u32) -> Vec<Action> {
        // Marks are hashes of names: those of two sessions have nothing in common.
        let mark = tulipstall::door::mark(&format!("session {session}"));
        let session = Some(Key { place: session, turn: 1, mark });
        let order = Order {
            task,
            offering: Some(self.offering),
            customer: Some(0),
            session,
            shared: None,
            left: ms(4000),
            hint: None,
            prompt_tokens,
            shared_tokens: 0,
            most_tokens: 200,
            again: false,
            ran: None,
        };
        self.tell(at, Event::Order(order))
    }

    pub fn close(&mut self, at: u64, task: u32, shot: u32, outcome: Outcome) -> Vec<Action> {
        let finished = outcome == Delivered;
        let closed = Closed { task, shot, outcome, finished, kept_tokens: 0, load: None };
        self.tell(at, Event::Closed(closed))
    }

    /// A task read and answered; the reader and the writer it went to.
    pub fn serve(&mut self, at: u64, task: u32, session: u32, prompt: u32) -> (Option<u32>, Option<u32>) {
        let reader = sent(&self.order(at, task, session, prompt));
        let writer = sent(&self.close(at + 30, task, 0, Read));
        self.tell(at + 40, Event::Started { task, shot: 1 });
        self.close(at + 45, task, 1, Delivered);
        (reader, writer)
    }
}

pub fn sent(actions: &[Action]) -> Option<u32> {
    actions.iter().find_map(|action| if let Action::Send { host, .. } = action { Some(*host) } else { None })
}

/// The answer and the release among the actions, as letters: B bounce, X break-off, R release, S send.
pub fn letters(actions: &[Action]) -> String {
    let letter = |action: &Action| match action {
        Action::Bounce { .. } => Some('B'),
        Action::BreakOff { .. } => Some('X'),
        Action::Release { .. } => Some('R'),
        Action::Send { .. } => Some('S'),
        _ => None,
    };
    let mut found: Vec<char> = actions.iter().filter_map(letter).collect();
    found.sort_unstable();
    found.into_iter().collect()
}
