//! All decisions of tulipstall. `Rules::new` takes a seed and the terms told at start; `Rules::on` takes one
//! event at a time and appends the actions that it calls for, plain data of `src/interface.rs`. Nothing reads
//! a clock; equal events give equal actions. An event changes what a task wants (`plan`); `settle` alone
//! compares that with what is out, held and timed, and emits the difference.

use crate::interface::{
    Action, Closed, Event, Key, Listed, Load, Order, Outcome, Ran, ReleaseReason, Role, Standing, Terms,
};
use crate::release::begins_after;
pub use crate::state::Rules;
use crate::state::{Chance, Fading, Host, Kept, Offering, Part, Ratio, Shot, Task, Wanted};
use crate::state::{find_kept, highest, highest_of, kept_by, note_demand, note_kept};
use std::time::Duration;

/// A step's own cost beside the tokens that it reads: under the smallest chunk that engines read in.
const STEP: f64 = 300.0;

/// What a ratio keeps of its past with each addition: a dozen tasks settle it; of all hosts of a role,
/// dozens.
const KEEP: f64 = 0.8;
const POOL: f64 = 0.9;

/// Whether a count of pending tokens is at most so much, and its host may be sent to at all: where none may,
/// all counts are without bound, and so is the most.
fn within(count: f64, most: f64) -> bool {
    count.is_finite() && count <= most
}

impl Offering {
    /// Whether a shot that may have run may be followed by another, there or (absent) anywhere: a replayable
    /// one always, a referenced one inside its group and window, a single-use one never.
    fn again(&self, shot: &Shot, there: Option<&Host>, now: Duration) -> bool {
        let same = there.is_none_or(|there| match self.group.as_str() {
            "all" => true,
            "zone" => shot.at.zone == there.listed.zone,
            _ => shot.at.cell == there.listed.cell,
        });
        self.effect == "replayable" || (self.effect == "referenced" && same && now < shot.sent + self.window)
    }

    /// By when a shot has to begin, inside the windows of all that may have run: its connection may take longer.
    fn begin_by(&self, task: &Task, until: Duration) -> Duration {
        let bound = task.ran().filter(|_| self.effect == "referenced");
        bound.map(|shot| shot.sent + self.window).fold(until, Duration::min)
    }
}

impl Rules {
    pub fn new(seed: u64, terms: &Terms) -> Self {
        let dispatchers = terms.number("dispatchers").unwrap_or(1.0).max(1.0);
        let offerings = (0..terms.entries("offerings").max(1)).map(|i| Self::offering(terms, i));
        let mut offerings: Vec<Offering> = offerings.collect();
        // What brings less comes after what brings most.
        let most = offerings.iter().map(|offering| offering.gain).fold(0.001, f64::max);
        offerings.iter_mut().for_each(|offering| offering.rank = offering.gain / most);
        Rules {
            chance: Chance(seed ^ 0x9e37_79b9_7f4a_7c15).mixed(),
            offerings,
            dispatchers,
            zone: terms.number("zone_index").map_or(u32::MAX, |zone| zone as u32),
            // Until prompts have been seen: the order of magnitude at which reading is felt.
            long_prompt: 2000.0,
            caution: 1.0,
            // As if two prompts had been read at engines' order of magnitude: one full host makes none late.
            speeds: [Ratio { spent: 0.4, done: 4000.0 }; 4],
            terms: terms.clone(),
            ..Rules::default()
        }
    }

    fn offering(terms: &Terms, i: usize) -> Offering {
        let own = |field: &str| format!("offerings.{i}.{field}");
        let listed = |list: &str| terms.number(&format!("service.{list}.{i}"));
        Offering {
            agreed: terms.number(&own("agreed_time_us")).unwrap_or(1e6).clamp(0.0, 1e12) / 1e6,
            agreed_per_token: listed("agreed_time_us_per_1000_prompt_tokens").unwrap_or(0.0).clamp(0.0, 1e9)
                / 1e9,
            pace: listed("token_pace_us").unwrap_or(50_000.0).max(1.0) / 1e6,
            gain: terms.number(&own("gain")).unwrap_or(1.0),
            rank: 1.0,
            effect: terms.text(&own("effect")).unwrap_or_default().to_owned(),
            group: terms.text(&own("group")).unwrap_or("cell").to_owned(),
            window: terms.span(&own("window_us")).unwrap_or_default(),
        }
    }

    pub fn on(&mut self, now: Duration, event: &Event, out: &mut Vec<Action>) {
        // A clock that goes back stands still here.
        self.now = self.now.max(now);
        self.begun.get_or_insert(self.now);
        let task = match event {
            Event::Hosts { whole, listed } => return self.hosts_listed(*whole, listed, out),
            Event::ListFailed => return out.push(Action::AskList),
            Event::Kept { kept } => return self.told_kept = Some(kept.clone()),
            Event::Probed { host, load: Some(load), .. } => return self.reported(*host, load),
            Event::Place { .. } | Event::Probed { .. } => return,
            Event::Order(order) => self.take(order),
            Event::Started { task, shot } => self.started(*task, *shot),
            Event::Closed(closed) => self.closed(closed),
            Event::Timer { token } => (token >> 32) as u32,
            Event::ClientGone { task } => *task,
        } as usize;
        let Some(about) = self.tasks.get_mut(task).filter(|task| task.live) else { return };
        match event {
            Event::Timer { token } if about.turn != *token as u32 => return,
            Event::Timer { .. } => about.timer = None,
            Event::ClientGone { .. } => {
                about.ended = true;
                if about.shots.iter().any(Shot::waits) && self.now < about.due {
                    self.out_of_time();
                }
            }
            _ => {}
        }
        self.plan(task);
        self.settle(task, out);
        if let Some((host, what)) = self.note.take() {
            out.push(Action::Note { host, what });
        }
    }

