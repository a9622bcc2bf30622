//! All decisions of the dispatcher: which host gets which shot, when a shot is cancelled or a held state
//! released, and when a task is rejected or aborted.
//!
//! `Rules::new` takes a seed and the configuration given at start. `Rules::handle` takes one event at a time and appends
//! the actions that it calls for; both are plain data of `src/interface.rs`. Nothing here reads a clock, and
//! equal events give equal actions. An event updates what a task needs next (`plan`); only `reconcile`
//! compares that with its shots in flight, held state and timer, and emits the difference.
//!
//! Terms used below: the pending tokens of a host are its load as one dispatcher counts it. Dispatchers do
//! not communicate, so each sees only its own part. The homes of a session or a shared text are hosts picked
//! by rendezvous hashing, so that all dispatchers send it to the same ones. A cold host is one that has just
//! started and is ramped up by a send budget. `t` is the index of a task, `h` that of a host.

use crate::interface::{
    Action, CacheKey, Closed, Config, Event, HostStatus, ListedHost, LoadReport, Order, Outcome, PossibleRun,
    ReleaseReason, Role,
};
use crate::release::release_after;
pub use crate::state::Rules;
use crate::state::{
    CachedText, CellShares, ColdStart, DecayingLevel, DecayingRatio, DesiredState, Host, Offering, Pcg32,
    Phase, Shot, Task,
};
use crate::state::{best_ranked, cached_tokens_at, count_task, find_cached, record_cached, top_ranked};
use rustc_hash::FxHashMap;
use std::time::Duration;

/// Fixed cost of a read beside its prompt, in tokens: less than the smallest chunk that engines prefill.
const READ_OVERHEAD_TOKENS: f64 = 300.0;

/// Share of its past that a ratio keeps at each addition. For one host about a dozen tasks settle it; for all
/// hosts of a role together, dozens.
const HOST_RATIO_RETENTION: f64 = 0.8;
const POOLED_RATIO_RETENTION: f64 = 0.9;

/// Whether a count of pending tokens is within a limit. The count of a host that may not be sent to is
/// infinite and never is: if no host may be sent to, the limit is infinite too.
fn is_within(tokens: f64, limit: f64) -> bool {
    tokens.is_finite() && tokens <= limit
}

impl Offering {
    /// Whether another shot may follow one that may have run, at `next_host` or, if absent, at any host.
    /// Always for a replayable offering, inside its group and window for a referenced one, never for a
    /// single-use one.
    fn may_repeat(&self, shot: &Shot, next_host: Option<&Host>, now: Duration) -> bool {
        let same_group = next_host.is_none_or(|next_host| match self.group.as_str() {
            "all" => true,
            "zone" => shot.listed.zone == next_host.listed.zone,
            _ => shot.listed.cell == next_host.listed.cell,
        });
        self.effect == "replayable"
            || (self.effect == "referenced" && same_group && now < shot.sent_at + self.repeat_window)
    }

    /// Latest time at which the first byte of a shot may go out, as its connection may take long to come up:
    /// inside the windows of all earlier shots that may have run.
    fn send_by(&self, task: &Task, deadline: Duration) -> Duration {
        let earlier_shots = task.shots_that_may_have_run().filter(|_| self.effect == "referenced");
        earlier_shots.map(|shot| shot.sent_at + self.repeat_window).fold(deadline, Duration::min)
    }
}

impl Rules {
    /// The rules of one dispatcher with the configuration given at start. The seed makes its random choices
    /// repeatable.
    pub fn new(seed: u64, config: &Config) -> Self {
        let dispatchers = config.number("dispatchers").unwrap_or(1.0).max(1.0);
        let offerings = (0..config.list_len("offerings").max(1)).map(|i| Self::offering(config, i));
        let mut offerings: Vec<Offering> = offerings.collect();
        // Offerings that bring less come after the one that brings most.
        let highest_gain = offerings.iter().map(|offering| offering.gain).fold(0.001, f64::max);
        offerings.iter_mut().for_each(|offering| offering.relative_gain = offering.gain / highest_gain);
        Rules {
            random: Pcg32(seed ^ 0x9e37_79b9_7f4a_7c15).advanced(),
            offerings,
            dispatchers,
            own_zone: config.number("zone_index").map_or(u32::MAX, |zone| zone as u32),
            // Until prompts have been seen: the order of magnitude at which reading a prompt takes noticeable
            // time.
            long_prompt_tokens: 2000.0,
            safety_factor: 1.0,
            // As if two prompts had been read at the usual speed of engines, so that a single full host does
            // not make every task late.
            role_read_times: [DecayingRatio { numerator: 0.4, denominator: 4000.0 }; 4],
            cold_start: ColdStart::from_config(config),
            config: config.clone(),
            ..Rules::default()
        }
    }

    fn offering(config: &Config, i: usize) -> Offering {
        let full_name = |field: &str| format!("offerings.{i}.{field}");
        let service_number = |list: &str| config.number(&format!("service.{list}.{i}"));
        Offering {
            agreed_seconds: config.number(&full_name("agreed_time_us")).unwrap_or(1e6).clamp(0.0, 1e12) / 1e6,
            agreed_seconds_per_token: service_number("agreed_time_us_per_1000_prompt_tokens")
                .unwrap_or(0.0)
                .clamp(0.0, 1e9)
                / 1e9,
            output_seconds_per_token: service_number("token_pace_us").unwrap_or(50_000.0).max(1.0) / 1e6,
            gain: config.number(&full_name("gain")).unwrap_or(1.0),
            relative_gain: 1.0,
            effect: config.text(&full_name("effect")).unwrap_or_default().to_owned(),
            group: config.text(&full_name("group")).unwrap_or("cell").to_owned(),
            repeat_window: config.duration(&full_name("window_us")).unwrap_or_default(),
        }
    }

    /// Takes one event and appends the actions that it calls for.
    pub fn handle(&mut self, now: Duration, event: &Event, out: &mut Vec<Action>) {
        // Time never goes back here, even if the caller's clock does.
        self.now = self.now.max(now);
        self.first_event_at.get_or_insert(self.now);
        let task = match event {
            Event::Hosts { complete, listed } => return self.update_hosts(*complete, listed, out),
            Event::ListFailed => return out.push(Action::RequestHostList),
            Event::CachedPrompt { cached } => return self.next_reported_cached = Some(cached.clone()),
            Event::Probed { host, load: Some(load), .. } => return self.apply_load(*host, load),
            Event::Reservation { .. } | Event::Probed { .. } => return,
            Event::Order(order) => self.admit(order),
            Event::Started { task, shot } => self.shot_started(*task, *shot),
            Event::Closed(closed) => self.shot_closed(closed),
            Event::Timer { token } => (token >> 32) as u32,
            Event::ClientGone { task } => *task,
        } as usize;
        let Some(current) = self.tasks.get_mut(task).filter(|task| task.live) else { return };
        match event {
            Event::Timer { token } if current.generation != *token as u32 => return,
            Event::Timer { .. } => current.timer_at = None,
            Event::ClientGone { .. } => {
                current.ended = true;
                if current.shots.iter().any(Shot::awaits_answer) && self.now < current.target_at {
                    self.raise_safety_factor();
                }
            }
            _ => {}
        }
        self.plan(task);
        self.reconcile(task, out);
        if let Some((host, what)) = self.pending_note.take() {
            out.push(Action::Note { host, what });
        }
    }

