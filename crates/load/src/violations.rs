//! Violations committed on demand, so that each count is seen to rise.

use std::time::Duration;

use history::EventKind;
use standin::Violation;

use crate::run::Run;

/// Violations that can be committed.
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
    /// Lets every upstream commit a violation, where that is an upstream's to commit.
    pub(crate) fn commit(&mut self, name: &str) {
        let what = match name {
            "mixed_snapshots" => Violation::WrongSnapshot,
            "wrong_answers" => Violation::WrongQuery,
            "duplicate_runs" => Violation::DuplicateRun,
            "false_not_run" => Violation::FalseShed,
            "limit_overload" | "cold_overload" => Violation::OverstatedLoad,
            "false_coverage" => Violation::WrongShard,
            _ => return,
        };
        self.cluster.fleet.upstreams.iter().for_each(|upstream| upstream.set_violation(Some(what)));
    }

    /// Commits a violation that is another stand-in's: a rogue owner, entry host or node.
    pub(crate) async fn commit_after(&self, name: &str) {
        let recorder = &self.cluster.recorder;
        let upstream = &self.cluster.fleet.upstreams[0];
        match name {
            "late_domain_work" => {
                recorder.record(EventKind::DomainOut(upstream.spec().domain.clone()));
            }
            "late_leaving_work" => recorder.record(EventKind::Leaving(upstream.spec().id.clone())),
            "cut_requests" => return self.cut().await,
            "config_reverts" => {
                for revision in [2, 1] {
                    recorder.record(EventKind::ConfigInForce { node: "rogue".into(), revision });
                }
                return;
            }
            _ => return,
        }
        tokio::time::sleep(Duration::from_millis(5_100)).await;
        let client = reqwest::Client::builder().no_proxy().build().unwrap_or_default();
        let call = client.post(format!("http://{}/search", upstream.address()));
        let _ = call.header("x-request-id", "1-rogue").send().await;
    }

    /// Lets an entry host take a request and close the connection.
    pub(crate) async fn cut(&self) {
        let any = std::net::SocketAddr::from(([127, 0, 0, 1], 0));
        let Ok(listener) = tokio::net::TcpListener::bind(any).await else { return };
        let Ok(address) = listener.local_addr() else { return };
        tokio::spawn(async move {
            if let Ok((stream, _)) = listener.accept().await {
                let _ = stream.readable().await;
            }
        });
        if let Some(caller) = self.callers.values().next() {
            caller.ask_at(address).await;
        }
    }
}