    fn hosts_listed(&mut self, whole: bool, listed: &[Listed], out: &mut Vec<Action>) {
        let now = self.now;
        self.note_paces();
        if whole {
            self.hosts.iter_mut().for_each(|host| host.listed.standing = Standing::Gone);
        }
        let warm = self.terms.span("rules.warm_up_us").unwrap_or_default();
        let own = self.terms.number("me").unwrap_or(0.0).max(0.0) / self.dispatchers;
        for line in listed {
            let at = line.host as usize;
            self.hosts.resize(self.hosts.len().max(at + 1), Host::default());
            let warm_at = line.up_for.filter(|up| *up < warm).map_or(Duration::ZERO, |up| now + warm - up);
            let host = &mut self.hosts[at];
            // A later start under the same id is a new host, as is a new name: only what is still out there
            // is carried over.
            if host.listed.mark != line.mark || host.listed == Listed::default() || warm_at > host.warm_at {
                *host = Host {
                    reading: host.reading,
                    writing: host.writing,
                    shots_out: host.shots_out,
                    warm_at,
                    // A further shot or two may be needed before a host's first answers are in.
                    credit: 2.0,
                    trust: Ratio { spent: if warm_at > now { 0.0 } else { 2000.0 }, done: 2000.0 },
                    heard: now,
                    budget: Fading { level: (own + Chance(line.mark).mixed().part()).fract(), at: now },
                    ..Host::default()
                };
            }
            host.listed = *line;
        }
        self.weigh_cells();
        // What waits at a host that is gone turns away from it at once; what waits for one may have one now.
        for t in 0..self.tasks.len() {
            self.plan(t);
            self.settle(t, out);
        }
    }

    fn take(&mut self, order: &Order) -> u32 {
        let now = self.now;
        let t = order.task as usize;
        self.tasks.resize_with(self.tasks.len().max(t + 1), Task::default);
        let offering = order.offering.map_or(0, |o| o as usize).min(self.offerings.len() - 1);
        self.demand.add(now, 30.0, 1.0);
        self.unread += 1;
        let homes = self.find_homes(order);
        let home = self.find_home(order, &homes);
        let told = &self.offerings[offering];
        let prompt = f64::from(order.prompt_tokens);
        let task = &mut self.tasks[t];
        let mut shots = std::mem::take(&mut task.shots);
        shots.clear();
        *task = Task {
            live: true,
            turn: task.turn.wrapping_add(1),
            order: *order,
            offering,
            homes,
            home,
            arrived: now,
            due: now + Duration::from_secs_f64(told.agreed + told.agreed_per_token * prompt),
            wait_until: now + Duration::from_secs_f64(told.agreed / 2.0),
            // A tick or two inside the client's own time.
            stop: now + order.left.saturating_sub(Duration::from_millis(4)),
            output: match order.hint {
                Some(hint) => (hint.as_secs_f64() / told.pace).min(f64::from(order.most_tokens.max(1))),
                None => f64::from(order.most_tokens) / 2.0,
            },
            shots,
            told: self.told_kept.take(),
            // An answer gone on with: its lost shot binds what follows like one of its own.
            earlier: order.ran.map(|Ran { host, sent }| Shot {
                host,
                at: self.hosts.get(host as usize).map(|host| host.listed).unwrap_or_default(),
                sent,
                may_have_run: true,
                ..Shot::default()
            }),
            ..Task::default()
        };
        // The upper quartile of prompt lengths, by small steps: a few dozen prompts settle it.
        self.long_prompt *= if prompt > self.long_prompt { 1.015 } else { 0.995 };
        order.task
    }

    fn started(&mut self, t: u32, shot: u32) -> u32 {
        let now = self.now;
        let Some(task) = self.tasks.get_mut(t as usize) else { return t };
        let Some(shot) = task.shots.get_mut(shot as usize).filter(|shot| shot.out) else { return t };
        let from = task.held.fetched().map_or(u32::MAX, |from| self.hosts[from as usize].listed.cell);
        let waited = (now - shot.sent).as_secs_f64();
        shot.started = Some(now);
        let host = &mut self.hosts[shot.host as usize];
        host.rate.add(now, 30.0, 1.0);
        host.reading -= shot.net;
        host.overtook = host.overtook.max(shot.sent);
        if shot.part == Part::Write {
            // Seven shots' memory: 0.05 followed lost writers too slowly, 0.3 was no better. One answer
            // counts for four times the usual at most: slow hosts don't make every task late.
            let usual = &mut self.first_time[usize::from(from != host.listed.cell)];
            *usual += 0.15 * (waited.min(4.0 * *usual + 0.1) - *usual);
        } else {
            host.took(now, waited, shot.queue, &mut self.speeds);
        }
        host.answered(now);
        self.caution = (self.caution * 0.99).max(1.0);
        t
    }