    /// Applies a list of hosts, whole or in part, and plans all tasks again.
    fn update_hosts(&mut self, complete: bool, listed: &[ListedHost], out: &mut Vec<Action>) {
        let now = self.now;
        self.update_role_rates();
        if complete {
            self.hosts.iter_mut().for_each(|host| host.listed.status = HostStatus::Gone);
        }
        let warm_up = self.config.duration("rules.warm_up_us").unwrap_or_default();
        let budget_offset = self.config.number("me").unwrap_or(0.0).max(0.0) / self.dispatchers;
        for line in listed {
            let index = line.host as usize;
            self.hosts.resize(self.hosts.len().max(index + 1), Host::default());
            let warm_at =
                line.uptime.filter(|up| *up < warm_up).map_or(Duration::ZERO, |up| now + warm_up - up);
            let host = &mut self.hosts[index];
            // A later start under the same index is a new host, and so is a new name. Only what is still in
            // flight is carried over.
            if host.listed.name_hash != line.name_hash
                || host.listed == ListedHost::default()
                || warm_at > host.warm_at
            {
                *host = Host {
                    pending_read_tokens: host.pending_read_tokens,
                    pending_stream_tokens: host.pending_stream_tokens,
                    shots_in_flight: host.shots_in_flight,
                    warm_at,
                    // Enough for one or two retries before the first answers of a host arrive.
                    retry_credit: 2.0,
                    cache_hit_ratio: DecayingRatio {
                        numerator: if warm_at > now { 0.0 } else { 2000.0 },
                        denominator: 2000.0,
                    },
                    last_answer_at: now,
                    send_budget: DecayingLevel {
                        level: (budget_offset + Pcg32(line.name_hash).advanced().next_unit()).fract(),
                        updated_at: now,
                    },
                    ..Host::default()
                };
            }
            host.listed = *line;
        }
        self.update_cell_weights();
        // Shots that wait at a host that is gone are cancelled at once; tasks that wait for a host may have
        // one now.
        for t in 0..self.tasks.len() {
            self.plan(t);
            self.reconcile(t, out);
        }
    }

    /// Takes a new task; returns its index, as the next two functions do.
    fn admit(&mut self, order: &Order) -> u32 {
        let now = self.now;
        let t = order.task as usize;
        self.tasks.resize_with(self.tasks.len().max(t + 1), Task::default);
        let offering = order.offering.map_or(0, |o| o as usize).min(self.offerings.len() - 1);
        self.recent_tasks.add(now, 30.0, 1.0);
        self.tasks_since_read += 1;
        let text_homes = self.rank_text_homes(order);
        let session_home = self.find_session_home(order, &text_homes);
        let offering_terms = &self.offerings[offering];
        let prompt = f64::from(order.prompt_tokens);
        let task = &mut self.tasks[t];
        let mut shots = std::mem::take(&mut task.shots);
        shots.clear();
        *task = Task {
            live: true,
            generation: task.generation.wrapping_add(1),
            order: *order,
            offering,
            text_homes,
            session_home,
            arrived_at: now,
            target_at: now
                + Duration::from_secs_f64(
                    offering_terms.agreed_seconds + offering_terms.agreed_seconds_per_token * prompt,
                ),
            wait_until: now + Duration::from_secs_f64(offering_terms.agreed_seconds / 2.0),
            // 4 ms, a scheduler tick or two, before the client's own time limit.
            deadline: now + order.time_left.saturating_sub(Duration::from_millis(4)),
            output_tokens: match order.expected_duration {
                Some(hint) => (hint.as_secs_f64() / offering_terms.output_seconds_per_token)
                    .min(f64::from(order.max_answer_tokens.max(1))),
                None => f64::from(order.max_answer_tokens) / 2.0,
            },
            shots,
            reported_cached: self.next_reported_cached.take(),
            // This task continues a lost answer: the shot that was lost restricts the next ones as one of its
            // own would.
            prior_shot: order.earlier_run.map(|PossibleRun { host, sent }| Shot {
                host,
                listed: self.hosts.get(host as usize).map(|host| host.listed).unwrap_or_default(),
                sent_at: sent,
                may_have_run: true,
                ..Shot::default()
            }),
            ..Task::default()
        };
        // Estimate of the upper quartile of prompt lengths, moved in small steps: a few dozen prompts settle
        // it.
        self.long_prompt_tokens *= if prompt > self.long_prompt_tokens { 1.015 } else { 0.995 };
        order.task
    }

    /// Records that the answer to a shot has begun: its prompt has been read and its state fetched.
    fn shot_started(&mut self, t: u32, shot: u32) -> u32 {
        let now = self.now;
        let Some(task) = self.tasks.get_mut(t as usize) else { return t };
        let Some(shot) = task.shots.get_mut(shot as usize).filter(|shot| shot.in_flight) else { return t };
        let state_cell =
            task.held.record_fetched().map_or(u32::MAX, |reader| self.hosts[reader as usize].listed.cell);
        let waited = (now - shot.sent_at).as_secs_f64();
        shot.started_at = Some(now);
        let host = &mut self.hosts[shot.host as usize];
        host.recent_starts.add(now, 30.0, 1.0);
        host.pending_read_tokens -= shot.uncached_tokens;
        host.latest_answered_sent_at = host.latest_answered_sent_at.max(shot.sent_at);
        if shot.phase == Phase::Write {
            // Averages over about seven shots: a factor of 0.05 followed lost writers too slowly, and 0.3 was
            // no better. One answer counts for at most four times the usual time, so that slow hosts do not
            // make every task look late.
            let usual_seconds = &mut self.first_token_seconds[usize::from(state_cell != host.listed.cell)];
            *usual_seconds += 0.15 * (waited.min(4.0 * *usual_seconds + 0.1) - *usual_seconds);
        } else {
            host.record_read(now, waited, shot.queue_tokens, &mut self.role_read_times);
        }
        host.record_answer(now);
        self.safety_factor = (self.safety_factor * 0.99).max(1.0);
        t
    }

