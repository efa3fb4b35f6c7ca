//! The replica with the lowest expected response time is chosen, and cold replicas get requests at
//! their limited rate only.

use std::time::{Duration, Instant};

use pick::{Candidate, ColdStart, Outcome, Replica, choose, connection_share, ranked, ranks_first};

const TYPICAL: Duration = Duration::from_millis(8);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn local_candidate(replica: &Replica) -> Candidate<'_> {
    Candidate { replica, penalty: Duration::ZERO, has_room: true }
}

fn end(replica: &mut Replica, now: Instant, outcome: Outcome) {
    let token = replica.begin(now);
    replica.end(now, token, outcome);
}

#[test]
fn local_replica_is_preferred_until_it_is_slow() {
    let now = Instant::now();
    let (mut local, remote) = (Replica::new(2), Replica::new(2));
    let remote_candidate = Candidate { replica: &remote, penalty: TYPICAL * 2, has_room: true };
    assert_eq!(choose(now, TYPICAL, &[local_candidate(&local), remote_candidate], 0), Some(0));
    for _ in 0..6 {
        end(&mut local, now, Outcome::Answered { time: TYPICAL * 9, typical: TYPICAL });
    }
    assert_eq!(choose(now, TYPICAL, &[local_candidate(&local), remote_candidate], 0), Some(1));
}

#[test]
fn replica_that_refuses_is_avoided_for_a_remote_one() {
    let now = Instant::now();
    let (mut local, remote) = (Replica::new(2), Replica::new(2));
    let remote_candidate = Candidate { replica: &remote, penalty: TYPICAL * 2, has_room: true };
    end(&mut local, now, Outcome::Refused);
    assert_eq!(choose(now, TYPICAL, &[local_candidate(&local), remote_candidate], 0), Some(1));
}

#[test]
fn avoided_replica_is_tried_again() {
    let now = Instant::now();
    let (mut slow, other) = (Replica::new(2), Replica::new(2));
    for _ in 0..6 {
        end(&mut slow, now, Outcome::Answered { time: TYPICAL * 9, typical: TYPICAL });
    }
    let remote_candidate = Candidate { replica: &other, penalty: TYPICAL, has_room: true };
    assert_eq!(choose(now, TYPICAL, &[local_candidate(&slow), remote_candidate], 0), Some(1));
    let later = now + Duration::from_secs(8);
    assert_eq!(choose(later, TYPICAL, &[local_candidate(&slow), remote_candidate], 0), Some(0));
}

/// Guards against late requests at an upstream that is slow for seconds: each time that it was tried
/// again, several requests followed the first one before its answer showed that it is still slow.
#[test]
fn slow_replica_is_tried_again_with_one_request_at_a_time() {
    let now = Instant::now();
    let (mut slow, other) = (Replica::new(6), Replica::new(6));
    for _ in 0..6 {
        end(&mut slow, now, Outcome::Answered { time: TYPICAL * 9, typical: TYPICAL });
    }
    let later = now + Duration::from_secs(8);
    let remote_candidate = Candidate { replica: &other, penalty: TYPICAL, has_room: true };
    assert_eq!(choose(later, TYPICAL, &[local_candidate(&slow), remote_candidate], 0), Some(0));
    let probe = slow.begin(later);
    assert_eq!(choose(later, TYPICAL, &[local_candidate(&slow), remote_candidate], 0), Some(1));
    // Fast answers make it a replica like any other.
    slow.end(later, probe, Outcome::Answered { time: TYPICAL, typical: TYPICAL });
    for _ in 0..9 {
        end(&mut slow, later, Outcome::Answered { time: TYPICAL, typical: TYPICAL });
    }
    slow.begin(later);
    assert_eq!(choose(later, TYPICAL, &[local_candidate(&slow), remote_candidate], 0), Some(0));
}

#[test]
fn stalled_replica_is_avoided_before_it_answers() {
    let now = Instant::now();
    let (mut stalled, other) = (Replica::new(2), Replica::new(2));
    stalled.begin(now);
    let remote_candidate = Candidate { replica: &other, penalty: TYPICAL, has_room: true };
    assert_eq!(
        choose(now + ms(8), TYPICAL, &[local_candidate(&stalled), remote_candidate], 0),
        Some(0)
    );
    assert_eq!(
        choose(now + ms(80), TYPICAL, &[local_candidate(&stalled), remote_candidate], 0),
        Some(1)
    );
}

