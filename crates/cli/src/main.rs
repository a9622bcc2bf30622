//! The tulipstall program.

use clap::{Args, Parser, Subcommand, ValueEnum};
use std::fs;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tulipstall_dispatcher::{Dispatcher, set_up_coroutines};
use tulipstall_rig::vary::Vary;
use tulipstall_settings::Settings;

/// A router for language-model serving with reading and writing on separate engines.
#[derive(Parser)]
#[command(version, arg_required_else_help = true)]
struct Program {
    #[command(subcommand)]
    command: Command,
    #[command(flatten)]
    log: LogTo,
}

#[derive(Args)]
struct LogTo {
    /// How log lines are written.
    #[arg(long, global = true, value_enum, default_value_t = LogForm::Text)]
    log: LogForm,
    /// The least severe lines that are written.
    #[arg(long, global = true, value_enum, default_value_t = LogLevel::Info)]
    log_level: LogLevel,
}

#[derive(Clone, Copy, ValueEnum)]
enum LogForm {
    Text,
    Json,
}

#[derive(Clone, Copy, ValueEnum)]
enum LogLevel {
    Error,
    Warn,
    Info,
    Debug,
}

#[derive(Subcommand)]
enum Command {
    /// Run a dispatcher until SIGTERM or SIGINT; a second signal ends it at once.
    Serve {
        /// JSON settings, see `tulipstall schema`.
        #[arg(long)]
        settings: PathBuf,
        /// Write every event and action to this file, for `tulipstall replay`.
        #[arg(long)]
        record: Option<PathBuf>,
        /// Write the addresses listened on to this file, once they are.
        #[arg(long)]
        addresses: Option<PathBuf>,
    },
    /// Run the dispatcher as the platform starts it: told by its environment, listening on one address.
    Node {
        /// The configuration; else where EDGE_CONFIG says.
        #[arg(long)]
        config: Option<PathBuf>,
    },
    /// Check settings; every fault is named by its place.
    Check { file: PathBuf },
    /// Print the JSON Schema of the settings.
    Schema,
    /// Play a record of `serve --record` through the decisions and compare every action.
    Replay { file: PathBuf },
    /// Start stand-ins and a dispatcher, send one streamed question and show who read and who wrote.
    Demo,
    /// Play a scripted day against dispatchers of this program and judge the rules by the traffic.
    Day {
        file: PathBuf,
        /// Where the dispatchers' files go; a temporary folder if absent.
        #[arg(long)]
        folder: Option<PathBuf>,
        /// Write all that crossed the sockets to this file as JSON.
        #[arg(long)]
        traffic: Option<PathBuf>,
        /// Play it once with each value of a setting and tell each in windows: `/prefixes/by=content,table,nothing`.
        #[arg(long)]
        vary: Option<Vary>,
        /// Milliseconds of a window.
        #[arg(long, default_value_t = 2000, requires = "vary")]
        window_ms: u64,
    },
    /// Ask a dispatcher's control socket which opening texts it thinks which hosts hold.
    Index {
        #[command(subcommand)]
        what: IndexOf,
        /// The dispatcher's control socket.
        #[arg(long, global = true, default_value = "127.0.0.1:9700")]
        control: SocketAddr,
    },
    /// Put an open-loop load on a dispatcher; latency counts from when each request was due.
    Load {
        /// The dispatcher.
        #[arg(long)]
        address: SocketAddr,
        #[arg(long, default_value = "chat-reply")]
        model: String,
        #[arg(long, default_value_t = 20.0)]
        per_second: f64,
        #[arg(long, default_value_t = 10.0)]
        seconds: f64,
        /// Tokens of each answer; stand-ins give as many, other engines as many at the most.
        #[arg(long, default_value_t = 50)]
        tokens: u32,
        /// Bytes of each prompt.
        #[arg(long, default_value_t = 2000)]
        prompt_bytes: usize,
        /// Ask for whole answers rather than streams.
        #[arg(long)]
        plain: bool,
        /// What is sent as x-api-key.
        #[arg(long)]
        key: Option<String>,
    },
    /// Run stand-in hosts alone, until a signal.
    Standin {
        /// JSON: {"hosts": [...]}, each host as in docs/stand-ins.md.
        #[arg(long)]
        settings: PathBuf,
        /// Write what each host was sent and when to this file, a JSON line each, when it is stopped.
        #[arg(long)]
        seen: Option<PathBuf>,
    },
}