    /// Records the end of a shot: removes its pending tokens and updates what is known of its host.
    fn shot_closed(&mut self, closed: &Closed) -> u32 {
        let (now, t) = (self.now, closed.task);
        let Some(task) = self.tasks.get_mut(t as usize).filter(|task| task.live) else { return t };
        task.ended |= closed.finished;
        // Once nothing is held any more, the task waits for a new start as long as a state may be held
        // without an attempt.
        task.wait_until = now + release_after(self.config.duration("service.release_us").unwrap_or_default());
        let Some(shot) = task.shots.get_mut(closed.shot as usize).filter(|shot| shot.in_flight) else {
            return t;
        };
        shot.in_flight = false;
        shot.may_have_run = shot.phase != Phase::Read && !closed.outcome.never_ran();
        shot.failed = !matches!(closed.outcome, Outcome::Delivered | Outcome::Read);
        task.held.record_end(shot.host, shot.phase == Phase::Read, closed.outcome, now);
        if closed.outcome == Outcome::Read {
            let host = &mut self.hosts[shot.host as usize];
            host.recent_starts.add(now, 30.0, 1.0);
            host.latest_answered_sent_at = shot.sent_at.max(host.latest_answered_sent_at);
        }
        let (shot, order, agreed_seconds) = (*shot, task.order, self.offerings[task.offering].agreed_seconds);
        let (session_home, ended) = (task.session_home, task.ended);
        let silence_limit_passed = now >= shot.sent_at + task.silence_limit;
        if closed.outcome == Outcome::TimedOut && !silence_limit_passed {
            self.raise_safety_factor();
        }
        let recent_since = now.saturating_sub(Duration::from_secs_f64(agreed_seconds));
        let role = self.hosts[shot.host as usize].listed.role;
        let peer_answered =
            self.running_hosts(role).any(|(h, peer)| h != shot.host && peer.last_answer_at > recent_since);
        let host = &mut self.hosts[shot.host as usize];
        host.shots_in_flight = host.shots_in_flight.saturating_sub(1);
        host.pending_read_tokens -= if shot.started_at.is_none() { shot.uncached_tokens } else { 0.0 };
        host.pending_stream_tokens -= shot.stream_tokens;
        if host.shots_in_flight == 0 {
            (host.pending_read_tokens, host.pending_stream_tokens) = (0.0, 0.0);
        }
        // The slot has a new owner. Without this, a host of a fleet that is replaced at once under new names
        // would be blamed for shots that were in flight at the host before it.
        if host.listed.name_hash != shot.listed.name_hash {
            return t;
        }
        // A host that rejects a shot although it looks mostly free (own counts, multiplied by the number of
        // dispatchers) while a peer answers does not reject it for its load. Guards against hosts that drain
        // unannounced or are throttled: without this their rejections count as an overload of the whole role,
        // and tasks that other hosts could read are rejected. The cost: the task may leave too early a host
        // that other dispatchers fill.
        let dispatchers = self.dispatchers;
        let is_free = if shot.phase == Phase::Write {
            host.pending_stream_tokens * dispatchers < 0.5 * host.listed.memory_tokens.unwrap_or(0.0)
        } else {
            host.pending_read_tokens * dispatchers * self.role_read_times[role as usize].value()
                < 0.25 * agreed_seconds
        };
        let refuses_though_free = closed.outcome == Outcome::Full && is_free && peer_answered;
        // One lost connection or two errors take a host past a suspicion of 0.5; one silence takes it exactly
        // there.
        let blame = match closed.outcome {
            Outcome::Error | Outcome::Spoilt => 0.35,
            Outcome::Full if refuses_though_free => 0.35,
            // A time-out before the silence limit, because the client left little time, tells nothing about
            // the host.
            Outcome::TimedOut if silence_limit_passed => 0.5,
            Outcome::Cancelled if shot.cancelled && !ended => 0.5,
            Outcome::Broken | Outcome::NoConnection => 0.6,
            _ => 0.0,
        };
        // A read that did not end in time took at least so long, and a full reader has an agreed time's worth
        // of reads before it. Without this only reads that came through an overload would count, and the
        // overload would not show.
        let read_seconds =
            if closed.outcome == Outcome::Full { agreed_seconds } else { (now - shot.sent_at).as_secs_f64() };
        let counts_as_read =
            matches!(closed.outcome, Outcome::Read | Outcome::TimedOut | Outcome::Cancelled | Outcome::Full);
        if counts_as_read && !refuses_though_free && shot.phase != Phase::Write && shot.started_at.is_none() {
            host.record_read(now, read_seconds, shot.queue_tokens, &mut self.role_read_times);
        }
        if blame > 0.0 {
            host.suspicion.set(now, (host.suspicion_at(now) + blame).min(1.0));
        } else if !shot.failed {
            host.record_answer(now);
        }
        // A note for the operator: the host has become suspected (one silence, two errors), or answers again.
        let suspicion = host.suspicion_at(now);
        if if host.suspected { suspicion < 0.2 && !shot.failed } else { suspicion >= 0.5 } {
            host.suspected = !host.suspected;
            self.pending_note = Some((shot.host, if host.suspected { "suspected" } else { "answers again" }));
        }
        if !shot.failed && shot.phase != Phase::Write {
            let read_tokens = order.prompt_tokens.saturating_sub(closed.cached_tokens);
            self.uncached_ratio.add(
                f64::from(read_tokens),
                f64::from(order.prompt_tokens),
                POOLED_RATIO_RETENTION,
            );
            if session_home == Some(shot.host) {
                let beyond_shared = |tokens: u32| f64::from(tokens.saturating_sub(order.shared_tokens));
                self.home_hit_ratio.add(
                    beyond_shared(closed.cached_tokens),
                    beyond_shared(order.prompt_tokens),
                    POOLED_RATIO_RETENTION,
                );
            }
            // Compares the host's report with the estimate: a host that has evicted one text has probably
            // evicted more.
            if shot.estimated_cached_tokens > 0 {
                let found_cached = closed.cached_tokens.min(shot.estimated_cached_tokens);
                host.cache_hit_ratio.add(
                    f64::from(found_cached),
                    f64::from(shot.estimated_cached_tokens),
                    HOST_RATIO_RETENTION,
                );
            }
            record_cached(&mut self.session_caches, order.session, shot.host, order.prompt_tokens, now);
            record_cached(&mut self.shared_text_caches, order.shared, shot.host, order.shared_tokens, now);
        }
        if let Some(load) = &closed.load {
            self.apply_load(shot.host, load);
        }
        t
    }

    /// Raises the safety factor by a tenth for each shot that ran out of its client's time and for each
    /// client that left before the agreed time; each answer lowers it by a hundredth. Guards against clients
    /// that leave early and those that repeat a request at once.
    fn raise_safety_factor(&mut self) {
        self.safety_factor = (self.safety_factor * 1.1).min(4.0);
    }

    /// Applies a load report: tokens to read, or the share of a memory whose size in tokens was given at
    /// start; other fields are ignored. Hosts report whole prompts, but only the part that reads find
    /// uncached causes delay.
    fn apply_load(&mut self, h: u32, load: &LoadReport) {
        let Some(host) = self.hosts.get_mut(h as usize) else { return };
        let uncached_share =
            if self.uncached_ratio.denominator > 0.0 { self.uncached_ratio.value() } else { 1.0 };
        let fields = ["report.fields.0", "report.fields.1", "report.fields.2", "report.fields.3"];
        for (field, value) in fields.into_iter().zip(load.values).take(load.count) {
            match self.config.text(field) {
                Some("x0") => host.reported_memory_share = value.clamp(0.0, 1.0),
                Some("x1") => {
                    host.reported_to_read = Some((self.now, value.clamp(0.0, 1e6) * 1000.0 * uncached_share))
                }
                _ => {}
            }
        }
    }

    /// Prompt tokens of a task that a host holds: as reported, else as estimated. A text that is not known to
    /// be cached anywhere is assumed to be at its homes; the result of the first read corrects that.
    fn estimated_cached_tokens(&self, t: usize, h: u32) -> u32 {
        let Task { order, text_homes, session_home, .. } = &self.tasks[t];
        let estimated = if text_homes.contains(&h) { order.shared_tokens } else { 0 };
        if let Some(reported) = self.tasks[t].reported_cached_tokens(h) {
            return if self.tasks[t].is_shared_text_reported() { reported } else { reported.max(estimated) };
        }
        // Cached texts are evicted in time; a minute is many times the usual pause in a session.
        let cached_since = self.now.saturating_sub(Duration::from_secs(60));
        let shared = cached_tokens_at(&self.shared_text_caches, order.shared, h, cached_since)
            .unwrap_or(estimated)
            .min(order.shared_tokens);
        let expected = if *session_home == Some(h) { self.expected_cached_at_home(order) } else { 0 };
        let session =
            cached_tokens_at(&self.session_caches, order.session, h, cached_since).unwrap_or(expected);
        session.min(order.prompt_tokens).max(shared)
    }

    /// Prompt tokens that a host would have to read. Cached tokens are deducted as far as recent reads at
    /// this host confirmed the estimates. Guards against cache flushes and evictions under memory pressure.
    fn uncached_tokens(&self, t: usize, h: u32) -> f64 {
        let cached = self.estimated_cached_tokens(t, h);
        // Reported tokens are already weighted by what reads confirmed.
        let is_reported = self.tasks[t].reported_cached_tokens(h) == Some(cached);
        let cache_hit_ratio = if is_reported { 1.0 } else { self.hosts[h as usize].cache_hit_ratio.value() };
        f64::from(self.tasks[t].order.prompt_tokens) - f64::from(cached) * cache_hit_ratio
    }

    /// The homes of a shared text: the hosts that rank highest by a hash of both. Dispatchers that do not
    /// communicate thus send a text to the same readers, whose memory holds more distinct texts. Two homes,
    /// or up to eight if its share of the tasks seen here would keep that many busy. The less own counts
    /// tell, the more the own zone comes first, as network partitions run between zones.
    fn rank_text_homes(&mut self, order: &Order) -> [u32; 8] {
        let Some(key) = order.shared else { return [u32::MAX; 8] };
        // Half a minute: dozens of tasks even at one a second. Ten more, so that the second text seen does
        // not count for all tasks. The current task is left out: where few tasks are seen, it alone would
        // make each text seem in demand.
        let earlier_tasks = count_task(&mut self.shared_text_caches, key, self.now, 30.0) - 1.0;
        let (all_tasks, count_uncertainty) =
            (self.recent_tasks.decayed(self.now, 30.0) + 10.0, self.count_uncertainty());
        let readers = || self.running_hosts(Role::Reader).chain(self.running_hosts(Role::Mixed));
        let wanted = (earlier_tasks / all_tasks * readers().count() as f64).ceil().clamp(2.0, 8.0) as usize;
        let zone_factor =
            |host: &Host| if host.listed.zone == self.own_zone { 1.0 + 1e9 * count_uncertainty } else { 1.0 };
        top_ranked(wanted, readers().map(|(h, host)| (zone_factor(host) * Self::home_rank(key, host), h)))
    }

