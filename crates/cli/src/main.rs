//! The `tulipstall` command line program: the dispatcher, and tools to check, simulate and load it.

use clap::{Args, Parser, Subcommand, ValueEnum};
use std::fs;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tulipstall_dispatcher::{Dispatcher, configure_coroutines};
use tulipstall_rig::vary::Vary;
use tulipstall_settings::Settings;

/// A router for language-model serving with separate prefill and decode servers.
#[derive(Parser)]
#[command(version, arg_required_else_help = true)]
struct Program {
    #[command(subcommand)]
    command: Command,
    #[command(flatten)]
    log: LogOptions,
}

#[derive(Args)]
struct LogOptions {
    /// Format of the log lines on standard error.
    #[arg(long, global = true, value_enum, default_value_t = LogFormat::Text)]
    log: LogFormat,
    /// Least severe level that is logged.
    #[arg(long, global = true, value_enum, default_value_t = LogLevel::Info)]
    log_level: LogLevel,
}

#[derive(Clone, Copy, ValueEnum)]
enum LogFormat {
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
    /// Run a dispatcher until SIGTERM or SIGINT, then drain; a second signal ends it at once.
    Serve {
        /// JSON settings file, see `tulipstall schema`.
        #[arg(long)]
        settings: PathBuf,
        /// Write every event and action to this file, for `tulipstall replay`.
        #[arg(long)]
        record: Option<PathBuf>,
        /// Write the bound addresses to this file as JSON once the dispatcher listens.
        #[arg(long)]
        addresses: Option<PathBuf>,
    },
    /// Run the dispatcher as the platform starts it: configured by the environment, listening on one address.
    Node {
        /// Configuration file; defaults to the path in EDGE_CONFIG.
        #[arg(long)]
        config: Option<PathBuf>,
    },
    /// Validate a settings file and report each error with its JSON path.
    Check { file: PathBuf },
    /// Print the JSON Schema of the settings.
    Schema,
    /// Replay a file of `serve --record` through the decision logic and compare every action.
    Replay { file: PathBuf },
    /// Start simulated hosts and a dispatcher, stream one request and show which hosts read and wrote it.
    Demo,
    /// Run a scripted load test with simulated hosts and dispatchers of this program, and check the rules
    /// against the recorded traffic.
    Day {
        file: PathBuf,
        /// Folder for the dispatchers' files; defaults to a temporary folder.
        #[arg(long)]
        folder: Option<PathBuf>,
        /// Write the recorded traffic to this file as JSON.
        #[arg(long)]
        traffic: Option<PathBuf>,
        /// Run once for each value of a setting and report per time window: `/prefixes/by=content,table,nothing`.
        #[arg(long)]
        vary: Option<Vary>,
        /// Length of a time window in milliseconds.
        #[arg(long, default_value_t = 2000, requires = "vary")]
        window_ms: u64,
    },
    /// Query a dispatcher's control socket for its prefix index: the prompt prefixes that each host is estimated to cache.
    Index {
        #[command(subcommand)]
        what: IndexCommand,
        /// Address of the dispatcher's control socket.
        #[arg(long, global = true, default_value = "127.0.0.1:9700")]
        control: SocketAddr,
    },
    /// Send an open-loop load to a dispatcher; latency is measured from each request's scheduled time.
    Load {
        /// Address of the dispatcher.
        #[arg(long)]
        address: SocketAddr,
        /// Offering to request, by its name.
        #[arg(long, default_value = "chat-reply")]
        model: String,
        /// Requests sent per second.
        #[arg(long, default_value_t = 20.0)]
        per_second: f64,
        /// Duration of the load in seconds.
        #[arg(long, default_value_t = 10.0)]
        seconds: f64,
        /// Tokens of each answer; simulated hosts produce exactly this many, real engines at most this many.
        #[arg(long, default_value_t = 50)]
        tokens: u32,
        /// Bytes of each prompt.
        #[arg(long, default_value_t = 2000)]
        prompt_bytes: usize,
        /// Request complete answers instead of streams.
        #[arg(long)]
        plain: bool,
        /// Value of the x-api-key header.
        #[arg(long)]
        key: Option<String>,
    },
    /// Run simulated (stand-in) hosts without a dispatcher, until a signal.
    Standin {
        /// JSON file: {"hosts": [...]}, each host as described in docs/stand-ins.md.
        #[arg(long)]
        settings: PathBuf,
        /// On exit, write the requests that each host received, with times, to this file as JSON lines.
        #[arg(long)]
        seen: Option<PathBuf>,
    },
}

