//! Time by which an answer leaves, so that it reaches the caller within the objective.

use std::time::{Duration, Instant};

/// Part of the objective that passes between caller and host and in late timers, as a fraction.
const RETURN_OBJECTIVE_RATIO: f64 = 0.06;

/// Fixed time for the way of a request and its answer, and for late timers. A caller in another failure
/// domain is 2 ms away.
const RETURN_MARGIN: Duration = Duration::from_millis(11);

/// Time that a caller has waited before its first request on a connection: two round trips for the
/// address lookup and one for the connection.
const CONNECT_MARGIN: Duration = Duration::from_millis(8);

/// Whether a caller opened a connection for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Connection {
    /// The request is the first one on its connection.
    New,
    /// The connection has carried other requests.
    Kept,
}

/// Returns the time from which a query that arrived at `arrival` is answered with the parts that it
/// has. Callers count the latency objective from the moment at which they look for a host.
pub fn soft_deadline(arrival: Instant, objective: Duration, connection: Connection) -> Instant {
    let connecting = match connection {
        Connection::New => CONNECT_MARGIN,
        Connection::Kept => Duration::ZERO,
    };
    let margin = RETURN_MARGIN + connecting + objective.mul_f64(RETURN_OBJECTIVE_RATIO);
    arrival + objective.saturating_sub(margin)
}
