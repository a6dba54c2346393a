//! Calls of operators: replacing and reading the configuration.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::{HeaderValue, LOCATION, RETRY_AFTER};
use hyper::{Method, StatusCode};
use log::info;
use sloeline_admin_http::control::{Call, ControlResponse, error_response, json_response, text_response};
use sloeline_discovery::Config;
use sloeline_route_config::model;

use crate::core::Core;
use crate::tables::{Change, ChangeResult};

/// Base timeout for replacing the configuration. Callers try another machine after one second without a response, and repeat
/// calls whose result is unknown.
const REPLACE_TIMEOUT: Duration = Duration::from_millis(900);
/// Addition to [`REPLACE_TIMEOUT`] for each route of the configuration.
const REPLACE_TIMEOUT_PER_ROUTE: Duration = Duration::from_millis(3);
/// Timeout for reading the configuration.
const READ_TIMEOUT: Duration = Duration::from_millis(900);
/// How long a machine without contact to a majority waits for contact before it redirects the caller.
const CONTACT_TIMEOUT: Duration = Duration::from_millis(300);
/// Value of `retry-after` in seconds, for callers that no machine can serve at the moment.
const RETRY_AFTER_SECONDS: &str = "0.25";

/// Answers a call of an operator. `control_addr` is the address at which this machine accepts such calls.
pub async fn answer(core: Rc<Core>, control_addr: SocketAddr, call: Call) -> ControlResponse {
    if call.path != "/-/rpc" {
        return error_response(
            StatusCode::NOT_FOUND,
            &format!("path: found {:?}, expected /-/rpc", call.path),
        );
    }
    if call.method != Method::POST {
        return error_response(
            StatusCode::METHOD_NOT_ALLOWED,
            &format!("method: found {}, expected POST", call.method),
        );
    }
    match call.name.as_deref() {
        Some("config.replace") => replace(&core, control_addr, call.body).await,
        Some("config.read") => read(&core, control_addr).await,
        other => {
            let found = other.unwrap_or("nothing");
            let message = format!("call: found {found:?}, expected config.replace or config.read");
            error_response(StatusCode::NOT_FOUND, &message)
        }
    }
}

/// Refuses a call because this machine is out of contact with a majority. Redirects the caller to a machine in contact if one
/// is known, else tells it when to try again. The call has had no effect.
fn redirect(core: &Core, control_addr: SocketAddr, call: &str) -> ControlResponse {
    // All core machines use the same control port.
    if let Some(peer) = core.peer_in_contact() {
        let target = format!("http://{}/-/rpc?call={call}", SocketAddr::new(peer.ip(), control_addr.port()));
        if let Ok(location) = HeaderValue::from_str(&target) {
            let mut response =
                text_response(StatusCode::TEMPORARY_REDIRECT, "out of contact with a majority");
            response.headers_mut().insert(LOCATION, location);
            return response;
        }
    }
    let mut response =
        error_response(StatusCode::SERVICE_UNAVAILABLE, "chain: out of contact with a majority");
    response.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static(RETRY_AFTER_SECONDS));
    response
}

/// Replaces the configuration with the one in `body`.
async fn replace(core: &Core, control_addr: SocketAddr, body: Bytes) -> ControlResponse {
    let config = match model::Config::parse(&body) {
        Ok(config) => config,
        Err(error) => {
            let message = format!("{error:#}");
            info!(target: "operator", "Refused a configuration: {message}.");
            return error_response(StatusCode::BAD_REQUEST, &message);
        }
    };
    if !core.wait_for_contact(CONTACT_TIMEOUT).await {
        return redirect(core, control_addr, "config.replace");
    }
    let edition = config.edition.0;
    let timeout = REPLACE_TIMEOUT + REPLACE_TIMEOUT_PER_ROUTE * config.route_count() as u32;
    match core.change(&Change::Config(Config { edition, body }), timeout).await {
        Ok(ChangeResult::Accepted { version }) => {
            let body = serde_json::json!({ "edition": format!("{version:08x}") });
            json_response(StatusCode::OK, body.to_string())
        }
        Ok(ChangeResult::Conflict { version }) => {
            let message = format!(
                "edition: found {version:08x} with other content than is held, expected a higher one"
            );
            info!(target: "operator", "Refused a configuration: {message}.");
            error_response(StatusCode::CONFLICT, &message)
        }
        Ok(_) => error_response(StatusCode::INTERNAL_SERVER_ERROR, "chain: an answer to another question"),
        // The configuration may or may not come into force.
        Err(error) => error_response(StatusCode::GATEWAY_TIMEOUT, &format!("{error:#}")),
    }
}

/// Returns the configuration in force.
async fn read(core: &Core, control_addr: SocketAddr) -> ControlResponse {
    if !core.wait_for_contact(CONTACT_TIMEOUT).await {
        return redirect(core, control_addr, "config.read");
    }
    match core.change(&Change::Read, READ_TIMEOUT).await {
        Ok(ChangeResult::Config(Some(config))) => json_response(StatusCode::OK, config.body),
        Ok(ChangeResult::Config(None)) => error_response(StatusCode::NOT_FOUND, "no configuration yet"),
        Ok(_) => text_response(StatusCode::INTERNAL_SERVER_ERROR, "chain: an answer to another question"),
        Err(error) => error_response(StatusCode::GATEWAY_TIMEOUT, &format!("{error:#}")),
    }
}
