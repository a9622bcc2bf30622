//! Figures for the one on call, in Prometheus text.

use crate::Shared;
use prometheus::{
    Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry, TextEncoder,
};
use std::sync::atomic::Ordering;
use tulipstall_settings::Settings;

pub struct Metrics {
    registry: Registry,
    /// Final answers by offering and kind.
    pub answers: IntCounterVec,
    /// Shots by outcome.
    pub shots: IntCounterVec,
    /// Requests that became no task, by status.
    pub refused: IntCounterVec,
    pub first_token: Histogram,
    pub tokens: IntCounter,
    /// Streams whose writer was lost, by what became of them.
    pub lost: IntCounterVec,
    pub reread: IntCounter,
    /// Streams for which another writer was looked for while theirs spoke, by why and what became of it.
    pub moved: IntCounterVec,
    pub lists: IntCounterVec,
    pub events: IntCounter,
    pub deciding: IntCounter,
    pub notes: IntCounterVec,
    /// Prompt tokens read, those thought kept, those found, and hosts seen to have forgotten.
    pub prefixes: IntGaugeVec,
    /// Shots that did not tell their end by their time.
    pub overdue: IntGauge,
    in_hand: IntGauge,
    connections: IntGauge,
}

impl Metrics {
    pub fn new(settings: &Settings) -> Self {
        let registry = Registry::new();
        let labels = Registry::new_custom(
            Some("tulipstall".to_owned()),
            Some([("dispatcher".to_owned(), settings.name.clone())].into()),
        );
        let registry = labels.unwrap_or(registry);
        // Names and labels are fixed below: making and entering them cannot fail.
        let counters = |name: &str, help: &str, by: &[&str]| {
            let made = IntCounterVec::new(Opts::new(name, help), by).expect("a fixed name");
            let _ = registry.register(Box::new(made.clone()));
            made
        };
        let counter = |name: &str, help: &str| {
            let made = IntCounter::new(name, help).expect("a fixed name");
            let _ = registry.register(Box::new(made.clone()));
            made
        };
        let prefixes =
            Opts::new("prefix_index", "Tokens read, thought kept and found kept; hosts that forgot");
        let prefixes = IntGaugeVec::new(prefixes, &["what"]).expect("a fixed name");
        let _ = registry.register(Box::new(prefixes.clone()));
        let gauge = |name: &str, help: &str| {
            let made = IntGauge::new(name, help).expect("a fixed name");
            let _ = registry.register(Box::new(made.clone()));
            made
        };
        let times =
            HistogramOpts::new("first_token_seconds", "Time from a task's arrival to its first token")
                .buckets(vec![0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0]);
        let first_token = Histogram::with_opts(times).expect("a fixed name");
        let _ = registry.register(Box::new(first_token.clone()));
        Metrics {
            answers: counters("answers_total", "Final answers", &["offering", "answer"]),
            shots: counters("shots_total", "Shots by how they ended", &["outcome"]),
            refused: counters("refused_total", "Requests that became no task", &["status"]),
            lost: counters("streams_lost_total", "Writers lost under begun answers", &["then"]),
            tokens: counter("answer_tokens_total", "Tokens passed on to clients"),
            moved: counters(
                "streams_moved_total",
                "Streams for which a better writer was looked for",
                &["why", "then"],
            ),
            prefixes,
            reread: counter("reread_tokens_total", "Tokens read again for answers whose writer was lost"),
            lists: counters("lists_total", "Lists of hosts", &["source", "result"]),
            events: counter("events_total", "Events decided on"),
            deciding: counter("deciding_nanoseconds_total", "Time spent in decisions"),
            notes: counters("notes_total", "What the decisions noted of a host", &["host", "what"]),
            overdue: gauge("shots_overdue", "Shots that did not tell their end by their time"),
            in_hand: gauge("tasks_in_hand", "Tasks that have no final answer yet"),
            connections: gauge("client_connections", "Open client connections"),
            first_token,
            registry,
        }
    }

    pub fn text(&self, shared: &Shared) -> String {
        self.in_hand.set(shared.in_hand.load(Ordering::Relaxed) as i64);
        self.connections.set(shared.connections.load(Ordering::Relaxed) as i64);
        TextEncoder::new().encode_to_string(&self.registry.gather()).unwrap_or_default()
    }
}
