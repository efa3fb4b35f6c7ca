//! Errors of the store.

use std::fmt;

use quick_error::quick_error;

/// A `Result` of a call to the store.
pub type Result<T> = std::result::Result<T, Error>;

quick_error! {
    #[derive(Debug)]
    enum Code {
        Unavailable(detail: Box<str>) {
            display("the store does not answer: {}", detail)
        }
        Refused(status: u16) {
            display("the store refused the call with status {}", status)
        }
        Compacted {
            display("the store no longer has the history since the last read")
        }
        LeaseNotFound {
            display("the store has no such lease")
        }
        Unreadable(detail: Box<str>) {
            display("the store's answer cannot be read: {}", detail)
        }
    }
}

/// Why a call to the store failed.
#[derive(Debug)]
pub struct Error(Code);

impl Error {
    /// Makes the error of a call without an answer; a write may have happened all the same.
    #[cold]
    pub fn unavailable(detail: impl fmt::Display) -> Self {
        Self(Code::Unavailable(detail.to_string().into()))
    }

    /// Makes the error of a call that was refused.
    #[cold]
    pub fn refused(status: u16) -> Self {
        Self(Code::Refused(status))
    }

    /// Makes the error of a watch that asks for forgotten history.
    #[cold]
    pub fn compacted() -> Self {
        Self(Code::Compacted)
    }

    /// Makes the error of a lease that has ended.
    #[cold]
    pub fn lease_not_found() -> Self {
        Self(Code::LeaseNotFound)
    }

    /// Makes the error of an answer in an unknown format.
    #[cold]
    pub fn unreadable(detail: impl fmt::Display) -> Self {
        Self(Code::Unreadable(detail.to_string().into()))
    }

    /// Returns whether all entries must be read again.
    pub fn is_compacted(&self) -> bool {
        matches!(self.0, Code::Compacted)
    }

    /// Returns whether the lease has ended.
    pub fn is_lease_not_found(&self) -> bool {
        matches!(self.0, Code::LeaseNotFound)
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl std::error::Error for Error {}
