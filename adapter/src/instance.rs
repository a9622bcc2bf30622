//! One dispatcher instance: its names, its decision logic, and its part of a reply.

use crate::wire::{Fault, Parts};
use serde_json::Value;
use std::fmt::Write;
use std::time::Duration;
use tulipstall::Rules;
use tulipstall::door::NameRegistry;
use tulipstall::interface::{Action, Closed, Event, Key, Listed, Order, Outcome, Standing};

/// One entry of a numbered list, as the process keeps it.
pub struct Row {
    pub online_since: u64,
    pub cell: u32,
    pub host: String,
    pub zone: String,
    pub weight: f64,
    pub kind: String,
    pub standing: Standing,
}

pub struct Instance {
    number: u64,
    origin: u64,
    names: NameRegistry,
    rules: Rules,
    actions: Vec<Action>,
}

impl Instance {
    pub fn open(number: u64, seed: u64, start: &Value, clock: u64) -> Self {
        let mut terms = tulipstall_platform::terms(start);
        let names = NameRegistry::from_terms(&mut terms);
        Instance { number, origin: clock, names, rules: Rules::new(seed, &terms), actions: Vec::new() }
    }

    fn since_start(&self, clock: u64) -> Duration {
        Duration::from_micros(clock.saturating_sub(self.origin))
    }

    pub fn order(&mut self, clock: u64, parts: &mut Parts, reply: &mut String) -> Result<(), Fault> {
        let task = self.names.tasks.intern(parts.need("the task")?);
        let offering = parts.next().and_then(|name| self.names.offerings.find(name));
        let customer = parts.next().and_then(|name| self.names.customers.find(name));
        let session = parts.next().map(|name| self.names.sessions.intern(name));
        let left = Duration::from_micros(parts.whole_or("the time left", 0)?);
        let hint = parts.span_or_none("the hint")?;
        let shared: Option<Key> = parts.next().map(|name| self.names.shared_texts.intern(name));
        let prompt_tokens = parts.number_or("the prompt's length", 0.0)? as u32;
        let shared_tokens = parts.number_or("the shared length", 0.0)? as u32;
        let most_tokens = parts.number_or("the output limit", 0.0)? as u32;
        let bits = parts.whole_or("the bits", 0)?;
        let order = Order {
            task,
            offering,
            customer,
            session,
            shared,
            left,
            hint: hint.filter(|_| bits & 1 != 0),
            prompt_tokens,
            shared_tokens,
            most_tokens,
            again: bits & 2 != 0,
            ran: None,
        };
        self.tell(clock, &Event::Order(order), reply);
        Ok(())
    }

    pub fn started(&mut self, clock: u64, parts: &mut Parts, reply: &mut String) -> Result<(), Fault> {
        let task = self.names.tasks.find(parts.need("the task")?);
        parts.next();
        let shot = parts.whole("the shot's number")? as u32;
        if let Some(task) = task {
            self.tell(clock, &Event::Started { task, shot }, reply);
        }
        Ok(())
    }

    pub fn closed(&mut self, clock: u64, parts: &mut Parts, reply: &mut String) -> Result<(), Fault> {
        let task = self.names.tasks.find(parts.need("the task")?);
        let finished = parts.whole_or("the finished mark", 0)? != 0;
        let (outcome, note) = parts.outcome(|parts| Ok(parts.number_or("the note", 0.0)? as u64))?;
        parts.next();
        let shot = parts.whole("the shot's number")? as u32;
        parts.next();
        let load = parts.load()?;
        let kept = matches!(outcome, Outcome::Read | Outcome::Delivered);
        let kept_tokens = if kept { u32::try_from(note).unwrap_or(u32::MAX) } else { 0 };
        if let Some(task) = task {
            let closed = Closed { task, shot, outcome, finished, kept_tokens, load };
            self.tell(clock, &Event::Closed(closed), reply);
        }
        Ok(())
    }

    pub fn place(&mut self, clock: u64, parts: &mut Parts, reply: &mut String) -> Result<(), Fault> {
        let task = self.names.tasks.find(parts.need("the task")?);
        parts.next();
        parts.next();
        let held = parts.whole_or("the place's answer", 0)? == 1;
        if let Some(task) = task {
            self.tell(clock, &Event::Place { task, held }, reply);
        }
        Ok(())
    }

