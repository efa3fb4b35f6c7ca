//! Crashes, answers and expiry of requests in quarantine.

use std::time::{Duration, Instant};

use quarantine::{MIN_CRASHES, Quarantine, STRIKE_TTL, Strike, fingerprint};

const REQUEST: u64 = 7;

fn crash(quarantine: &mut Quarantine, now: Instant, attempts: std::ops::Range<u64>) {
    attempts.for_each(|attempt| assert!(quarantine.record_crash(now, REQUEST, attempt)));
}

#[test]
fn request_is_refused_after_three_crashes_at_any_hosts() {
    let now = Instant::now();
    let mut quarantine = Quarantine::default();
    assert!(!quarantine.is_suspect(now, REQUEST));
    crash(&mut quarantine, now, 0..1);
    assert!(quarantine.is_suspect(now, REQUEST));
    for attempt in [1, 2] {
        assert_eq!(quarantine.refused_until(now, REQUEST), None);
        quarantine.learn(now, Strike { request: REQUEST, attempt, crashes: 1 });
    }
    assert_eq!(quarantine.refused_until(now, REQUEST), Some(now + STRIKE_TTL));
    assert_eq!(quarantine.refused_until(now, REQUEST + 1), None);
}

/// Guards against crashes that become known late to other hosts, which send probes meanwhile: the
/// crash of a probe need not wait for answers of other parts, as there are none.
#[test]
fn attempt_after_a_known_crash_is_a_probe() {
    let now = Instant::now();
    let mut quarantine = Quarantine::default();
    assert!(!quarantine.was_probe(now, REQUEST, 1));
    crash(&mut quarantine, now, 1..2);
    let later = now + Duration::from_millis(100);
    assert!(quarantine.was_probe(later, REQUEST, 2));
    assert!(!quarantine.was_probe(later, REQUEST, 1), "its own crash was not known before");
    assert!(!quarantine.was_probe(later, REQUEST + 1, 2));
    // Two attempts that were in flight when their upstreams crashed for another reason.
    let sent = now.checked_sub(Duration::from_millis(1)).expect("a time before now");
    assert!(!quarantine.was_probe(sent, REQUEST, 2));
    quarantine.record_answer(later, REQUEST);
    assert!(!quarantine.was_probe(later, REQUEST, 2));
}

/// Guards against refusing the queries that were on all upstreams of a failure domain when it was
/// lost.
#[test]
fn one_attempt_of_a_caller_does_not_suffice() {
    let now = Instant::now();
    let mut quarantine = Quarantine::default();
    let counted = (0..20).filter(|_| quarantine.record_crash(now, REQUEST, 1)).count();
    assert_eq!(counted, 2);
    quarantine.learn(now, Strike { request: REQUEST, attempt: 1, crashes: 20 });
    assert_eq!(quarantine.refused_until(now, REQUEST), None);
    crash(&mut quarantine, now, 2..3);
    assert!(quarantine.refused_until(now, REQUEST).is_some());
}

/// Guards against refusing a popular request that was on several upstreams when they crashed for
/// another reason.
#[test]
fn answer_refutes_the_crashes_known_by_then() {
    let now = Instant::now();
    let mut quarantine = Quarantine::default();
    crash(&mut quarantine, now, 0..2);
    quarantine.record_answer(now, REQUEST);
    assert!(!quarantine.is_suspect(now, REQUEST));
    // The report of a refuted crash comes back from the store.
    quarantine.learn(now, Strike { request: REQUEST, attempt: 0, crashes: 1 });
    assert!(!quarantine.is_suspect(now, REQUEST));
    let later = now + Duration::from_secs(4);
    crash(&mut quarantine, later, 2..4);
    assert_eq!(quarantine.refused_until(later, REQUEST), None);
    crash(&mut quarantine, later, 4..5);
    assert!(quarantine.refused_until(later, REQUEST).is_some());
}