    /// The reader that read the session last; if another dispatcher had the session, its home stands in.
    fn preferred_reader(&self, t: usize) -> Option<u32> {
        let (task, order) = (&self.tasks[t], &self.tasks[t].order);
        // A host that reports nothing of it has lost it: there is no reason to go back.
        let may_hold = |h: &u32| task.reported_cached_tokens(*h) != Some(0);
        let last_in = |table: &[CachedText], key: Option<CacheKey>| {
            find_cached(table, key)?.last_reader.filter(may_hold)
        };
        let of_session = last_in(&self.session_caches, order.session).or(task.session_home);
        of_session.or_else(|| last_in(&self.shared_text_caches, order.shared))
    }

    /// The home of a session that is not known here: of the homes of its shared text the one that a hash of
    /// the session ranks highest, the own zone first; without a shared text, of all hosts that read.
    fn find_session_home(&self, order: &Order, text_homes: &[u32; 8]) -> Option<u32> {
        let key = order.session?;
        // Where no other dispatcher may have had it, a session that is not known is new.
        let known = find_cached(&self.session_caches, order.session)
            .is_some_and(|cached| cached.last_reader.is_some());
        if known || self.dispatchers <= 1.0 {
            return None;
        }
        let text_readers = text_homes.iter().copied().filter(|h| *h != u32::MAX);
        let all_readers =
            self.running_hosts(Role::Reader).chain(self.running_hosts(Role::Mixed)).map(|(h, _)| h);
        best_ranked(text_readers.chain(all_readers.filter(|_| order.shared.is_none())).map(|h| {
            let host = &self.hosts[h as usize];
            // The homes of a text were already picked by weight.
            let weight = if order.shared.is_some() { host.home_weight } else { 1.0 };
            (host.listed.zone == self.own_zone, Self::home_rank(key, host) / weight, h)
        }))
    }

    /// Tokens that a session's home is expected to have cached: its shared text, and of the rest the share
    /// that reads at homes found. Where each dispatcher sees few tasks, others handled most turns of a
    /// session. The share falls to nothing where own counts do not show which reader is loaded: sessions
    /// would stay with overloaded readers.
    fn expected_cached_at_home(&self, order: &Order) -> u32 {
        let beyond_shared = f64::from(order.prompt_tokens.saturating_sub(order.shared_tokens));
        order.shared_tokens
            + (beyond_shared * self.home_hit_ratio.value() * (1.0 - self.count_uncertainty())) as u32
    }

    /// Weighted rendezvous hashing: each host ranks highest for a share of keys in proportion to its weight.
    fn home_rank(key: CacheKey, host: &Host) -> f64 {
        host.home_weight / -Pcg32(key.hash ^ host.listed.name_hash).advanced().next_unit().ln().min(-1e-12)
    }

    /// Hosts of a role that may be sent to as the list has it.
    fn running_hosts(&self, role: Role) -> impl Iterator<Item = (u32, &Host)> {
        (0..).zip(&self.hosts).filter(move |(_, host)| host.is_running() && host.listed.role == role)
    }

    /// Whether the list of hosts, the retry credit, the effect rules and the cold budget let a shot go to
    /// this host.
    fn may_send(&mut self, t: usize, h: u32) -> bool {
        let now = self.now;
        let (task, host) = (&self.tasks[t], &self.hosts[h as usize]);
        let offering = &self.offerings[task.offering];
        let has_credit = host.retry_credit >= 1.0 || !task.shots.iter().any(|shot| shot.failed);
        // A read that follows a shot which may have run counts as a further shot too, though it has no effect
        // itself.
        let allowed = host.is_running()
            && has_credit
            && task.shots_that_may_have_run().all(|shot| offering.may_repeat(shot, Some(host), now));
        allowed && self.refill_cold_budget(h) >= 1.0
    }

    /// Shots that a cold host may be sent now; infinite for a warm one.
    ///
    /// The budget fills at the rate at which this dispatcher sends shots to a warm peer, times the share of a
    /// warm host's work that the cold one can do for certain. All dispatchers' budgets thus add up to that
    /// share of a warm peer's traffic, well below the multiple at which a cold host fails. A whole shot that
    /// is not used lapses after half the time in which an overload makes a host fail, or after two more tasks
    /// are due here, if that is later. So there is no burst, and a restarted dispatcher spends nothing twice.
    /// Each dispatcher starts at its own level between zero and one shot: without this, hundreds of them
    /// would all send late and at once.
    fn refill_cold_budget(&mut self, h: u32) -> f64 {
        let (now, host) = (self.now, &self.hosts[h as usize]);
        if now >= host.warm_at {
            return f64::INFINITY;
        }
        let ColdStart { warm_up_seconds, cold_from, fall_multiple, half_fall_seconds } = self.cold_start;
        let age = 1.0 - (host.warm_at - now).as_secs_f64() / warm_up_seconds.max(0.001);
        let (peer_rate, task_rate) = self.role_rates[host.listed.role as usize];
        // Rises linearly with age, but never past four fifths of the load at which a host that can do no more
        // than at its start would fail.
        let share_limit = 0.8 * cold_from * fall_multiple;
        let send_share = (cold_from + (1.0 - cold_from) * age.max(0.0)).min(share_limit);
        let host = &mut self.hosts[h as usize];
        let filled = host.send_budget.level
            + (now - host.send_budget.updated_at).as_secs_f64() * peer_rate * send_share;
        let lapse_level = peer_rate * send_share * half_fall_seconds.max(2.0 / task_rate.max(0.01));
        let fraction = filled.fract();
        let level = if filled >= 1.0 && fraction < lapse_level { 1.0 + fraction } else { fraction };
        host.send_budget.set(now, level);
        level
    }

    /// By role: shots a second from this dispatcher that a warm host read or began to answer (the last known
    /// rate if none is warm), and tasks a second that arrive here. The first is at most one host's share of
    /// the tasks among all hosts that do the same step. Guards against fleets that are replaced at once: the
    /// few hosts left running are sent more than they can do, and without this limit new ones would be too.
    fn update_role_rates(&mut self) {
        let now = self.now;
        // Rates over half a minute: with less, one of hundreds of dispatchers sees no task most of the time.
        // Soon after the start they are scaled to the time since then, but to ten seconds at least, as the
        // first tasks are mostly clients that repeat their requests.
        let elapsed = (now - self.first_event_at.unwrap_or_default()).as_secs_f64().max(10.0);
        let per_second = 1.0 / (30.0 * (1.0 - (-elapsed / 30.0).exp()));
        let (mut running, mut warm, mut starts) = ([0_usize; 4], [0.0; 4], [0.0; 4]);
        for host in self.hosts.iter().filter(|host| host.is_running()) {
            let role = host.listed.role as usize;
            running[role] += 1;
            if now >= host.warm_at {
                warm[role] += 1.0;
                starts[role] += host.recent_starts.decayed(now, 30.0);
            }
        }
        let task_rate = self.recent_tasks.decayed(now, 30.0) * per_second;
        let readers = running[Role::Reader as usize];
        let others = running.iter().sum::<usize>() - readers;
        self.role_rates = [Role::Reader, Role::Writer, Role::Mixed, Role::Unknown].map(|role| {
            let same_step = if role == Role::Reader { readers } else { others };
            let task_share = task_rate / same_step.max(1) as f64;
            let (warm, previous_rate) = (warm[role as usize], self.role_rates[role as usize].0);
            let per_host = if warm > 0.0 {
                Some(starts[role as usize] * per_second / warm)
            } else {
                Some(previous_rate).filter(|previous_rate| *previous_rate > 0.0)
            };
            (task_share.min(per_host.unwrap_or(task_share)), task_rate)
        });
    }

    /// Recent seconds for each token read at a host, smoothed with two long prompts at its role's speed. For
    /// a host that answers at least twice a minute, this distinguishes a slow host from an overload.
    fn seconds_per_read_token(&self, h: u32) -> f64 {
        let (host, weight) = (&self.hosts[h as usize], 2.0 * self.long_prompt_tokens);
        let usual = self.role_read_times[host.listed.role as usize].value();
        // Without any read here there is nothing to weigh.
        let decay = if host.read_times.denominator > 0.0 { host.read_times_weight(self.now) } else { 0.0 };
        (host.read_times.numerator * decay + weight * usual) / (host.read_times.denominator * decay + weight)
    }

