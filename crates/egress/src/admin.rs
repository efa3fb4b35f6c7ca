//! Health and metrics over HTTP.

use std::net::SocketAddr;
use std::sync::Arc;

use salvo::prelude::*;
use tokio::sync::watch;

use crate::metrics::Metrics;
use crate::state::Control;

#[derive(Clone)]
struct Admin {
    control: watch::Receiver<Arc<Control>>,
    metrics: Metrics,
}

#[async_trait]
impl Handler for Admin {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        if req.uri().path() == "/metrics" {
            res.render(Text::Plain(self.metrics.text()));
            return;
        }
        let control = self.control.borrow().clone();
        res.render(Json(serde_json::json!({
            "epoch": control.epoch,
            "config": control.config.revision,
            "groups": control.grants.len(),
        })));
    }
}

/// Starts the HTTP server, which runs until the runtime of the caller ends.
///
/// # Errors
///
/// Fails when `address` cannot be bound.
pub(crate) async fn serve(
    address: SocketAddr,
    control: watch::Receiver<Arc<Control>>,
    metrics: Metrics,
) -> kernel::Result<()> {
    let listener = tokio::net::TcpListener::bind(address).await;
    let listener = listener.map_err(|error| kernel::Error::bind(address, error))?;
    let acceptor = salvo::conn::tcp::TcpAcceptor::try_from(listener)
        .map_err(|error| kernel::Error::bind(address, error))?;
    let admin = Admin { control, metrics };
    let router = Router::new()
        .push(Router::with_path("healthz").get(admin.clone()))
        .push(Router::with_path("metrics").get(admin));
    tokio::spawn(Server::new(acceptor).serve(router));
    Ok(())
}
