//! Serves the metrics of a process over HTTP in the Prometheus text format.

use std::net::{IpAddr, SocketAddr};

use hyper::{Method, StatusCode};
use log::warn;
use sloeline_metrics::{Metrics, render};
use tokio::net::TcpListener;

use crate::control::{self, error_response, text_response};

/// TCP port at which each mesh process serves its metrics. `deploy/system.toml` must name the same port.
pub const PORT: u16 = 9464;
/// Path of the request that returns the metrics.
pub const PATH: &str = "/metrics";

/// Serves the given metrics forever. If the port is in use, a warning is logged and the process runs on without serving
/// metrics, because nothing else depends on them.
pub async fn serve(address: IpAddr, lists: Vec<Metrics>) {
    let address = SocketAddr::new(address, PORT);
    let listener = match TcpListener::bind(address).await {
        Ok(listener) => listener,
        Err(error) => {
            warn!(target: "metrics", "Metrics are not served at {address}: {error}.");
            return;
        }
    };
    control::serve(listener, 0, move |call, _| {
        let response = match call.method == Method::GET && call.path == PATH {
            true => text_response(StatusCode::OK, render(&lists)),
            false => error_response(StatusCode::NOT_FOUND, "expected GET /metrics"),
        };
        async move { response }
    })
    .await;
}
