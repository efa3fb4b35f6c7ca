//! Faults of a rule file.

use std::fmt;

use quick_error::quick_error;

/// A `Result` whose error lists every fault of a file.
pub type Result<T> = std::result::Result<T, Error>;

/// One fault, with the place where it stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diagnostic {
    /// Name of the file, as the operator gave it.
    pub file: Box<str>,
    /// Line, counted from 1.
    pub line: u32,
    /// What is wrong and what was expected.
    pub message: Box<str>,
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.file, self.line, self.message)
    }
}

quick_error! {
    #[derive(Debug)]
    enum Code {
        Faults(faults: Vec<Diagnostic>) {
            display("{}", faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))
        }
        NoDomain(domain: Box<str>) {
            display("domain \"{}\" does not exist in the rules", domain)
        }
    }
}

/// Why a rule file was refused.
#[derive(Debug)]
pub struct Error(Code);

impl Error {
    #[cold]
    pub(crate) fn faults(faults: Vec<Diagnostic>) -> Self {
        Self(Code::Faults(faults))
    }

    #[cold]
    pub(crate) fn no_domain(domain: &str) -> Self {
        Self(Code::NoDomain(domain.into()))
    }

    /// Lists the faults of the file, in the order of their lines.
    pub fn diagnostics(&self) -> &[Diagnostic] {
        match &self.0 {
            Code::Faults(faults) => faults,
            Code::NoDomain(_) => &[],
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl std::error::Error for Error {}
