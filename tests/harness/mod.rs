//! Runs one dispatcher's rules without a network: events in, actions out.
#![allow(dead_code)] // each test file uses some of these helpers

use std::time::Duration;
use tulipstall::Rules;
use tulipstall::interface::Outcome::*;
use tulipstall::interface::{
    Action, CacheKey, Closed, Config, ConfigValue, Event, HostStatus, ListedHost, Order, Outcome, Role,
};

pub const READER: Role = Role::Reader;
pub const WRITER: Role = Role::Writer;
pub const MIXED: Role = Role::Mixed;

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A dispatcher's rules under test, its hosts, and the offering of the orders it is sent.
pub struct Harness {
    pub rules: Rules,
    pub hosts: Vec<ListedHost>,
    pub offering: u32,
}

impl Harness {
    /// `extra` overrides configuration values; `hosts` gives each host's role and cell.
    pub fn new(extra: &[(&str, &str)], hosts: &[(Role, u32)]) -> Harness {
        let base = "dispatchers=2 offerings.0.agreed_time_us=1500000 offerings.0.gain=1 \
            offerings.0.effect=replayable \
            offerings.0.group=all offerings.0.window_us=5000000 service.token_pace_us.0=60000 \
            service.release_us=500000 allowed.max_shots=6 allowed.cancel=true \
            allowed.come_back=true allowed.max_come_back_us=1000000 \
            rules.cold_from=0.3 rules.warm_up_us=10000000 \
            report.fields.0=x1 rules.fall_multiple=2.5";
        let mut config = Config::default();
        let base = base.split_whitespace().filter_map(|pair| pair.split_once('='));
        for (name, value) in base.chain(extra.iter().copied()) {
            let value = match (value, value.parse()) {
                ("true" | "false", _) => ConfigValue::Flag(value == "true"),
                (_, Ok(number)) => ConfigValue::Number(number),
                _ => ConfigValue::Text(value.to_owned()),
            };
            config.0.insert(name.to_owned(), value);
        }
        let listed = |(i, (role, cell)): (usize, &(Role, u32))| ListedHost {
            host: i as u32,
            name_hash: tulipstall::names::name_hash(&format!("host {i}")),
            uptime: None,
            cell: *cell,
            zone: *cell,
            weight: 1.0,
            role: *role,
            memory_tokens: Some(150_000.0),
            status: HostStatus::Running,
        };
        let hosts: Vec<ListedHost> = hosts.iter().enumerate().map(listed).collect();
        let mut harness = Harness { rules: Rules::new(7, &config), hosts, offering: 0 };
        harness.on_event(0, Event::Hosts { complete: true, listed: harness.hosts.clone() });
        harness
    }

    /// Passes an event to the rules at a time in milliseconds; returns the actions.
    pub fn on_event(&mut self, at: u64, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.rules.handle(ms(at), &event, &mut out);
        out
    }

    /// A list with one host, with this status and age.
    pub fn list_host(
        &mut self,
        at: u64,
        host: u32,
        status: HostStatus,
        uptime: Option<Duration>,
    ) -> Vec<Action> {
        let line = ListedHost { status, uptime, ..self.hosts[host as usize] };
        self.on_event(at, Event::Hosts { complete: false, listed: vec![line] })
    }

    /// An order without a shared text, by a client that waits 4 s.
    pub fn send_order(&mut self, at: u64, task: u32, session: u32, prompt_tokens: u32) -> Vec<Action> {
        // The hash of a name, so that sessions have unrelated hashes.
        let hash = tulipstall::names::name_hash(&format!("session {session}"));
        let session = Some(CacheKey { slot: session, generation: 1, hash });
        let order = Order {
            task,
            offering: Some(self.offering),
            customer: Some(0),
            session,
            shared: None,
            time_left: ms(4000),
            expected_duration: None,
            prompt_tokens,
            shared_tokens: 0,
            max_answer_tokens: 200,
            is_repeat: false,
            earlier_run: None,
        };
        self.on_event(at, Event::Order(order))
    }

    pub fn close_shot(&mut self, at: u64, task: u32, shot: u32, outcome: Outcome) -> Vec<Action> {
        let finished = outcome == Delivered;
        let closed = Closed { task, shot, outcome, finished, cached_tokens: 0, load: None };
        self.on_event(at, Event::Closed(closed))
    }

    /// Has a task read and answered; returns the reader and the writer that it went to.
    pub fn serve_task(
        &mut self,
        at: u64,
        task: u32,
        session: u32,
        prompt: u32,
    ) -> (Option<u32>, Option<u32>) {
        let reader = sent_host(&self.send_order(at, task, session, prompt));
        let writer = sent_host(&self.close_shot(at + 30, task, 0, Read));
        self.on_event(at + 40, Event::Started { task, shot: 1 });
        self.close_shot(at + 45, task, 1, Delivered);
        (reader, writer)
    }
}

/// The host of the first shot among the actions.
pub fn sent_host(actions: &[Action]) -> Option<u32> {
    actions.iter().find_map(|action| if let Action::Send { host, .. } = action { Some(*host) } else { None })
}

/// The final answer, releases and sends among the actions, as sorted letters: B bounce, X abort, R release, S
/// send.
pub fn action_letters(actions: &[Action]) -> String {
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
