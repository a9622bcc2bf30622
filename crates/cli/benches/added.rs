//! Overhead of a dispatcher: latency, CPU and memory, compared within one run to the same clients that connect directly to
//! the same simulated hosts. Not a test: no figure makes it fail.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};
use std::{fs, thread};
use tulipstall::interface::Outcome;
use tulipstall_core::{Core, HostRow, Input, Output, ShotReport, TaskRequest};
use tulipstall_net::{Pool, spawn};
use tulipstall_rig::day::{get, post};
use tulipstall_rig::fleet::{Fleet, settings};
use tulipstall_rig::load::{Load, Report, Target, run};
use tulipstall_standin::{Role, Spec};

/// Numbers of streams that are open at the same time.
const CONCURRENT_STREAMS: [f64; 3] = [100.0, 400.0, 1000.0];
/// Time between two tokens of a stream.
const TOKEN_MS: f64 = 25.0;
const TOKENS_PER_STREAM: u32 = 80;

fn main() -> io::Result<()> {
    tulipstall_dispatcher::configure_coroutines(Some(2), 256 << 10);
    decisions();
    let spec = Spec {
        role: Role::Both,
        slots: 100_000,
        queue: 1000,
        memory_tokens: 1 << 40,
        read_per_s: 1e9,
        token_ms: TOKEN_MS,
        ..Spec::default()
    };
    let fleet = Fleet::start(&vec![spec; 4])?;
    let (child, listen, control) = start(&fleet)?;
    let pid = child.0.id();
    let answer_s = f64::from(TOKENS_PER_STREAM) * TOKEN_MS / 1e3;
    let load = |target: Target, per_second: f64, seconds: f64| Load {
        target,
        model: "chat-reply".to_owned(),
        per_second,
        seconds,
        tokens: TOKENS_PER_STREAM,
        prompt_bytes: 400,
        stream: true,
        key: None,
        pool: None,
    };
    let direct_load = |per_second: f64, seconds: f64| {
        let address = fleet.hosts[0].address;
        let pool = Arc::new(Pool::new(address, 4096, Duration::from_secs(4)));
        Load { pool: Some(pool), ..load(Target::Host(address), per_second, seconds) }
    };
    // Warm-up; then, for each number of streams, the direct load and the dispatched load in turn.
    run(&load(Target::Dispatcher(listen), 50.0, 1.0))?;
    for streams in CONCURRENT_STREAMS {
        println!(
            "\n{streams:.0} streams on at once, {TOKENS_PER_STREAM} tokens each, a token each {TOKEN_MS} ms"
        );
        println!(
            "{:12}{:>12}{:>12}{:>12}{:>12}{:>12}",
            "", "first p50", "first p99", "whole p50", "tokens/s", "delivered"
        );
        let direct = run(&direct_load(streams / answer_s, 6.0))?;
        print_row("straight", &direct);
        let (cpu, at) = (cpu_ms(pid), Instant::now());
        let dispatched = run(&load(Target::Dispatcher(listen), streams / answer_s, 6.0))?;
        print_row("dispatched", &dispatched);
        let added_ms = |quantile: f64| {
            let first_token_ms =
                |report: &Report| report.first_token_us.value_at_quantile(quantile) as f64 / 1e3;
            first_token_ms(&dispatched) - first_token_ms(&direct)
        };
        println!("added to a first token: {:.2} ms at p50, {:.2} ms at p99", added_ms(0.5), added_ms(0.99));
        let cpu_percent = (cpu_ms(pid) - cpu) as f64 / at.elapsed().as_secs_f64() / 10.0;
        println!(
            "dispatcher's CPU: {cpu_percent:.0}% of a core, {:.0} us a task",
            cpu_percent * 1e4 * at.elapsed().as_secs_f64() / dispatched.sent as f64
        );
    }
    memory(pid, &load(Target::Dispatcher(listen), 400.0, 2.0))?;
    let metrics =
        String::from_utf8_lossy(&in_coroutine(move || get(control, "/metrics")).unwrap_or_default())
            .into_owned();
    let metric = |name: &str| {
        let line = metrics.lines().find(|line| line.starts_with(name));
        line.and_then(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).unwrap_or(0.0)
    };
    let (spent, events) =
        (metric("tulipstall_deciding_nanoseconds_total"), metric("tulipstall_events_total"));
    println!(
        "decisions: {:.1} us an event over {events:.0} events, of {} ms of CPU in all",
        spent / events / 1e3,
        cpu_ms(pid)
    );
    Ok(())
}

/// A dispatcher in a process of its own, killed on drop.
struct DispatcherProcess(Child);

impl Drop for DispatcherProcess {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Runs a function in a coroutine, as the network calls of the test rig require.
fn in_coroutine<T: Send + 'static>(task: impl FnOnce() -> Option<T> + Send + 'static) -> Option<T> {
    spawn(task).join().ok().flatten()
}