/// Guards against refusing a request that many callers send, because many of its repetitions were on
/// the upstreams of a lost failure domain, or at a host whose connections were reset.
#[test]
fn recent_answer_refutes_crashes_that_become_known_later() {
    let now = Instant::now();
    let soon = now + Duration::from_millis(1_900);
    let mut quarantine = Quarantine::default();
    quarantine.record_answer(now, REQUEST);
    crash(&mut quarantine, soon, 0..3);
    (3..9).for_each(|attempt| {
        quarantine.learn(soon, Strike { request: REQUEST, attempt, crashes: 2 });
    });
    assert_eq!(quarantine.refused_until(soon, REQUEST), None);
    assert!(!quarantine.is_suspect(soon, REQUEST));
}

/// Guards against suspecting a request whose retry was answered before the crash was certain.
#[test]
fn answer_during_a_check_refutes_the_crash() {
    let now = Instant::now();
    let mut quarantine = Quarantine::default();
    quarantine.start_check(now, REQUEST, 1);
    assert!(!quarantine.is_suspect(now, REQUEST));
    quarantine.record_answer(now, REQUEST);
    crash(&mut quarantine, now, 1..2);
    quarantine.end_check(REQUEST, 1);
    assert!(!quarantine.is_suspect(now, REQUEST));
    assert_eq!(quarantine.strike(now, REQUEST, 1), None);
}

#[test]
fn check_without_a_crash_is_forgotten() {
    let now = Instant::now();
    let mut quarantine = Quarantine::default();
    quarantine.start_check(now, REQUEST, 1);
    quarantine.end_check(REQUEST, 1);
    quarantine.record_answer(now, REQUEST);
    let later = now + Duration::from_secs(4);
    crash(&mut quarantine, later, 1..2);
    let strike = Strike { request: REQUEST, attempt: 1, crashes: 1 };
    assert_eq!(quarantine.strike(later, REQUEST, 1), Some(strike));
}

#[test]
fn crashes_expire() {
    let now = Instant::now();
    let later = now + Duration::from_secs(60);
    let mut quarantine = Quarantine::default();
    crash(&mut quarantine, now, 0..1);
    crash(&mut quarantine, later, 1..3);
    // With the oldest of three crashes, the request is no longer refused.
    assert_eq!(quarantine.refused_until(later, REQUEST), Some(now + STRIKE_TTL));
    assert_eq!(quarantine.refused_until(now + STRIKE_TTL, REQUEST), None);
    assert!(quarantine.is_suspect(now + STRIKE_TTL, REQUEST));
    assert!(!quarantine.is_suspect(later + STRIKE_TTL, REQUEST));
}

/// Guards against memory that grows with the requests on the upstreams of a lost failure domain.
#[test]
fn oldest_requests_make_room_for_others() {
    let start = Instant::now();
    let mut quarantine = Quarantine::default();
    let at = |number: u64| start + Duration::from_millis(number);
    for request in 0..5_000 {
        quarantine.record_crash(at(request), request, 1);
    }
    let kept = (0..5_000).filter(|request| quarantine.is_suspect(at(5_000), *request)).count();
    assert_eq!(kept, 1_024);
    assert!(quarantine.is_suspect(at(5_000), 4_999));
}

#[test]
fn fingerprint_depends_on_every_field_and_its_boundaries() {
    let base = fingerprint("GET", "host", "/a", b"b");
    let others = [
        fingerprint("PUT", "host", "/a", b"b"),
        fingerprint("GET", "hos", "t/a", b"b"),
        fingerprint("GET", "host", "/ab", b""),
        fingerprint("GET", "host", "/a", b"c"),
    ];
    assert!(others.iter().all(|other| *other != base));
}

fn suspicion(attempt: u64, crashes: u32) -> Strike {
    Strike { request: REQUEST, attempt, crashes }
}

/// Guards against a caller that repeats a request before it is certain that an upstream has crashed.
#[test]
fn suspected_request_is_not_refused_without_crashes() {
    let now = Instant::now();
    let mut quarantine = Quarantine::default();
    for attempt in 0..9 {
        assert!(quarantine.suspect(now, suspicion(attempt, 0)), "the suspicion is new");
        assert!(!quarantine.suspect(now, suspicion(attempt, 0)), "the suspicion is known");
    }
    assert!(quarantine.is_suspect(now, REQUEST));
    assert_eq!(quarantine.refused_until(now, REQUEST), None);
    assert!(!quarantine.is_suspect(now + Duration::from_secs(10), REQUEST));
}

