//! Loopback addresses for stand-ins and for processes whose listening address is configured.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU16, Ordering};

/// Lowest port that is handed out. Common systems assign ports from 32768 upwards to outgoing
/// connections, so no such connection can take a port between its choice and its use.
const MIN_PORT: u16 = 12_000;

/// Number of ports that are handed out, in turn.
const PORT_COUNT: u16 = 18_000;

/// Lowest second byte of the addresses in 127.0.0.0/8 that test processes use.
const FIRST_NETWORK: u8 = 64;

static NEXT_OFFSET: AtomicU16 = AtomicU16::new(0);

/// Returns the loopback address of this process for everything that it starts.
///
/// Test processes that run side by side have different ones, so that none takes a port that another one
/// has released for a moment, as that of an upstream that is down.
pub fn loopback() -> Ipv4Addr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    Ipv4Addr::from([127, FIRST_NETWORK + high % 64, middle, low.max(1)])
}

/// Returns a loopback address on which no socket listens.
///
/// The search starts at a port that depends on the process id, so that concurrent processes choose
/// different ports.
///
/// # Panics
///
/// Panics when every port of the range is in use.
pub fn free_address() -> SocketAddr {
    let start = (std::process::id() % u32::from(PORT_COUNT / 50)) as u16 * 50;
    for _ in 0..PORT_COUNT {
        let offset = NEXT_OFFSET.fetch_add(1, Ordering::Relaxed);
        let port = MIN_PORT + (start + offset % PORT_COUNT) % PORT_COUNT;
        let address = SocketAddr::from((loopback(), port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
    panic!("no free loopback port in the range");
}