/// Starts a dispatcher with these hosts; returns it with its client and control addresses.
fn start(fleet: &Fleet) -> io::Result<(DispatcherProcess, SocketAddr, SocketAddr)> {
    let folder = std::env::temp_dir().join(format!("tulipstall-bench-{}", std::process::id()));
    fs::create_dir_all(&folder)?;
    let mut dispatcher_settings = settings("bench");
    dispatcher_settings.kinds.iter_mut().for_each(|kind| kind.memory_tokens = Some(1 << 40));
    dispatcher_settings.workers = Some(2);
    let mut value = serde_json::to_value(&dispatcher_settings).map_err(io::Error::other)?;
    value.as_object_mut().into_iter().for_each(|value| value.retain(|_, value| !value.is_null()));
    fs::write(folder.join("settings"), value.to_string())?;
    let addresses = folder.join("addresses");
    let child = Command::new(env!("CARGO_BIN_EXE_tulipstall"))
        .args(["--log-level", "error", "serve", "--settings"])
        .arg(folder.join("settings"))
        .arg("--addresses")
        .arg(&addresses)
        .stdin(Stdio::null())
        .spawn()
        .map(DispatcherProcess)?;
    let addresses_json = loop {
        if let Ok(text) = fs::read_to_string(&addresses) {
            break serde_json::from_str::<serde_json::Value>(&text).map_err(io::Error::other)?;
        }
        thread::sleep(Duration::from_millis(10));
    };
    let _ = fs::remove_dir_all(&folder);
    let address = |name: &str| addresses_json[name].as_str().and_then(|text| text.parse().ok());
    let (Some(listen), Some(control)) = (address("listen"), address("control")) else {
        return Err(io::Error::other("the dispatcher reported no addresses"));
    };
    let list = serde_json::to_string(&fleet.list()).unwrap_or_default();
    in_coroutine(move || post(control, "/v1/hosts", &list))
        .ok_or_else(|| io::Error::other("the dispatcher rejected the host list"))?;
    Ok((child, listen, control))
}

fn print_row(name: &str, report: &Report) {
    let ms = |value: u64| value as f64 / 1e3;
    println!(
        "{name:12}{:>12.2}{:>12.2}{:>12.2}{:>12.0}{:>12}",
        ms(report.first_token_us.value_at_quantile(0.5)),
        ms(report.first_token_us.value_at_quantile(0.99)),
        ms(report.total_us.value_at_quantile(0.5)),
        report.tokens as f64 / report.took.as_secs_f64(),
        format!("{}/{}", report.delivered(), report.sent),
    );
}

fn proc_file(pid: u32, file: &str) -> String {
    fs::read_to_string(Path::new("/proc").join(pid.to_string()).join(file)).unwrap_or_default()
}

/// User and system CPU time in milliseconds. The kernel counts in hundredths of a second.
fn cpu_ms(pid: u32) -> u64 {
    let stat = proc_file(pid, "stat");
    let fields: Vec<&str> = stat.rsplit(") ").next().unwrap_or_default().split(' ').collect();
    let field = |i: usize| fields.get(i).and_then(|field| field.parse::<u64>().ok()).unwrap_or(0);
    (field(11) + field(12)) * 10
}

fn resident_kb(pid: u32) -> u64 {
    let status = proc_file(pid, "status");
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok()).unwrap_or(0)
}

/// Memory of an open stream: the growth of the resident size from few streams to many, per stream.
fn memory(pid: u32, load: &Load) -> io::Result<()> {
    let before = resident_kb(pid);
    let long = Load { tokens: 200, ..load.clone() };
    let client = thread::spawn(move || run(&long));
    thread::sleep(Duration::from_millis(2500));
    let during = resident_kb(pid);
    let report = client.join().map_err(|_| io::Error::other("the load thread panicked"))??;
    println!(
        "\nmemory: {before} kB before, {during} kB with {} streams on: {:.1} kB a stream",
        report.sent,
        during.saturating_sub(before) as f64 / report.sent as f64
    );
    Ok(())
}

/// Complete tasks (read, write, delivered) that the core decides per second, without sockets.
fn decisions() {
    for hosts in [10u32, 100] {
        let mut core = Core::new(1, settings("bench").to_config());
        let mut out = Vec::new();
        let row = |i: u32| HostRow {
            host: format!("127.0.0.1:{}", 1000 + i),
            kind: ["prefill", "decode"][(i % 2) as usize].to_owned(),
            zone: String::new(),
            cell: i / 5,
            weight: 1.0,
            uptime: None,
            status: tulipstall::interface::HostStatus::Running,
        };
        core.handle(
            Duration::ZERO,
            Input::HostList { complete: true, rows: (0..hosts).map(row).collect() },
            &mut out,
        );
        let began = Instant::now();
        let mut tasks = 0u32;
        while began.elapsed() < Duration::from_secs(1) {
            let now = began.elapsed();
            out.clear();
            core.outputs_carried_out();
            let task = core.reserve_slot();
            let request = TaskRequest {
                session: Some(format!("s{}", tasks % 5000)),
                shared: Some(format!("t{}", tasks % 10)),
                time_left: Duration::from_secs(6),
                prompt_tokens: 800,
                shared_tokens: 500,
                max_answer_tokens: 200,
                ..TaskRequest::default()
            };
            core.start_task(now, task, &request, &mut out);
            while let Some(Output::Send { shot, kind, .. }) = out.pop() {
                let is_read = kind == tulipstall_core::ShotKind::Read;
                let (outcome, state) =
                    if is_read { (Outcome::Read, Some("s".to_owned())) } else { (Outcome::Delivered, None) };
                if !is_read {
                    core.handle(now, Input::AnswerBegan { task, shot }, &mut out);
                }
                core.handle(
                    now,
                    Input::Closed { task, shot, outcome, end: ShotReport { state, ..ShotReport::default() } },
                    &mut out,
                );
                out.retain(|output| matches!(output, Output::Send { .. }));
            }
            tasks += 1;
        }
        println!(
            "core with {hosts} hosts: {tasks} tasks a second on one core, {} delivered",
            core.counts().delivered
        );
    }
}
