//! Errors of the client of the hosting platform.

use std::fmt;

use quick_error::quick_error;

/// A `Result` of a call to the platform.
pub type Result<T> = std::result::Result<T, Error>;

quick_error! {
    #[derive(Debug)]
    pub enum Code {
        Setup(error: reqwest::Error) {
            display("cannot build the HTTP client: {}", error)
        }
        Unavailable(error: reqwest::Error) {
            display("cannot reach the platform or decode its response: {}", error)
        }
        Refused(status: u16) {
            display("the platform refused the call with HTTP status {}", status)
        }
        Status(status: u16) {
            display("the platform answered a write with unexpected HTTP status {}", status)
        }
        Unknown(error: reqwest::Error) {
            display("the platform's answer was lost and the write may have taken effect: {}", error)
        }
    }
}

/// Error of a call to the platform.
#[derive(Debug)]
pub struct Error(Code);

impl Error {
    /// Returns whether a write may have taken effect although the call failed.
    pub fn is_unknown(&self) -> bool {
        matches!(self.0, Code::Unknown(_) | Code::Status(_))
    }
}

impl From<Code> for Error {
    #[cold]
    fn from(code: Code) -> Self {
        Self(code)
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl std::error::Error for Error {}
