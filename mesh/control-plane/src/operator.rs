//! Operators' calls: a configuration is taken, or read.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::{Method, StatusCode};
use log::info;
use sloeline_admin_http::control::{Answer, Call, json, plain, wrong};
use sloeline_discovery::Config;
use sloeline_route_config::model;

use crate::core::Core;
use crate::tables::{Came, Change};

/// How long a change may take. An operator who hears nothing clear asks again, here or elsewhere.
const WITHIN: Duration = Duration::from_millis(3500);
/// How long a read may take.
const READ_WITHIN: Duration = Duration::from_millis(2500);

/// Answers a call.
pub async fn answer(core: Rc<Core>, call: Call) -> Answer {
    if call.path != "/-/rpc" {
        return wrong(StatusCode::NOT_FOUND, &format!("path: found {:?}, expected /-/rpc", call.path));
    }
    if call.method != Method::POST {
        return wrong(
            StatusCode::METHOD_NOT_ALLOWED,
            &format!("method: found {}, expected POST", call.method),
        );
    }
    match call.name.as_deref() {
        Some("config.replace") => replace(&core, call.body).await,
        Some("config.read") => read(&core).await,
        other => {
            let found = other.unwrap_or("nothing");
            let why = format!("call: found {found:?}, expected config.replace or config.read");
            wrong(StatusCode::NOT_FOUND, &why)
        }
    }
}

async fn replace(core: &Core, body: Bytes) -> Answer {
    let config = match model::Config::parse(&body) {
        Ok(config) => config,
        Err(why) => {
            let why = format!("{why:#}");
            info!(target: "operator", "Refused a configuration: {why}.");
            return wrong(StatusCode::BAD_REQUEST, &why);
        }
    };
    let edition = config.edition.0;
    let change = Change::Config(Config { edition, body });
    match core.change(&change, WITHIN).await {
        Ok(Came::Taken { holds }) => {
            let body = serde_json::json!({ "edition": format!("{holds:08x}") });
            json(StatusCode::OK, body.to_string())
        }
        Ok(_) => wrong(StatusCode::INTERNAL_SERVER_ERROR, "chain: an answer to another question"),
        // Perhaps taken, perhaps not: no promise.
        Err(why) => wrong(StatusCode::GATEWAY_TIMEOUT, &format!("{why:#}")),
    }
}

async fn read(core: &Core) -> Answer {
    match core.change(&Change::Read, READ_WITHIN).await {
        Ok(Came::Config(Some(config))) => json(StatusCode::OK, config.body),
        Ok(Came::Config(None)) => wrong(StatusCode::NOT_FOUND, "no configuration yet"),
        Ok(_) => plain(StatusCode::INTERNAL_SERVER_ERROR, "chain: an answer to another question"),
        Err(why) => wrong(StatusCode::GATEWAY_TIMEOUT, &format!("{why:#}")),
    }
}
