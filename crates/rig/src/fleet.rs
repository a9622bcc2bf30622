//! Groups of stand-in hosts, and the settings and host lists of dispatchers for them.

use serde::{Deserialize, Serialize};
use std::io;
use std::sync::Arc;
use tulipstall_settings::{HostLine, HostList, HostStanding};
use tulipstall_standin::{EventLog, Host, Role, Spec};

/// The file format of a fleet.
#[derive(Clone, Debug, Serialize, Deserialize, schemars::JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct FleetSpec {
    pub hosts: Vec<Spec>,
}

/// Running stand-in hosts that share one event log.
pub struct Fleet {
    pub hosts: Vec<Arc<Host>>,
    pub log: Arc<EventLog>,
}

/// The name of the kind that the built-in settings have for a role.
pub fn kind(role: Role) -> &'static str {
    match role {
        Role::Read => "prefill",
        Role::Write => "decode",
        Role::Both => "mixed",
    }
}

impl Fleet {
    pub fn start(specs: &[Spec]) -> io::Result<Fleet> {
        let log = Arc::new(EventLog::default());
        let hosts =
            specs.iter().map(|spec| Host::start(spec.clone(), log.clone())).collect::<io::Result<_>>()?;
        Ok(Fleet { hosts, log })
    }

    /// The line of a host in a host list.
    pub fn line(host: &Host, standing: HostStanding, started_unix_ms: Option<u64>) -> HostLine {
        HostLine {
            host: host.address,
            kind: kind(host.spec.role).to_owned(),
            zone: host.spec.zone.clone(),
            cell: host.spec.cell,
            weight: 1.0,
            started_unix_ms,
            standing,
        }
    }

    /// A host list with all hosts as running.
    pub fn list(&self) -> HostList {
        let line = |host: &Arc<Host>| Self::line(host, HostStanding::Running, None);
        HostList { version: 1, whole: true, hosts: self.hosts.iter().map(line).collect() }
    }
}

/// Dispatcher settings for tests: one offering of each effect, the kinds of the stand-in hosts, free ports.
pub fn settings(name: &str) -> tulipstall_settings::Settings {
    let text = serde_json::json!({
        "name": name, "listen": "127.0.0.1:0", "control": "127.0.0.1:0", "seed": 1,
        "zones": ["bangna", "lat-krabang"],
        "offerings": [
            {"name": "chat-reply", "agreed_time_ms": 1500, "token_pace_ms": 60, "hard_stop_ms": 6000},
            {"name": "refund-note", "agreed_time_ms": 1500, "token_pace_ms": 60, "hard_stop_ms": 6000,
             "effect": "referenced", "group": "zone", "window_ms": 3000},
            {"name": "seat-change", "agreed_time_ms": 1500, "token_pace_ms": 60, "hard_stop_ms": 6000,
             "effect": "single-use"},
        ],
        "kinds": [
            {"name": "prefill", "role": "read", "memory_tokens": 200_000},
            {"name": "decode", "role": "write", "memory_tokens": 200_000},
            {"name": "mixed", "role": "both", "memory_tokens": 200_000},
        ],
        "loads": [
            {"name": "mem_utilization", "means": "memory-held"},
            {"name": "named_metrics.thousands_to_read", "means": "thousands-to-read"},
        ],
    });
    tulipstall_settings::check(&text.to_string()).unwrap_or_else(|faults| {
        // The settings are built in, so a fault here is a bug.
        panic!(
            "the built-in settings: {}",
            faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("; ")
        )
    })
}

/// A small fleet: two readers and two writers in two zones.
pub fn small() -> Vec<Spec> {
    let host =
        |role: Role, zone: &str, cell: u32| Spec { role, zone: zone.to_owned(), cell, ..Spec::default() };
    vec![
        host(Role::Read, "bangna", 0),
        host(Role::Write, "bangna", 0),
        host(Role::Read, "lat-krabang", 1),
        host(Role::Write, "lat-krabang", 1),
    ]
}
