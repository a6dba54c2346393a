//! Requests of this machine's clients and of its upstream: by which route and service they go, and in which form.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use finchshift::Micros;
use hyper::StatusCode;
use hyper::header::{HOST, HeaderMap, HeaderValue, RETRY_AFTER};
use hyper::http::request::Parts;
use sloeline_discovery::rendezvous::weight;
use sloeline_engine::clock::Clock;
use sloeline_http::frontend::{
    Admission, ClientResponse, Frontend, end_to_end_headers, parse_digits, text_response,
};
use sloeline_idempotency::MAX_KEY_BYTES;
use sloeline_limits::Share;
use sloeline_route_config::model::RouteKind;
use sloeline_route_config::table::Table;

use crate::header_names;
use crate::patience::Patiences;
use crate::services::{Lead, Rails};

/// What a refused client is told where nothing better is known, in seconds.
const AGAIN: &str = "0.25";
/// Part of its time that a request may wait before it is offered to an upstream: later its client is told in time to come
/// again.
const HELD: f64 = 0.45;
/// Answers are held up to here.
const MOST_HELD: usize = 64 << 10;

/// The routes of one configuration and what they lead to: swapped whole.
pub struct Routes {
    /// Finds the route.
    pub table: Table,
    /// Where each leads.
    pub leads: Vec<Lead>,
}

/// The front of the `outgoing` address.
pub struct Outgoing {
    routes: RefCell<Option<Rc<Routes>>>,
    sender: HeaderValue,
    bodies: Rc<Share>,
    clock: Rc<Clock>,
    ready: Cell<bool>,
    /// By kind of request, how long clients wait in all.
    patiences: RefCell<Patiences>,
}

impl Outgoing {
    /// No configuration yet. `sender` is the service of this machine; bodies take of the share.
    pub fn new(sender: HeaderValue, bodies: Rc<Share>, clock: Rc<Clock>) -> Outgoing {
        let (routes, ready, patiences) = (RefCell::default(), Cell::new(false), RefCell::default());
        Outgoing { routes, sender, bodies, clock, ready, patiences }
    }

    /// Takes the next request by these routes.
    pub fn swap(&self, routes: Routes) {
        self.patiences.borrow_mut().keep(routes.leads.iter().map(|lead| &lead.kind));
        *self.routes.borrow_mut() = Some(Rc::new(routes));
    }

    /// Clients may come from now on, or not.
    pub fn set_ready(&self, ready: bool) {
        self.ready.set(ready);
    }

    /// Clients may come.
    pub fn is_ready(&self) -> bool {
        self.ready.get()
    }
}

/// A header that may stand once.
fn once<'a>(
    headers: &'a HeaderMap,
    name: &hyper::header::HeaderName,
) -> Result<Option<&'a HeaderValue>, ClientResponse> {
    let mut all = headers.get_all(name).iter();
    match (all.next(), all.next()) {
        (found, None) => Ok(found),
        _ => Err(text_response(StatusCode::BAD_REQUEST, format!("{name} stands twice"))),
    }
}

/// Never run, and never will.
fn refused(why: &'static str) -> ClientResponse {
    let mut answer = text_response(StatusCode::SERVICE_UNAVAILABLE, why);
    answer.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static(AGAIN));
    answer
}

impl Frontend for Outgoing {
    type EngineTransport = Rails;

