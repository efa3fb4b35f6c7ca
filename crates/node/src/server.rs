//! HTTP/1 servers of the host, and listeners and responses that they share.

use std::convert::Infallible;
use std::future::Future;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use kernel::{Error, Result};
use tokio::net::TcpStream;

/// Body of a response that is complete before its head is sent.
pub type Body = Full<Bytes>;

/// Time for which a connection to the control thread may stay idle; callers and followers send a
/// request about every second.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Delay after a failed accept, so that a lack of file descriptors does not cause a busy loop.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Listens on an address.
///
/// # Errors
///
/// Returns an error when the address is in use or does not belong to this machine.
pub fn listen(address: SocketAddr) -> Result<TcpListener> {
    let listener = TcpListener::bind(address).map_err(|error| Error::bind(address, error))?;
    listener.set_nonblocking(true).map_err(|error| Error::bind(address, error))?;
    Ok(listener)
}

/// Binds a socket for datagrams to an address.
///
/// # Errors
///
/// Returns an error when the address is in use or does not belong to this machine.
pub fn bind_datagrams(address: SocketAddr) -> Result<UdpSocket> {
    let socket = UdpSocket::bind(address).map_err(|error| Error::bind(address, error))?;
    socket.set_nonblocking(true).map_err(|error| Error::bind(address, error))?;
    Ok(socket)
}

/// Registers a listener with the current runtime.
///
/// # Panics
///
/// Panics outside of a runtime with I/O, which every thread of the process has.
pub fn into_tokio(listener: TcpListener) -> tokio::net::TcpListener {
    tokio::net::TcpListener::from_std(listener).expect("the thread runs in a runtime with I/O")
}

/// Accepts the next connection. A failed accept is logged and retried.
pub async fn accept(listener: &tokio::net::TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if let Err(error) = stream.set_nodelay(true) {
                    log::debug!(error:%; "cannot set TCP_NODELAY on a new connection");
                }
                return stream;
            }
            Err(error) => {
                log::warn!(error:%; "cannot accept a connection");
                tokio::time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

/// Returns the HTTP/1 settings of the connections to the control thread.
pub fn http_builder() -> http1::Builder {
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(IDLE_TIMEOUT);
    builder
}

/// Answers every request on `listener` with `answer`, for as long as the thread runs. `builder` has
/// the HTTP/1 settings of the connections.
pub async fn serve<F, B>(
    listener: TcpListener,
    builder: http1::Builder,
    answer: impl Fn(Request<Incoming>) -> F + Clone + 'static,
) where
    F: Future<Output = Response<B>> + 'static,
    B: hyper::body::Body + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let listener = into_tokio(listener);
    loop {
        let stream = accept(&listener).await;
        let (answer, builder) = (answer.clone(), builder.clone());
        tokio::task::spawn_local(async move {
            let service = service_fn(move |request| {
                let response = answer(request);
                async move { Ok::<_, Infallible>(response.await) }
            });
            let connection = builder.serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                log::debug!(error:%; "connection of a client failed");
            }
        });
    }
}

/// Builds a response with a body of the content type `kind`.
pub fn response(status: StatusCode, kind: &'static str, body: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    let value = hyper::header::HeaderValue::from_static(kind);
    response.headers_mut().insert(hyper::header::CONTENT_TYPE, value);
    response
}

/// Builds a response without a body.
pub fn empty_response(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
