//! Names of the HTTP headers that clients, upstreams and balancers exchange.

use hyper::header::HeaderName;

/// Identifier that the client gives to one try of a request; echoed in the response.
pub const TRY_ID: HeaderName = HeaderName::from_static("x-try-id");
/// Milliseconds that the client waits for a response.
pub const TIME_LEFT: HeaderName = HeaderName::from_static("x-time-left");
/// Identifier of the upstream that a request is for.
pub const ADDRESSEE: HeaderName = HeaderName::from_static("x-addressee");
/// Between balancers: service that the sending balancer selected the upstream from.
pub const SERVICE: HeaderName = HeaderName::from_static("x-mesh-service");
/// Between balancers: identifier of the upstream that is here, in a response that declines a request for another one.
pub const INSTANCE: HeaderName = HeaderName::from_static("x-mesh-instance");
/// Service of the machine that a request comes from.
pub const SENDER: HeaderName = HeaderName::from_static("x-sender");
/// Idempotency key of an operation.
pub const OPERATION_KEY: HeaderName = HeaderName::from_static("x-operation-key");
/// Set by an upstream on its responses; a successful response without it does not come from the upstream.
pub const POSTMARK: HeaderName = HeaderName::from_static("x-postmark");
/// Set on a response if the request never ran and never will.
pub const NOT_RUN: HeaderName = HeaderName::from_static("x-not-run");
/// Between balancers: set if the route requires an operation key.
pub const KEYED: HeaderName = HeaderName::from_static("x-mesh-keyed");
/// Between balancers: name shared by requests of similar processing time.
pub const KIND: HeaderName = HeaderName::from_static("x-mesh-kind");
/// Between balancers: set if requests of the route must not run twice; such a request is not cancelled once it is at the
/// upstream.
pub const ONCE: HeaderName = HeaderName::from_static("x-mesh-once");
/// Between balancers: priority of the route; 0 is the highest.
pub const RANK: HeaderName = HeaderName::from_static("x-mesh-rank");
/// Between balancers: expected milliseconds until a rejected request would be admitted.
pub const ROOM_IN: HeaderName = HeaderName::from_static("x-mesh-room-in");
/// Between balancers: milliseconds that the sending balancer waits for this attempt.
pub const LIMIT: HeaderName = HeaderName::from_static("x-mesh-limit");
/// Between balancers: milliseconds until the latency target of the request. Within a process the header holds the target as a
/// point in time on the engine's clock, in microseconds.
pub const AIM: HeaderName = HeaderName::from_static("x-mesh-aim");
/// Between balancers: milliseconds that the request may still wait before it reaches an upstream. Within a process the
/// header holds the end of this time on the engine's clock, in microseconds.
pub const HOLD: HeaderName = HeaderName::from_static("x-mesh-hold");
/// Between balancers: number of an attempt, echoed in the response.
pub const ATTEMPT: HeaderName = HeaderName::from_static("x-mesh-attempt");