/// Log lines buffered for standard error: enough for one line from every task in progress. The buffer is allocated at
/// start.
const LOG_BUFFER_LINES: usize = 4096;

/// Initializes logging. A separate thread writes the lines; when its buffer is full, lines are dropped and counted,
/// so that no coroutine blocks on standard error.
fn init_logging(options: &LogOptions, errors_only: bool) -> tracing_appender::non_blocking::WorkerGuard {
    let (writer, guard) = tracing_appender::non_blocking::NonBlockingBuilder::default()
        .buffered_lines_limit(LOG_BUFFER_LINES)
        .finish(io::stderr());
    let level = match options.log_level {
        _ if errors_only => tracing::Level::ERROR,
        LogLevel::Error => tracing::Level::ERROR,
        LogLevel::Warn => tracing::Level::WARN,
        LogLevel::Info => tracing::Level::INFO,
        LogLevel::Debug => tracing::Level::DEBUG,
    };
    let subscriber = tracing_subscriber::fmt().with_max_level(level).with_writer(writer).with_ansi(false);
    match options.log {
        LogFormat::Text => subscriber.init(),
        LogFormat::Json => subscriber.json().flatten_event(true).init(),
    }
    guard
}

/// Reads and validates a settings file. The error text has one line for each violation.
fn load_settings(path: &Path) -> Result<Settings, String> {
    let text = fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
    tulipstall_settings::check(&text).map_err(|violations| {
        let lines: Vec<String> =
            violations.iter().map(|violation| format!("{}: {violation}", path.display())).collect();
        lines.join("\n")
    })
}

