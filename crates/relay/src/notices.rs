//! What a relay reports about upstreams together with its answer.

use std::fmt;
use std::str::FromStr;

use crate::error::{Code, Error};

/// Name of the response header with the rate limits of the upstreams that the relay has sent nothing
/// to for that reason, in requests per second for all hosts together. The requesting host sends to
/// them itself, within its own part of their limits.
pub const LIMITS_HEADER: &str = "pistachio-limits";

/// Name of the response header with the upstreams that are leaving, each with the start of its
/// process in Unix milliseconds.
pub const LEAVING_HEADER: &str = "pistachio-leaving";

/// Name of the response header with the upstreams that want no requests for a while, each with the
/// time in seconds.
pub const PAUSES_HEADER: &str = "pistachio-pauses";

/// A value that a relay reports about an upstream.
pub trait Value: Copy + fmt::Display {
    /// Parses a value; returns `None` if the text is none.
    fn parse(text: &str) -> Option<Self>;
}

impl Value for f64 {
    /// Parses a number that is finite and not negative.
    fn parse(text: &str) -> Option<Self> {
        text.parse().ok().filter(|value: &Self| value.is_finite() && *value >= 0.0)
    }
}

impl Value for u64 {
    fn parse(text: &str) -> Option<Self> {
        text.parse().ok()
    }
}

/// Values of one kind about some upstreams of a relay request.
///
/// The header value is `INDEX=VALUE,INDEX=VALUE,...`. A host of an earlier version ignores the
/// headers that it does not know.
///
/// ```
/// use relay::Notices;
///
/// let mut limits = Notices { values: vec![(0, 23.5)] };
/// limits.add(3, None);
/// limits.add(7, Some(4.0));
/// assert_eq!(limits.to_string(), "0=23.5,7=4");
/// assert_eq!(limits.get(7), Some(4.0));
/// ```
#[derive(Clone, Debug, PartialEq)]
pub struct Notices<T> {
    /// Index of the part in [`Request::upstreams`], and the value.
    ///
    /// [`Request::upstreams`]: crate::Request::upstreams
    pub values: Vec<(u16, T)>,
}

impl<T> Default for Notices<T> {
    fn default() -> Self {
        Self { values: Vec::new() }
    }
}

impl<T: Value> Notices<T> {
    /// Adds the value about the upstream of a part, if there is one.
    pub fn add(&mut self, index: u16, value: Option<T>) {
        self.values.extend(value.map(|value| (index, value)));
    }

    /// Returns the value about the upstream of a part, if there is one.
    pub fn get(&self, index: u16) -> Option<T> {
        let value = self.values.iter().find(|(other, _)| *other == index);
        value.map(|(_, value)| *value)
    }
}

impl<T: Value> fmt::Display for Notices<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, (index, value)) in self.values.iter().enumerate() {
            let separator = if position == 0 { "" } else { "," };
            write!(f, "{separator}{index}={value}")?;
        }
        Ok(())
    }
}

impl<T: Value> FromStr for Notices<T> {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let value = |entry: &str| {
            let (index, value) = entry.split_once('=')?;
            Some((index.parse().ok()?, T::parse(value)?))
        };
        let values = text.split(',').map(value).collect::<Option<_>>();
        Ok(Self { values: values.ok_or(Code::Notices)? })
    }
}
