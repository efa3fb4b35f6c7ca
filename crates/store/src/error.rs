//! Errors of the platform's client.

use std::fmt;

use quick_error::quick_error;

/// A `Result` of a call to the platform.
pub type Result<T> = std::result::Result<T, Error>;

quick_error! {
    #[derive(Debug)]
    pub enum Code {
        Setup(error: reqwest::Error) {
            display("the HTTP client cannot be set up: {}", error)
        }
        Away(error: reqwest::Error) {
            display("the platform does not answer: {}", error)
        }
        Refused(status: u16) {
            display("the platform refused the call with status {}", status)
        }
        Status(status: u16) {
            display("the platform answered a write with status {}", status)
        }
        Unknown(error: reqwest::Error) {
            display("the answer of the platform was lost, the write may stand: {}", error)
        }
    }
}

/// Why a call to the platform failed.
#[derive(Debug)]
pub struct Error(Code);

impl Error {
    /// Returns whether a write may have happened all the same.
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