    fn closed(&mut self, closed: &Closed) -> u32 {
        let (now, t) = (self.now, closed.task);
        let Some(task) = self.tasks.get_mut(t as usize).filter(|task| task.live) else { return t };
        task.ended |= closed.finished;
        // As long without an attempt as a state may be held: for a start, once nothing is held any more.
        task.wait_until = now + begins_after(self.terms.span("service.release_us").unwrap_or_default());
        let Some(shot) = task.shots.get_mut(closed.shot as usize).filter(|shot| shot.out) else { return t };
        shot.out = false;
        shot.may_have_run = shot.part != Part::Read && !closed.outcome.never_ran();
        shot.failed = !matches!(closed.outcome, Outcome::Delivered | Outcome::Read);
        task.held.ended(shot.host, shot.part == Part::Read, closed.outcome, now);
        if closed.outcome == Outcome::Read {
            let host = &mut self.hosts[shot.host as usize];
            host.rate.add(now, 30.0, 1.0);
            host.overtook = shot.sent.max(host.overtook);
        }
        let (shot, order, told) = (*shot, task.order, self.offerings[task.offering].agreed);
        let (home, ended) = (task.home, task.ended);
        let patient = now >= shot.sent + task.patience;
        if closed.outcome == Outcome::TimedOut && !patient {
            self.out_of_time();
        }
        let since = now.saturating_sub(Duration::from_secs_f64(told));
        let role = self.hosts[shot.host as usize].listed.role;
        let others = self.peers(role).any(|(h, peer)| h != shot.host && peer.heard > since);
        let host = &mut self.hosts[shot.host as usize];
        host.shots_out = host.shots_out.saturating_sub(1);
        host.reading -= if shot.started.is_none() { shot.net } else { 0.0 };
        host.writing -= shot.charge;
        if host.shots_out == 0 {
            (host.reading, host.writing) = (0.0, 0.0);
        }
        // Its place has a new owner, who must not pay for the one that left. Holds against fleets replaced at
        // once, under new names, while shots are out.
        if host.listed.mark != shot.at.mark {
            return t;
        }
        // Turned away by a host that own counts, taken for every dispatcher's, leave mostly free, while a
        // peer answers: not for its load. Holds against hosts that drain untold or are throttled: else their
        // refusals count as a jam of all, and what could be read elsewhere is bounced. May send on too soon
        // from one that others fill.
        let all = self.dispatchers;
        let free = if shot.part == Part::Write {
            host.writing * all < 0.5 * host.listed.memory_tokens.unwrap_or(0.0)
        } else {
            host.reading * all * self.speeds[role as usize].value() < 0.25 * told
        };
        let refuses = closed.outcome == Outcome::Full && free && others;
        // One lost connection or two errors take a host past half of certain; a silence takes it there.
        let blame = match closed.outcome {
            Outcome::Error | Outcome::Spoilt => 0.35,
            Outcome::Full if refuses => 0.35,
            // A client that leaves little time says nothing of the host.
            Outcome::TimedOut if patient => 0.5,
            Outcome::Cancelled if shot.cancelled && !ended => 0.5,
            Outcome::Broken | Outcome::NoConnection => 0.6,
            _ => 0.0,
        };
        // What was not read in time took at least so long, a full reader has an agreed time's reads before
        // it: else only what came through a jam would count, and the jam would look like none.
        let waited = if closed.outcome == Outcome::Full { told } else { (now - shot.sent).as_secs_f64() };
        let ends =
            matches!(closed.outcome, Outcome::Read | Outcome::TimedOut | Outcome::Cancelled | Outcome::Full);
        if ends && !refuses && shot.part != Part::Write && shot.started.is_none() {
            host.took(now, waited, shot.queue, &mut self.speeds);
        }
        if blame > 0.0 {
            host.suspicion.set(now, (host.doubt(now) + blame).min(1.0));
        } else if !shot.failed {
            host.answered(now);
        }
        // A line for the one on call: a host is half suspected (a silence, two errors), or no longer.
        let doubt = host.doubt(now);
        if if host.suspected { doubt < 0.2 && !shot.failed } else { doubt >= 0.5 } {
            host.suspected = !host.suspected;
            self.note = Some((shot.host, if host.suspected { "suspected" } else { "answers again" }));
        }
        if !shot.failed && shot.part != Part::Write {
            let read = order.prompt_tokens.saturating_sub(closed.kept_tokens);
            self.anew.add(f64::from(read), f64::from(order.prompt_tokens), POOL);
            if home == Some(shot.host) {
                let rest = |tokens: u32| f64::from(tokens.saturating_sub(order.shared_tokens));
                self.homed.add(rest(closed.kept_tokens), rest(order.prompt_tokens), POOL);
            }
            // What the note says was kept counts: a host that forgot one text has likely forgotten more.
            if shot.thought_kept > 0 {
                let found = closed.kept_tokens.min(shot.thought_kept);
                host.trust.add(f64::from(found), f64::from(shot.thought_kept), KEEP);
            }
            note_kept(&mut self.sessions, order.session, shot.host, order.prompt_tokens, now);
            note_kept(&mut self.shared, order.shared, shot.host, order.shared_tokens, now);
        }
        if let Some(load) = &closed.load {
            self.reported(shot.host, load);
        }
        t
    }

    /// A shot ran out of its client's time, or the client left before the agreed time: a tenth more for each, a
    /// hundredth less for one that came. Holds against impatient clients, and such as ask again at once.
    fn out_of_time(&mut self) {
        self.caution = (self.caution * 1.1).min(4.0);
    }

    /// Reports in tokens or in a share of a memory told in tokens, no other. Whole prompts are reported; the
    /// part of them that reads found not kept is what delays.
    fn reported(&mut self, h: u32, load: &Load) {
        let Some(host) = self.hosts.get_mut(h as usize) else { return };
        let anew = if self.anew.done > 0.0 { self.anew.value() } else { 1.0 };
        let fields = ["report.fields.0", "report.fields.1", "report.fields.2", "report.fields.3"];
        for (field, value) in fields.into_iter().zip(load.values).take(load.count) {
            match self.terms.text(field) {
                Some("x0") => host.memory_held = value.clamp(0.0, 1.0),
                Some("x1") => host.to_read = Some((self.now, value.clamp(0.0, 1e6) * 1000.0 * anew)),
                _ => {}
            }
        }
    }

    /// Tokens of a task's prompt that a host is told to hold, else thought to have kept. A text not known to
    /// be kept anywhere is thought kept at its homes; the note on the first read corrects that.
    fn kept(&self, t: usize, h: u32) -> u32 {
        let Task { order, homes, home, .. } = &self.tasks[t];
        let thought = if homes.contains(&h) { order.shared_tokens } else { 0 };
        if let Some(told) = self.tasks[t].told(h) {
            return if self.tasks[t].known() { told } else { told.max(thought) };
        }
        // Kept texts give way to newer ones in time; a minute is many times a session's pause.
        let since = self.now.saturating_sub(Duration::from_secs(60));
        let shared =
            kept_by(&self.shared, order.shared, h, since).unwrap_or(thought).min(order.shared_tokens);
        let of_session = if *home == Some(h) { self.at_home(order) } else { 0 };
        let session = kept_by(&self.sessions, order.session, h, since).unwrap_or(of_session);
        session.min(order.prompt_tokens).max(shared)
    }

    /// Prompt tokens left to read: kept ones are deducted as far as the host's notes have borne them out of
    /// late. Holds against flushes and against texts dropped for want of memory.
    fn net(&self, t: usize, h: u32) -> f64 {
        let kept = self.kept(t, h);
        // What is told has been weighed by what reads bore out.
        let told = self.tasks[t].told(h) == Some(kept);
        let trust = if told { 1.0 } else { self.hosts[h as usize].trust.value() };
        f64::from(self.tasks[t].order.prompt_tokens) - f64::from(kept) * trust
    }

    /// A shared text is at home at the hosts that a hash of both ranks highest: dispatchers that cannot talk
    /// bring it to the same readers, whose memory holds more texts. Two, or as many as its part of the tasks
    /// seen here would keep busy; where counts tell little, those of the own zone first: cuts run between zones.
    fn find_homes(&mut self, order: &Order) -> [u32; 8] {
        let Some(key) = order.shared else { return [u32::MAX; 8] };
        // Half a minute: dozens of tasks even at one a second; ten more, so that a second text is not all. This
        // task is left out: where few are seen, each text would else seem in demand by it alone.
        let before = note_demand(&mut self.shared, key, self.now, 30.0) - 1.0;
        let (all, thin) = (self.demand.left(self.now, 30.0) + 10.0, self.thin());
        let readers = || self.peers(Role::Reader).chain(self.peers(Role::Mixed));
        let wanted = (before / all * readers().count() as f64).ceil().clamp(2.0, 8.0) as usize;
        let near = |host: &Host| if host.listed.zone == self.zone { 1.0 + 1e9 * thin } else { 1.0 };
        highest(wanted, readers().map(|(h, host)| (near(host) * Self::home_rank(key, host), h)))
    }

