//! One HTTP connection to an upstream.
//!
//! The connections use `hyper` directly rather than `reqwest`, because the owner of an upstream has
//! to count each connection and to know whether a request was written before its connection broke.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Body of a request to an upstream.
pub(crate) type Body = Full<Bytes>;

/// An open connection, which closes when it is dropped.
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<Body>,
}

/// Opens a connection to `address`.
///
/// # Errors
///
/// Fails when the upstream refuses the connection or does not accept it within `timeout`.
pub(crate) async fn open(address: SocketAddr, timeout: Duration) -> std::io::Result<Connection> {
    let stream = tokio::time::timeout(timeout, TcpStream::connect(address)).await??;
    stream.set_nodelay(true)?;
    let (sender, driver) = handshake(TokioIo::new(stream)).await.map_err(std::io::Error::other)?;
    tokio::task::spawn_local(async move {
        let _ = driver.await;
    });
    Ok(Connection { sender })
}
