//! The work of one event in large fleets. It may grow with the number of hosts, not faster, and a list, an order or a timer
//! takes little of the time in which a request has to be answered.

mod harness;

use harness::*;
use std::time::{Duration, Instant};
use tulipstall::interface::{Action, Event, HostStatus, ListedHost};

/// Time for one event: a three-hundredth of the time in which requests have to be answered, in any build.
const MAX_EVENT_TIME: Duration = Duration::from_millis(10);

/// A fleet of `hosts` readers and writers, ten in a cell, that have been up for `uptime`, and `waiting` tasks that wait
/// for a host that may be sent to. Returns the fleet and the first timer of one of these tasks.
fn fleet(hosts: usize, uptime: Option<Duration>, waiting: u32) -> (Harness, Option<u64>) {
    let hosts: Vec<_> =
        (0..hosts).map(|i| (if i % 2 == 0 { READER } else { WRITER }, i as u32 / 10)).collect();
    let mut fleet = Harness::new(&[], &hosts);
    let listed: Vec<_> = fleet.hosts.iter().map(|line| ListedHost { uptime, ..*line }).collect();
    fleet.on_event(1, Event::Hosts { complete: true, listed });
    let mut timer = None;
    for task in 0..waiting {
        let actions = fleet.send_order(2, task, task, 4000);
        timer = timer.or(actions.iter().find_map(|action| match action {
            Action::Timer { token, .. } => Some(*token),
            _ => None,
        }));
    }
    (fleet, timer)
}

/// The shortest time that `work` takes in several runs, so that other processes do not count.
fn shortest(mut work: impl FnMut(u64)) -> Duration {
    let timed = |run: u64| {
        let started = Instant::now();
        work(run);
        started.elapsed()
    };
    (0..20).map(timed).min().unwrap_or_default()
}

fn list_time(hosts: usize, uptime: Option<Duration>, waiting: u32) -> Duration {
    let (mut fleet, _) = fleet(hosts, uptime, waiting);
    shortest(|run| drop(fleet.list_host(10 + run, run as u32, HostStatus::Draining, uptime)))
}

fn order_time(hosts: usize, uptime: Option<Duration>) -> Duration {
    let (mut fleet, _) = fleet(hosts, uptime, 0);
    shortest(|run| drop(fleet.send_order(10 + run, run as u32, run as u32, 4000)))
}

fn timer_time(hosts: usize) -> Duration {
    let (mut fleet, timer) = fleet(hosts, Some(Duration::ZERO), 1);
    let token = timer.expect("a task that waits");
    shortest(|run| drop(fleet.on_event(12 + run * 10, Event::Timer { token })))
}

/// Checks that four times the hosts take less than ten times the time, where work that grows with the square of the
/// fleet takes sixteen times as much, and that one event takes at most 10 ms.
fn check(name: &str, time: impl Fn(usize) -> Duration) {
    let (usual, large) = (time(800), time(3200));
    println!("{name}: {usual:?} with 800 hosts, {large:?} with 3,200");
    assert!(large < 10 * usual, "{name}: {usual:?} with 800 hosts, {large:?} with 3,200");
    assert!(large < MAX_EVENT_TIME, "{name}: {large:?} with 3,200 hosts");
}

/// A list that changes one host. Without this, requests wait for seconds behind lists while a large fleet is replaced.
#[test]
fn the_work_for_a_list_grows_no_faster_than_the_fleet() {
    check("warm fleet", |hosts| list_time(hosts, None, 0));
    check("cold fleet", |hosts| list_time(hosts, Some(Duration::ZERO), 0));
    check("cold fleet, a waiting task", |hosts| list_time(hosts, Some(Duration::ZERO), 1));
}

/// A new task, and the timer of one that waits for a host that may be sent to.
#[test]
fn the_work_for_a_task_grows_no_faster_than_the_fleet() {
    check("warm fleet", |hosts| order_time(hosts, None));
    check("cold fleet", |hosts| order_time(hosts, Some(Duration::ZERO)));
    check("timer", timer_time);
}