    fn admit(&self, head: &Parts, _peer: SocketAddr) -> Result<Admission<Rails>, ClientResponse> {
        let Some(routes) = self.routes.borrow().clone() else { return Err(refused("no configuration yet")) };
        let bad = |why: &'static str| text_response(StatusCode::BAD_REQUEST, why);
        let host = once(&head.headers, &HOST)?.and_then(|h| h.to_str().ok()).ok_or_else(|| bad("no Host"))?;
        let path = head.uri.path_and_query().cloned().ok_or_else(|| bad("no path"))?;
        let found = routes.table.find(host, path.path());
        let Some((route, lead)) =
            found.and_then(|at| Some((&routes.table.routes()[at], routes.leads.get(at)?)))
        else {
            return Err(text_response(StatusCode::NOT_FOUND, "no such route"));
        };
        let id = once(&head.headers, &header_names::TRY_ID)?;
        let keyed = route.route_kind == RouteKind::Tracked;
        if keyed {
            let key = once(&head.headers, &header_names::OPERATION_KEY)?.filter(|k| !k.is_empty());
            let key = key.ok_or_else(|| bad("a tracked route wants X-Operation-Key"))?;
            if key.len() > MAX_KEY_BYTES {
                return Err(bad("X-Operation-Key is too long"));
            }
        }
        let waits = match once(&head.headers, &header_names::TIME_LEFT)? {
            None => Micros::MAX,
            Some(value) => {
                let millis = value.to_str().ok().and_then(parse_digits);
                millis.ok_or_else(|| bad("X-Time-Left is no number"))?.saturating_mul(1000)
            }
        };
        let total: u64 = lead.sides.iter().map(|(.., share)| u64::from(*share)).sum();
        let mut at = match (lead.sides.len(), id) {
            (1, _) => 0,
            (_, Some(id)) => weight("split", id.to_str().unwrap_or_default()) % total.max(1),
            (_, None) => fastrand::u64(..total.max(1)),
        };
        let side = lead.sides.iter().find(|(.., share)| {
            let here = lead.sides.len() == 1 || at < u64::from(*share);
            at = at.saturating_sub(u64::from(*share));
            here
        });
        let Some((service, class, _)) = side else { return Err(refused("no service")) };
        if service.engine.ready_upstreams() == 0 {
            return Err(refused("no upstream"));
        }
        let mut headers = end_to_end_headers(&head.headers);
        for own in [
            header_names::ADDRESSEE,
            header_names::SENDER,
            header_names::KEYED,
            header_names::KIND,
            header_names::RANK,
            header_names::ONCE,
            header_names::NOT_RUN,
            header_names::ROOM_IN,
            header_names::AIM,
            header_names::LIMIT,
            header_names::HOLD,
            header_names::ATTEMPT,
        ] {
            headers.remove(own);
        }
        headers.insert(header_names::SENDER, self.sender.clone());
        headers.insert(header_names::KIND, lead.kind.clone());
        headers.insert(header_names::RANK, HeaderValue::from(route.precedence));
        let (now, time_left) = (self.clock.now(), waits.min(route.dispatch.timeout.0));
        // The aim counts from the client's first try.
        let age = match waits {
            Micros::MAX => 0,
            _ => self.patiences.borrow_mut().age(&lead.kind, now / 1000, waits / 1000) * 1000,
        };
        let aim = now.saturating_add(route.target.0).saturating_sub(age);
        headers.insert(header_names::AIM, HeaderValue::from(aim));
        let hold = (time_left as f64 * HELD) as Micros;
        headers.insert(header_names::HOLD, HeaderValue::from(now.saturating_add(hold)));
        headers.insert(header_names::TIME_LEFT, HeaderValue::from(now.saturating_add(time_left)));
        if route.route_kind == RouteKind::Unsafe {
            headers.insert(header_names::ONCE, HeaderValue::from_static("1"));
        }
        if keyed {
            headers.insert(header_names::KEYED, HeaderValue::from_static("1"));
        }
        Ok(Admission {
            engine: service.engine.clone(),
            class: *class,
            time_left,
            tenant: None,
            work: None,
            is_retry: false,
            method: head.method.clone(),
            uri: path.into(),
            headers,
            max_body_bytes: routes.table.limits().body_bytes.min(usize::MAX as u64) as usize,
            response_reservation_bytes: MOST_HELD,
            forbids_body: false,
            request_id: None,
            body_memory: self.bodies.clone(),
            observer: None,
            guard: Some(Box::new(service.admitted.count(*class))),
        })
    }

    fn ready(&self) -> bool {
        self.ready.get()
    }

    fn retry_after(&self, wish: Micros) -> Option<HeaderValue> {
        let wish = if wish == 0 { 250_000 } else { wish };
        HeaderValue::from_str(&format!("{:.3}", wish as f64 / 1e6)).ok()
    }
}
