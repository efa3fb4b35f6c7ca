//! The management connection to an upstream, for cancellations and reads of its load endpoint.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use tokio::sync::mpsc;

use crate::connection::{Connection, open};
use crate::traffic::{TICK_INTERVAL, Traffic};
use crate::upstream::{ServedShard, Upstream};

/// Interval between two reads of the load endpoint of a connected upstream. Each cancellation
/// restarts the wait. Without a connection, the wait is [`TICK_INTERVAL`].
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Timeout of a call over the management connection.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

impl Traffic {
    /// Sends cancellations and reads the load endpoint over one connection for as long as the
    /// upstream is listed.
    pub(crate) async fn manage(
        self: Rc<Self>,
        upstream: Rc<Upstream>,
        mut cancels: mpsc::UnboundedReceiver<Box<str>>,
    ) {
        let mut connection = None;
        loop {
            let request = tokio::select! {
                id = cancels.recv() => match id {
                    Some(id) => Request::delete(format!("/search/{id}")),
                    None => return,
                },
                () = tokio::time::sleep(if connection.is_none() {
                    TICK_INTERVAL
                } else {
                    POLL_INTERVAL
                }) => {
                    Request::get("/load")
                }
            };
            let listed =
                self.upstream(&upstream.name).is_some_and(|other| Rc::ptr_eq(&other, &upstream));
            if !listed {
                return;
            }
            if !self.has_grant(Instant::now(), &upstream) {
                tokio::time::sleep(TICK_INTERVAL).await;
                continue;
            }
            let is_poll = request.method_ref() == Some(&hyper::Method::GET);
            let body = request.header("host", "upstream").body(Full::new(Bytes::new()));
            let Ok(request) = body else { continue };
            let answer = self.call_management(&upstream, &mut connection, request).await;
            match answer {
                Some(body) if is_poll => record_load(&upstream, &body),
                Some(_) => {}
                None => tokio::time::sleep(CALL_TIMEOUT / 2).await,
            }
        }
    }

    /// Sends a request over the management connection, which is opened if necessary; returns the
    /// body of the answer, or `None` if there is no connection or no answer in time.
    pub(crate) async fn call_management(
        &self,
        upstream: &Upstream,
        slot: &mut Option<Connection>,
        request: Request<Full<Bytes>>,
    ) -> Option<Bytes> {
        if slot.as_ref().is_none_or(|connection| connection.sender.is_closed()) {
            if slot.take().is_some() {
                upstream.connections.borrow_mut().closed();
            }
            if !upstream.connections.borrow_mut().try_open(Instant::now()) {
                return None;
            }
            let address = upstream.target.borrow().address;
            let opened = open(address, CALL_TIMEOUT).await;
            upstream.connections.borrow_mut().opened(opened.is_ok());
            *slot = opened.ok();
        }
        let connection = slot.as_mut()?;
        let call = async {
            let response = connection.sender.send_request(request).await.ok()?;
            Some(response.into_body().collect().await.ok()?.to_bytes())
        };
        let answer = tokio::time::timeout(CALL_TIMEOUT, call).await.ok().flatten();
        if answer.is_none() {
            *slot = None;
            upstream.connections.borrow_mut().abandoned(Instant::now());
        }
        answer
    }
}

/// Records the snapshot and shard that the load endpoint reports, unless a newer snapshot is known.
fn record_load(upstream: &Upstream, body: &Bytes) {
    let Ok(load) = serde_json::from_slice::<serde_json::Value>(body) else { return };
    let number = |name: &str| load.get(name).and_then(serde_json::Value::as_u64);
    if let (Some(snapshot), Some(shard), Some(shards)) =
        (number("snapshot"), number("shard"), number("shards"))
    {
        upstream.set_served_shard(ServedShard {
            snapshot,
            shard: shard as u32,
            shards: shards as u32,
        });
    }
}