    pub fn probed(&mut self, clock: u64, parts: &mut Parts, reply: &mut String) -> Result<(), Fault> {
        parts.next();
        let host = self.names.hosts.find(parts.need("the host")?);
        let answered = parts.whole_or("the outcome", 0)? == 200;
        let load = parts.load()?;
        if let Some(host) = host {
            self.tell(clock, &Event::Probed { host, answered, load }, reply);
        }
        Ok(())
    }

    pub fn timer(&mut self, clock: u64, parts: &mut Parts, reply: &mut String) -> Result<(), Fault> {
        let token = parts.whole("the timer's mark")?;
        self.tell(clock, &Event::Timer { token }, reply);
        Ok(())
    }

    pub fn client_gone(&mut self, clock: u64, parts: &mut Parts, reply: &mut String) -> Result<(), Fault> {
        if let Some(task) = self.names.tasks.find(parts.need("the task")?) {
            self.tell(clock, &Event::ClientGone { task }, reply);
        }
        Ok(())
    }

    pub fn list_failed(&mut self, clock: u64, reply: &mut String) {
        self.tell(clock, &Event::ListFailed, reply);
    }

    pub fn list(&mut self, clock: u64, whole: bool, rows: &[Row], reply: &mut String) {
        let mut listed = Vec::with_capacity(rows.len());
        for row in rows {
            let up_for = clock.saturating_sub(row.online_since);
            let line = Listed {
                up_for: (row.online_since > 0).then(|| Duration::from_micros(up_for)),
                cell: row.cell,
                weight: row.weight,
                standing: row.standing,
                ..Listed::default()
            };
            listed.extend(self.names.resolve(&row.host, &row.kind, &row.zone, line));
        }
        if whole {
            self.names.hosts.retain_listed(&listed);
        }
        self.tell(clock, &Event::Hosts { whole, listed }, reply);
    }

    fn tell(&mut self, clock: u64, event: &Event, reply: &mut String) {
        let now = self.since_start(clock);
        self.rules.on(now, event, &mut self.actions);
        let mut actions = std::mem::take(&mut self.actions);
        for action in actions.drain(..) {
            self.print(&action, reply);
        }
        self.actions = actions;
    }

    /// One line for each action. Nothing is written for an index without a name.
    fn print(&mut self, action: &Action, reply: &mut String) {
        let me = self.number;
        let task = |task: u32| self.names.tasks.name(task);
        let host = |host: u32| self.names.hosts.name(host);
        let clock = |at: Duration| self.origin + at.as_micros() as u64;
        // Writing to a string cannot fail.
        let _ = match *action {
            Action::Send { task: t, host: h, until, .. } => match (task(t), host(h)) {
                (Some(t), Some(h)) => writeln!(reply, "SUBMIT_TO {me} {t} {} {h}", clock(until)),
                _ => Ok(()),
            },
            Action::Cancel { task: t, shot } => match task(t) {
                Some(t) => writeln!(reply, "ABORT_ATTEMPT {me} {t} {shot}"),
                None => Ok(()),
            },
            Action::Release { task: t, .. } => match task(t) {
                Some(t) => writeln!(reply, "UNHOLD {me} {t}"),
                None => Ok(()),
            },
            Action::Bounce { task: t, come_back } => match (task(t), come_back) {
                (Some(t), Some(after)) => writeln!(reply, "DECLINE {me} {t} {}", after.as_micros()),
                (Some(t), None) => writeln!(reply, "DECLINE {me} {t} -"),
                (None, _) => Ok(()),
            },
            Action::BreakOff { task: t } => match task(t) {
                Some(t) => writeln!(reply, "SURRENDER {me} {t}"),
                None => Ok(()),
            },
            Action::Move { task: t } => match task(t) {
                Some(t) => writeln!(reply, "RELOCATE {me} {t}"),
                None => Ok(()),
            },
            Action::Timer { at, token } => writeln!(reply, "REMIND {me} {} {token}", clock(at)),
            Action::AskList => writeln!(reply, "TAIL {me} 1"),
            Action::Note { host: h, what } => {
                writeln!(reply, "REMARK {me} {} {what}", host(h).unwrap_or("a host"))
            }
            Action::Forget { task } => {
                self.names.tasks.remove(task);
                Ok(())
            }
        };
    }
}
