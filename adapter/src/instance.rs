//! One dispatcher instance: its names, its decision logic, and its part of a reply.

use crate::wire::{Error, Fields};
use serde_json::Value;
use std::fmt::Write;
use std::time::Duration;
use tulipstall::Rules;
use tulipstall::interface::{Action, CacheKey, Closed, Event, HostStatus, ListedHost, Order, Outcome};
use tulipstall::names::NameRegistry;

/// One entry of a numbered host list.
pub struct HostRow {
    /// Start of the server process, on the simulator's clock in microseconds; 0 if it started long ago.
    pub online_since: u64,
    pub cell: u32,
    pub host: String,
    pub zone: String,
    pub weight: f64,
    pub kind: String,
    pub status: HostStatus,
}

/// One simulated dispatcher.
pub struct Instance {
    number: u64,
    /// Start of the instance, on the simulator's clock in microseconds.
    origin: u64,
    names: NameRegistry,
    rules: Rules,
    actions: Vec<Action>,
}

impl Instance {
    pub fn new(number: u64, seed: u64, config: &Value, clock: u64) -> Self {
        let mut rules_config = tulipstall_platform::parse_config(config);
        let names = NameRegistry::from_config(&mut rules_config);
        Instance { number, origin: clock, names, rules: Rules::new(seed, &rules_config), actions: Vec::new() }
    }

    /// Converts the simulator's clock to the time since the start of the instance.
    fn since_start(&self, clock: u64) -> Duration {
        Duration::from_micros(clock.saturating_sub(self.origin))
    }

    pub fn order(&mut self, clock: u64, fields: &mut Fields, reply: &mut String) -> Result<(), Error> {
        let task = self.names.tasks.intern(fields.require("the task")?);
        let offering = fields.next().and_then(|name| self.names.offerings.find(name));
        let customer = fields.next().and_then(|name| self.names.customers.find(name));
        let session = fields.next().map(|name| self.names.sessions.intern(name));
        let time_left = Duration::from_micros(fields.integer_or("the time left", 0)?);
        let expected_duration = fields.duration_or_none("the hint")?;
        let shared: Option<CacheKey> = fields.next().map(|name| self.names.shared_texts.intern(name));
        let prompt_tokens = fields.number_or("the prompt's length", 0.0)? as u32;
        let shared_tokens = fields.number_or("the shared length", 0.0)? as u32;
        let max_answer_tokens = fields.number_or("the output limit", 0.0)? as u32;
        let flags = fields.integer_or("the flags", 0)?;
        let order = Order {
            task,
            offering,
            customer,
            session,
            shared,
            time_left,
            expected_duration: expected_duration.filter(|_| flags & 1 != 0),
            prompt_tokens,
            shared_tokens,
            max_answer_tokens,
            is_repeat: flags & 2 != 0,
            earlier_run: None,
        };
        self.apply_event(clock, &Event::Order(order), reply);
        Ok(())
    }

    pub fn started(&mut self, clock: u64, fields: &mut Fields, reply: &mut String) -> Result<(), Error> {
        let task = self.names.tasks.find(fields.require("the task")?);
        fields.next();
        let shot = fields.integer("the shot's number")? as u32;
        if let Some(task) = task {
            self.apply_event(clock, &Event::Started { task, shot }, reply);
        }
        Ok(())
    }

    pub fn closed(&mut self, clock: u64, fields: &mut Fields, reply: &mut String) -> Result<(), Error> {
        let task = self.names.tasks.find(fields.require("the task")?);
        let finished = fields.integer_or("the finished flag", 0)? != 0;
        let (outcome, note) = fields.outcome(|fields| Ok(fields.number_or("the note", 0.0)? as u64))?;
        fields.next();
        let shot = fields.integer("the shot's number")? as u32;
        fields.next();
        let load = fields.load()?;
        let reports_cached = matches!(outcome, Outcome::Read | Outcome::Delivered);
        let cached_tokens = if reports_cached { u32::try_from(note).unwrap_or(u32::MAX) } else { 0 };
        if let Some(task) = task {
            let closed = Closed { task, shot, outcome, finished, cached_tokens, load };
            self.apply_event(clock, &Event::Closed(closed), reply);
        }
        Ok(())
    }

    pub fn reserved(&mut self, clock: u64, fields: &mut Fields, reply: &mut String) -> Result<(), Error> {
        let task = self.names.tasks.find(fields.require("the task")?);
        fields.next();
        fields.next();
        let granted = fields.integer_or("the reservation's answer", 0)? == 1;
        if let Some(task) = task {
            self.apply_event(clock, &Event::Reservation { task, granted }, reply);
        }
        Ok(())
    }

