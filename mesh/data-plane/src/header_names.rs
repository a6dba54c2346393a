//! Headers that clients, upstreams and balancers know.

use hyper::header::HeaderName;

/// The client's name for a try.
pub const TRY_ID: HeaderName = HeaderName::from_static("x-try-id");
/// Milliseconds that the client waits.
pub const TIME_LEFT: HeaderName = HeaderName::from_static("x-time-left");
/// The upstream that a request is for.
pub const ADDRESSEE: HeaderName = HeaderName::from_static("x-addressee");
/// The service of the machine where a request began.
pub const SENDER: HeaderName = HeaderName::from_static("x-sender");
/// The key of an operation.
pub const OPERATION_KEY: HeaderName = HeaderName::from_static("x-operation-key");
/// An upstream's stamp on its answer.
pub const POSTMARK: HeaderName = HeaderName::from_static("x-postmark");
/// The request never ran.
pub const NOT_RUN: HeaderName = HeaderName::from_static("x-not-run");
/// Between balancers: the route is keyed.
pub const KEYED: HeaderName = HeaderName::from_static("x-mesh-keyed");
/// Between balancers: what requests that take about as long have in common.
pub const KIND: HeaderName = HeaderName::from_static("x-mesh-kind");
/// Between balancers: the route's requests run at most once, so that one that is with its upstream is not broken off.
pub const ONCE: HeaderName = HeaderName::from_static("x-mesh-once");
/// Between balancers: how urgent the route is, from 0, the highest.
pub const RANK: HeaderName = HeaderName::from_static("x-mesh-rank");
/// Between balancers: milliseconds until there is room.
pub const ROOM_IN: HeaderName = HeaderName::from_static("x-mesh-room-in");
/// Between balancers: milliseconds that the near one waits for this attempt.
pub const LIMIT: HeaderName = HeaderName::from_static("x-mesh-limit");
/// Between balancers: milliseconds until the aim; within a process the moment of it, on the engine's clock.
pub const AIM: HeaderName = HeaderName::from_static("x-mesh-aim");
/// Between balancers: milliseconds that the request may still wait anywhere before it is offered to an upstream.
pub const HOLD: HeaderName = HeaderName::from_static("x-mesh-hold");
/// Between balancers: the number of an attempt, which its answer echoes.
pub const ATTEMPT: HeaderName = HeaderName::from_static("x-mesh-attempt");
