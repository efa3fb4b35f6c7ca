//! Time by which an answer must leave to reach its caller within the objective.

use std::time::{Duration, Instant};

use gather::{Connection, soft_deadline};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Guards against late answers to short queries whose caller has just opened a connection: the lookup
/// and the connection take several round trips out of an objective of 40 ms.
#[test]
fn first_request_of_a_connection_is_answered_earlier() {
    let now = Instant::now();
    let kept = soft_deadline(now, ms(40), Connection::Kept);
    let new = soft_deadline(now, ms(40), Connection::New);
    // The way back takes 2.4 ms between failure domains; three round trips came before.
    assert!(kept + ms(3 + 5) <= now + ms(40), "room for the request and for late timers");
    assert!(new + ms(3) + ms(3) * 4 <= now + ms(40), "room for the lookup and the connection");
    assert!(new > now + ms(15), "most parts are in by then");
}

#[test]
fn tiny_objective_is_due_at_once() {
    let now = Instant::now();
    assert_eq!(soft_deadline(now, ms(5), Connection::New), now);
}
