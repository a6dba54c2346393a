//! HTTP/1.1 on both sides of the engine: callers' connections and requests, attempts on upstreams.

mod framing;
mod gate;
mod pool;
pub mod server;
pub mod upstream;

/// Most of a body, either way.
pub const MOST_BODY: usize = 64 * 1024;
