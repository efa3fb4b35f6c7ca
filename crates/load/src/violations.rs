//! Violations injected on request, to show that the checker counts each of them.

use std::time::Duration;

use history::EventKind;
use standin::Misbehavior;

use crate::run::Run;

/// Names of the violations that can be injected, which are those of the checker.
pub(crate) const VIOLATIONS: [&str; 11] = [
    "cold_overload",
    "limit_overload",
    "late_domain_work",
    "late_leaving_work",
    "cut_requests",
    "mixed_snapshots",
    "duplicate_runs",
    "false_not_run",
    "false_coverage",
    "wrong_answers",
    "config_reverts",
];

impl Run {
    /// Makes every upstream commit the named violation from now on, if upstreams can commit it.
    pub(crate) fn inject_at_upstreams(&mut self, name: &str) {
        let violation = match name {
            "mixed_snapshots" => Misbehavior::WrongSnapshot,
            "wrong_answers" => Misbehavior::WrongQuery,
            "duplicate_runs" => Misbehavior::DuplicateRun,
            "false_not_run" => Misbehavior::FalseShed,
            "limit_overload" | "cold_overload" => Misbehavior::OverstatedLoad,
            "false_coverage" => Misbehavior::WrongShard,
            _ => return,
        };
        self.cluster
            .fleet
            .upstreams
            .iter()
            .for_each(|upstream| upstream.set_misbehavior(Some(violation)));
    }

    /// Injects the named violation after the run, if it is one that upstreams cannot commit.
    ///
    /// Late work is sent by a client directly to an upstream, the connection of one request is
    /// closed without an answer, and a reverted configuration is only recorded.
    pub(crate) async fn inject_after_run(&self, name: &str) {
        let recorder = &self.cluster.recorder;
        let upstream = &self.cluster.fleet.upstreams[0];
        match name {
            "late_domain_work" => {
                recorder.record(EventKind::DomainEvacuated(upstream.spec().domain.clone()));
            }
            "late_leaving_work" => recorder.record(EventKind::Leaving(upstream.spec().id.clone())),
            "cut_requests" => return self.close_without_answer().await,
            "config_reverts" => {
                for revision in [2, 1] {
                    recorder.record(EventKind::ConfigInForce { node: "rogue".into(), revision });
                }
                return;
            }
            _ => return,
        }
        // The checker allows work to arrive for up to 5 s after the change.
        tokio::time::sleep(Duration::from_millis(5_100)).await;
        let client = reqwest::Client::builder().no_proxy().build().unwrap_or_default();
        let call = client.post(format!("http://{}/search", upstream.address()));
        let _ = call.header("x-request-id", "1-rogue").send().await;
    }

    /// Sends a request to a listener, in place of a broker, that accepts the connection and closes
    /// it without an answer.
    pub(crate) async fn close_without_answer(&self) {
        let any = std::net::SocketAddr::from(([127, 0, 0, 1], 0));
        let Ok(listener) = tokio::net::TcpListener::bind(any).await else { return };
        let Ok(address) = listener.local_addr() else { return };
        tokio::spawn(async move {
            if let Ok((stream, _)) = listener.accept().await {
                let _ = stream.readable().await;
            }
        });
        if let Some(caller) = self.callers.values().next() {
            caller.search_at(address).await;
        }
    }
}
