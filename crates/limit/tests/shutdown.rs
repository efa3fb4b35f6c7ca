//! Admission during a graceful shutdown.

use std::time::{Duration, Instant};

use limit::Shutdown;
use proptest::prelude::*;

/// Time after the start of a shutdown up to which operators excuse a request that is cut off.
const EXCUSED: Duration = Duration::from_secs(3);

/// Time within which a process learns of a signal.
const SIGNAL_DELAY: Duration = Duration::from_millis(300);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Guards against the loss of requests that a host took late in its shutdown (review/2).
#[test]
fn request_that_may_outlast_the_shutdown_is_refused_late() {
    let now = Instant::now();
    let shutdown = Shutdown::new(now, ms(6_000));
    assert!(shutdown.admits(now + ms(2_600), now + ms(12_600)));
    assert!(!shutdown.admits(now + ms(2_700), now + ms(12_700)));
    assert!(!shutdown.admits(now + ms(3_200), now + ms(5_700)));
}

#[test]
fn short_request_is_admitted_late() {
    let now = Instant::now();
    let shutdown = Shutdown::new(now, ms(6_000));
    assert!(shutdown.admits(now + ms(3_200), now + ms(4_400)));
}

proptest! {
    #[test]
    fn admitted_request_is_excused_or_ends_in_time(
        grace in 100_u64..20_000,
        after in 0_u64..20_000,
        timeout in 0_u64..20_000,
    ) {
        let began = Instant::now();
        let shutdown = Shutdown::new(began, ms(grace));
        let (arrived, deadline) = (began + ms(after), began + ms(after + timeout));
        if shutdown.admits(arrived, deadline) {
            let is_excused = ms(after) + SIGNAL_DELAY <= EXCUSED && after * 2 <= grace;
            prop_assert!(is_excused || deadline <= shutdown.closes_at());
        }
        prop_assert!(shutdown.accepts_until() <= shutdown.closes_at());
        prop_assert!(shutdown.closes_at() < shutdown.ends_at());
        prop_assert!(shutdown.ends_at() < began + ms(grace));
    }
}
