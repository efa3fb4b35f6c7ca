//! Settings of an egress.

use std::net::SocketAddr;

/// Settings of an egress, built by a [`Builder`].
#[derive(Clone, Debug)]
pub struct Settings {
    pub(crate) host: Box<str>,
    pub(crate) domain: Box<str>,
    pub(crate) listen: SocketAddr,
    pub(crate) platform: Box<str>,
    pub(crate) admin: Option<SocketAddr>,
    pub(crate) peers: Vec<SocketAddr>,
    pub(crate) cell: Box<str>,
    pub(crate) baseline: bool,
}

/// Builds [`Settings`].
#[derive(Clone, Debug)]
pub struct Builder(Settings);

impl Builder {
    /// Creates a builder with the settings that every egress needs.
    ///
    /// The egress accepts calls over TCP and heartbeats over UDP at `listen`; port 0 selects a free
    /// port. `platform` is the address of the platform, given as `IP:PORT`.
    pub fn new(host: &str, domain: &str, listen: SocketAddr, platform: &str) -> Self {
        Self(Settings {
            host: host.into(),
            domain: domain.into(),
            listen,
            platform: platform.into(),
            admin: None,
            peers: Vec::new(),
            cell: "main".into(),
            baseline: false,
        })
    }

    /// Sets the address for health and metrics over HTTP. [`start`](crate::start()) does not read
    /// this setting; [`Handle::serve_admin`](crate::Handle::serve_admin) starts the HTTP server.
    pub fn admin(mut self, address: Option<SocketAddr>) -> Self {
        self.0.admin = address;
        self
    }

    /// Sets the addresses of egresses that are followed when all other sources fail, for example
    /// when the platform is unavailable at the start.
    pub fn peers(mut self, peers: Vec<SocketAddr>) -> Self {
        self.0.peers = peers;
        self
    }

    /// Sets the name of the cell that this host belongs to. Each cell has its own roster key.
    pub fn cell(mut self, cell: &str) -> Self {
        self.0.cell = cell.into();
        self
    }

    /// Sets whether to send without a quorum and without the warm-up of cold upstreams, which is
    /// the baseline of experiments.
    pub fn baseline(mut self, baseline: bool) -> Self {
        self.0.baseline = baseline;
        self
    }

    /// Returns the settings.
    pub fn build(self) -> Settings {
        self.0
    }
}
