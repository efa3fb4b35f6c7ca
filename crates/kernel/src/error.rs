//! Errors that occur while a process starts.

use std::fmt;
use std::net::SocketAddr;

use quick_error::quick_error;

/// Result of starting a process or one of its components.
pub type Result<T> = std::result::Result<T, Error>;

quick_error! {
    #[derive(Debug)]
    pub enum Code {
        Bind(address: SocketAddr, error: std::io::Error) {
            display("cannot listen on {}: {}", address, error)
        }
        Thread(name: Box<str>, error: std::io::Error) {
            display("cannot start thread \"{}\": {}", name, error)
        }
        Log(level: Box<str>, error: flexi_logger::FlexiLoggerError) {
            display("cannot start logging at level \"{}\": {}", level, error)
        }
        Other(message: Box<str>) {
            display("{}", message)
        }
    }
}

/// Reason why a process could not start.
#[derive(Debug)]
pub struct Error(Code);

impl Error {
    /// Returns the error for a socket that cannot be bound to `address` or set up.
    #[cold]
    pub fn bind(address: SocketAddr, error: std::io::Error) -> Self {
        Self(Code::Bind(address, error))
    }

    /// Returns an error with the given message.
    #[cold]
    pub fn other(message: impl fmt::Display) -> Self {
        Self(Code::Other(message.to_string().into()))
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