#[test]
fn ejected_replica_is_chosen_only_when_there_is_no_other() {
    let now = Instant::now();
    let (mut lost, other) = (Replica::new(2), Replica::new(2));
    end(&mut lost, now, Outcome::Lost);
    let remote_candidate = Candidate { replica: &other, penalty: TYPICAL * 100, has_room: true };
    assert_eq!(choose(now, TYPICAL, &[local_candidate(&lost), remote_candidate], 0), Some(1));
    assert_eq!(choose(now, TYPICAL, &[local_candidate(&lost)], 0), Some(0));
}

#[test]
fn ejected_replica_gets_one_probe_at_a_time() {
    let now = Instant::now();
    let mut lost = Replica::new(2);
    end(&mut lost, now, Outcome::Lost);
    let later = now + ms(400);
    assert!(!lost.is_ejected(later));
    lost.begin(later);
    assert!(lost.is_ejected(later + ms(1)));
}

#[test]
fn equal_replicas_share_the_requests() {
    let now = Instant::now();
    let replicas = [Replica::new(2), Replica::new(2)];
    let candidates = [local_candidate(&replicas[0]), local_candidate(&replicas[1])];
    assert_eq!(choose(now, TYPICAL, &candidates, 0), Some(0));
    assert_eq!(choose(now, TYPICAL, &candidates, 1), Some(1));
}

#[test]
fn cold_replica_gets_requests_at_its_spacing_only() {
    let now = Instant::now();
    let mut replica = Replica::new(2);
    replica.set_cold_start(Some(ColdStart::new(now + ms(3_000), Some(ms(500)))));
    let mut sent = Vec::new();
    for step in 0..300 {
        let at = now + ms(step * 10);
        if choose(at, TYPICAL, &[local_candidate(&replica)], 0).is_some() {
            let token = replica.begin(at);
            replica.end(at, token, Outcome::Answered { time: TYPICAL, typical: TYPICAL });
            sent.push(at);
        }
    }
    let counts = sent
        .iter()
        .map(|first| sent.iter().filter(|at| **at >= *first && **at < *first + ms(1_000)).count());
    assert_eq!(counts.max(), Some(2));
    assert!(replica.is_usable(now + ms(3_000)));
}

#[test]
fn cold_replica_gets_nothing_from_hosts_that_do_not_rank_first() {
    let now = Instant::now();
    let mut replica = Replica::new(2);
    replica.set_cold_start(Some(ColdStart::new(now + ms(3_000), None)));
    assert_eq!(choose(now, TYPICAL, &[local_candidate(&replica)], 0), None);
    assert_eq!(choose(now + ms(3_000), TYPICAL, &[local_candidate(&replica)], 0), Some(0));
}

/// Guards against queries that fail within milliseconds when one replica of some shards is gone: while
/// all connections to the other are in use, each attempt met the one that refuses connections.
#[test]
fn replica_without_a_free_connection_is_waited_for_while_the_other_is_ejected() {
    let now = Instant::now();
    let (mut gone, busy) = (Replica::new(2), Replica::new(2));
    end(&mut gone, now, Outcome::Lost);
    let candidate = |replica, has_room| Candidate { replica, penalty: Duration::ZERO, has_room };
    let choice = |has_room| {
        let candidates = [candidate(&gone, true), candidate(&busy, has_room)];
        choose(now, TYPICAL, &candidates, 0)
    };
    assert_eq!(choice(false), None);
    assert_eq!(choice(true), Some(1));
    // A replica that is alone is probed, and so is one when all others are gone, too.
    assert_eq!(choose(now, TYPICAL, &[candidate(&gone, true)], 0), Some(0));
}

#[test]
fn exactly_one_host_ranks_first() {
    let hosts = ["a", "b", "c", "d", "e"];
    for upstream in ["i-1", "i-2", "i-3", "i-4", "i-5", "i-6", "i-7"] {
        let first = hosts.iter().filter(|host| ranks_first(upstream, host, hosts.iter().copied()));
        assert_eq!(first.count(), 1, "{upstream}");
    }
}

