//! A tenure survives gaps in which no other host can have taken over the group.

use std::time::{Duration, Instant, SystemTime};

use member::{Key, Tenures};

const TAKEOVER_DELAY: Duration = Duration::from_millis(4_600);

fn key() -> Key {
    Key { domain: "d".into(), name: "g".into() }
}

#[test]
fn short_gap_and_retained_group_keep_the_tenure() {
    let (now, wall) = (Instant::now(), SystemTime::now());
    let later = |s| (now + Duration::from_secs(s), wall + Duration::from_secs(s));
    let mut tenures = Tenures::new(TAKEOVER_DELAY);
    let first = tenures.renew(now, wall, &key(), now + Duration::from_secs(2), 1, false);
    let (at, clock) = later(6);
    assert_eq!(tenures.renew(at, clock, &key(), at + Duration::from_secs(2), 1, false), first);
    assert_eq!(tenures.renew(at, clock, &key(), at + Duration::from_secs(2), 2, true), first);
}

#[test]
fn long_gap_skipped_epoch_and_new_assignment_begin_a_new_tenure() {
    let (now, wall) = (Instant::now(), SystemTime::now());
    for (seconds, epoch, retained) in [(7, 1, false), (1, 3, true), (1, 2, false)] {
        let mut tenures = Tenures::new(TAKEOVER_DELAY);
        tenures.renew(now, wall, &key(), now + Duration::from_secs(2), 1, false);
        let time = Duration::from_secs(seconds);
        let (at, clock) = (now + time, wall + time);
        let since = tenures.renew(at, clock, &key(), at + time, epoch, retained);
        assert_eq!(since, clock, "{seconds} s, epoch {epoch}");
    }
}
