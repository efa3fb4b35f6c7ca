//! Errors of calls to the store.

use std::fmt;

use quick_error::quick_error;

/// A `Result` of a call to the store.
pub type Result<T> = std::result::Result<T, Error>;

quick_error! {
    #[derive(Debug)]
    enum Code {
        Unavailable(detail: Box<str>) {
            display("the store is unavailable: {}", detail)
        }
        Refused(status: u16) {
            display("the store refused the call with HTTP status {}", status)
        }
        Compacted {
            display("the store has compacted the changes since the requested revision")
        }
        LeaseNotFound {
            display("the lease does not exist in the store")
        }
        Malformed(detail: Box<str>) {
            display("the store's answer cannot be decoded: {}", detail)
        }
    }
}

/// Error of a call to the store.
#[derive(Debug)]
pub struct Error(Code);

impl Error {
    /// Returns the error of a call without an answer; a write may nevertheless have taken effect.
    #[cold]
    pub fn unavailable(detail: impl fmt::Display) -> Self {
        Self(Code::Unavailable(detail.to_string().into()))
    }

    /// Returns the error of a call that the store refused with an HTTP status.
    #[cold]
    pub fn refused(status: u16) -> Self {
        Self(Code::Refused(status))
    }

    /// Returns the error of a watch from a revision that the store has compacted.
    #[cold]
    pub fn compacted() -> Self {
        Self(Code::Compacted)
    }

    /// Returns the error of a call with a lease that has expired or was revoked.
    #[cold]
    pub fn lease_not_found() -> Self {
        Self(Code::LeaseNotFound)
    }

    /// Returns the error of an answer in an unknown format.
    #[cold]
    pub fn malformed(detail: impl fmt::Display) -> Self {
        Self(Code::Malformed(detail.to_string().into()))
    }

    /// Returns whether the requested changes were compacted, so that all entries must be read
    /// again.
    pub fn is_compacted(&self) -> bool {
        matches!(self.0, Code::Compacted)
    }

    /// Returns whether the lease has expired or was revoked.
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
