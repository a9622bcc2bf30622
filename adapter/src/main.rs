//! Hosts dispatchers on the bench's wire: batches in, replies out. Nothing is decided here.

mod instance;
mod wire;

use instance::{Instance, Row};
use rustc_hash::FxHashMap;
use std::io::{BufRead, Write, stdin, stdout};
use std::process::ExitCode;
use wire::{Fault, Parts};

#[derive(Default)]
struct Process {
    instances: FxHashMap<u64, Instance>,
    lists: FxHashMap<u64, Vec<Row>>,
    /// The list being read, and how many of its entries are still to come.
    filling: Option<(u64, u64)>,
    clock: u64,
    batch: u64,
    reply: String,
}

impl Process {
    /// Takes one line; true once a reply is complete.
    fn line(&mut self, line: &str) -> Result<bool, Fault> {
        let mut parts = Parts::of(line);
        let name = parts.need("the message's name")?;
        if let Some((list, left)) = self.filling.filter(|(_, left)| *left > 0) {
            if name != "ENTRY" {
                return Err(format!("a list is short of {left} entries at: {line}"));
            }
            let row = Row {
                online_since: parts.whole_or("the start time", 0)?,
                cell: parts.whole_or("the cell", 0)? as u32,
                host: parts.need("the host")?.to_owned(),
                zone: parts.next().unwrap_or_default().to_owned(),
                weight: parts.number_or("the capacity hint", 1.0)?,
                kind: parts.next().unwrap_or_default().to_owned(),
                standing: parts.standing()?,
            };
            self.lists.entry(list).or_default().push(row);
            self.filling = Some((list, left - 1));
            return Ok(false);
        }
        match name {
            "MARK" => {
                self.clock = parts.whole("the clock")?;
                self.batch = parts.whole("the batch's number")?;
                self.reply.clear();
            }
            "EOF_BATCH" => {
                let batch = self.batch;
                self.reply.push_str(&format!("YIELD {batch}\n"));
                return Ok(true);
            }
            "TABLE" => {
                let list = parts.whole("the list's number")?;
                let entries = parts.whole_or("the number of entries", 0)?;
                self.lists.entry(list).or_default().clear();
                self.filling = Some((list, entries));
            }
            "OPEN_INSTANCE" => {
                let number = parts.whole("the instance")?;
                let seed = parts.whole_or("the seed", 0)?;
                let start = parts.object()?;
                self.instances.insert(number, Instance::open(number, seed, &start, self.clock));
            }
            "DOWN" => {
                let number = parts.whole("the instance")?;
                self.instances.remove(&number);
            }
            _ => {
                let number = parts.whole("the instance")?;
                // What arrives for an instance that is down has nobody to go to.
                let Some(instance) = self.instances.get_mut(&number) else { return Ok(false) };
                let (clock, reply) = (self.clock, &mut self.reply);
                match name {
                    "ORDER" => instance.order(clock, &mut parts, reply)?,
                    "OPENED" => instance.started(clock, &mut parts, reply)?,
                    "CLOSED_ATTEMPT" => instance.closed(clock, &mut parts, reply)?,
                    "RESERVED" => instance.place(clock, &mut parts, reply)?,
                    "SAMPLED" => instance.probed(clock, &mut parts, reply)?,
                    "ALARM" => instance.timer(clock, &mut parts, reply)?,
                    "GONE" => instance.client_gone(clock, &mut parts, reply)?,
                    "MAIL" => {}
                    "UPDATE" => {
                        let form = parts.need("the list's form")?;
                        parts.next();
                        if form == "failed" {
                            instance.list_failed(clock, reply);
                            return Ok(false);
                        }
                        let list = parts.whole("the list's number")?;
                        let rows = self.lists.get(&list).ok_or(format!("no such list: {line}"))?;
                        match form {
                            "delta" => instance.list(clock, false, rows, reply),
                            "full" | "cached" => instance.list(clock, true, rows, reply),
                            _ => return Err(format!("a form of list that the wire does not have: {line}")),
                        }
                    }
                    _ => return Err(format!("a message that the wire does not have: {line}")),
                }
            }
        }
        Ok(false)
    }
}

fn run() -> Result<(), Fault> {
    let mut process = Process::default();
    let mut input = stdin().lock();
    let mut output = stdout().lock();
    let mut line = String::new();
    loop {
        line.clear();
        if input.read_line(&mut line).map_err(|fault| fault.to_string())? == 0 {
            return Ok(());
        }
        let line = line.trim_end_matches(['\n', '\r']);
        if !line.is_empty() && process.line(line)? {
            let sent = output.write_all(process.reply.as_bytes()).and_then(|()| output.flush());
            sent.map_err(|fault| fault.to_string())?;
        }
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("tulipstall-adapter: {fault}");
            ExitCode::FAILURE
        }
    }
}