    /// How many times slower than its role a reader has been recently. Below 2, after smoothing, is the usual
    /// spread of sound hosts and counts as 1. At most 10, to limit the effect of a figure taken during an
    /// overload.
    pub(crate) fn slowdown(&self, h: u32, phase: Phase) -> f64 {
        let times = self.seconds_per_read_token(h)
            / self.role_read_times[self.hosts[h as usize].listed.role as usize].value();
        if times < 2.0 || phase == Phase::Write { 1.0 } else { times.min(10.0) }
    }

    /// Tokens to be read before a new read: the own pending ones or the host's recent report, whichever is
    /// larger. A host without a recent report counts at the average report of its role.
    fn queued_tokens(&self, h: u32) -> f64 {
        let host = &self.hosts[h as usize];
        host.pending_read_tokens.max(
            host.recent_report(self.now)
                .unwrap_or(self.role_reported_to_read[host.listed.role as usize].value()),
        )
    }

    /// How much longer a first token takes if the state leaves its cell, in agreed times.
    fn remote_fetch_cost(&self) -> f64 {
        let ([near, far], agreed_seconds) =
            (self.first_token_seconds, self.offerings[0].agreed_seconds.max(0.01));
        f64::max(far - near, 0.0) / agreed_seconds
    }

    /// Expected seconds from the end of a read at this host to the first token.
    fn expected_first_token(&self, h: u32) -> f64 {
        let ([near, far], remote_share) =
            (self.first_token_seconds, self.hosts[h as usize].remote_fetch_share);
        near + remote_share * (far - near)
    }

    /// How little this dispatcher's own counts tell about who is loaded, from 0 to 1: close to 1 where a
    /// reader gets only a few long prompts from here in a minute, 0 where readers report their tokens.
    fn count_uncertainty(&self) -> f64 {
        4.0 * self.long_prompt_tokens / (4.0 * self.long_prompt_tokens + self.mean_recent_read_tokens)
    }

    /// Pending tokens of a host for a task that would add `added_tokens`, with suspicion and slowness charged
    /// as tokens.
    fn pending_tokens(&self, h: u32, phase: Phase, added_tokens: f64) -> f64 {
        let host = &self.hosts[h as usize];
        let streams = if phase == Phase::Read { 0.0 } else { host.pending_stream_tokens };
        // A host that fails fast is always empty and would attract traffic: full suspicion costs eight long
        // prompts, and more with each shot already in flight there.
        let suspicion_tokens =
            host.suspicion_at(self.now) * 8.0 * self.long_prompt_tokens * f64::from(1 + host.shots_in_flight);
        let load =
            (streams + self.queued_tokens(h) + added_tokens) * self.slowdown(h, phase) + suspicion_tokens;
        if phase != Phase::Read {
            return load;
        }
        // Where states have to leave the cell and links are slow: one agreed time of delay costs two long
        // prompts.
        let remote_cost = 2.0 * host.remote_fetch_share * self.remote_fetch_cost();
        // What this dispatcher sent a reader recently stands for what all of them sent, as they choose alike:
        // three long prompts for each average share beyond its own, weighted by how little own counts tell;
        // nothing where readers report tokens. One long prompt is added to both sides, so that the first
        // prompts weigh little.
        let (long_prompt_tokens, recent_tokens) =
            (self.long_prompt_tokens, host.recent_read_tokens.decayed(self.now, 60.0));
        let count_uncertainty = self.count_uncertainty();
        let over_share = f64::max(
            (recent_tokens + long_prompt_tokens) / (self.mean_recent_read_tokens + long_prompt_tokens) - 1.0,
            0.0,
        );
        load + (remote_cost + 3.0 * over_share * count_uncertainty) * long_prompt_tokens
    }

    /// Updates the averages over hosts, and the role rates if a host is cold, before a host is picked.
    fn update_averages(&mut self) {
        let (mut reports, mut recent_sum, mut readers) = ([DecayingRatio::default(); 4], 0.0, 0.0);
        let mut any_cold = false;
        for host in self.hosts.iter().filter(|host| host.is_running()) {
            any_cold |= self.now < host.warm_at;
            if let Some(tokens) = host.recent_report(self.now) {
                reports[host.listed.role as usize].add(tokens, 1.0, 1.0);
            }
            if host.listed.role == Role::Reader {
                let report_term = if host.reported_to_read.is_some() { f64::INFINITY } else { 0.0 };
                (recent_sum, readers) = (
                    recent_sum + host.recent_read_tokens.decayed(self.now, 60.0) + report_term,
                    readers + 1.0,
                );
            }
        }
        (self.role_reported_to_read, self.mean_recent_read_tokens) =
            (reports, f64::max(recent_sum / f64::max(readers, 1.0), 1.0));
        if any_cold {
            self.update_role_rates();
        }
    }

    /// Fills `pending_counts`, one entry for each host, infinite where the shot may not go; returns the
    /// lowest.
    fn update_pending_counts(&mut self, t: usize, phase: Phase) -> f64 {
        let (prompt, output_tokens) =
            (f64::from(self.tasks[t].order.prompt_tokens), self.tasks[t].output_tokens);
        let writers_read = self.config.flag("service.writers_read");
        let mut pending_counts = std::mem::take(&mut self.pending_counts);
        pending_counts.clear();
        for h in 0..self.hosts.len() as u32 {
            let role = self.hosts[h as usize].listed.role;
            let fits = match phase {
                Phase::Read => role == Role::Reader,
                Phase::Write => role == Role::Writer || role == Role::Mixed,
                Phase::Whole => role == Role::Mixed || role == Role::Writer && writers_read,
            };
            if !(fits && self.may_send(t, h)) {
                pending_counts.push(f64::INFINITY);
                continue;
            }
            let added_tokens = match phase {
                Phase::Read => self.uncached_tokens(t, h),
                Phase::Write => prompt + output_tokens,
                Phase::Whole => self.uncached_tokens(t, h) + output_tokens,
            };
            // The host that lost this task's answer or was too slow, or that rejected it, counts as just
            // beyond a tie: own counts may not show why it did so. Not if the shot may have run there, as
            // such failures are mostly chance.
            let avoided = self.tasks[t].avoids(h);
            let avoid_penalty = if avoided { 1.5 * self.tie_margin(t) } else { 0.0 };
            pending_counts.push(self.pending_tokens(h, phase, added_tokens) + avoid_penalty);
        }
        self.pending_counts = pending_counts;
        self.pending_counts.iter().copied().fold(f64::INFINITY, f64::min)
    }

    /// The reader with the fewest pending tokens; the preferred reader wins if it is at most one long prompt
    /// above that.
    fn pick_reader(&mut self, t: usize) -> Option<u32> {
        let fewest = self.update_pending_counts(t, Phase::Read);
        // A cold reader that may be sent to goes first: its shot would lapse, and where hundreds of
        // dispatchers see few tasks each, no count shows that it is free. Guards against fleets that are
        // replaced at once: without this their few warm hosts are overloaded beside cold ones that no
        // dispatcher picks.
        let candidates =
            (0..).zip(&self.pending_counts).map(|(h, count)| (h, *count, &self.hosts[h as usize]));
        let cold = candidates.filter(|(_, count, host)| {
            self.now < host.warm_at && is_within(*count, fewest + self.long_prompt_tokens)
        });
        let far = |host: &Host| host.listed.zone != self.own_zone;
        if let Some((h, ..)) = cold.min_by(|a, b| far(a.2).cmp(&far(b.2)).then(a.1.total_cmp(&b.1))) {
            return Some(h);
        }
        // Only a preferred reader that may be sent to: if none may be, its count and the lowest are both
        // infinite.
        let preferred = self
            .preferred_reader(t)
            .filter(|h| is_within(self.pending_counts[*h as usize], fewest + self.long_prompt_tokens));
        if preferred.is_some() {
            return preferred;
        }
        // Counts less than the fixed cost of a read apart are a tie: own zone first, then by a hash of the
        // session. So dispatchers do not all pick the same host, yet bring the next turn of a session to the
        // same reader.
        let (ties, key) = ((0..).zip(&self.pending_counts), self.tasks[t].order.session);
        best_ranked(ties.filter(|(_, count)| is_within(**count, fewest + READ_OVERHEAD_TOKENS)).map(
            |(h, _): (u32, _)| {
                let host = &self.hosts[h as usize];
                let rank = key.map_or_else(|| self.random.next_unit(), |key| Self::home_rank(key, host));
                (host.listed.zone == self.own_zone, rank, h)
            },
        ))
    }

