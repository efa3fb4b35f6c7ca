//! Settings of a broker.

use std::net::SocketAddr;

/// Settings of a broker, built by a [`Builder`].
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
    /// Creates a builder with the settings that every broker needs.
    ///
    /// The broker serves callers over HTTP at `listen`; port 0 selects a free port.
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

    /// Sets the addresses of egresses to follow at the start. The roster provides the others.
    pub fn egresses(mut self, egresses: Vec<SocketAddr>) -> Self {
        self.0.egresses = egresses;
        self
    }

    /// Sets the number of traffic threads. The minimum is 1.
    pub fn threads(mut self, threads: usize) -> Self {
        self.0.threads = threads.max(1);
        self
    }

    /// Sets whether to run without hedging, slow start, snapshot pinning, admission control and
    /// claims, which is the baseline of experiments.
    pub fn baseline(mut self, baseline: bool) -> Self {
        self.0.baseline = baseline;
        self
    }

    /// Returns the settings.
    pub fn build(self) -> Settings {
        self.0
    }
}
