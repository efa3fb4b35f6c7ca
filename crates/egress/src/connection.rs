//! One connection to an upstream.
//!
//! Connections are driven through `hyper`, the library under `reqwest`, as the owner must count
//! each of them, and must know whether a request was written before its connection broke.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Body of a request to an upstream.
pub(crate) type Body = Full<Bytes>;

/// An open connection; it closes when dropped.
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<Body>,
}

/// Opens a connection within `time`.
///
/// # Errors
///
/// Fails when the upstream does not accept it in time.
pub(crate) async fn open(address: SocketAddr, time: Duration) -> std::io::Result<Connection> {
    let stream = tokio::time::timeout(time, TcpStream::connect(address)).await??;
    stream.set_nodelay(true)?;
    let (sender, driver) = handshake(TokioIo::new(stream)).await.map_err(std::io::Error::other)?;
    tokio::task::spawn_local(async move {
        let _ = driver.await;
    });
    Ok(Connection { sender })
}
