//! The distribution tree of the control state: which egresses read the hosting platform, and which
//! egresses the others follow.

use std::net::SocketAddr;

use crate::hosts::{Hosts, Kind, Life};

/// Number of hosts of one failure domain that read the hosting platform, the readers; two, so that
/// one may fail.
const READERS: usize = 2;

/// Maximum number of hosts whose parent is one host. With 4, a change reaches all hosts of a
/// failure domain with 420 hosts in 5 hops, of which the first is the read of the hosting platform.
/// While no host fails, a host sends a change up to 4 times, and a reader once more to the other
/// reader.
const MAX_FOLLOWERS: usize = 4;

/// The position of a host in the tree of its failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TreePosition {
    /// Whether the host reads the hosting platform.
    pub reads: bool,
    /// Addresses of the hosts to follow: the ancestors of the host, from its parent up to a
    /// reader, or the other reader for a host that is a reader itself.
    pub sources: Vec<SocketAddr>,
}

/// Returns the position of `host` in the tree of `domain`, or `None` while the list, which may lag,
/// does not contain the host.
///
/// Every host computes the same tree from the same list. While lists differ, a host may follow one
/// that is not its parent in the newer list, which does no harm.
pub fn tree_position(hosts: &Hosts, domain: &str, host: &str) -> Option<TreePosition> {
    let local = hosts.hosts.iter().filter(|other| {
        other.kind == Kind::Entry && *other.domain == *domain && other.life == Life::Live
    });
    let mut local: Vec<_> = local.map(|other| (&other.id, other.address)).collect();
    local.sort();
    let mut position = local.iter().position(|(id, _)| ***id == *host)?;
    let reads = position < READERS;
    let mut sources = Vec::new();
    while position >= READERS {
        position = (position - READERS) / MAX_FOLLOWERS;
        sources.push(local[position].1);
    }
    if reads {
        let others = local.iter().take(READERS).filter(|(id, _)| ***id != *host);
        sources.extend(others.map(|(_, address)| *address));
    }
    Some(TreePosition { reads, sources })
}
