//! Settings of a broker.

use std::net::SocketAddr;

/// Settings of a broker, made by a [`Builder`].
#[derive(Clone, Debug)]
pub struct Settings {
    pub(crate) host: Box<str>,
    pub(crate) domain: Box<str>,
    pub(crate) listen: SocketAddr,
    pub(crate) egresses: Vec<SocketAddr>,
    pub(crate) threads: usize,
    pub(crate) baseline: bool,
}

/// Builds [`Settings`].
#[derive(Clone, Debug)]
pub struct Builder(Settings);

impl Builder {
    /// Starts with the settings that every broker needs.
    ///
    /// `listen` takes callers' HTTP; port 0 stands for a free one.
    pub fn new(host: &str, domain: &str, listen: SocketAddr) -> Self {
        Self(Settings {
            host: host.into(),
            domain: domain.into(),
            listen,
            egresses: Vec::new(),
            threads: 1,
            baseline: false,
        })
    }

    /// Names egresses to follow at first; the roster tells of the others.
    pub fn egresses(mut self, egresses: Vec<SocketAddr>) -> Self {
        self.0.egresses = egresses;
        self
    }

    /// Sets the number of traffic threads.
    pub fn threads(mut self, threads: usize) -> Self {
        self.0.threads = threads.max(1);
        self
    }

    /// Switches hedges, ramps and pins off, for experiments only.
    pub fn baseline(mut self, baseline: bool) -> Self {
        self.0.baseline = baseline;
        self
    }

    /// Returns the settings.
    pub fn build(self) -> Settings {
        self.0
    }
}