#[test]
fn ranking_is_the_same_for_all_orders_of_hosts_and_begins_with_the_first() {
    let hosts = ["a", "b", "c", "d", "b"];
    for key in ["i-1", "i-2", "i-3"] {
        let ranking = ranked(key, hosts);
        assert_eq!(ranking.len(), 4);
        assert_eq!(ranking, ranked(key, hosts.into_iter().rev()));
        assert!(ranks_first(key, ranking[0], hosts));
        // The next host takes over when the first is lost.
        let others = hosts.into_iter().filter(|host| *host != ranking[0]);
        assert_eq!(ranked(key, others), ranking[1..]);
    }
}

#[test]
fn lost_host_changes_the_rank_of_its_own_upstreams_only() {
    let before = ["a", "b", "c", "d"];
    let after = ["a", "b", "c"];
    for number in 0..50 {
        let upstream = format!("i-{number}");
        for host in after {
            if ranks_first(&upstream, host, before) {
                assert!(ranks_first(&upstream, host, after));
            }
        }
    }
}

#[test]
fn cold_upstream_is_available_to_the_first_host_at_its_spacing_and_to_others_when_warm() {
    let now = Instant::now();
    let until = now + Duration::from_secs(3);
    let mut replica = Replica::new(2);
    assert_eq!(replica.available_at(now), now);
    replica.set_cold_start(Some(ColdStart::new(until, None)));
    assert_eq!(replica.available_at(now), until);
    let spacing = Duration::from_millis(500);
    replica.set_cold_start(Some(ColdStart::new(until, Some(spacing))));
    assert_eq!(replica.available_at(now), now);
    replica.begin(now);
    assert_eq!(replica.available_at(now), now + spacing);
    assert_eq!(replica.available_at(until), until);
}

/// The last upstream of a shard crashes and comes back seconds later. Until a probe succeeds, the
/// upstream counts as available for the next probe 250 ms after the last one.
#[test]
fn upstream_that_is_gone_is_available_for_four_probes_a_second() {
    let now = Instant::now();
    let mut replica = Replica::new(2);
    let lose = |replica: &mut Replica, now| {
        let token = replica.begin(now);
        replica.end(now, token, Outcome::Lost);
    };
    lose(&mut replica, now);
    lose(&mut replica, now);
    assert_eq!(replica.available_at(now), now);
    lose(&mut replica, now);
    let probe = now + Duration::from_millis(250);
    assert_eq!(replica.available_at(now), probe);
    let token = replica.begin(probe);
    assert_eq!(replica.available_at(probe), probe + Duration::from_millis(250));
    let typical = Duration::from_millis(5);
    replica.end(probe, token, Outcome::Answered { time: typical, typical });
    assert_eq!(replica.available_at(probe), probe);
}

/// Guards against requests to an upstream that has asked for a pause.
#[test]
fn upstream_that_wants_a_pause_is_not_chosen_meanwhile() {
    let now = Instant::now();
    let mut replicas = [Replica::new(2), Replica::new(2)];
    replicas[0].pause(now, ms(3_000));
    replicas[0].pause(now, ms(1_000));
    assert_eq!(replicas[0].available_at(now), now + ms(3_000));
    assert!(!replicas[0].accepts_relayed(now));
    let choice = |at| {
        let candidates = replicas.each_ref().map(|replica| Candidate {
            replica,
            penalty: Duration::ZERO,
            has_room: true,
        });
        (0..2).map(|draw| choose(at, ms(10), &candidates, draw)).collect::<Vec<_>>()
    };
    assert_eq!(choice(now + ms(2_999)), [Some(1), Some(1)]);
    assert!(choice(now + ms(3_000)).contains(&Some(0)));
    replicas[1].pause(now, Duration::MAX);
    assert_eq!(replicas[1].available_at(now), now + Duration::from_secs(600));
}

/// Guards against hosts that may open a single connection to each upstream, because as much is set
/// aside for each of some hundred hosts that open none.
#[test]
fn connections_are_divided_among_the_hosts_that_dial() {
    assert_eq!(connection_share(120, 15), 6);
    assert_eq!(connection_share(25, 6), 3);
    assert_eq!(connection_share(10, 15), 1);
    for dialers in 1..200 {
        let total = connection_share(120, dialers) * dialers;
        assert!(total <= 102 || dialers > 102, "{total} connections of {dialers} hosts");
    }
}