/// Guards against more probes while the reports of crashes are on their way through the store.
#[test]
fn told_crashes_refuse_a_request_until_they_are_reported() {
    let now = Instant::now();
    let soon = now + Duration::from_millis(30);
    let mut quarantine = Quarantine::default();
    quarantine.suspect(now, suspicion(1, 0));
    quarantine.suspect(soon, suspicion(1, 2));
    assert_eq!(quarantine.refused_until(soon, REQUEST), None);
    // The crash of a probe of this host counts once, whether as a strike or as a suspicion.
    assert!(quarantine.record_crash(soon, REQUEST, 2));
    quarantine.suspect(soon, suspicion(2, 1));
    let until = soon + Duration::from_secs(10);
    assert_eq!(quarantine.refused_until(soon, REQUEST), Some(until));
    assert_eq!(quarantine.refused_until(until, REQUEST), None);
    quarantine.learn(until, suspicion(1, 2));
    assert_eq!(quarantine.refused_until(until, REQUEST), Some(soon + STRIKE_TTL));
}

/// Guards against a probe that crashes the last replica of a shard, when the upstreams that crashed
/// are not back yet.
#[test]
fn accused_request_is_refused_without_a_probe_and_probed_later() {
    let now = Instant::now();
    let mut quarantine = Quarantine::default();
    quarantine.learn(now, suspicion(1, 2));
    quarantine.suspect(now, suspicion(1, MIN_CRASHES));
    let until = quarantine.refused_until(now, REQUEST).expect("the request is refused");
    assert_eq!(quarantine.refused_until(until, REQUEST), None);
    assert!(quarantine.is_suspect(until, REQUEST));
}

/// Guards against suspecting the queries that were on the upstreams of a lost failure domain for
/// longer than until the next answer.
#[test]
fn answer_ends_a_suspicion() {
    let now = Instant::now();
    let mut quarantine = Quarantine::default();
    (1..5).for_each(|attempt| _ = quarantine.suspect(now, suspicion(attempt, 2)));
    assert!(quarantine.refused_until(now, REQUEST).is_some());
    quarantine.record_answer(now, REQUEST);
    assert!(!quarantine.is_suspect(now, REQUEST));
    assert_eq!(quarantine.refused_until(now, REQUEST), None);
    assert!(!quarantine.suspect(now, suspicion(5, 2)), "the request was answered a moment ago");
    assert!(quarantine.evidence(now, REQUEST).is_empty());
}

/// Guards against connections that break in large numbers and push out what is known of a request that
/// does crash upstreams.
#[test]
fn suspicions_do_not_push_out_strikes() {
    let start = Instant::now();
    let mut quarantine = Quarantine::default();
    crash(&mut quarantine, start, 0..3);
    let other = |number| Strike { request: 1_000 + number, attempt: number, crashes: 0 };
    let at = |number| start + Duration::from_micros(number);
    for number in 0..5_000 {
        quarantine.suspect(at(number), other(number));
    }
    assert!(quarantine.refused_until(at(5_000), REQUEST).is_some());
    let kept = (0..5_000).filter(|number| quarantine.is_suspect(at(5_000), 1_000 + number));
    assert_eq!(kept.count(), 1_024);
}

#[test]
fn evidence_names_strikes_and_suspicions() {
    let now = Instant::now();
    let mut quarantine = Quarantine::default();
    crash(&mut quarantine, now, 1..2);
    quarantine.suspect(now, suspicion(2, 0));
    assert_eq!(quarantine.evidence(now, REQUEST), [suspicion(1, 1), suspicion(2, 0)]);
    assert!(quarantine.evidence(now, REQUEST + 1).is_empty());
}

#[test]
fn alert_is_decoded_as_it_was_encoded() {
    let strike = Strike { request: u64::MAX, attempt: 5, crashes: 2 };
    assert_eq!(Strike::decode(&strike.encode()), Some(strike));
    assert_eq!(Strike::decode(&[]), None);
    assert_eq!(Strike::decode(&[0xff; 64]), None);
}
