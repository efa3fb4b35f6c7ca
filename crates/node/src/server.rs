//! HTTP servers for questions that are answered from memory.

use std::convert::Infallible;
use std::future::Future;
use std::net::{SocketAddr, TcpListener};
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

/// Body of every answer of ours; all are complete before the head is sent.
pub type Body = Full<Bytes>;

/// Time for which a connection for questions may stay idle; callers and peers ask every second.
const IDLE_TIME: Duration = Duration::from_secs(30);

/// Pause after a failed accept, so that a lack of descriptors does not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Listens on an address.
///
/// # Errors
///
/// Fails when the address is taken or not ours.
pub fn listen(address: SocketAddr) -> Result<TcpListener> {
    let listener = TcpListener::bind(address).map_err(|error| Error::bind(address, error))?;
    listener.set_nonblocking(true).map_err(|error| Error::bind(address, error))?;
    Ok(listener)
}

/// Makes the runtime take over a listener.
///
/// # Panics
///
/// Panics outside of a runtime with I/O, which every thread of ours has.
pub fn into_tokio(listener: TcpListener) -> tokio::net::TcpListener {
    tokio::net::TcpListener::from_std(listener).expect("a runtime with I/O and a free listener")
}

/// Accepts the next connection, however many tries that takes.
pub async fn accept(listener: &tokio::net::TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if let Err(error) = stream.set_nodelay(true) {
                    log::debug!(error:%; "a new connection is closed already");
                }
                return stream;
            }
            Err(error) => {
                log::warn!(error:%; "a connection could not be accepted");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Returns how connections for questions are served.
pub fn http_builder() -> http1::Builder {
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(IDLE_TIME);
    builder
}

/// Answers every request on `listener` with `answer`, for as long as the thread runs; `builder` says
/// how connections are served.
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
                log::debug!(error:%; "a connection of another host, the platform or a caller broke");
            }
        });
    }
}

/// Makes an answer with a body.
pub fn reply(status: StatusCode, kind: &'static str, body: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    let value = hyper::header::HeaderValue::from_static(kind);
    response.headers_mut().insert(hyper::header::CONTENT_TYPE, value);
    response
}

/// Makes an answer without a body.
pub fn empty(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
