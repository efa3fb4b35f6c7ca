//! An HTTP/1 connection to an upstream or another host, polled by the task that uses it.
//!
//! A separate task for each connection would cost two additional wake-ups per request, which is a
//! large part of the cost of a request; see `docs/design/platform.md`.

use std::future::Future;
use std::io::{Error, Result};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, Waker};
use std::time::Instant;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Number of a connection, unique within the process.
pub type Id = u64;

static LAST_ID: AtomicU64 = AtomicU64::new(0);

type Task = http1::Connection<TokioIo<TcpStream>, Full<Bytes>>;

/// A connection that carries one request at a time.
pub struct Connection {
    id: Id,
    opened: Instant,
    sender: SendRequest<Full<Bytes>>,
    task: Option<Box<Task>>,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Fails when the connection cannot be established.
    pub async fn open(address: SocketAddr) -> Result<Self> {
        let stream = TcpStream::connect(address).await?;
        let opened = Instant::now();
        stream.set_nodelay(true)?;
        let (sender, task) = http1::handshake(TokioIo::new(stream)).await.map_err(Error::other)?;
        let id = LAST_ID.fetch_add(1, Ordering::Relaxed) + 1;
        Ok(Self { id, opened, sender, task: Some(Box::new(task)) })
    }

    /// Returns the number of the connection.
    pub fn id(&self) -> Id {
        self.id
    }

    /// Returns when the connection was established. The process of the peer has been running since then at
    /// least.
    pub fn opened(&self) -> Instant {
        self.opened
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks. The error contains the request if nothing was written.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> std::result::Result<Response<Incoming>, TrySendError<Request<Full<Bytes>>>> {
        let response = self.sender.try_send_request(request);
        drive(&mut self.task, response).await
    }

    /// Polls the connection until `work`, a future that depends on it, completes.
    pub async fn drive<T>(&mut self, work: impl Future<Output = T>) -> T {
        drive(&mut self.task, work).await
    }

    /// Returns whether the connection can carry another request. A connection that was closed, or
    /// that received any bytes since the last response, cannot.
    pub fn is_usable(&mut self) -> bool {
        let mut context = Context::from_waker(Waker::noop());
        poll_task(&mut self.task, &mut context);
        self.task.is_some() && self.sender.is_ready()
    }
}

async fn drive<T>(task: &mut Option<Box<Task>>, work: impl Future<Output = T>) -> T {
    let mut work = std::pin::pin!(work);
    std::future::poll_fn(move |context| {
        poll_task(task, context);
        let polled = work.as_mut().poll(context);
        if polled.is_pending() {
            // Lets the connection process what `work` has just requested without another wake-up.
            poll_task(task, context);
        }
        polled
    })
    .await
}

fn poll_task(task: &mut Option<Box<Task>>, context: &mut Context<'_>) {
    if let Some(running) = task
        && let Poll::Ready(result) = Pin::new(running.as_mut()).poll(context)
    {
        if let Err(error) = result {
            log::debug!(error:%; "connection failed");
        }
        *task = None;
    }
}
