//! Operators' calls: a configuration is taken, or read.

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

/// How long a change may take. Callers go elsewhere after a second of silence; whoever hears nothing clear asks again.
const CHANGE_WITHIN: Duration = Duration::from_millis(900);
/// How much longer for each route.
const CHANGE_PER_ROUTE: Duration = Duration::from_millis(3);
/// How long a read may take.
const READ_WITHIN: Duration = Duration::from_millis(900);
/// How long a machine out of contact waits for a majority before it sends the caller elsewhere.
const CONTACT_WITHIN: Duration = Duration::from_millis(300);
/// When a caller is to come again that no machine can serve now, in seconds.
const COME_AGAIN: &str = "0.25";

/// Answers a call.
pub async fn answer(core: Rc<Core>, dock: SocketAddr, call: Call) -> ControlResponse {
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
        Some("config.replace") => replace(&core, dock, call.body).await,
        Some("config.read") => read(&core, dock).await,
        other => {
            let found = other.unwrap_or("nothing");
            let why = format!("call: found {found:?}, expected config.replace or config.read");
            error_response(StatusCode::NOT_FOUND, &why)
        }
    }
}

/// Out of contact with a majority: another machine that has contact, or when to come again. Nothing has happened.
fn elsewhere(core: &Core, dock: SocketAddr, call: &str) -> ControlResponse {
    // Ports are alike on all core machines.
    if let Some(peer) = core.peer_in_contact() {
        let to = format!("http://{}/-/rpc?call={call}", SocketAddr::new(peer.ip(), dock.port()));
        if let Ok(location) = HeaderValue::from_str(&to) {
            let mut answer = text_response(StatusCode::TEMPORARY_REDIRECT, "out of contact with a majority");
            answer.headers_mut().insert(LOCATION, location);
            return answer;
        }
    }
    let mut answer = error_response(StatusCode::SERVICE_UNAVAILABLE, "chain: out of contact with a majority");
    answer.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static(COME_AGAIN));
    answer
}

async fn replace(core: &Core, dock: SocketAddr, body: Bytes) -> ControlResponse {
    let config = match model::Config::parse(&body) {
        Ok(config) => config,
        Err(why) => {
            let why = format!("{why:#}");
            info!(target: "operator", "Refused a configuration: {why}.");
            return error_response(StatusCode::BAD_REQUEST, &why);
        }
    };
    if !core.wait_for_contact(CONTACT_WITHIN).await {
        return elsewhere(core, dock, "config.replace");
    }
    let edition = config.edition.0;
    let within = CHANGE_WITHIN + CHANGE_PER_ROUTE * config.route_count() as u32;
    match core.change(&Change::Config(Config { edition, body }), within).await {
        Ok(ChangeResult::Taken { holds }) => {
            let body = serde_json::json!({ "edition": format!("{holds:08x}") });
            json_response(StatusCode::OK, body.to_string())
        }
        Ok(ChangeResult::Conflict { holds }) => {
            let why =
                format!("edition: found {holds:08x} with other content than is held, expected a higher one");
            info!(target: "operator", "Refused a configuration: {why}.");
            error_response(StatusCode::CONFLICT, &why)
        }
        Ok(_) => error_response(StatusCode::INTERNAL_SERVER_ERROR, "chain: an answer to another question"),
        // Perhaps taken, perhaps not: no promise.
        Err(why) => error_response(StatusCode::GATEWAY_TIMEOUT, &format!("{why:#}")),
    }
}

async fn read(core: &Core, dock: SocketAddr) -> ControlResponse {
    if !core.wait_for_contact(CONTACT_WITHIN).await {
        return elsewhere(core, dock, "config.read");
    }
    match core.change(&Change::Read, READ_WITHIN).await {
        Ok(ChangeResult::Config(Some(config))) => json_response(StatusCode::OK, config.body),
        Ok(ChangeResult::Config(None)) => error_response(StatusCode::NOT_FOUND, "no configuration yet"),
        Ok(_) => text_response(StatusCode::INTERNAL_SERVER_ERROR, "chain: an answer to another question"),
        Err(why) => error_response(StatusCode::GATEWAY_TIMEOUT, &format!("{why:#}")),
    }
}