    /// Sets what share of a cell's reads has to leave it, from the cell's shares of all reading and of all
    /// writing hosts, as if each state stayed in its cell. Where hundreds of dispatchers see one task a
    /// second each, own counts do not show it: without this, racks with many readers overload their few
    /// writers unnoticed.
    fn update_cell_weights(&mut self) {
        // A mixed host does a quarter of a writer's work as whole tasks, as reads slow streams down, and the
        // rest from states.
        let write_weight = |role| [0.0, 1.0, 0.75, 0.0][role as usize];
        let read_weight = |role| [1.0, 0.0, 0.0, 0.0][role as usize];
        // Shares of nothing are tiny, not undefined.
        const MIN_SUM: f64 = 1e-9;
        let (mut total, mut cells) = (CellShares::default(), FxHashMap::<u32, CellShares>::default());
        for host in self.hosts.iter().filter(|host| host.is_running()) {
            let (role, cell) = (host.listed.role, cells.entry(host.listed.cell).or_default());
            for sum in [&mut total, cell] {
                sum.reads += read_weight(role);
                sum.writes += write_weight(role);
            }
        }
        let (total_reads, total_writes) = (total.reads.max(MIN_SUM), total.writes.max(MIN_SUM));
        for host in &mut self.hosts {
            let role = host.listed.role;
            let cell = cells.get(&host.listed.cell).copied().unwrap_or_default();
            let (cell_reads, cell_writes) =
                (cell.reads.max(MIN_SUM) / total_reads, cell.writes.max(MIN_SUM) / total_writes);
            host.remote_fetch_share = f64::max(cell_reads - cell_writes, 0.0) / cell_reads;
            host.spare_writer_share =
                f64::max(cell_writes - cell_reads, 0.0) * write_weight(role) / total_writes / cell_writes;
            host.home_weight = if role == Role::Mixed { 0.25 * total_reads / total_writes } else { 1.0 };
        }
    }

    /// Pending tokens by which a writer may exceed the lowest count and still tie with it.
    fn tie_margin(&self, t: usize) -> f64 {
        let task = &self.tasks[t];
        // Four times the task's own tokens: with a factor of one, three fifths of the tokens left their cell;
        // with eight, near writers filled up.
        4.0 * (f64::from(task.order.prompt_tokens) + task.output_tokens)
    }

