//! Serves a process's figures in the Prometheus text format.

use std::net::{IpAddr, SocketAddr};

use hyper::{Method, StatusCode};
use log::warn;
use sloeline_metrics::{Metrics, render};
use tokio::net::TcpListener;

use crate::control::{self, error_response, text_response};

/// Where each process of the mesh serves its figures; `deploy/system.toml` names the same port.
pub const PORT: u16 = 9464;
/// The path.
pub const PATH: &str = "/metrics";

/// Serves these figures for good. A port that is taken is logged and no error: nothing else depends on it.
pub async fn serve(address: IpAddr, lists: Vec<Metrics>) {
    let address = SocketAddr::new(address, PORT);
    let listener = match TcpListener::bind(address).await {
        Ok(listener) => listener,
        Err(why) => {
            warn!(target: "metrics", "Not served at {address}: {why}.");
            return;
        }
    };
    control::serve(listener, 0, move |call, _| {
        let answer = match call.method == Method::GET && call.path == PATH {
            true => text_response(StatusCode::OK, render(&lists)),
            false => error_response(StatusCode::NOT_FOUND, "expected GET /metrics"),
        };
        async move { answer }
    })
    .await;
}