    /// The session's last reader; where another dispatcher had it, its home stands in for it.
    fn last_reader(&self, t: usize) -> Option<u32> {
        let (task, order) = (&self.tasks[t], &self.tasks[t].order);
        // One that is told to hold nothing of it has lost it: no reason to go back.
        let holds = |h: &u32| task.told(*h) != Some(0);
        let last = |table: &[Kept], key: Option<Key>| find_kept(table, key)?.last.filter(holds);
        let known = last(&self.sessions, order.session).or(task.home);
        known.or_else(|| last(&self.shared, order.shared))
    }

    /// A session that is not known here is at home at the one among its text's homes that a hash of it ranks
    /// highest, in the own zone first; without such a text, among all that read.
    fn find_home(&self, order: &Order, homes: &[u32; 8]) -> Option<u32> {
        let key = order.session?;
        // Where nobody else may have had it, one that is not known is new.
        let known = find_kept(&self.sessions, order.session).is_some_and(|kept| kept.last.is_some());
        if known || self.dispatchers <= 1.0 {
            return None;
        }
        let texts = homes.iter().copied().filter(|h| *h != u32::MAX);
        let all = self.peers(Role::Reader).chain(self.peers(Role::Mixed)).map(|(h, _)| h);
        highest_of(texts.chain(all.filter(|_| order.shared.is_none())).map(|h| {
            let host = &self.hosts[h as usize];
            // Homes of texts were picked by their parts.
            let part = if order.shared.is_some() { host.part } else { 1.0 };
            (host.listed.zone == self.zone, Self::home_rank(key, host) / part, h)
        }))
    }

    /// Tokens thought kept at a session's home: its shared text, and of the rest what reads there found.
    /// Others saw most turns, where each sees little. Not where counts don't tell who is loaded: sessions
    /// would stay with readers that choke, unseen.
    fn at_home(&self, order: &Order) -> u32 {
        let rest = f64::from(order.prompt_tokens.saturating_sub(order.shared_tokens));
        order.shared_tokens + (rest * self.homed.value() * (1.0 - self.thin())) as u32
    }

    /// Weighted rendezvous hashing: highest on each host in proportion to its part of the tasks.
    fn home_rank(key: Key, host: &Host) -> f64 {
        host.part / -Chance(key.mark ^ host.listed.mark).mixed().part().ln().min(-1e-12)
    }

    fn peers(&self, role: Role) -> impl Iterator<Item = (u32, &Host)> {
        (0..).zip(&self.hosts).filter(move |(_, host)| host.runs() && host.listed.role == role)
    }

    /// Whether the list, the operators' credit, the effect rules and the cold budget let a shot go there.
    fn may_send(&mut self, t: usize, h: u32) -> bool {
        let now = self.now;
        let (task, host) = (&self.tasks[t], &self.hosts[h as usize]);
        let told = &self.offerings[task.offering];
        let credit = host.credit >= 1.0 || !task.shots.iter().any(|shot| shot.failed);
        // A read for it counts as a further shot too, though it has no effect of its own.
        let again = host.runs() && credit && task.ran().all(|shot| told.again(shot, Some(host), now));
        again && self.cold_budget(h) >= 1.0
    }

    /// Shots that a cold host may be sent now. The budget fills at the part of a warm peer's own traffic that
    /// the host can do for certain, and a shot not taken in half the time in which a host falls, or until two
    /// more tasks are due here, lapses: no burst, and nothing forgotten at a restart is spent twice. All
    /// dispatchers' parts add up to a warm peer's traffic times that part, well inside the multiple at which
    /// the host falls. Each starts at its own place between nothing and a shot: else hundreds would all come
    /// late and at once.
    fn cold_budget(&mut self, h: u32) -> f64 {
        let (now, host) = (self.now, &self.hosts[h as usize]);
        if now >= host.warm_at {
            return f64::INFINITY;
        }
        let warm_up = self.terms.number("rules.warm_up_us").unwrap_or(1e6) / 1e6;
        let age = 1.0 - (host.warm_at - now).as_secs_f64() / warm_up.max(0.001);
        let (each, tasks) = self.paces[host.listed.role as usize];
        let cold_from = self.terms.number("rules.cold_from").unwrap_or(0.1);
        // Warming evenly, but never past four fifths of what a host that stays cold throughout would stand.
        let stands = 0.8 * cold_from * self.terms.number("rules.fall_multiple").unwrap_or(1.0);
        let part = (cold_from + (1.0 - cold_from) * age.max(0.0)).min(stands);
        let host = &mut self.hosts[h as usize];
        let filled = host.budget.level + (now - host.budget.at).as_secs_f64() * each * part;
        let half = self.terms.number("rules.fall_us").unwrap_or(0.0) / 2e6;
        let lapses = each * part * half.max(2.0 / tasks.max(0.01));
        let held = filled.fract();
        let level = if filled >= 1.0 && held < lapses { 1.0 + held } else { held };
        host.budget.set(now, level);
        level
    }

    /// Shots a second from here that a warm host of a role read or began to answer (the last one, where none
    /// is warm), at most its part of the tasks among all that do the same step; and tasks a second. Holds
    /// against fleets replaced at once: few that run are sent more than they can do, new ones would be too.
    fn pace(&self, role: Role) -> (f64, f64) {
        let now = self.now;
        // Over half a minute: shorter, and one of hundreds sees none most of the time. After a start as of so
        // much less; for ten seconds not all, as what comes then is clients who ask again.
        let up = (now - self.begun.unwrap_or_default()).as_secs_f64().max(10.0);
        let each_second = 1.0 / (30.0 * (1.0 - (-up / 30.0).exp()));
        let warm = self.peers(role).filter(|(_, peer)| now >= peer.warm_at);
        let (warm, rate) = warm.fold((0.0, 0.0), |s, (_, peer)| (s.0 + 1.0, s.1 + peer.rate.left(now, 30.0)));
        let (tasks, rate) = (self.demand.left(now, 30.0) * each_second, rate * each_second);
        let reads = |role: Role| role == Role::Reader;
        let step = self.hosts.iter().filter(|host| host.runs() && reads(host.listed.role) == reads(role));
        let (asked, before) = (tasks / step.count().max(1) as f64, self.paces[role as usize].0);
        let each = if warm > 0.0 { Some(rate / warm) } else { Some(before).filter(|before| *before > 0.0) };
        (asked.min(each.unwrap_or(asked)), tasks)
    }

    fn note_paces(&mut self) {
        self.paces = [Role::Reader, Role::Writer, Role::Mixed, Role::Unknown].map(|role| self.pace(role));
    }

