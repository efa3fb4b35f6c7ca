//! A loopback proxy that harms what passes through it.

use std::io::Result;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Bytes that are passed on at a time.
const CHUNK: usize = 16 * 1024;

/// What a proxy does to its connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Harm {
    /// It passes everything on.
    #[default]
    None,
    /// It passes everything on late.
    Delay(Duration),
    /// It closes all connections, and new ones at once.
    Reset,
    /// It takes bytes towards the upstream and passes none back.
    OneWay,
    /// It passes nothing on, for connections that are open now; new ones work.
    Silence,
}

/// A proxy in front of one address.
#[derive(Clone)]
pub struct Proxy {
    address: SocketAddr,
    harm: watch::Sender<(Harm, u64)>,
}

impl Proxy {
    /// Starts a proxy in front of `target` on a free port of loopback.
    ///
    /// # Errors
    ///
    /// Fails when no port can be had.
    pub async fn start(target: SocketAddr) -> Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let harm = watch::channel((Harm::None, 0)).0;
        let proxy = Self { address, harm };
        tokio::spawn(proxy.clone().serve(listener, target));
        Ok(proxy)
    }

    /// Returns where the proxy listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets what happens to connections from now on.
    pub fn set(&self, harm: Harm) {
        self.harm.send_modify(|state| *state = (harm, state.1 + 1));
    }

    async fn serve(self, listener: TcpListener, target: SocketAddr) {
        while let Ok((near, _)) = listener.accept().await {
            let harm = self.harm.subscribe();
            if harm.borrow().0 == Harm::Reset {
                continue;
            }
            tokio::spawn(connect(near, target, harm));
        }
    }
}

async fn connect(near: TcpStream, target: SocketAddr, harm: watch::Receiver<(Harm, u64)>) {
    let Ok(far) = TcpStream::connect(target).await else { return };
    let opened = harm.borrow().1;
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let harm = Arc::new(harm);
    let there = pass(near_read, far_write, Arc::clone(&harm), opened, false);
    let back = pass(far_read, near_write, Arc::clone(&harm), opened, true);
    let mut reset = harm.as_ref().clone();
    tokio::select! {
        _ = async { tokio::join!(there, back) } => {}
        _ = reset.wait_for(|(harm, _)| *harm == Harm::Reset) => {}
    }
}

/// Passes bytes on until the end of the stream.
async fn pass(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    harm: Arc<watch::Receiver<(Harm, u64)>>,
    opened: u64,
    back: bool,
) {
    let mut buffer = vec![0; CHUNK];
    while let Ok(count @ 1..) = from.read(&mut buffer).await {
        let (state, since) = *harm.borrow();
        match state {
            Harm::Delay(time) => tokio::time::sleep(time).await,
            Harm::Silence if since > opened => std::future::pending().await,
            Harm::OneWay if back => std::future::pending().await,
            _ => {}
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            break;
        }
    }
}
