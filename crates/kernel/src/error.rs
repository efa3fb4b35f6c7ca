//! Errors of a process's start.

use std::fmt;
use std::net::SocketAddr;

use quick_error::quick_error;

/// A `Result` of starting a process or a part of it.
pub type Result<T> = std::result::Result<T, Error>;

quick_error! {
    #[derive(Debug)]
    pub enum Code {
        Bind(address: SocketAddr, error: std::io::Error) {
            display("address {} cannot be listened on: {}", address, error)
        }
        Thread(name: Box<str>, error: std::io::Error) {
            display("thread \"{}\" cannot be started: {}", name, error)
        }
        Log(level: Box<str>, error: flexi_logger::FlexiLoggerError) {
            display("log level \"{}\" cannot be used: {}", level, error)
        }
        Other(message: Box<str>) {
            display("{}", message)
        }
    }
}

/// Why a process could not start.
#[derive(Debug)]
pub struct Error(Code);

impl Error {
    /// Makes the error of an address that is taken or not ours.
    #[cold]
    pub fn bind(address: SocketAddr, error: std::io::Error) -> Self {
        Self(Code::Bind(address, error))
    }

    /// Makes an error from what a service says of its own start.
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