/// Log lines that may wait for standard error: a burst of all tasks in hand; each place takes memory from the start.
const LINES: usize = 4096;

/// Log lines go through a thread of their own and are dropped, counted, rather than hold a coroutine up.
fn log(to: &LogTo, quiet: bool) -> tracing_appender::non_blocking::WorkerGuard {
    let (writer, guard) = tracing_appender::non_blocking::NonBlockingBuilder::default()
        .buffered_lines_limit(LINES)
        .finish(io::stderr());
    let level = match to.log_level {
        _ if quiet => tracing::Level::ERROR,
        LogLevel::Error => tracing::Level::ERROR,
        LogLevel::Warn => tracing::Level::WARN,
        LogLevel::Info => tracing::Level::INFO,
        LogLevel::Debug => tracing::Level::DEBUG,
    };
    let lines = tracing_subscriber::fmt().with_max_level(level).with_writer(writer).with_ansi(false);
    match to.log {
        LogForm::Text => lines.init(),
        LogForm::Json => lines.json().flatten_event(true).init(),
    }
    guard
}

fn settings(path: &Path) -> Result<Settings, String> {
    let text = fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
    tulipstall_settings::check(&text).map_err(|faults| {
        let lines: Vec<String> = faults.iter().map(|fault| format!("{}: {fault}", path.display())).collect();
        lines.join("\n")
    })
}

fn serve(path: &Path, record: Option<PathBuf>, addresses: Option<PathBuf>) -> Result<(), String> {
    let settings = settings(path)?;
    set_up_coroutines(settings.workers, settings.limits.stack_bytes);
    let dispatcher = Dispatcher::start(settings, record).map_err(|error| error.to_string())?;
    if let Some(file) = addresses {
        let control = dispatcher.control().map(|address| address.to_string());
        let text = serde_json::json!({"listen": dispatcher.address().to_string(), "control": control});
        let beside = PathBuf::from(format!("{}.new", file.display()));
        let written = fs::write(&beside, text.to_string()).and_then(|()| fs::rename(&beside, &file));
        written.map_err(|error| format!("{}: {error}", file.display()))?;
    }
    dispatcher.run_until_signal().map_err(|error| error.to_string())
}

fn replay(path: &Path) -> Result<(), String> {
    let file = fs::File::open(path).map_err(|error| format!("{}: {error}", path.display()))?;
    let replay = tulipstall_core::replay(io::BufReader::new(file))?;
    println!(
        "{} events, {} actions, {} differences",
        replay.events,
        replay.actions,
        replay.differences.len()
    );
    if replay.cut_short {
        println!("the last line was cut short and left out");
    }
    for (line, then, now) in &replay.differences {
        println!("line {line}\n  then {then}\n  now  {now}");
    }
    if replay.differences.is_empty() { Ok(()) } else { Err("the actions differ".to_owned()) }
}

fn standin(path: &Path, seen: Option<&Path>) -> Result<(), String> {
    let text = fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
    let spec: tulipstall_rig::fleet::FleetSpec =
        serde_json::from_str(&text).map_err(|error| format!("{}: {error}", path.display()))?;
    let fleet = tulipstall_rig::fleet::Fleet::start(&spec.hosts).map_err(|error| error.to_string())?;
    // What can be pushed to a dispatcher as its list.
    println!("{}", serde_json::to_string_pretty(&fleet.list()).unwrap_or_default());
    tulipstall_dispatcher::wait_for_signal().map_err(|error| error.to_string())?;
    let Some(path) = seen else { return Ok(()) };
    let mut text = String::new();
    for line in fleet.log.lines() {
        text.push_str(&serde_json::to_string(&line).map_err(|error| error.to_string())?);
        text.push('\n');
    }
    fs::write(path, text).map_err(|error| format!("{}: {error}", path.display()))
}

#[derive(Subcommand)]
enum IndexOf {
    /// Sizes, and what is held and believed of each host.
    Show,
    /// What hosts hold of a prompt, read from a file.
    Explain {
        prompt: PathBuf,
        /// The customer whose prompt it is, where customers are kept apart.
        #[arg(long)]
        customer: Option<String>,
    },
}

