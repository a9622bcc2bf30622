use super::*;
use tulipstall::interface::HostStatus;

fn rows(statuses: &[(&str, HostStatus)]) -> Vec<HostRow> {
    let row = |(host, status): &(&str, HostStatus)| HostRow {
        host: (*host).to_owned(),
        kind: String::new(),
        zone: String::new(),
        cell: 0,
        weight: 1.0,
        uptime: None,
        status: *status,
    };
    statuses.iter().map(row).collect()
}

/// Merged lists leave the hosts as the lists one after the other would: the last row of each host counts, and a complete
/// list replaces all before it. The owner is told of the first of them, and of a complete one that follows changes:
/// without that, a complete list would wait as long as changes may.
#[test]
fn merged_lists_leave_the_same_hosts() {
    use HostStatus::{Draining, Gone, Running};
    let changes = HostChanges::default();
    assert!(changes.take().is_none());
    assert!(changes.add(false, rows(&[("a", Draining), ("b", Running)])));
    assert!(!changes.add(false, rows(&[("a", Gone), ("c", Running)])));
    assert!(!changes.is_complete());
    let Some(Input::HostList { complete: false, rows: merged }) = changes.take() else {
        panic!("no changes")
    };
    assert_eq!(merged, rows(&[("a", Gone), ("b", Running), ("c", Running)]));
    assert!(changes.add(false, rows(&[("a", Draining)])));
    assert!(changes.add(true, rows(&[("b", Running), ("c", Running)])));
    assert!(!changes.add(true, rows(&[("b", Running), ("c", Running)])));
    assert!(!changes.add(false, rows(&[("c", Draining)])));
    assert!(changes.is_complete());
    let Some(Input::HostList { complete: true, rows: merged }) = changes.take() else { panic!("no list") };
    assert_eq!(merged, rows(&[("b", Running), ("c", Draining)]));
    assert!(changes.add(true, Vec::new()));
}
