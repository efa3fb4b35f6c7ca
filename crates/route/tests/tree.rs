//! The tree that distributes configurations and the list of hosts.

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
fn two_hosts_read_the_platform_and_the_others_follow_within_five_hops() {
    let list = hosts(420);
    let mut followers: BTreeMap<SocketAddr, u32> = BTreeMap::new();
    let mut readers = 0;
    for host in &list.hosts {
        let position = tree_position(&list, "d1", &host.id).expect("the host is listed");
        readers += u32::from(position.reads);
        if !position.reads {
            *followers.entry(position.sources[0]).or_default() += 1;
            assert!(position.sources.len() <= 5, "{} hops", position.sources.len());
        }
    }
    assert_eq!(readers, 2);
    assert!(followers.values().all(|count| *count <= 4));
}

#[test]
fn unlisted_host_and_host_of_another_domain_have_no_position() {
    let list = hosts(3);
    assert_eq!(tree_position(&list, "d1", "host-9999"), None);
    assert_eq!(tree_position(&list, "d2", "host-0000"), None);
}
