//! HTTP/1.1 on both sides of the engine: client connections and requests on one side, attempts on upstreams on the
//! other.

pub mod client_io;
mod framing;
pub mod frontend;
pub mod payload;
pub mod platform;
mod pool;
pub mod received_body;
pub mod routed;
pub mod server;
pub mod upload;
pub mod upstream;
pub mod whole_body;

/// Maximum size of a request or response body on the platform.
pub const PLATFORM_MAX_BODY_BYTES: usize = 32 << 20;
/// Default size in bytes up to which a response is buffered whole before it is forwarded. While a response is
/// buffered, the request can still be retried on another upstream. Larger responses are streamed.
pub const MAX_BUFFERED_BYTES: usize = 64 * 1024;
/// Maximum size of hyper's read buffer for a connection, in bytes. A longer message head is rejected.
const MAX_READ_AHEAD_BYTES: usize = 64 * 1024;
/// Default maximum size of a request head in bytes.
pub const DEFAULT_MAX_HEAD_BYTES: usize = 16 * 1024;
/// Upper bound for the maximum size of a request head that a listener can be given, in bytes.
pub const MAX_HEAD_BYTES: usize = 128 * 1024;
/// Size in bytes that proxies add to a request head at most, with the headers that they set.
const ADDED_HEAD_BYTES: usize = 16 * 1024;
/// Size in bytes that a connection's read buffer needs for the largest request head.
pub const MAX_HEAD_BUFFER_BYTES: usize = MAX_HEAD_BYTES + ADDED_HEAD_BYTES;
