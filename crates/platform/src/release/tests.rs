use super::*;

fn server(zone: u32, in_own_zone: bool, suspected: bool, connected: bool, attempts: u32) -> Candidate {
    Candidate { zone, in_own_zone, suspected, connected, attempts }
}

#[test]
fn the_next_server_shares_little_with_those_that_failed() {
    let (own_zone, other_zone) = (server(0, true, false, false, 0), server(1, false, false, false, 0));
    let (suspected, tried) = (server(1, false, true, false, 0), server(1, false, true, false, 1));
    for (name, servers, holder, asked) in [
        ("the holder", vec![own_zone, other_zone], Some(1), Some(1)),
        ("the holder is suspected", vec![other_zone, suspected, own_zone], Some(1), Some(2)),
        ("nobody", vec![], None, None),
        ("the only one, again", vec![tried], Some(0), Some(0)),
        (
            "another zone than the one tried",
            vec![tried, other_zone, server(2, false, false, false, 0)],
            Some(0),
            Some(2),
        ),
        (
            "the own zone is suspected",
            vec![server(0, true, true, false, 1), own_zone, other_zone],
            Some(0),
            Some(2),
        ),
        ("an open connection", vec![own_zone, server(0, true, false, true, 0)], None, Some(1)),
        ("all were tried", vec![server(0, true, true, false, 2), tried], Some(0), Some(1)),
    ] {
        assert_eq!(next_server(&servers, holder, || 7), asked, "{name}");
    }
}

#[test]
fn equal_servers_are_asked_at_random() {
    let mut seed = 1_u32;
    let mut random = || {
        seed = seed.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
        seed >> 8
    };
    let mut asked = [0; 16];
    for _ in 0..1600 {
        asked[next_server(&[Candidate::default(); 16], None, &mut random).expect("a host")] += 1;
    }
    assert!(asked.iter().all(|times| (50..200).contains(times)), "{asked:?}");
}

/// All first calls are sent, and one server has had its time to answer, within the time that the decisions
/// leave; the number of waves is finite.
#[test]
fn waves_are_sent_in_time_and_end() {
    let release_time = Duration::from_secs(1);
    let left = time_left_when_owed(release_time);
    assert!(call_timeout(release_time) <= left && repeat_delay(release_time) < release_time / 2);
    let waves: Vec<Wave> = (0..).map_while(|before| wave(before, release_time)).collect();
    assert!(waves.len() < 20);
    let mut begins = Duration::ZERO;
    let mut calls_in_time = 0;
    for wave in &waves {
        calls_in_time += if begins <= left { wave.calls } else { 0 };
        begins += wave.answer_wait;
    }
    assert!(calls_in_time >= 11, "{calls_in_time}");
    assert!(begins > 3 * release_time && begins < 5 * release_time, "{begins:?}");
}

/// Pooled connections may all have fallen silent: from the second wave on each wave has a call over a new
/// connection, and one over a pooled one, as connecting may be what fails.
#[test]
fn each_later_wave_has_a_new_and_a_pooled_connection() {
    let release_time = Duration::from_secs(1);
    assert!(!wants_new_connection(0, 0));
    for number in 1.. {
        let Some(wave) = wave(number, release_time) else { break };
        let new = (0..wave.calls).filter(|call| wants_new_connection(number, *call)).count() as u32;
        assert!(new > 0 && new < wave.calls, "wave {number}: {new} of {}", wave.calls);
    }
}
