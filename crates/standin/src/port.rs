//! Addresses for processes that are told where to listen.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU16, Ordering};

/// First port that is given out. The usual systems take the ports of outgoing connections from
/// 32768 upwards, so none of them can take a port between its choice and its use.
const FIRST_PORT: u16 = 12_000;

/// Number of ports that are given out, in turn.
const PORTS: u16 = 18_000;

static NEXT: AtomicU16 = AtomicU16::new(0);

/// Returns an address of loopback that nobody listens on.
///
/// Processes that run side by side begin at different ports.
///
/// # Panics
///
/// Panics when every port is taken.
pub fn free_address() -> SocketAddr {
    let start = (std::process::id() % u32::from(PORTS / 50)) as u16 * 50;
    for _ in 0..PORTS {
        let offset = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = FIRST_PORT + (start + offset % PORTS) % PORTS;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
    panic!("loopback has no free port");
}
