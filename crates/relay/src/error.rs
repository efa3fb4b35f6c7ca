//! Errors of decoding relay requests and responses.

use std::fmt;

use quick_error::quick_error;

/// A `Result` with this crate's error.
pub type Result<T> = std::result::Result<T, Error>;

quick_error! {
    #[derive(Debug)]
    pub enum Code {
        Request(field: &'static str) {
            display("relay request: field {} is missing or malformed", field)
        }
        Notices {
            display("relay response: malformed list of values about upstreams")
        }
        Batch(cause: postcard::Error) {
            display("batch of parts cannot be decoded: {}", cause)
        }
    }
}

/// Why a relay request or a part of its response could not be decoded.
#[derive(Debug)]
pub struct Error(Code);

impl Error {
    /// Returns whether a request could not be decoded, rather than a response.
    pub fn is_request(&self) -> bool {
        matches!(self.0, Code::Request(_))
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
