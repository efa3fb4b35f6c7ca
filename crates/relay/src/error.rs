//! Errors of what hosts say to each other about parts.

use std::fmt;

use quick_error::quick_error;

/// A `Result` with this crate's error.
pub type Result<T> = std::result::Result<T, Error>;

quick_error! {
    #[derive(Debug)]
    pub enum Code {
        Request(field: &'static str) {
            display("order for parts: {} is missing or unreadable", field)
        }
        Batch(cause: postcard::Error) {
            display("batch of parts is unreadable: {}", cause)
        }
    }
}

/// Why an order or a batch cannot be used.
#[derive(Debug)]
pub struct Error(Code);

impl Error {
    /// Returns whether the fault lies in an order, rather than in a batch.
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