fn serve(path: &Path, record: Option<PathBuf>, addresses: Option<PathBuf>) -> Result<(), String> {
    let settings = load_settings(path)?;
    configure_coroutines(settings.workers, settings.limits.stack_bytes);
    let dispatcher = Dispatcher::start(settings, record).map_err(|error| error.to_string())?;
    if let Some(file) = addresses {
        let control = dispatcher.control().map(|address| address.to_string());
        let text = serde_json::json!({"listen": dispatcher.address().to_string(), "control": control});
        // Written under another name and renamed, so that a reader never sees a partial file.
        let temporary = PathBuf::from(format!("{}.new", file.display()));
        let written = fs::write(&temporary, text.to_string()).and_then(|()| fs::rename(&temporary, &file));
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
    for (line, recorded, replayed) in &replay.differences {
        println!("line {line}\n  then {recorded}\n  now  {replayed}");
    }
    if replay.differences.is_empty() {
        Ok(())
    } else {
        Err("the replayed actions differ from the recorded ones".to_owned())
    }
}

fn standin(path: &Path, seen: Option<&Path>) -> Result<(), String> {
    let text = fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
    let spec: tulipstall_rig::fleet::FleetSpec =
        serde_json::from_str(&text).map_err(|error| format!("{}: {error}", path.display()))?;
    let fleet = tulipstall_rig::fleet::Fleet::start(&spec.hosts).map_err(|error| error.to_string())?;
    // The host list, in the form that can be pushed to a dispatcher.
    println!("{}", serde_json::to_string_pretty(&fleet.list()).unwrap_or_default());
    tulipstall_dispatcher::wait_for_signal().map_err(|error| error.to_string())?;
    let Some(path) = seen else { return Ok(()) };
    let mut text = String::new();
    for line in fleet.log.events() {
        text.push_str(&serde_json::to_string(&line).map_err(|error| error.to_string())?);
        text.push('\n');
    }
    fs::write(path, text).map_err(|error| format!("{}: {error}", path.display()))
}

#[derive(Subcommand)]
enum IndexCommand {
    /// Print the size of the index, and for each host the indexed tokens and the confidence that it still caches them.
    Show,
    /// Print how much of a prompt, read from a file, each host is estimated to cache.
    Explain {
        prompt: PathBuf,
        /// Customer of the prompt, if the dispatcher indexes each customer separately.
        #[arg(long)]
        customer: Option<String>,
    },
}

fn index(what: IndexCommand, control: SocketAddr) -> Result<(), String> {
    let request = match what {
        IndexCommand::Show => format!("GET /v1/index HTTP/1.1\r\nhost: {control}\r\n\r\n"),
        IndexCommand::Explain { prompt, customer } => {
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
        .ok_or_else(|| format!("{control} does not answer, or does not index prefixes by content"))?;
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
    let temporary_folder = std::env::temp_dir().join(format!("tulipstall-day-{}", std::process::id()));
    if let Some((vary, window_ms)) = vary {
        let folder = folder.as_ref().unwrap_or(&temporary_folder);
        let mut out = io::stdout().lock();
        let passed = tulipstall_rig::vary::run(&script, &vary, window_ms, &program, folder, &mut out);
        let _ = fs::remove_dir_all(&temporary_folder);
        return match passed {
            Ok(true) => Ok(()),
            Ok(false) => Err("a run failed a rule or a check".to_owned()),
            Err(error) => Err(error.to_string()),
        };
    }
    let outcome = day::play(&script, &program, folder.as_ref().unwrap_or(&temporary_folder));
    if folder.is_none() {
        let _ = fs::remove_dir_all(&temporary_folder);
    }
    let outcome = outcome.map_err(|error| error.to_string())?;
    if let Some(path) = traffic {
        let text = serde_json::to_vec(&outcome.record).map_err(|error| error.to_string())?;
        fs::write(&path, text).map_err(|error| format!("{}: {error}", path.display()))?;
    }
    day::report(&script, &outcome, &mut io::stdout().lock()).map_err(|error| error.to_string())?;
    if outcome.passed() { Ok(()) } else { Err("the run failed a rule or a check".to_owned()) }
}

fn main() -> ExitCode {
    let program = Program::parse();
    let _log_guard =
        init_logging(&program.log, matches!(program.command, Command::Demo | Command::Day { .. }));
    let result = match program.command {
        Command::Serve { settings, record, addresses } => serve(&settings, record, addresses),
        Command::Node { config } => {
            let config = config.or_else(|| std::env::var_os("EDGE_CONFIG").map(PathBuf::from));
            let config = config.ok_or_else(|| "neither --config nor EDGE_CONFIG is given".to_owned());
            config.and_then(tulipstall_node::run)
        }
        Command::Check { file } => load_settings(&file).map(|_| println!("{}: good", file.display())),
        Command::Schema => {
            println!("{}", serde_json::to_string_pretty(&tulipstall_settings::schema()).unwrap_or_default());
            Ok(())
        }
        Command::Replay { file } => replay(&file),
        Command::Demo => {
            configure_coroutines(None, 256 << 10);
            let mut out = io::stdout().lock();
            let result = tulipstall_rig::demo::run(&mut out).and_then(|()| out.flush());
            result.map_err(|error| error.to_string())
        }
        Command::Index { what, control } => index(what, control),
        Command::Day { file, folder, traffic, vary, window_ms } => {
            configure_coroutines(None, 256 << 10);
            day(&file, folder, traffic, vary.map(|vary| (vary, window_ms)))
        }
        Command::Load { address, model, per_second, seconds, tokens, prompt_bytes, plain, key } => {
            use tulipstall_rig::load::{Load, Target, run};
            configure_coroutines(None, 256 << 10);
            let target = Target::Dispatcher(address);
            let stream = !plain;
            let load =
                Load { target, model, per_second, seconds, tokens, prompt_bytes, stream, key, pool: None };
            let result = run(&load).and_then(|report| report.print(&mut io::stdout().lock()));
            result.map_err(|error| error.to_string())
        }
        Command::Standin { settings, seen } => {
            configure_coroutines(None, 256 << 10);
            standin(&settings, seen.as_deref())
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