    /// The writer with the fewest pending tokens. Among those within the tie margin, a difference that a few
    /// picks make, writers of the reader's cell come first, as far as they can take what its readers read.
    /// Then cells with spare writers, at random in proportion to what they can take, with a preference for
    /// the reader's zone.
    fn pick_writer(&mut self, t: usize, phase: Phase) -> Option<u32> {
        let (fewest, margin) = (self.update_pending_counts(t, phase), self.tie_margin(t));
        let source = self.tasks[t].held.reader().map(|h| self.hosts[h as usize]);
        // Leave the cell only as far as own streams do not show which writer is full, and as far as it pays:
        // slow links cost more than a full writer near by.
        let writers = self.running_hosts(Role::Writer);
        let (own_streams, tie_tokens) =
            writers.fold((0.0, 1.0), |s, (_, host)| (s.0 + host.pending_stream_tokens, s.1 + margin));
        let far_benefit =
            (tie_tokens / (own_streams + tie_tokens)).powi(2) * (1.0 - self.remote_fetch_cost());
        let leaves_cell =
            source.is_some_and(|source| self.random.next_unit() < source.remote_fetch_share * far_benefit);
        let distance = |to: &Host| match &source {
            Some(source) if source.listed.cell == to.listed.cell => 3 * u32::from(leaves_cell),
            Some(_) if leaves_cell => 1 + u32::from(to.spare_writer_share <= 0.0),
            Some(source) => 1 + u32::from(source.listed.zone != to.listed.zone),
            None => 0,
        };
        let ties = (0..).zip(&self.pending_counts).filter(|(_, count)| is_within(**count, fewest + margin));
        let now = self.now;
        // The least of -ln(random) / weight falls on each host in proportion to its weight.
        let ranked = ties.map(|(h, _): (u32, _)| {
            let host = &self.hosts[h as usize];
            // Eight times the weight inside the zone: a zone short of writers still sends some states to
            // others, one with enough writers sends few.
            let same_zone = source.is_none_or(|source| source.listed.zone == host.listed.zone);
            let weight = if !leaves_cell {
                1.0
            } else {
                host.spare_writer_share.max(1e-9) * if same_zone { 8.0 } else { 1.0 }
            };
            // Cold writers go first for the same reason as cold readers, if the state stays in its zone.
            let prefer_cold = now < host.warm_at && same_zone;
            ((!prefer_cold, distance(host)), -self.random.next_unit().ln() / weight, h)
        });
        ranked.min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))).map(|(.., h)| h)
    }

    /// Expected seconds until a read begun now at this host ends, the wait included.
    fn expected_read_seconds(&self, t: usize, h: u32) -> f64 {
        self.seconds_per_read_token(h)
            * (self.queued_tokens(h) + self.uncached_tokens(t, h) + READ_OVERHEAD_TOKENS)
    }

    /// Whether a read begun now would lead to a first token within the agreed time, and waits no longer than
    /// half the agreed time of the offering with the highest gain, scaled by this one's relative gain. Guards
    /// against overload: with longer queues sessions leave readers that have cached them. The cost: some
    /// tasks are rejected that would have been in time.
    fn read_in_time(&self, t: usize, h: u32) -> bool {
        let (now, task, host) = (self.now, &self.tasks[t], &self.hosts[h as usize]);
        let seconds_left = task.target_at.min(task.deadline).saturating_sub(now).as_secs_f64();
        let best_offering = self.offerings.iter().max_by(|a, b| a.gain.total_cmp(&b.gain));
        let max_wait = best_offering.map_or(f64::INFINITY, |best_offering| {
            0.5 * best_offering.agreed_seconds * self.offerings[task.offering].relative_gain
        });
        // Old, bad figures must not block all reads for good: one task in twelve is sent as a trial. One at a
        // time, as the trials of hundreds of dispatchers would keep an overload going, and not for clients
        // with little time left, for whom the trial would end too late.
        let trial = self.tasks_since_read >= 12
            && seconds_left > 0.5 * self.offerings[task.offering].agreed_seconds
            && self.running_hosts(host.listed.role).all(|(_, peer)| peer.pending_read_tokens <= 0.0);
        let may_queue = task.shots_that_may_have_run().next().is_some()
            || self.seconds_per_read_token(h) * self.queued_tokens(h) < max_wait;
        trial
            || (may_queue
                && (self.expected_read_seconds(t, h) + self.expected_first_token(h)) * self.safety_factor
                    < seconds_left)
    }

    /// Whether the writers have memory for one more task; if not, it is rejected before its prompt is read.
    /// Up to a quarter more than full for the offering with the highest gain.
    ///
    /// Own streams stand for those of all dispatchers, unless the hosts report more. They are ignored if one
    /// stream multiplied by the number of dispatchers would exceed a writer's memory: among hundreds of
    /// dispatchers, one with a few streams more than others would reject tasks that the writers have room
    /// for. There, late first tokens show the overload (`read_in_time`).
    fn has_writer_capacity(&self, t: usize) -> bool {
        let writers = self.running_hosts(Role::Writer).chain(self.running_hosts(Role::Mixed));
        let stream_of_all =
            (f64::from(self.tasks[t].order.prompt_tokens) + self.tasks[t].output_tokens) * self.dispatchers;
        // A host lost without notice counts less, the more it is suspected.
        let memory =
            |host: &Host| host.listed.memory_tokens.unwrap_or(0.0) * (1.0 - host.suspicion_at(self.now));
        let (held_tokens, memory) = writers.fold((0.0, 0.0), |sum, (_, host)| {
            let too_coarse = stream_of_all > host.listed.memory_tokens.unwrap_or(0.0);
            let own_streams = if too_coarse { 0.0 } else { host.pending_stream_tokens * self.dispatchers };
            (sum.0 + own_streams.max(host.reported_memory_share * memory(host)), sum.1 + memory(host))
        });
        memory == 0.0
            || held_tokens <= memory * (1.0 + 0.25 * self.offerings[self.tasks[t].offering].relative_gain)
    }

    /// The host and phase to start with: a reader, or a mixed host that does the task whole. The latter if it
    /// is the task's preferred reader and its count ties with the lowest of all hosts that write, or if no
    /// reader may be sent to. Without the first condition, dispatchers with few pending tokens would all pick
    /// the few mixed hosts.
    fn pick_start(&mut self, t: usize) -> Option<(u32, Phase)> {
        let reader = self.pick_reader(t);
        let any_does_whole_tasks =
            self.config.flag("service.writers_read") || self.running_hosts(Role::Mixed).next().is_some();
        let whole = if any_does_whole_tasks { self.pick_writer(t, Phase::Whole) } else { None };
        let preferred =
            self.preferred_reader(t).filter(|h| self.hosts[*h as usize].listed.role == Role::Mixed);
        let home_host = preferred.filter(|h| {
            let limit = self.update_pending_counts(t, Phase::Write) + self.tie_margin(t);
            is_within(self.pending_counts[*h as usize], limit)
        });
        // Not if readers are only late: hundreds of dispatchers would move the readers' overload to the other
        // hosts at once.
        let fallback = whole.filter(|_| reader.is_none()).map(|h| (h, Phase::Whole));
        let candidates = [home_host.map(|h| (h, Phase::Whole)), reader.map(|h| (h, Phase::Read)), fallback];
        let pick = candidates.into_iter().flatten().find(|(h, _)| self.read_in_time(t, *h));
        if pick.is_none() && (reader.is_some() || whole.is_some()) {
            self.give_up(t);
        }
        pick
    }

    /// Sets what a task needs next, for `reconcile`.
    fn plan(&mut self, t: usize) {
        self.plan_attempts(t);
        self.plan_release(t);
    }

    /// How long a state may be held while no attempt is at a server.
    fn hold_limit(&self) -> Duration {
        self.config.duration("service.release_us").unwrap_or_default()
    }

    /// Plans the release of a held state. It is released in time even if a shot is in flight from which
    /// nothing has been heard: that may never have arrived. The shot is not cancelled: its writer may be
    /// slow, and a shot that has arrived may run whatever is released.
    fn plan_release(&mut self, t: usize) {
        let (now, hold_limit) = (self.now, self.hold_limit());
        let Some(task) = self.tasks.get_mut(t).filter(|task| task.live) else { return };
        if task.shots.iter().any(|shot| shot.in_flight && shot.started_at.is_some()) {
            return;
        }
        let any_unanswered = task.desired.shot.is_some() || task.shots.iter().any(|shot| shot.in_flight);
        let Some(at) = task.held.release_at(hold_limit, any_unanswered) else { return };
        // A state that waits for a writer is released when its task is given up. What may be left elsewhere
        // does not delay the task.
        let ends_with_request = task.held.reader().is_some() || task.ended;
        if !any_unanswered && ends_with_request {
            return;
        }
        task.desired.release_due = at <= now;
        if at > now {
            task.desired.wake_at = Some(task.desired.wake_at.map_or(at, |wake_at| wake_at.min(at)));
        }
    }

    /// Plans the next shot, a cancellation, a wait or the end of the task.
    fn plan_attempts(&mut self, t: usize) {
        let (now, cancel) = (self.now, self.config.flag("allowed.cancel"));
        let hold_limit = self.hold_limit();
        let Some(task) = self.tasks.get_mut(t).filter(|task| task.live) else { return };
        task.desired = DesiredState::default();
        if task.ended {
            // The client has left: what still waits or is being read for it delays others. Guards against
            // clients that leave before their time and repeat the request at once.
            let may_cancel = |shot: &Shot| shot.awaits_answer() && !shot.cancelled;
            task.desired.cancel = task.shots.iter().position(may_cancel).filter(|_| cancel);
            return;
        }
        if let Some(i) = task.shots.iter().position(|shot| shot.in_flight) {
            return self.watch_shot(t, i);
        }
        let (held_by, is_first, deadline) = (task.held.reader(), task.shots.is_empty(), task.deadline);
        let agreed_seconds = (task.target_at - task.arrived_at).as_secs_f64();
        let max_shots = self.config.number("allowed.max_shots").unwrap_or(1.0) as usize;
        let offering = &self.offerings[task.offering];
        let repeat_barred = !task.shots_that_may_have_run().all(|shot| offering.may_repeat(shot, None, now));
        let too_late = now + Duration::from_secs_f64(0.5 * self.first_token_seconds[0]) >= deadline;
        let release_at = held_by.and_then(|_| task.held.release_at(hold_limit, false));
        // If a writer was already tried and given up, the state stays for another writer somewhat longer.
        let writer_tried = task.shots.last().is_some_and(|shot| shot.may_have_run);
        let held_until = held_by.and_then(|_| task.held.release_at(hold_limit, writer_tried));
        let hold_expired = held_until.is_some_and(|at| at <= now);
        let wait_until = release_at.unwrap_or(task.wait_until);
        if too_late
            || hold_expired
            || repeat_barred
            || task.shots.len() >= max_shots
            || (is_first && !self.has_writer_capacity(t))
        {
            return self.give_up(t);
        }
        self.update_averages();
        let pick = match held_by {
            Some(_) => self.pick_writer(t, Phase::Write).map(|h| (h, Phase::Write)),
            None => self.pick_start(t),
        };
        // A state that crosses slow links is overtaken by near ones, and another writer would have to fetch
        // it from the beginning: allow it more time.
        let (cell_of, [near, far]) = (|h: u32| self.hosts[h as usize].listed.cell, self.first_token_seconds);
        let expected = match (pick, held_by) {
            (Some((h, Phase::Read | Phase::Whole)), _) => self.expected_read_seconds(t, h),
            (Some((h, _)), Some(reader)) if cell_of(reader) != cell_of(h) => {
                6.0 * far.max(0.1 * agreed_seconds)
            }
            _ => near,
        };
        let task = &mut self.tasks[t];
        task.desired.keep_held = task.desired.end_with_bounce.is_none();
        if let Some((h, phase)) = pick {
            // Without this limit a silent host would cost the task, not just one shot: four times the
            // expected time, at least a quarter of the agreed time.
            task.silence_limit =
                Duration::from_secs_f64((4.0 * expected).max(0.25 * agreed_seconds).min(1e6));
            let shot_deadline = if cancel { deadline } else { deadline.min(now + 6 * task.silence_limit) };
            task.desired.shot = Some((h, phase, shot_deadline));
            task.desired.wake_at = Some(now + task.silence_limit).filter(|at| cancel && *at < deadline);
        } else if task.desired.end_with_bounce.is_none() {
            // No host may be sent to now: try again as cold budgets fill and retry credit is earned.
            let wake_at = now + Duration::from_millis(10);
            if wake_at >= wait_until.min(deadline) {
                return self.give_up(t);
            }
            task.desired.wake_at = Some(wake_at);
        }
    }

    /// Decides whether a shot in flight is cancelled. Hosts answer in the order of arrival, so waiting at a
    /// host that still works is no worse than starting again elsewhere. A shot is cancelled if its host is
    /// gone from the list, has answered shots that were sent clearly later, or has been silent three times as
    /// long while peers answered (a sound reader may be silent while it reads another task's long prompt).
    /// Guards against hosts that hang, are cut off or die, and those that fail for one part of their work or
    /// one offering only. The cost: it may cancel too early where a role sees little traffic or a host does
    /// not answer in the order of arrival.
    fn watch_shot(&mut self, t: usize, i: usize) {
        let (now, task) = (self.now, &self.tasks[t]);
        let (shot, silence_limit, deadline) = (task.shots[i], task.silence_limit, task.deadline);
        let host = &self.hosts[shot.host as usize];
        let offering = &self.offerings[task.offering];
        // While another writer can still fetch the state, a silent writer is given up sooner.
        let switch_at =
            task.held.switch_writer_at(self.hold_limit()).map(|at| at.max(shot.sent_at + silence_limit));
        let silent_at =
            switch_at.map_or(shot.sent_at + 3 * silence_limit, |at| at.min(shot.sent_at + 3 * silence_limit));
        let peer_answered =
            || self.running_hosts(host.listed.role).any(|(_, peer)| peer.last_answer_at > shot.sent_at);
        let silent = now >= silent_at && host.last_answer_at <= shot.sent_at && peer_answered();
        let overtaken = now >= shot.sent_at + silence_limit
            && host.latest_answered_sent_at > shot.sent_at + silence_limit / 4;
        let gone = host.listed.status == HostStatus::Gone || host.listed.name_hash != shot.listed.name_hash;
        let may_not_repeat = shot.phase != Phase::Read && !offering.may_repeat(&shot, None, now);
        let desired = &mut self.tasks[t].desired;
        desired.keep_held = true;
        if shot.started_at.is_some()
            || shot.cancelled
            || may_not_repeat
            || !self.config.flag("allowed.cancel")
        {
            return;
        }
        let next_check = if now < shot.sent_at + silence_limit {
            shot.sent_at + silence_limit
        } else {
            now + silence_limit / 2
        };
        let next_check = if now < silent_at { next_check.min(silent_at) } else { next_check };
        desired.cancel = (silent || overtaken || gone).then_some(i);
        desired.wake_at = Some(next_check).filter(|at| *at < deadline && desired.cancel.is_none());
    }

    /// Ends the task: rejects it at once with retry advice, or aborts it. The advice tells the client that a
    /// repeat is harmless, so it is given only if the effect rules agree. A continued answer is repeated by
    /// its client together with its earlier shot, which is harmless while that shot may be followed by
    /// another.
    fn give_up(&mut self, t: usize) {
        let (now, task) = (self.now, &mut self.tasks[t]);
        let offering = &self.offerings[task.offering];
        let prior_expired =
            task.prior_shot.as_ref().is_some_and(|shot| !offering.may_repeat(shot, None, now));
        let any_may_have_run = prior_expired || task.shots.iter().any(|shot| shot.may_have_run);
        let repeatable_anywhere =
            offering.effect == "replayable" || (offering.effect == "referenced" && offering.group == "all");
        task.desired = DesiredState {
            end_with_bounce: Some(repeatable_anywhere || !any_may_have_run),
            ..DesiredState::default()
        };
    }

    /// Emits the difference between the desired state of a task and its shots in flight, held state and
    /// timer.
    fn reconcile(&mut self, t: usize, out: &mut Vec<Action>) {
        let (now, task_id) = (self.now, t as u32);
        let Some(task) = self.tasks.get_mut(t).filter(|task| task.live) else { return };
        if let Some(retryable) = task.desired.end_with_bounce.take() {
            task.ended = true;
            // A tenth to three tenths of the agreed time: spreads the repeats, and they may still be in time.
            let max_delay = self.config.duration("allowed.max_come_back_us").unwrap_or_default();
            let delay_seconds =
                self.offerings[task.offering].agreed_seconds * (0.1 + 0.2 * self.random.next_unit());
            let delay = max_delay.min(Duration::from_secs_f64(delay_seconds));
            let retry_after = self.config.flag("allowed.come_back").then_some(delay);
            let rejection = Action::Bounce { task: task_id, retry_after };
            out.push(if retryable { rejection } else { Action::BreakOff { task: task_id } });
        }
        if let Some(i) = task.desired.cancel {
            task.shots[i].cancelled = true;
            out.push(Action::Cancel { task: task_id, shot: i as u32 });
        }
        let any_in_flight = task.shots.iter().any(|shot| shot.in_flight);
        if task.desired.release_due && task.held.release(any_in_flight) {
            let reason = if any_in_flight { ReleaseReason::Unanswered } else { ReleaseReason::Left };
            out.push(Action::Release { task: task_id, reason });
        }
        if !task.desired.keep_held
            && !any_in_flight
            && task.held.has_known_state()
            && task.held.release(any_in_flight)
        {
            out.push(Action::Release { task: task_id, reason: ReleaseReason::Unused });
        }
        if task.ended && !any_in_flight {
            task.live = false;
            return out.push(Action::Forget { task: task_id });
        }
        if let Some(at) = task.desired.wake_at.filter(|at| task.timer_at != Some(*at)) {
            task.timer_at = Some(at);
            out.push(Action::Timer { at, token: (t as u64) << 32 | u64::from(task.generation) });
        }
        let Some((h, phase, deadline)) = task.desired.shot.take() else { return };
        let stream_tokens = f64::from(task.order.prompt_tokens) + task.output_tokens;
        let is_retry = task.shots.iter().any(|shot| shot.failed);
        let reads_prompt = phase != Phase::Write;
        let uncached_tokens = if reads_prompt { self.uncached_tokens(t, h) } else { 0.0 };
        let send_by = self.offerings[self.tasks[t].offering].send_by(&self.tasks[t], deadline);
        let shot = Shot {
            host: h,
            listed: self.hosts[h as usize].listed,
            phase,
            sent_at: now,
            uncached_tokens,
            stream_tokens: if phase == Phase::Read { 0.0 } else { stream_tokens },
            queue_tokens: self.queued_tokens(h) + uncached_tokens,
            estimated_cached_tokens: if reads_prompt { self.estimated_cached_tokens(t, h) } else { 0 },
            in_flight: true,
            ..Shot::default()
        };
        self.tasks[t].shots.push(shot);
        self.tasks_since_read = if reads_prompt { 0 } else { self.tasks_since_read };
        let host = &mut self.hosts[h as usize];
        host.shots_in_flight += 1;
        host.pending_read_tokens += shot.uncached_tokens;
        host.pending_stream_tokens += shot.stream_tokens;
        host.send_budget.level -= 1.0;
        // Only a shot after a failure spends retry credit; the write after a read does not.
        host.retry_credit -= if is_retry { 1.0 } else { 0.0 };
        host.recent_read_tokens.add(now, 60.0, shot.uncached_tokens);
        out.push(Action::Send { task: task_id, host: h, deadline, send_by });
    }
}

