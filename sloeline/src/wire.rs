//! What passes between the engine and the sockets.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use finchshift as fs;
use finchshift::{Micros, ServerId};
use tokio::time::Instant;

use crate::engine::{Engine, Report};

/// The sockets, as the engine sees them. No method calls the engine back before it returns.
pub trait Wire: Sized + 'static {
    /// What a caller asks.
    type Call;
    /// What an upstream answers.
    type Reply;
    /// An attempt under way.
    type Out;
    /// Starts an attempt; its end is told to the report.
    fn send(&self, to: Target, call: Rc<Self::Call>, limit: Micros, report: Report<Self>) -> Self::Out;
    /// Ends an attempt by closing its connection; tells whether it may have run.
    fn abort(&self, out: Self::Out) -> bool;
    /// Asks an upstream how it is.
    fn probe(&self, engine: &Rc<Engine<Self>>, to: Target);
    /// Closes the idle connections to an upstream.
    fn close_idle(&self, server: ServerId);
    /// Watches discovery from now on.
    fn watch(&self, engine: &Rc<Engine<Self>>);
    /// Asks discovery once for the whole list.
    fn fetch(&self, engine: &Rc<Engine<Self>>);
}

/// An upstream and where it is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Target {
    /// Its number.
    pub server: ServerId,
    /// Its address, from the newest list.
    pub address: SocketAddr,
}

/// An entry of a list, as discovery words it.
#[derive(Clone, Debug)]
pub struct Listed {
    /// The same at every balancer.
    pub instance: String,
    /// Its address at this balancer.
    pub address: SocketAddr,
    /// Its zone's name.
    pub zone: String,
    /// Its machine kind's name.
    pub kind: String,
    /// Its cell.
    pub cell: u32,
    /// What discovery says of it.
    pub state: fs::ServerState,
    /// Its size.
    pub weight: f64,
    /// When it last started, in Unix time.
    pub started: Option<Micros>,
}

/// Why a request failed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Failure {
    /// The time ran out.
    Time,
    /// An upstream failed.
    Upstream,
}

/// The one final answer to a request.
#[derive(Debug, PartialEq)]
pub enum Answer<R> {
    /// An upstream's answer.
    Served(R),
    /// Trying again is harmless.
    Refused {
        /// How long the client should stay away; 0 for no wish.
        retry_after: Micros,
    },
    /// No promise.
    Failed(Failure),
}

/// A request as the engine takes it.
pub struct Asked<C> {
    /// Its class.
    pub class: fs::ClassId,
    /// How long its client waits, from now.
    pub time_left: Micros,
    /// Whose it is.
    pub tenant: Option<fs::TenantId>,
    /// A guess at its work.
    pub work: Option<Micros>,
    /// Its client marks it as a repeat.
    pub retry: bool,
    /// What goes on to upstreams.
    pub call: C,
}

/// The module's clock: Unix time at the start and monotonic from there, since lists tell Unix times.
pub struct Clock {
    unix: Micros,
    start: Instant,
}

impl Clock {
    /// Starts now.
    pub fn new() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { unix: unix.as_micros() as Micros, start: Instant::now() }
    }

    /// The present time.
    pub fn now(&self) -> Micros {
        self.unix + self.start.elapsed().as_micros() as Micros
    }

    /// The same point on the runtime's clock.
    pub fn instant(&self, at: Micros) -> Instant {
        self.start + Duration::from_micros(at.saturating_sub(self.unix))
    }
}
