//! Runs dispatcher instances for the simulator. Reads batches of messages from standard input, passes them to the
//! instances and writes one reply for each batch to standard output. All decisions are made by the `tulipstall` crate.

mod instance;
mod wire;

use instance::{HostRow, Instance};
use rustc_hash::FxHashMap;
use std::io::{BufRead, Write, stdin, stdout};
use std::process::ExitCode;
use wire::{Error, Fields};

/// All dispatcher instances, and the reply to the batch that is being read.
#[derive(Default)]
struct Process {
    instances: FxHashMap<u64, Instance>,
    /// Host lists by number.
    lists: FxHashMap<u64, Vec<HostRow>>,
    /// The list that is being read, and how many of its entries are still missing.
    incomplete_list: Option<(u64, u64)>,
    /// The simulator's clock in microseconds.
    clock: u64,
    batch: u64,
    reply: String,
}

impl Process {
    /// Handles one line. Returns true once the reply to a batch is complete.
    fn handle_line(&mut self, line: &str) -> Result<bool, Error> {
        let mut fields = Fields::new(line);
        let name = fields.require("the message's name")?;
        if let Some((list, missing)) = self.incomplete_list.filter(|(_, missing)| *missing > 0) {
            if name != "ENTRY" {
                return Err(format!("the list lacks {missing} entries at: {line}"));
            }
            let row = HostRow {
                online_since: fields.integer_or("the start time", 0)?,
                cell: fields.integer_or("the cell", 0)? as u32,
                host: fields.require("the host")?.to_owned(),
                zone: fields.next().unwrap_or_default().to_owned(),
                weight: fields.number_or("the capacity hint", 1.0)?,
                kind: fields.next().unwrap_or_default().to_owned(),
                status: fields.status()?,
            };
            self.lists.entry(list).or_default().push(row);
            self.incomplete_list = Some((list, missing - 1));
            return Ok(false);
        }
        match name {
            "MARK" => {
                self.clock = fields.integer("the clock")?;
                self.batch = fields.integer("the batch's number")?;
                self.reply.clear();
            }
            "EOF_BATCH" => {
                let batch = self.batch;
                self.reply.push_str(&format!("YIELD {batch}\n"));
                return Ok(true);
            }
            "TABLE" => {
                let list = fields.integer("the list's number")?;
                let entries = fields.integer_or("the number of entries", 0)?;
                self.lists.entry(list).or_default().clear();
                self.incomplete_list = Some((list, entries));
            }
            "OPEN_INSTANCE" => {
                let number = fields.integer("the instance")?;
                let seed = fields.integer_or("the seed", 0)?;
                let config = fields.object()?;
                self.instances.insert(number, Instance::new(number, seed, &config, self.clock));
            }
            "DOWN" => {
                let number = fields.integer("the instance")?;
                self.instances.remove(&number);
            }
            _ => {
                let number = fields.integer("the instance")?;
                // Messages for an instance that is down are dropped.
                let Some(instance) = self.instances.get_mut(&number) else { return Ok(false) };
                let (clock, reply) = (self.clock, &mut self.reply);
                match name {
                    "ORDER" => instance.order(clock, &mut fields, reply)?,
                    "OPENED" => instance.started(clock, &mut fields, reply)?,
                    "CLOSED_ATTEMPT" => instance.closed(clock, &mut fields, reply)?,
                    "RESERVED" => instance.reserved(clock, &mut fields, reply)?,
                    "SAMPLED" => instance.probed(clock, &mut fields, reply)?,
                    "ALARM" => instance.timer(clock, &mut fields, reply)?,
                    "GONE" => instance.client_gone(clock, &mut fields, reply)?,
                    "MAIL" => {}
                    "UPDATE" => {
                        let form = fields.require("the list's form")?;
                        fields.next();
                        if form == "failed" {
                            instance.list_failed(clock, reply);
                            return Ok(false);
                        }
                        let list = fields.integer("the list's number")?;
                        let rows = self.lists.get(&list).ok_or(format!("no such list: {line}"))?;
                        match form {
                            "delta" => instance.list(clock, false, rows, reply),
                            "full" | "cached" => instance.list(clock, true, rows, reply),
                            _ => return Err(format!("unknown form of list: {line}")),
                        }
                    }
                    _ => return Err(format!("unknown message: {line}")),
                }
            }
        }
        Ok(false)
    }
}

fn run() -> Result<(), Error> {
    let mut process = Process::default();
    let mut input = stdin().lock();
    let mut output = stdout().lock();
    let mut line = String::new();
    loop {
        line.clear();
        if input.read_line(&mut line).map_err(|error| error.to_string())? == 0 {
            return Ok(());
        }
        let line = line.trim_end_matches(['\n', '\r']);
        if !line.is_empty() && process.handle_line(line)? {
            let sent = output.write_all(process.reply.as_bytes()).and_then(|()| output.flush());
            sent.map_err(|error| error.to_string())?;
        }
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("tulipstall-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