    /// Seconds a token takes at a host, of late, weighed against two long prompts of its role's: where it is
    /// heard of twice a minute, that tells a jam from a slow host.
    fn speed(&self, h: u32) -> f64 {
        let (host, weight) = (&self.hosts[h as usize], 2.0 * self.long_prompt);
        let (fades, usual) = (host.fades(self.now), self.speeds[host.listed.role as usize].value());
        (host.reads.spent * fades + weight * usual) / (host.reads.done * fades + weight)
    }

    /// How many times slower than its role a reader has been of late; 1 within the usual spread of sound
    /// ones, up to 2 so weighed; ten bounds what a reading taken in a jam can do.
    pub(crate) fn slow(&self, h: u32, part: Part) -> f64 {
        let times = self.speed(h) / self.speeds[self.hosts[h as usize].listed.role as usize].value();
        if times < 2.0 || part == Part::Write { 1.0 } else { times.min(10.0) }
    }

    /// Tokens before a new read: own pending ones or the late report of tokens to read, whichever is larger;
    /// a host without a late report counts at the average of those of its role that have one.
    fn to_read(&self, h: u32) -> f64 {
        let host = &self.hosts[h as usize];
        host.reading.max(host.told_of_late(self.now).unwrap_or(self.told[host.listed.role as usize].value()))
    }

    /// What a far move adds to the time of a first token, in agreed times.
    fn far_costs(&self) -> f64 {
        let ([near, far], told) = (self.first_time, self.offerings[0].agreed.max(0.01));
        f64::max(far - near, 0.0) / told
    }

    fn first_token(&self, h: u32) -> f64 {
        let ([near, far], leaves) = (self.first_time, self.hosts[h as usize].leaves);
        near + leaves * (far - near)
    }

    /// How little own counts tell of who is loaded: much where readers see a few long prompts from here a
    /// minute, not where they report tokens.
    fn thin(&self) -> f64 {
        4.0 * self.long_prompt / (4.0 * self.long_prompt + self.asked)
    }

    /// Pending tokens of a host for a task that would add `net`, suspicion and slowness charged in tokens.
    fn pending(&self, h: u32, part: Part, net: f64) -> f64 {
        let host = &self.hosts[h as usize];
        let streams = if part == Part::Read { 0.0 } else { host.writing };
        // Fast failures empty a host: eight long prompts for certain suspicion, and more with shots on trial.
        let doubt = host.doubt(self.now) * 8.0 * self.long_prompt * f64::from(1 + host.shots_out);
        let load = (streams + self.to_read(h) + net) * self.slow(h, part) + doubt;
        if part != Part::Read {
            return load;
        }
        // Where states have to leave the cell and links are slow: an agreed time counts two long prompts.
        let moves = 2.0 * host.leaves * self.far_costs();
        // What a dispatcher brought a reader of late stands for what all did, as they choose alike: three
        // long prompts for each part beyond its own, as far as own counts are thin and no reader reports
        // tokens. A long prompt each is taken as asked, so that the first ones weigh little.
        let (long, asked) = (self.long_prompt, host.asked.left(self.now, 60.0));
        let thin = self.thin();
        let over = f64::max((asked + long) / (self.asked + long) - 1.0, 0.0);
        load + (moves + 3.0 * over * thin) * long
    }

    /// Counts of pending tokens, one a host, without bound where the shot may not go; and the fewest.
    fn count(&mut self, t: usize, part: Part) -> f64 {
        let (prompt, output) = (f64::from(self.tasks[t].order.prompt_tokens), self.tasks[t].output);
        let reads = self.terms.flag("service.writers_read");
        let (mut told, mut asked, mut readers) = ([Ratio::default(); 4], 0.0, 0.0);
        for host in self.hosts.iter().filter(|host| host.runs()) {
            if let Some(tokens) = host.told_of_late(self.now) {
                told[host.listed.role as usize].add(tokens, 1.0, 1.0);
            }
            if host.listed.role == Role::Reader {
                let known = if host.to_read.is_some() { f64::INFINITY } else { 0.0 };
                (asked, readers) = (asked + host.asked.left(self.now, 60.0) + known, readers + 1.0);
            }
        }
        (self.told, self.asked) = (told, f64::max(asked / f64::max(readers, 1.0), 1.0));
        if self.hosts.iter().any(|host| host.runs() && self.now < host.warm_at) {
            self.note_paces();
        }
        let mut counts = std::mem::take(&mut self.counts);
        counts.clear();
        for h in 0..self.hosts.len() as u32 {
            let role = self.hosts[h as usize].listed.role;
            let (fit, net) = match part {
                Part::Read => (role == Role::Reader, self.net(t, h)),
                Part::Write => (role == Role::Writer || role == Role::Mixed, prompt + output),
                Part::Whole => {
                    (role == Role::Mixed || role == Role::Writer && reads, self.net(t, h) + output)
                }
            };
            let may = fit && self.may_send(t, h);
            // The host that this task's answer is taken from, lost or slow, or that turned it away, counts as
            // past what is alike: its own counts may not tell why. Not where it may have run: mostly by chance.
            let leaves = self.tasks[t].leaves(h);
            let left = if leaves { 1.5 * self.alike(t) } else { 0.0 };
            counts.push(if may { self.pending(h, part, net) + left } else { f64::INFINITY });
        }
        self.counts = counts;
        self.counts.iter().copied().fold(f64::INFINITY, f64::min)
    }

    /// The reader with the fewest pending tokens; the last reader wins up to one long prompt above it.
    fn pick_reader(&mut self, t: usize) -> Option<u32> {
        let fewest = self.count(t, Part::Read);
        // A cold one that may be sent to goes first: its shot would lapse, and where hundreds see little no
        // count tells that it is free. Holds against fleets replaced at once, whose few warm hosts choke
        // beside cold ones that nobody picks.
        let counts = (0..).zip(&self.counts).map(|(h, count)| (h, *count, &self.hosts[h as usize]));
        let cold = counts
            .filter(|(_, count, host)| self.now < host.warm_at && within(*count, fewest + self.long_prompt));
        let far = |host: &Host| host.listed.zone != self.zone;
        if let Some((h, ..)) = cold.min_by(|a, b| far(a.2).cmp(&far(b.2)).then(a.1.total_cmp(&b.1))) {
            return Some(h);
        }
        // Only a last reader that may be sent to counts: with none at all, both are without bound.
        let last =
            self.last_reader(t).filter(|h| within(self.counts[*h as usize], fewest + self.long_prompt));
        if last.is_some() {
            return last;
        }
        // Less than a step apart is alike: own zone, then by a hash of the session, so that dispatchers don't
        // follow others and yet bring its next turn to the same reader.
        let (alike, key) = ((0..).zip(&self.counts), self.tasks[t].order.session);
        highest_of(alike.filter(|(_, count)| within(**count, fewest + STEP)).map(|(h, _): (u32, _)| {
            let host = &self.hosts[h as usize];
            let by = key.map_or_else(|| self.chance.part(), |key| Self::home_rank(key, host));
            (host.listed.zone == self.zone, by, h)
        }))
    }

