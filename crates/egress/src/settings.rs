//! Settings of an egress.

use std::net::SocketAddr;

/// Settings of an egress, made by a [`Builder`].
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
    /// Starts with the settings that every egress needs.
    ///
    /// `listen` takes calls over TCP and beats over UDP; port 0 stands for a free one. `platform`
    /// is the platform's `IP:PORT`.
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

    /// Serves health and metrics over HTTP.
    pub fn admin(mut self, address: Option<SocketAddr>) -> Self {
        self.0.admin = address;
        self
    }

    /// Names egresses to learn from when the platform is away at the start.
    pub fn peers(mut self, peers: Vec<SocketAddr>) -> Self {
        self.0.peers = peers;
        self
    }

    /// Names the cell that this host belongs to; its roster is a key of its own.
    pub fn cell(mut self, cell: &str) -> Self {
        self.0.cell = cell.into();
        self
    }

    /// Switches fences and ramps off, for experiments only.
    pub fn baseline(mut self, baseline: bool) -> Self {
        self.0.baseline = baseline;
        self
    }

    /// Returns the settings.
    pub fn build(self) -> Settings {
        self.0
    }
}