impl Host {
    /// Tokens to read as last reported; a report is valid for two seconds.
    fn recent_report(&self, now: Duration) -> Option<f64> {
        self.reported_to_read.filter(|(at, _)| now - *at < Duration::from_secs(2)).map(|(_, tokens)| tokens)
    }

    /// Suspicion decays with a time constant of four seconds, so that the host is tried again.
    pub(crate) fn suspicion_at(&self, now: Duration) -> f64 {
        self.suspicion.decayed(now, 4.0)
    }

    /// Records a read that ended here, or one that had not ended after `seconds`.
    fn record_read(
        &mut self,
        now: Duration,
        seconds: f64,
        queue_tokens: f64,
        role_read_times: &mut [DecayingRatio; 4],
    ) {
        self.read_times.add(
            seconds,
            queue_tokens + READ_OVERHEAD_TOKENS,
            HOST_RATIO_RETENTION * self.read_times_weight(now),
        );
        role_read_times[self.listed.role as usize].add(
            seconds,
            queue_tokens + READ_OVERHEAD_TOKENS,
            POOLED_RATIO_RETENTION,
        );
    }

    /// Weight left of the read times recorded here: it decays with a time constant of ten seconds since the
    /// last answer, so that a slow host is tried again.
    fn read_times_weight(&self, now: Duration) -> f64 {
        DecayingLevel { level: 1.0, updated_at: self.last_answer_at }.decayed(now, 10.0)
    }

    /// Records an answer: it earns a fifth of a retry, up to ten retries, and reduces suspicion.
    fn record_answer(&mut self, now: Duration) {
        let suspicion = self.suspicion_at(now) * 0.6;
        self.suspicion.set(now, suspicion);
        self.retry_credit = (self.retry_credit + 0.2).min(10.0);
        self.last_answer_at = now;
    }
}