    /// What all would send a cell's writers if each state stayed in its cell, against what they can take.
    /// Where hundreds of dispatchers see a task a second each, own counts do not tell: racks with many
    /// readers would choke their few writers, unseen.
    fn weigh_cells(&mut self) {
        // A mixed host does a quarter of a writer's part whole, as reads slow streams, the rest from states.
        let takes = |role| [0.0, 1.0, 0.75, 0.0][role as usize];
        let reads = |role| [1.0, 0.0, 0.0, 0.0][role as usize];
        let sum = |of: fn(Role) -> f64, within: &dyn Fn(&Listed) -> bool| -> f64 {
            let running = self.hosts.iter().filter(|host| host.runs() && within(&host.listed));
            running.map(|host| of(host.listed.role)).sum::<f64>().max(1e-9)
        };
        let (read, taken) = (sum(reads, &|_| true), sum(takes, &|_| true));
        let weigh = |host: &Host| {
            let cell = |other: &Listed| other.cell == host.listed.cell;
            let (reads, all) = (sum(reads, &cell) / read, sum(takes, &cell) / taken);
            let spare = f64::max(all - reads, 0.0) * takes(host.listed.role) / taken / all;
            (f64::max(reads - all, 0.0) / reads, spare)
        };
        let weighed: Vec<(f64, f64)> = self.hosts.iter().map(weigh).collect();
        for (host, weighed) in self.hosts.iter_mut().zip(weighed) {
            (host.leaves, host.spare) = weighed;
            host.part = if host.listed.role == Role::Mixed { 0.25 * read / taken } else { 1.0 };
        }
    }

    fn alike(&self, t: usize) -> f64 {
        let task = &self.tasks[t];
        // Four: with one, three fifths of the tokens left their cell; eight let near writers fill up.
        4.0 * (f64::from(task.order.prompt_tokens) + task.output)
    }