fn index(what: IndexOf, control: SocketAddr) -> Result<(), String> {
    let request = match what {
        IndexOf::Show => format!("GET /v1/index HTTP/1.1\r\nhost: {control}\r\n\r\n"),
        IndexOf::Explain { prompt, customer } => {
            let text =
                fs::read_to_string(&prompt).map_err(|error| format!("{}: {error}", prompt.display()))?;
            let customer = customer.map(|name| format!("x-customer: {name}\r\n")).unwrap_or_default();
            let length = text.len();
            format!(
                "POST /v1/index/explain HTTP/1.1\r\nhost: {control}\r\n{customer}content-length: {length}\r\n\r\n{text}"
            )
        }
    };
    let answer = tulipstall_rig::day::call(control, &request)
        .ok_or_else(|| format!("{control} does not answer, or does not know opening texts by content"))?;
    let answer: serde_json::Value = serde_json::from_slice(&answer).map_err(|error| error.to_string())?;
    println!("{}", serde_json::to_string_pretty(&answer).unwrap_or_default());
    Ok(())
}

fn day(
    file: &Path,
    folder: Option<PathBuf>,
    traffic: Option<PathBuf>,
    vary: Option<(Vary, u64)>,
) -> Result<(), String> {
    use tulipstall_rig::day;
    let script = day::Day::read(file)?;
    let program = std::env::current_exe().map_err(|error| error.to_string())?;
    let own = std::env::temp_dir().join(format!("tulipstall-day-{}", std::process::id()));
    if let Some((vary, window_ms)) = vary {
        let folder = folder.as_ref().unwrap_or(&own);
        let mut out = io::stdout().lock();
        let good = tulipstall_rig::vary::run(&script, &vary, window_ms, &program, folder, &mut out);
        let _ = fs::remove_dir_all(&own);
        return match good {
            Ok(true) => Ok(()),
            Ok(false) => Err("a rule or a check failed".to_owned()),
            Err(error) => Err(error.to_string()),
        };
    }
    let outcome = day::play(&script, &program, folder.as_ref().unwrap_or(&own));
    if folder.is_none() {
        let _ = fs::remove_dir_all(&own);
    }
    let outcome = outcome.map_err(|error| error.to_string())?;
    if let Some(path) = traffic {
        let text = serde_json::to_vec(&outcome.record).map_err(|error| error.to_string())?;
        fs::write(&path, text).map_err(|error| format!("{}: {error}", path.display()))?;
    }
    day::report(&script, &outcome, &mut io::stdout().lock()).map_err(|error| error.to_string())?;
    if outcome.good() { Ok(()) } else { Err("the day broke a rule or a check".to_owned()) }
}

fn main() -> ExitCode {
    let program = Program::parse();
    let _lines = log(&program.log, matches!(program.command, Command::Demo | Command::Day { .. }));
    let done = match program.command {
        Command::Serve { settings, record, addresses } => serve(&settings, record, addresses),
        Command::Node { config } => {
            let config = config.or_else(|| std::env::var_os("EDGE_CONFIG").map(PathBuf::from));
            let config = config.ok_or_else(|| "neither --config nor EDGE_CONFIG is given".to_owned());
            config.and_then(tulipstall_node::run)
        }
        Command::Check { file } => settings(&file).map(|_| println!("{}: good", file.display())),
        Command::Schema => {
            println!("{}", serde_json::to_string_pretty(&tulipstall_settings::schema()).unwrap_or_default());
            Ok(())
        }
        Command::Replay { file } => replay(&file),
        Command::Demo => {
            set_up_coroutines(None, 256 << 10);
            let mut out = io::stdout().lock();
            let done = tulipstall_rig::demo::run(&mut out).and_then(|()| out.flush());
            done.map_err(|error| error.to_string())
        }
        Command::Index { what, control } => index(what, control),
        Command::Day { file, folder, traffic, vary, window_ms } => {
            set_up_coroutines(None, 256 << 10);
            day(&file, folder, traffic, vary.map(|vary| (vary, window_ms)))
        }
        Command::Load { address, model, per_second, seconds, tokens, prompt_bytes, plain, key } => {
            use tulipstall_rig::load::{Load, Target, run};
            set_up_coroutines(None, 256 << 10);
            let target = Target::Dispatcher(address);
            let stream = !plain;
            let load =
                Load { target, model, per_second, seconds, tokens, prompt_bytes, stream, key, pool: None };
            let done = run(&load).and_then(|report| report.print(&mut io::stdout().lock()));
            done.map_err(|error| error.to_string())
        }
        Command::Standin { settings, seen } => {
            set_up_coroutines(None, 256 << 10);
            standin(&settings, seen.as_deref())
        }
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("{why}");
            ExitCode::FAILURE
        }
    }
}
