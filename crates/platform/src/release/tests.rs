use super::*;

fn host(zone: u32, near: bool, doubted: bool, ready: bool, tried: u32) -> Host {
    Host { zone, near, doubted, ready, tried }
}

#[test]
fn the_next_to_be_told_has_another_fate() {
    let (here, there) = (host(0, true, false, false, 0), host(1, false, false, false, 0));
    let (lost, tried) = (host(1, false, true, false, 0), host(1, false, true, false, 1));
    for (name, hosts, holds, told) in [
        ("who holds it", vec![here, there], Some(1), Some(1)),
        ("who holds it does not answer", vec![there, lost, here], Some(1), Some(2)),
        ("nobody", vec![], None, None),
        ("the only one, again", vec![tried], Some(0), Some(0)),
        (
            "another zone than the one tried",
            vec![tried, there, host(2, false, false, false, 0)],
            Some(0),
            Some(2),
        ),
        ("the own zone is lost", vec![host(0, true, true, false, 1), here, there], Some(0), Some(2)),
        ("an open connection", vec![here, host(0, true, false, true, 0)], None, Some(1)),
        ("all were tried", vec![host(0, true, true, false, 2), tried], Some(0), Some(1)),
    ] {
        assert_eq!(next(&hosts, holds, || 7), told, "{name}");
    }
}

#[test]
fn of_hosts_alike_each_is_told_by_chance() {
    let mut seed = 1_u32;
    let mut chance = || {
        seed = seed.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
        seed >> 8
    };
    let mut told = [0; 16];
    for _ in 0..1600 {
        told[next(&[Host::default(); 16], None, &mut chance).expect("a host")] += 1;
    }
    assert!(told.iter().all(|times| (50..200).contains(times)), "{told:?}");
}

/// Three tries fit into what the decisions leave of the time; all tries end.
#[test]
fn tries_are_bounded() {
    let release = Duration::from_secs(1);
    assert!(3 * within(release) <= release * 3 / 10 && once_more(release) < release / 2);
    let pauses: Vec<Duration> = (1..).map_while(|tries| pause(tries, release)).collect();
    assert!(pauses[..5].iter().all(Duration::is_zero) && pauses.len() < 20);
    let longest = within(release) * pauses.len() as u32 + pauses.iter().sum::<Duration>();
    assert!(longest > 3 * release && longest < 5 * release, "{longest:?}");
}