    /// The writer with the fewest pending tokens. Within four times this task's own charge, what a few picks
    /// tip, the reader's cell is preferred, as far as its writers can take what all its readers read; then
    /// cells with writers to spare, by chance in proportion, those of its zone rather.
    fn pick_writer(&mut self, t: usize, part: Part) -> Option<u32> {
        let (fewest, margin) = (self.count(t, part), self.alike(t));
        let from = self.tasks[t].held.reader().map(|h| self.hosts[h as usize]);
        // As far as own streams at the writers don't show who is full, and as far as it is worth it: slow
        // links cost more than a full writer near by.
        let writers = self.peers(Role::Writer);
        let (own, alike) = writers.fold((0.0, 1.0), |s, (_, host)| (s.0 + host.writing, s.1 + margin));
        let worth = (alike / (own + alike)).powi(2) * (1.0 - self.far_costs());
        let leaves = from.is_some_and(|from| self.chance.part() < from.leaves * worth);
        let near = |to: &Host| match &from {
            Some(from) if from.listed.cell == to.listed.cell => 3 * u32::from(leaves),
            Some(_) if leaves => 1 + u32::from(to.spare <= 0.0),
            Some(from) => 1 + u32::from(from.listed.zone != to.listed.zone),
            None => 0,
        };
        let alike = (0..).zip(&self.counts).filter(|(_, count)| within(**count, fewest + margin));
        let now = self.now;
        // The least of -ln(chance) / weight falls on each host in proportion to its weight.
        let ranked = alike.map(|(h, _): (u32, _)| {
            let host = &self.hosts[h as usize];
            // Eight: a zone short of writers still sends some away, one that is not few.
            let zone = from.is_none_or(|from| from.listed.zone == host.listed.zone);
            let weight = if !leaves { 1.0 } else { host.spare.max(1e-9) * if zone { 8.0 } else { 1.0 } };
            // As with readers, where the state need not leave its zone for it.
            let cold = now < host.warm_at && zone;
            ((!cold, near(host)), -self.chance.part().ln() / weight, h)
        });
        ranked.min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))).map(|(.., h)| h)
    }

    fn read_expected(&self, t: usize, h: u32) -> f64 {
        self.speed(h) * (self.to_read(h) + self.net(t, h) + STEP)
    }

    /// Whether a read begun now would end in time for a first token at the agreed time, behind no more than
    /// half the agreed time of what brings most, in proportion to its rank. Holds against overload: with
    /// longer queues sessions leave readers that have kept them. May bounce what would have been in time.
    fn read_in_time(&self, t: usize, h: u32) -> bool {
        let (now, task, host) = (self.now, &self.tasks[t], &self.hosts[h as usize]);
        let by = task.due.min(task.stop).saturating_sub(now).as_secs_f64();
        let top = self.offerings.iter().max_by(|a, b| a.gain.total_cmp(&b.gain));
        let wait = top.map_or(f64::INFINITY, |top| 0.5 * top.agreed * self.offerings[task.offering].rank);
        // Old, bad readings cannot shut all for good: a trial, for one task in twelve and one at a time, else
        // hundreds of dispatchers' keep a jam; not for impatient clients, for whom it would end too late.
        let trial = self.unread >= 12
            && by > 0.5 * self.offerings[task.offering].agreed
            && self.peers(host.listed.role).all(|(_, peer)| peer.reading <= 0.0);
        let in_turn = task.ran().next().is_some() || self.speed(h) * self.to_read(h) < wait;
        trial || (in_turn && (self.read_expected(t, h) + self.first_token(h)) * self.caution < by)
    }

    /// Overload: what the writers have no memory for is bounced unread, a quarter past the full for what
    /// brings the most. Own streams stand for all dispatchers', unless more is reported or one alone would
    /// stand for more than a writer's memory: among hundreds of dispatchers who has a few more than others
    /// would bounce what the writers have room for. There late first tokens tell (`read_in_time`).
    fn room(&self, t: usize) -> bool {
        let writers = self.peers(Role::Writer).chain(self.peers(Role::Mixed));
        let stream = (f64::from(self.tasks[t].order.prompt_tokens) + self.tasks[t].output) * self.dispatchers;
        // A host lost without notice counts no longer once it is suspected.
        let memory = |host: &Host| host.listed.memory_tokens.unwrap_or(0.0) * (1.0 - host.doubt(self.now));
        let (held, memory) = writers.fold((0.0, 0.0), |sum, (_, host)| {
            let thin = stream > host.listed.memory_tokens.unwrap_or(0.0);
            let own = if thin { 0.0 } else { host.writing * self.dispatchers };
            (sum.0 + own.max(host.memory_held * memory(host)), sum.1 + memory(host))
        });
        memory == 0.0 || held <= memory * (1.0 + 0.25 * self.offerings[self.tasks[t].offering].rank)
    }

    /// A reader, or a mixed host for its share of tasks whole: those whose home it is, while its count is
    /// alike to the fewest of all that write; or where no reader can read in time. By counts alone
    /// dispatchers with little pending would all meet at the few mixed hosts.
    fn pick_start(&mut self, t: usize) -> Option<(u32, Part)> {
        let reader = self.pick_reader(t);
        let whole = self.pick_writer(t, Part::Whole);
        let last = self.last_reader(t).filter(|h| self.hosts[*h as usize].listed.role == Role::Mixed);
        let home = last.filter(|h| {
            let most = self.count(t, Part::Write) + self.alike(t);
            within(self.counts[*h as usize], most)
        });
        // Not where readers are only late: hundreds of dispatchers would carry a jam of theirs over at once.
        let spare = whole.filter(|_| reader.is_none()).map(|h| (h, Part::Whole));
        let starts = [home.map(|h| (h, Part::Whole)), reader.map(|h| (h, Part::Read)), spare];
        let pick = starts.into_iter().flatten().find(|(h, _)| self.read_in_time(t, *h));
        if pick.is_none() && (reader.is_some() || whole.is_some()) {
            self.give_up(t);
        }
        pick
    }

    fn plan(&mut self, t: usize) {
        self.plan_attempts(t);
        self.plan_release(t);
    }

    fn stated_release(&self) -> Duration {
        self.terms.span("service.release_us").unwrap_or_default()
    }

    /// What is held is released in the stated time also while an attempt is out that nothing has been heard of: it may
    /// never have arrived. The attempt goes on: its writer may be slow, and what has arrived may run whatever is released.
    fn plan_release(&mut self, t: usize) {
        let (now, stated) = (self.now, self.stated_release());
        let Some(task) = self.tasks.get_mut(t).filter(|task| task.live) else { return };
        if task.shots.iter().any(|shot| shot.out && shot.started.is_some()) {
            return;
        }
        let unheard = task.want.shot.is_some() || task.shots.iter().any(|shot| shot.out);
        let Some(at) = task.held.release_at(stated, unheard) else { return };
        // A state that waits for a writer is given up with its request; what may be left elsewhere hinders nothing.
        let waits = task.held.reader().is_some() || task.ended;
        if !unheard && waits {
            return;
        }
        task.want.release = at <= now;
        if at > now {
            task.want.wake = Some(task.want.wake.map_or(at, |wake| wake.min(at)));
        }
    }

    fn plan_attempts(&mut self, t: usize) {
        let (now, cancel) = (self.now, self.terms.flag("allowed.cancel"));
        let stated = self.stated_release();
        let Some(task) = self.tasks.get_mut(t).filter(|task| task.live) else { return };
        task.want = Wanted::default();
        if task.ended {
            // Its client has left: what still waits or is read for it delays others. Holds against clients
            // that leave before their time and ask again at once.
            let waits = |shot: &Shot| shot.waits() && !shot.cancelled;
            task.want.cancel = task.shots.iter().position(waits).filter(|_| cancel);
            return;
        }
        if let Some(i) = task.shots.iter().position(|shot| shot.out) {
            return self.watch(t, i);
        }
        let (held, first, stop) = (task.held.reader(), task.shots.is_empty(), task.stop);
        let agreed = (task.due - task.arrived).as_secs_f64();
        let most = self.terms.number("allowed.max_shots").unwrap_or(1.0) as usize;
        let told = &self.offerings[task.offering];
        let barred = !task.ran().all(|shot| told.again(shot, None, now));
        let late = now + Duration::from_secs_f64(0.5 * self.first_time[0]) >= stop;
        let release_at = held.and_then(|_| task.held.release_at(stated, false));
        // One that was given up after it was written leaves its state to another writer for somewhat longer.
        let was_written = task.shots.last().is_some_and(|shot| shot.may_have_run);
        let held_until = held.and_then(|_| task.held.release_at(stated, was_written));
        let pinned = held_until.is_some_and(|at| at <= now);
        let wait_until = release_at.unwrap_or(task.wait_until);
        if late || pinned || barred || task.shots.len() >= most || (first && !self.room(t)) {
            return self.give_up(t);
        }
        let pick = match held {
            Some(_) => self.pick_writer(t, Part::Write).map(|h| (h, Part::Write)),
            None => self.pick_start(t),
        };
        // A state that crosses links is overtaken by near ones, and would be fetched from nothing elsewhere.
        let (cell, [near, far]) = (|h: u32| self.hosts[h as usize].listed.cell, self.first_time);
        let expected = match (pick, held) {
            (Some((h, Part::Read | Part::Whole)), _) => self.read_expected(t, h),
            (Some((h, _)), Some(from)) if cell(from) != cell(h) => 6.0 * far.max(0.1 * agreed),
            _ => near,
        };
        let task = &mut self.tasks[t];
        task.want.keep = task.want.answer.is_none();
        if let Some((h, part)) = pick {
            // Silence costs a shot, not the task: four times what is expected, a quarter of the agreed time.
            task.patience = Duration::from_secs_f64((4.0 * expected).max(0.25 * agreed).min(1e6));
            let until = if cancel { stop } else { stop.min(now + 6 * task.patience) };
            task.want.shot = Some((h, part, until));
            task.want.wake = Some(now + task.patience).filter(|at| cancel && *at < stop);
        } else if task.want.answer.is_none() {
            // Nobody may be sent to for now: cold budgets fill, credit is earned.
            let wake = now + Duration::from_millis(10);
            if wake >= wait_until.min(stop) {
                return self.give_up(t);
            }
            task.want.wake = Some(wake);
        }
    }

    /// A shot is out. Hosts answer first come first: waiting at one that still works is no worse than anew
    /// elsewhere. A shot is let go of where its host is gone from the list, has answered shots sent clearly
    /// later, or has been silent three times as long while peers spoke (another's long prompt keeps a sound
    /// reader silent). Holds against hung, cut off and dead hosts and those that lose a part or one offering
    /// of their work; may hurt where traffic is thin or a host does not keep to the order.
    fn watch(&mut self, t: usize, i: usize) {
        let (now, task) = (self.now, &self.tasks[t]);
        let (shot, patience, stop) = (task.shots[i], task.patience, task.stop);
        let host = &self.hosts[shot.host as usize];
        let told = &self.offerings[task.offering];
        let peers = self.peers(host.listed.role).any(|(_, peer)| peer.heard > shot.sent);
        // While another writer can still fetch the state, silence is told sooner.
        let other_at =
            task.held.other_writer_at(self.stated_release()).map(|at| at.max(shot.sent + patience));
        let silent_at = other_at.map_or(shot.sent + 3 * patience, |at| at.min(shot.sent + 3 * patience));
        let silent = now >= silent_at && host.heard <= shot.sent && peers;
        let overtaken = now >= shot.sent + patience && host.overtook > shot.sent + patience / 4;
        let gone = host.listed.standing == Standing::Gone || host.listed.mark != shot.at.mark;
        let stays = shot.part != Part::Read && !told.again(&shot, None, now);
        let want = &mut self.tasks[t].want;
        want.keep = true;
        if shot.started.is_some() || shot.cancelled || stays || !self.terms.flag("allowed.cancel") {
            return;
        }
        let next = if now < shot.sent + patience { shot.sent + patience } else { now + patience / 2 };
        let next = if now < silent_at { next.min(silent_at) } else { next };
        want.cancel = (silent || overtaken || gone).then_some(i);
        want.wake = Some(next).filter(|at| *at < stop && want.cancel.is_none());
    }

    /// The answer goes at once. A bounce says that a repeat is harmless: only where the effect rules agree.
    /// What goes on with a lost answer is asked again with its earlier shot: harmless while that allows more.
    fn give_up(&mut self, t: usize) {
        let (now, task) = (self.now, &mut self.tasks[t]);
        let told = &self.offerings[task.offering];
        let over = task.earlier.as_ref().is_some_and(|shot| !told.again(shot, None, now));
        let ran = over || task.shots.iter().any(|shot| shot.may_have_run);
        let all = told.effect == "replayable" || (told.effect == "referenced" && told.group == "all");
        task.want = Wanted { answer: Some(all || !ran), ..Wanted::default() };
    }

    /// Emits the difference between what the task wants and what is out, held and timed.
    fn settle(&mut self, t: usize, out: &mut Vec<Action>) {
        let (now, number) = (self.now, t as u32);
        let Some(task) = self.tasks.get_mut(t).filter(|task| task.live) else { return };
        if let Some(bounce) = task.want.answer.take() {
            task.ended = true;
            // A tenth to three tenths of the agreed time: spread, and the repeat may still be in time.
            let most = self.terms.span("allowed.max_come_back_us").unwrap_or_default();
            let soon = self.offerings[task.offering].agreed * (0.1 + 0.2 * self.chance.part());
            let after = most.min(Duration::from_secs_f64(soon));
            let come_back = self.terms.flag("allowed.come_back").then_some(after);
            let bounced = Action::Bounce { task: number, come_back };
            out.push(if bounce { bounced } else { Action::BreakOff { task: number } });
        }
        if let Some(i) = task.want.cancel {
            task.shots[i].cancelled = true;
            out.push(Action::Cancel { task: number, shot: i as u32 });
        }
        let any_out = task.shots.iter().any(|shot| shot.out);
        if task.want.release && task.held.release(any_out) {
            let reason = if any_out { ReleaseReason::Unanswered } else { ReleaseReason::Left };
            out.push(Action::Release { task: number, reason });
        }
        if !task.want.keep && !any_out && task.held.is_known() && task.held.release(any_out) {
            out.push(Action::Release { task: number, reason: ReleaseReason::Unused });
        }
        if task.ended && !any_out {
            task.live = false;
            return out.push(Action::Forget { task: number });
        }
        if let Some(at) = task.want.wake.filter(|at| task.timer != Some(*at)) {
            task.timer = Some(at);
            out.push(Action::Timer { at, token: (t as u64) << 32 | u64::from(task.turn) });
        }
        let Some((h, part, until)) = task.want.shot.take() else { return };
        let stream = f64::from(task.order.prompt_tokens) + task.output;
        let further = task.shots.iter().any(|shot| shot.failed);
        let reads = part != Part::Write;
        let net = if reads { self.net(t, h) } else { 0.0 };
        let begin_by = self.offerings[self.tasks[t].offering].begin_by(&self.tasks[t], until);
        let shot = Shot {
            host: h,
            at: self.hosts[h as usize].listed,
            part,
            sent: now,
            net,
            charge: if part == Part::Read { 0.0 } else { stream },
            queue: self.to_read(h) + net,
            thought_kept: if reads { self.kept(t, h) } else { 0 },
            out: true,
            ..Shot::default()
        };
        self.tasks[t].shots.push(shot);
        self.unread = if reads { 0 } else { self.unread };
        let host = &mut self.hosts[h as usize];
        host.shots_out += 1;
        host.reading += shot.net;
        host.writing += shot.charge;
        host.budget.level -= 1.0;
        // The step after a read is no further shot; one after a failure is, and spends credit.
        host.credit -= if further { 1.0 } else { 0.0 };
        host.asked.add(now, 60.0, shot.net);
        out.push(Action::Send { task: number, host: h, until, begin_by });
    }
}

