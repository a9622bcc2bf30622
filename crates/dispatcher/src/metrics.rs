//! The dispatcher's metrics, in the Prometheus text format.

use crate::Shared;
use prometheus::{
    Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry, TextEncoder,
};
use std::sync::atomic::Ordering;
use tulipstall_settings::Settings;

/// All metrics of one dispatcher.
pub struct Metrics {
    registry: Registry,
    /// Final answers, by offering and kind of answer.
    pub answers: IntCounterVec,
    /// Ended shots, by outcome.
    pub shots: IntCounterVec,
    /// Requests that were rejected before they became a task, by status code.
    pub refused: IntCounterVec,
    /// Seconds from a task's arrival to its first token.
    pub first_token: Histogram,
    /// Tokens sent to clients.
    pub answer_tokens: IntCounter,
    /// Streams whose writer was lost, by what happened next.
    pub streams_lost: IntCounterVec,
    /// Tokens read again to continue or move answers.
    pub reread_tokens: IntCounter,
    /// Attempts to move a stream away from a writer that still sends, by reason and result.
    pub streams_moved: IntCounterVec,
    /// Lists of hosts, by source and result.
    pub lists: IntCounterVec,
    /// Events passed to the decision core.
    pub events: IntCounter,
    /// Nanoseconds spent in decisions.
    pub decision_nanoseconds: IntCounter,
    /// Notes of the decisions about hosts, by host and note.
    pub notes: IntCounterVec,
    /// Prompt tokens read, how many of them were estimated to be cached, how many were found cached, and how often a
    /// host was found to have lost its cache.
    pub prefix_index: IntGaugeVec,
    /// Running shots that have not reported an end by their deadline.
    pub overdue: IntGauge,
    in_hand: IntGauge,
    connections: IntGauge,
    poll_lag: IntGauge,
}

impl Metrics {
    pub fn new(settings: &Settings) -> Self {
        let registry = Registry::new();
        let labelled = Registry::new_custom(
            Some("tulipstall".to_owned()),
            Some([("dispatcher".to_owned(), settings.name.clone())].into()),
        );
        let registry = labelled.unwrap_or(registry);
        // Names and labels are fixed below, so creating and registering the metrics cannot fail.
        let counters = |name: &str, help: &str, label_names: &[&str]| {
            let metric = IntCounterVec::new(Opts::new(name, help), label_names).expect("a fixed, valid name");
            let _ = registry.register(Box::new(metric.clone()));
            metric
        };
        let counter = |name: &str, help: &str| {
            let metric = IntCounter::new(name, help).expect("a fixed, valid name");
            let _ = registry.register(Box::new(metric.clone()));
            metric
        };
        let prefix_index =
            Opts::new("prefix_index", "Tokens read, thought kept and found kept; hosts that forgot");
        let prefix_index = IntGaugeVec::new(prefix_index, &["what"]).expect("a fixed, valid name");
        let _ = registry.register(Box::new(prefix_index.clone()));
        let gauge = |name: &str, help: &str| {
            let metric = IntGauge::new(name, help).expect("a fixed, valid name");
            let _ = registry.register(Box::new(metric.clone()));
            metric
        };
        let options =
            HistogramOpts::new("first_token_seconds", "Time from a task's arrival to its first token")
                .buckets(vec![0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0]);
        let first_token = Histogram::with_opts(options).expect("a fixed, valid name");
        let _ = registry.register(Box::new(first_token.clone()));
        Metrics {
            answers: counters("answers_total", "Final answers", &["offering", "answer"]),
            shots: counters("shots_total", "Shots by how they ended", &["outcome"]),
            refused: counters("refused_total", "Requests that became no task", &["status"]),
            streams_lost: counters("streams_lost_total", "Writers lost under begun answers", &["then"]),
            answer_tokens: counter("answer_tokens_total", "Tokens passed on to clients"),
            streams_moved: counters(
                "streams_moved_total",
                "Streams for which a better writer was looked for",
                &["why", "then"],
            ),
            prefix_index,
            reread_tokens: counter(
                "reread_tokens_total",
                "Tokens read again for answers whose writer was lost",
            ),
            lists: counters("lists_total", "Lists of hosts", &["source", "result"]),
            events: counter("events_total", "Events decided on"),
            decision_nanoseconds: counter("deciding_nanoseconds_total", "Time spent in decisions"),
            notes: counters("notes_total", "What the decisions noted of a host", &["host", "what"]),
            overdue: gauge("shots_overdue", "Shots that did not tell their end by their time"),
            in_hand: gauge("tasks_in_hand", "Tasks that have no final answer yet"),
            connections: gauge("client_connections", "Open client connections"),
            poll_lag: gauge(
                "poll_lag_microseconds",
                "Longest time that socket events waited for their worker since the last query",
            ),
            first_token,
            registry,
        }
    }

    /// All metrics as Prometheus text.
    pub fn text(&self, shared: &Shared) -> String {
        self.in_hand.set(shared.active_tasks.load(Ordering::Relaxed) as i64);
        self.connections.set(shared.connections.load(Ordering::Relaxed) as i64);
        self.poll_lag.set(tulipstall_net::poll_lag::take_longest().as_micros() as i64);
        TextEncoder::new().encode_to_string(&self.registry.gather()).unwrap_or_default()
    }
}