    pub fn probed(&mut self, clock: u64, fields: &mut Fields, reply: &mut String) -> Result<(), Error> {
        fields.next();
        let host = self.names.hosts.find(fields.require("the host")?);
        let answered = fields.integer_or("the outcome", 0)? == 200;
        let load = fields.load()?;
        if let Some(host) = host {
            self.apply_event(clock, &Event::Probed { host, answered, load }, reply);
        }
        Ok(())
    }

    pub fn timer(&mut self, clock: u64, fields: &mut Fields, reply: &mut String) -> Result<(), Error> {
        let token = fields.integer("the timer's token")?;
        self.apply_event(clock, &Event::Timer { token }, reply);
        Ok(())
    }

    pub fn client_gone(&mut self, clock: u64, fields: &mut Fields, reply: &mut String) -> Result<(), Error> {
        if let Some(task) = self.names.tasks.find(fields.require("the task")?) {
            self.apply_event(clock, &Event::ClientGone { task }, reply);
        }
        Ok(())
    }

    pub fn list_failed(&mut self, clock: u64, reply: &mut String) {
        self.apply_event(clock, &Event::ListFailed, reply);
    }

    pub fn list(&mut self, clock: u64, complete: bool, rows: &[HostRow], reply: &mut String) {
        let mut listed = Vec::with_capacity(rows.len());
        for row in rows {
            let uptime = clock.saturating_sub(row.online_since);
            let line = ListedHost {
                uptime: (row.online_since > 0).then(|| Duration::from_micros(uptime)),
                cell: row.cell,
                weight: row.weight,
                status: row.status,
                ..ListedHost::default()
            };
            listed.extend(self.names.resolve(&row.host, &row.kind, &row.zone, line));
        }
        if complete {
            self.names.hosts.retain_listed(&listed);
        }
        self.apply_event(clock, &Event::Hosts { complete, listed }, reply);
    }

    /// Passes an event to the decisions and appends the resulting actions to the reply.
    fn apply_event(&mut self, clock: u64, event: &Event, reply: &mut String) {
        let now = self.since_start(clock);
        self.rules.handle(now, event, &mut self.actions);
        let mut actions = std::mem::take(&mut self.actions);
        for action in actions.drain(..) {
            self.write_action(&action, reply);
        }
        self.actions = actions;
    }

    /// Appends one line for an action. Nothing is written for an index without a name.
    fn write_action(&mut self, action: &Action, reply: &mut String) {
        let instance = self.number;
        let task = |task: u32| self.names.tasks.name(task);
        let host = |host: u32| self.names.hosts.name(host);
        let clock = |at: Duration| self.origin + at.as_micros() as u64;
        // Writing to a string cannot fail.
        let _ = match *action {
            Action::Send { task: t, host: h, deadline, .. } => match (task(t), host(h)) {
                (Some(t), Some(h)) => writeln!(reply, "SUBMIT_TO {instance} {t} {} {h}", clock(deadline)),
                _ => Ok(()),
            },
            Action::Cancel { task: t, shot } => match task(t) {
                Some(t) => writeln!(reply, "ABORT_ATTEMPT {instance} {t} {shot}"),
                None => Ok(()),
            },
            Action::Release { task: t, .. } => match task(t) {
                Some(t) => writeln!(reply, "UNHOLD {instance} {t}"),
                None => Ok(()),
            },
            Action::Bounce { task: t, retry_after } => match (task(t), retry_after) {
                (Some(t), Some(after)) => writeln!(reply, "DECLINE {instance} {t} {}", after.as_micros()),
                (Some(t), None) => writeln!(reply, "DECLINE {instance} {t} -"),
                (None, _) => Ok(()),
            },
            Action::BreakOff { task: t } => match task(t) {
                Some(t) => writeln!(reply, "SURRENDER {instance} {t}"),
                None => Ok(()),
            },
            Action::EndStream { task: t } => match task(t) {
                Some(t) => writeln!(reply, "RELOCATE {instance} {t}"),
                None => Ok(()),
            },
            Action::Timer { at, token } => writeln!(reply, "REMIND {instance} {} {token}", clock(at)),
            Action::RequestHostList => writeln!(reply, "TAIL {instance} 1"),
            Action::Note { host: h, what } => {
                writeln!(reply, "REMARK {instance} {} {what}", host(h).unwrap_or("a host"))
            }
            Action::Forget { task } => {
                self.names.tasks.remove(task);
                Ok(())
            }
        };
    }
}
