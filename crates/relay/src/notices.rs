//! Rate limits that a relay reports together with its answer.

use std::fmt;
use std::str::FromStr;

use crate::error::{Code, Error};

/// Name of the response header that carries [`Limits`].
pub const LIMITS_HEADER: &str = "pistachio-limits";

/// Upstreams that a relay has sent nothing to because they have stated a rate limit.
///
/// The requesting host sends to them itself, within its own part of their limits. The header value
/// is `INDEX=RATE,INDEX=RATE,...`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Limits {
    /// Index of the part in [`Request::upstreams`], and the limit of its upstream for all hosts
    /// together in requests per second.
    ///
    /// [`Request::upstreams`]: crate::Request::upstreams
    pub rates: Vec<(u16, f64)>,
}

impl fmt::Display for Limits {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, (index, rate)) in self.rates.iter().enumerate() {
            let separator = if position == 0 { "" } else { "," };
            write!(f, "{separator}{index}={rate}")?;
        }
        Ok(())
    }
}

impl FromStr for Limits {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let rate = |entry: &str| {
            let (index, rate) = entry.split_once('=')?;
            let rate = rate.parse().ok().filter(|rate: &f64| rate.is_finite() && *rate >= 0.0)?;
            Some((index.parse().ok()?, rate))
        };
        let rates = text.split(',').map(rate).collect::<Option<_>>();
        Ok(Self { rates: rates.ok_or(Code::Limits)? })
    }
}
