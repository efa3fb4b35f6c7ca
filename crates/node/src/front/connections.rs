//! Connections of callers, from their acceptance to the end of the host's shutdown.

use std::cell::Cell;
use std::convert::Infallible;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures::FutureExt;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use limit::Shutdown;

use super::Front;
use crate::fanout::{Event, Fanout};
use crate::server::{accept, into_tokio};

/// Minimum buffer size that the HTTP library accepts.
const MIN_BUFFER_BYTES: usize = 8 * 1024;

impl Front {
    /// Accepts connections of callers until the host shuts down, and then waits for the requests in
    /// flight.
    pub(super) async fn accept(self: Rc<Self>, listener: TcpListener) {
        let listener = into_tokio(listener);
        let mut stop = self.shared.stop.clone();
        let grace = self.shared.settings.bounds.grace;
        let stopped = async {
            stop.wait().await;
            let shutdown = Shutdown::new(Instant::now(), grace);
            self.shutdown.set(Some(shutdown));
            self.registry.begin_shutdown();
            log::info!(
                open = self.open_connections.get();
                "shutting down: answers close their connections"
            );
            tokio::time::sleep_until(shutdown.accepts_until().into()).await;
            shutdown
        };
        tokio::pin!(stopped);
        let shutdown = loop {
            tokio::select! {
                stream = accept(&listener) => self.spawn_connection(stream),
                shutdown = &mut stopped => break shutdown,
            }
        };
        // Connections that still wait would be reset together with the listener.
        while let Some(stream) = accept(&listener).now_or_never() {
            self.spawn_connection(stream);
        }
        drop(listener);
        self.wait_for_requests(shutdown.closes_at()).await;
        log::info!(open = self.open_connections.get(); "no longer waiting for requests in flight");
        self.closing.send_replace(true);
        self.wait_for_requests(shutdown.ends_at()).await;
    }

    /// Waits until all connections of callers and all relay requests have ended, at most until
    /// `deadline`.
    async fn wait_for_requests(&self, deadline: Instant) {
        while self.open_connections.get() + self.relay.in_flight() > 0 && Instant::now() < deadline
        {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Waits until requests in flight are to be answered at once.
    pub(super) async fn closing(&self) {
        // The sender lives as long as the server, so this cannot fail.
        let _ = self.closing.subscribe().wait_for(|closing| *closing).await;
    }

    /// Returns the next event of a request, or [`Event::Due`] if it is to be answered at once.
    pub(super) async fn next_event(&self, fanout: &mut Fanout, until: Instant) -> Event {
        tokio::select! {
            biased;
            event = fanout.next(until) => event,
            () = self.closing() => Event::Due,
        }
    }

    fn spawn_connection(self: &Rc<Self>, stream: tokio::net::TcpStream) {
        self.open_connections.set(self.open_connections.get() + 1);
        tokio::task::spawn_local(Rc::clone(self).connection(TokioIo::new(stream)));
    }

    async fn connection(self: Rc<Self>, stream: TokioIo<tokio::net::TcpStream>) {
        let limits = self.registry.view().table.as_ref().map(|table| table.limits().clone());
        let limits = limits.unwrap_or_default();
        let front = Rc::clone(&self);
        let state = Cell::new(gather::Connection::New);
        let service = service_fn(move |request| {
            let front = Rc::clone(&front);
            let state = state.replace(gather::Connection::Kept);
            async move { Ok::<_, Infallible>(front.handle(request, state).await) }
        });
        let mut closing = self.closing.subscribe();
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            // The HTTP library applies this timeout to idle connections, too.
            .header_read_timeout(limits.idle_timeout)
            .max_buf_size(limits.max_header_bytes.max(MIN_BUFFER_BYTES))
            .serve_connection(stream, service);
        tokio::pin!(connection);
        // Requests that have arrived are read before the connection is closed.
        let result = tokio::select! {
            biased;
            result = connection.as_mut() => result,
            _ = closing.wait_for(|closing| *closing) => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        };
        if let Err(error) = result {
            log::debug!(error:%; "connection of a caller failed");
        }
        self.open_connections.set(self.open_connections.get() - 1);
    }
}
