//! The side connection to an upstream: cancellations, and reads of its load endpoint.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use tokio::sync::mpsc;

use crate::connection::{Connection, open};
use crate::traffic::{TICK, Traffic};
use crate::upstream::{Owned, Place};

/// Time between two reads of an upstream's load endpoint.
const POLL_TIME: Duration = Duration::from_secs(1);

/// Time that a call of an upstream's side endpoints may take.
const SIDE_TIME: Duration = Duration::from_millis(500);

impl Traffic {
    /// Cancels and polls over one side connection, as long as the upstream is listed.
    pub(crate) async fn attend(
        self: Rc<Self>,
        owned: Rc<Owned>,
        mut cancels: mpsc::UnboundedReceiver<Box<str>>,
    ) {
        let mut side = None;
        loop {
            let request = tokio::select! {
                id = cancels.recv() => match id {
                    Some(id) => Request::delete(format!("/search/{id}")),
                    None => return,
                },
                () = tokio::time::sleep(if side.is_none() { TICK } else { POLL_TIME }) => {
                    Request::get("/load")
                }
            };
            let listed = self.owned(&owned.name).is_some_and(|other| Rc::ptr_eq(&other, &owned));
            if !listed {
                return;
            }
            if !self.may_send(Instant::now(), &owned) {
                tokio::time::sleep(TICK).await;
                continue;
            }
            let is_poll = request.method_ref() == Some(&hyper::Method::GET);
            let body = request.header("host", "upstream").body(Full::new(Bytes::new()));
            let Ok(request) = body else { continue };
            let answer = self.side_call(&owned, &mut side, request).await;
            match answer {
                Some(body) if is_poll => learn_load(&owned, &body),
                Some(_) => {}
                None => tokio::time::sleep(SIDE_TIME / 2).await,
            }
        }
    }

    pub(crate) async fn side_call(
        &self,
        owned: &Owned,
        side: &mut Option<Connection>,
        request: Request<Full<Bytes>>,
    ) -> Option<Bytes> {
        if side.as_ref().is_none_or(|connection| connection.sender.is_closed()) {
            if side.take().is_some() {
                owned.conns.borrow_mut().closed();
            }
            if !owned.conns.borrow_mut().try_open(Instant::now()) {
                return None;
            }
            let address = owned.target.borrow().address;
            let opened = open(address, SIDE_TIME).await;
            owned.conns.borrow_mut().opened(opened.is_ok());
            *side = opened.ok();
        }
        let connection = side.as_mut()?;
        let call = async {
            let response = connection.sender.send_request(request).await.ok()?;
            Some(response.into_body().collect().await.ok()?.to_bytes())
        };
        let answer = tokio::time::timeout(SIDE_TIME, call).await.ok().flatten();
        if answer.is_none() {
            *side = None;
            owned.conns.borrow_mut().abandoned(Instant::now());
        }
        answer
    }
}

/// Takes what a load endpoint says; answers outrank it.
fn learn_load(owned: &Owned, body: &Bytes) {
    let Ok(load) = serde_json::from_slice::<serde_json::Value>(body) else { return };
    let number = |name: &str| load.get(name).and_then(serde_json::Value::as_u64);
    if let (Some(snapshot), Some(shard), Some(shards)) =
        (number("snapshot"), number("shard"), number("shards"))
    {
        owned.learn(Place { snapshot, shard: shard as u32, shards: shards as u32 });
    }
}
