//! A loopback TCP proxy that can impair the connections through it.

use std::io::Result;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::listener::serve_while_up;
use crate::port::loopback;

/// Size in bytes of the buffer that forwards one direction of a connection.
const BUFFER_BYTES: usize = 16 * 1024;

/// What a proxy does to its connections.
///
/// A connection on which [`OneWay`](Self::OneWay), [`Stall`](Self::Stall) or [`Cut`](Self::Cut) has
/// held back data stays stalled in that direction until the next [`Reset`](Self::Reset).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Impairment {
    /// Forwards all data at once.
    #[default]
    None,
    /// Delays each forwarded read by this time.
    Delay(Duration),
    /// Closes all open connections, and new ones as soon as they are accepted.
    Reset,
    /// Forwards data to the target, but none back to the client.
    OneWay,
    /// Forwards no data on connections that are open now; new connections work.
    Stall,
    /// Refuses new connections and forwards no data on open ones.
    Cut,
}

/// A proxy in front of one address.
#[derive(Clone)]
pub struct Proxy {
    address: SocketAddr,
    /// The impairment, and how often it has been set.
    impairment: watch::Sender<(Impairment, u64)>,
}

impl Proxy {
    /// Starts a proxy in front of `target` on a free loopback port.
    ///
    /// # Errors
    ///
    /// Returns an error when no port can be bound.
    pub async fn start(target: SocketAddr) -> Result<Self> {
        let listener = TcpListener::bind((loopback(), 0)).await?;
        let address = listener.local_addr()?;
        let impairment = watch::channel((Impairment::None, 0)).0;
        let proxy = Self { address, impairment };
        tokio::spawn(proxy.clone().serve(listener, target));
        Ok(proxy)
    }

    /// Returns the address on which the proxy listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the impairment that applies from now on.
    pub fn set(&self, impairment: Impairment) {
        self.impairment.send_modify(|state| *state = (impairment, state.1 + 1));
    }

    async fn serve(self, listener: TcpListener, target: SocketAddr) {
        let impairment = self.impairment.subscribe();
        let is_up = |(impairment, _): &(Impairment, u64)| *impairment != Impairment::Cut;
        let accept = |client| self.accept(client, target);
        serve_while_up(self.address, listener, impairment, is_up, accept).await;
    }

    fn accept(&self, client: TcpStream, target: SocketAddr) {
        let impairment = self.impairment.subscribe();
        let is_reset = impairment.borrow().0 == Impairment::Reset;
        if !is_reset {
            tokio::spawn(connect(client, target, impairment));
        }
    }
}

/// Connects to the target and forwards both directions until both end or a reset is set.
async fn connect(
    client: TcpStream,
    target: SocketAddr,
    impairment: watch::Receiver<(Impairment, u64)>,
) {
    let Ok(server) = TcpStream::connect(target).await else { return };
    let opened = impairment.borrow().1;
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let impairment = Arc::new(impairment);
    let requests = forward(client_read, server_write, Arc::clone(&impairment), opened, false);
    let responses = forward(server_read, client_write, Arc::clone(&impairment), opened, true);
    let mut reset = impairment.as_ref().clone();
    tokio::select! {
        _ = async { tokio::join!(requests, responses) } => {}
        _ = reset.wait_for(|(impairment, _)| *impairment == Impairment::Reset) => {}
    }
}

/// Forwards one direction until the end of the stream. `opened` is how often the impairment had
/// been set when the connection was opened; `to_client` tells the direction.
async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    impairment: Arc<watch::Receiver<(Impairment, u64)>>,
    opened: u64,
    to_client: bool,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(count @ 1..) = from.read(&mut buffer).await {
        let (current, since) = *impairment.borrow();
        match current {
            Impairment::Delay(delay) => tokio::time::sleep(delay).await,
            Impairment::Stall if since > opened => std::future::pending().await,
            Impairment::OneWay if to_client => std::future::pending().await,
            Impairment::Cut => std::future::pending().await,
            _ => {}
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            break;
        }
    }
}
