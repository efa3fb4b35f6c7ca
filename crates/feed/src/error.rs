//! Errors of calls to the store, and of reading entries from another host.

use std::fmt;

use quick_error::quick_error;

/// A `Result` of a call to the store or to another host.
pub type Result<T> = std::result::Result<T, Error>;

quick_error! {
    #[derive(Debug)]
    enum Code {
        Unavailable(detail: Box<str>) {
            display("no complete response: {}", detail)
        }
        Refused(status: u16) {
            display("refused with HTTP status {}", status)
        }
        Compacted {
            display("the changes since the requested revision are compacted")
        }
        Conflict {
            display("an entry has changed meanwhile")
        }
        LeaseNotFound {
            display("HTTP status 404: unknown lease or path")
        }
        Malformed(detail: Box<str>) {
            display("the response cannot be decoded: {}", detail)
        }
    }
}

/// Error of a call to the store or to another host.
#[derive(Debug)]
pub struct Error(Code);

impl Error {
    /// Returns the error of a call without a complete response; a write may nevertheless have taken
    /// effect.
    #[cold]
    pub fn unavailable(detail: impl fmt::Display) -> Self {
        Self(Code::Unavailable(detail.to_string().into()))
    }

    /// Returns the error of a call that was refused with an HTTP status.
    #[cold]
    pub fn refused(status: u16) -> Self {
        Self(Code::Refused(status))
    }

    /// Returns the error of a watch from a revision that the store has compacted.
    #[cold]
    pub fn compacted() -> Self {
        Self(Code::Compacted)
    }

    /// Returns the error of a transaction whose condition does not hold.
    #[cold]
    pub fn conflict() -> Self {
        Self(Code::Conflict)
    }

    /// Returns the error of a call that the store answered with HTTP status 404, as it does when
    /// the lease has expired or was revoked.
    #[cold]
    pub fn lease_not_found() -> Self {
        Self(Code::LeaseNotFound)
    }

    /// Returns the error of a response that cannot be decoded.
    #[cold]
    pub fn malformed(detail: impl fmt::Display) -> Self {
        Self(Code::Malformed(detail.to_string().into()))
    }

    /// Returns whether the requested changes were compacted, so that all entries must be read
    /// again.
    pub fn is_compacted(&self) -> bool {
        matches!(self.0, Code::Compacted)
    }

    /// Returns whether the condition of a transaction does not hold, so that nothing was changed.
    pub fn is_conflict(&self) -> bool {
        matches!(self.0, Code::Conflict)
    }

    /// Returns whether the store answered with HTTP status 404, so that the lease has expired or
    /// was revoked.
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
