//! RPC connections from brokers and egresses to egresses.

use std::net::SocketAddr;
use std::time::Duration;

use capnp_rpc::{RpcSystem, rpc_twoparty_capnp, twoparty};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

use crate::node_capnp::node;

/// Timeout for opening a connection to an egress.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// An RPC connection to another host, which closes when dropped.
pub struct Connection {
    /// Client for the calls of the other host.
    pub client: node::Client,
    driver: JoinHandle<()>,
}

impl Connection {
    /// Returns whether the connection has ended.
    pub fn is_closed(&self) -> bool {
        self.driver.is_finished()
    }

    /// Closes the connection, even if other owners still hold it; their calls fail.
    pub fn close(&self) {
        self.driver.abort();
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

fn network(
    stream: TcpStream,
    side: rpc_twoparty_capnp::Side,
) -> Box<dyn capnp_rpc::VatNetwork<twoparty::VatId>> {
    let (reader, writer) = stream.into_split();
    Box::new(twoparty::VatNetwork::new(
        futures::io::BufReader::new(reader.compat()),
        futures::io::BufWriter::new(writer.compat_write()),
        side,
        capnp::message::ReaderOptions::new(),
    ))
}

/// Opens a connection to another host. Must be called within a [`tokio::task::LocalSet`], which
/// drives the connection.
///
/// # Errors
///
/// Fails when the host refuses the connection or does not accept it within 500 ms.
pub async fn connect(address: SocketAddr) -> std::io::Result<Connection> {
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
    stream.set_nodelay(true)?;
    let mut system = RpcSystem::new(network(stream, rpc_twoparty_capnp::Side::Client), None);
    let client = system.bootstrap(rpc_twoparty_capnp::Side::Server);
    let driver = tokio::task::spawn_local(async move {
        let _ = system.await;
    });
    Ok(Connection { client, driver })
}

/// Serves calls with `node` on an accepted connection until it closes.
pub async fn accept(stream: TcpStream, node: node::Client) {
    let _ = stream.set_nodelay(true);
    let side = rpc_twoparty_capnp::Side::Server;
    let _ = RpcSystem::new(network(stream, side), Some(node.client)).await;
}
