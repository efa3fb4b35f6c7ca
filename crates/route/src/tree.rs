//! Who reads the platform, and whom the others follow.

use std::net::SocketAddr;

use crate::hosts::{Hosts, Kind, Life};

/// Hosts of one failure domain that read the platform; two, so that one may fail.
const READERS: usize = 2;

/// Hosts that follow one host; with 4, a domain of 420 hosts is 5 hops deep, and nobody sends a
/// change more often than 4 times.
const FOLLOWERS: usize = 4;

/// A host's place in the tree of its failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TreePosition {
    /// Whether the host reads the platform itself.
    pub reads: bool,
    /// Hosts to follow otherwise: the parent first, then its parent, up to a reader.
    pub sources: Vec<SocketAddr>,
}

/// Returns the place of `host` among the listed hosts of its failure domain, or `None` while the
/// list, which lags, does not name it.
///
/// Every host works the same tree out from the same list; where lists differ for a while, a host
/// follows one that is not its parent, which does no harm.
pub fn tree_position(hosts: &Hosts, domain: &str, host: &str) -> Option<TreePosition> {
    let near = hosts.hosts.iter().filter(|other| {
        other.kind == Kind::Entry && *other.domain == *domain && other.life == Life::Live
    });
    let mut near: Vec<_> = near.map(|other| (&other.id, other.address)).collect();
    near.sort();
    let mut place = near.iter().position(|(id, _)| ***id == *host)?;
    let reads = place < READERS;
    let mut sources = Vec::new();
    while place >= READERS {
        place = (place - READERS) / FOLLOWERS;
        sources.push(near[place].1);
    }
    if reads {
        let others = near.iter().take(READERS).filter(|(id, _)| ***id != *host);
        sources.extend(others.map(|(_, address)| *address));
    }
    Some(TreePosition { reads, sources })
}
