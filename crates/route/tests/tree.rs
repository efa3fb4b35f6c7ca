//! The tree that spreads configurations and the list of hosts.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use route::{Host, Hosts, Kind, Life, tree_position};

fn hosts(count: u16) -> Hosts {
    let host = |number: u16| Host {
        id: format!("host-{number:04}").into(),
        kind: Kind::Entry,
        address: SocketAddr::from(([10, 0, 0, 1], 1_000 + number)),
        domain: "d1".into(),
        life: Life::Live,
        place: None,
    };
    Hosts { version: 1, hosts: (0..count).map(host).collect() }
}

#[test]
fn two_hosts_read_and_the_others_reach_them_in_a_few_hops() {
    let list = hosts(420);
    let mut followers: BTreeMap<SocketAddr, u32> = BTreeMap::new();
    let mut readers = 0;
    for host in &list.hosts {
        let branch = tree_position(&list, "d1", &host.id).expect("it is listed");
        readers += u32::from(branch.reads);
        if !branch.reads {
            *followers.entry(branch.sources[0]).or_default() += 1;
            assert!(branch.sources.len() <= 5, "{} hops", branch.sources.len());
        }
    }
    assert_eq!(readers, 2);
    assert!(followers.values().all(|count| *count <= 4));
}

#[test]
fn unlisted_host_and_other_domain_have_no_place() {
    let list = hosts(3);
    assert_eq!(tree_position(&list, "d1", "host-9999"), None);
    assert_eq!(tree_position(&list, "d2", "host-0000"), None);
}