impl Host {
    /// A report of tokens to read tells for two seconds.
    fn told_of_late(&self, now: Duration) -> Option<f64> {
        self.to_read.filter(|(at, _)| now - *at < Duration::from_secs(2)).map(|(_, tokens)| tokens)
    }

    /// Suspicion fades in some four seconds, so that a host is tried again by and by.
    pub(crate) fn doubt(&self, now: Duration) -> f64 {
        self.suspicion.left(now, 4.0)
    }

    /// A prompt was read here, or not in so long.
    fn took(&mut self, now: Duration, waited: f64, queue: f64, speeds: &mut [Ratio; 4]) {
        self.reads.add(waited, queue + STEP, KEEP * self.fades(now));
        speeds[self.listed.role as usize].add(waited, queue + STEP, POOL);
    }

    /// What is left of its answers' times: they are let go of in ten seconds, so that it is tried again.
    fn fades(&self, now: Duration) -> f64 {
        Fading { level: 1.0, at: self.heard }.left(now, 10.0)
    }

    /// An answer earns a fifth of a further shot, up to ten shots, and takes suspicion off.
    fn answered(&mut self, now: Duration) {
        let doubt = self.doubt(now) * 0.6;
        self.suspicion.set(now, doubt);
        self.credit = (self.credit + 0.2).min(10.0);
        self.heard = now;
    }
}
