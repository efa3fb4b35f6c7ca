//! Listeners that stop and start again on the same address.

use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Passes accepted connections to `accept` while `is_up` holds for the watched state. Connections
/// are refused while it does not. Returns when the listener fails.
///
/// # Panics
///
/// Panics when `address`, that of the listener, is in use by the time it is to be bound again.
pub async fn serve_while_up<T>(
    address: SocketAddr,
    mut listener: TcpListener,
    mut state: watch::Receiver<T>,
    is_up: impl Fn(&T) -> bool,
    accept: impl Fn(TcpStream),
) {
    loop {
        // Waiting fails when the sender is gone, so that the state cannot change any more.
        tokio::select! {
            Ok(_) = state.wait_for(|state| !is_up(state)) => {}
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    accept(stream);
                    continue;
                }
                Err(_) => return,
            },
        }
        drop(listener);
        if state.wait_for(&is_up).await.is_err() {
            return;
        }
        match TcpListener::bind(address).await {
            Ok(bound) => listener = bound,
            Err(error) => panic!("cannot bind {address} again: {error}"),
        }
    }
}
