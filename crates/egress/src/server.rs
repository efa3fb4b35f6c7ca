//! The RPC server for calls by brokers and other egresses.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use capnp::capability::Promise;
use query::PartOutcome;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tracing::Instrument;
use wire::node_capnp::{Outcome, Verdict, node, sink};

use crate::part::{self, Batch};
use crate::traffic::Traffic;

/// Accepts connections until accepting one fails.
pub(crate) async fn serve(listener: TcpListener, traffic: Rc<Traffic>) {
    while let Ok((stream, _)) = listener.accept().await {
        let session = Rc::new(Session { traffic: traffic.clone(), broker: RefCell::default() });
        let server = session.clone();
        spawn_local(async move {
            let client: node::Client = capnp_rpc::new_client_from_rc(server);
            wire::accept(stream, client).await;
            if let Some(host) = session.broker.take() {
                session.traffic.remove_broker(&host);
            }
        });
    }
}

/// The state of one connection from another host.
struct Session {
    traffic: Rc<Traffic>,
    /// Name of the broker that follows this host over the connection, if any.
    broker: RefCell<Option<Box<str>>>,
}

/// Cancels the parts of a batch that are still running when it is dropped, as when the connection
/// to the broker has ended.
struct CancelGuard {
    traffic: Rc<Traffic>,
    search_id: u64,
    parts: Vec<u32>,
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        for part in &self.parts {
            self.traffic.cancel_part(self.search_id, *part);
        }
    }
}

impl node::Server for Session {
    async fn search(
        self: Rc<Self>,
        params: node::SearchParams,
        _results: node::SearchResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let (batch, sink) = (params.get_batch()?, params.get_sink()?);
        let search_id = batch.get_query();
        let shared = Rc::new(Batch {
            request_id: batch.get_request_id()?.to_str()?.into(),
            service: batch.get_service()?.to_str()?.into(),
            operation: batch.get_operation()?.to_str()?.into(),
            traceparent: batch.get_traceparent()?.to_str()?.into(),
            body: Bytes::copy_from_slice(batch.get_body()?),
            snapshot: batch.get_snapshot(),
            deadline: Instant::now() + Duration::from_micros(batch.get_budget_micros()),
        });
        let span = tracing::debug_span!(
            "egress",
            trace = &*shared.traceparent,
            service = &*shared.service
        );
        let (answers, inbox) = mpsc::unbounded_channel();
        let mut parts = Vec::new();
        for part in batch.get_parts()? {
            let (id, name) = (part.get_part(), part.get_upstream()?.to_str()?.into());
            parts.push(id);
            let (traffic, shared, answers) =
                (self.traffic.clone(), shared.clone(), answers.clone());
            let cancel = traffic.begin_part(search_id, id);
            spawn_local(async move {
                let outcome = part::run(traffic.clone(), shared, name, cancel).await;
                traffic.end_part(search_id, id);
                let _ = answers.send((id, outcome));
            });
        }
        drop(answers);
        let _guard = CancelGuard { traffic: self.traffic.clone(), search_id, parts };
        push_all(sink, inbox).instrument(span).await
    }

    async fn cancel(
        self: Rc<Self>,
        params: node::CancelParams,
        _results: node::CancelResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        for part in params.get_parts()? {
            self.traffic.cancel_part(params.get_query(), part);
        }
        Ok(())
    }

    async fn follow(
        self: Rc<Self>,
        params: node::FollowParams,
        mut results: node::FollowResults,
    ) -> Result<(), capnp::Error> {
        let failed = |error: serde_json::Error| capnp::Error::failed(error.to_string());
        let known: route::Follow =
            serde_json::from_slice(params.get()?.get_known()?).map_err(failed)?;
        if let Some(presence) = &known.presence {
            self.broker.replace(Some(presence.host.clone()));
        }
        let update = self.traffic.follow(known).await;
        results.get().set_update(&serde_json::to_vec(&update).map_err(failed)?);
        Ok(())
    }

    async fn claim(
        self: Rc<Self>,
        params: node::ClaimParams,
        mut results: node::ClaimResults,
    ) -> Result<(), capnp::Error> {
        let id = params.get()?.get_request_id()?.to_str()?;
        let verdict = match self.traffic.claim(id) {
            Some(once::Verdict::Granted) => Verdict::Granted,
            Some(once::Verdict::Repeated) => Verdict::Repeated,
            Some(once::Verdict::Unknown) => Verdict::Unknown,
            Some(once::Verdict::Refused) => Verdict::Refused,
            None => Verdict::NotOwner,
        };
        results.get().set_verdict(verdict);
        Ok(())
    }

    fn not_run(
        self: Rc<Self>,
        params: node::NotRunParams,
        _results: node::NotRunResults,
    ) -> impl Future<Output = Result<(), capnp::Error>> + 'static {
        let revoked = params.get().and_then(|params| {
            self.traffic.revoke_claim(params.get_request_id()?.to_str()?);
            Ok(())
        });
        Promise::<(), capnp::Error>::from(revoked)
    }

    async fn release(
        self: Rc<Self>,
        params: node::ReleaseParams,
        _results: node::ReleaseResults,
    ) -> Result<(), capnp::Error> {
        let handover = serde_json::from_slice(params.get()?.get_body()?)
            .map_err(|error| capnp::Error::failed(error.to_string()))?;
        self.traffic.receive_handover(handover);
        Ok(())
    }
}

/// Sends answers to the broker as they arrive. Answers that arrive while a message is in flight are
/// sent together in the next message.
async fn push_all(
    sink: sink::Client,
    mut inbox: mpsc::UnboundedReceiver<(u32, PartOutcome)>,
) -> Result<(), capnp::Error> {
    let mut ready = Vec::new();
    while inbox.recv_many(&mut ready, 64).await > 0 {
        let mut call = sink.push_request();
        let mut answers = call.get().init_answers(ready.len() as u32);
        for (index, (part, outcome)) in ready.drain(..).enumerate() {
            let mut answer = answers.reborrow().get(index as u32);
            answer.set_part(part);
            match outcome {
                PartOutcome::Ran { snapshot, shard, shards, body } => {
                    answer.set_outcome(Outcome::Ran);
                    answer.set_snapshot(snapshot);
                    answer.set_shard(shard);
                    answer.set_shards(shards);
                    answer.set_body(&body);
                }
                PartOutcome::NotRun(reason) => {
                    answer.set_outcome(Outcome::NotRun);
                    answer.set_reason(&*reason);
                }
                PartOutcome::Unknown(reason) => {
                    answer.set_outcome(Outcome::Unknown);
                    answer.set_reason(&*reason);
                }
            }
        }
        call.send().promise.await?;
    }
    Ok(())
}
