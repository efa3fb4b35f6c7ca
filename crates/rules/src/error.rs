//! Errors of a rule file.

use std::fmt;

use quick_error::quick_error;

/// A `Result` whose error lists every invalid line of a rule file.
pub type Result<T> = std::result::Result<T, Error>;

/// One error in a rule file and its location.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diagnostic {
    /// Name of the file, as given by the operator.
    pub file: Box<str>,
    /// Line, counted from 1.
    pub line: u32,
    /// Description of the error and of what was expected.
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
        Invalid(diagnostics: Vec<Diagnostic>) {
            display("{}", diagnostics.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))
        }
        UnknownDomain(domain: Box<str>) {
            display("domain \"{}\" does not exist in the rules", domain)
        }
    }
}

/// The reason why a rule file or an edit was rejected.
#[derive(Debug)]
pub struct Error(Code);

impl Error {
    #[cold]
    pub(crate) fn invalid(diagnostics: Vec<Diagnostic>) -> Self {
        Self(Code::Invalid(diagnostics))
    }

    #[cold]
    pub(crate) fn unknown_domain(domain: &str) -> Self {
        Self(Code::UnknownDomain(domain.into()))
    }

    /// Returns the errors of the file, sorted by line; empty if the error is about a missing domain.
    pub fn diagnostics(&self) -> &[Diagnostic] {
        match &self.0 {
            Code::Invalid(diagnostics) => diagnostics,
            Code::UnknownDomain(_) => &[],
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl std::error::Error for Error {}
