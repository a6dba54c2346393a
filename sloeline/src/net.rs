//! The sockets that an engine's actions act on.

use std::rc::Rc;

use finchshift::{Micros, ServerId};
use sloeline_engine::engine::{AttemptReport, Engine, Transport};
use sloeline_engine::types::Target;
use sloeline_http::upstream::{Attempt, Call, Reply, Upstreams};
use sloeline_membership::platform::Discovery;

/// Upstreams over HTTP, and discovery where the module asks it.
pub struct Net {
    /// Connections and attempts.
    pub upstreams: Upstreams,
    /// Nothing where lists come by themselves.
    pub discovery: Option<Rc<Discovery>>,
}

impl Transport for Net {
    type Call = Call;
    type Reply = Reply;
    type Attempt = Attempt;

    fn send(&self, to: Target, call: Rc<Call>, limit: Micros, report: AttemptReport<Self>) -> Attempt {
        self.upstreams.send(to, call, limit, report)
    }

    fn body_pending(&self, call: &Call) -> bool {
        !call.body.is_received()
    }

    fn body_consumed(&self, call: &Call) -> bool {
        call.body.is_consumed()
    }

    fn abort(&self, out: Attempt) -> bool {
        out.abort()
    }

    fn probe(&self, engine: &Rc<Engine<Self>>, to: Target) {
        let engine = engine.clone();
        self.upstreams
            .probe(to, move |server, took, outcome, load| engine.probe_ended(server, took, outcome, load));
    }

    fn close_idle(&self, server: ServerId) {
        self.upstreams.close_idle(server);
    }

    fn watch(&self, engine: &Rc<Engine<Self>>) {
        let engine = engine.clone();
        if let Some(discovery) = &self.discovery {
            discovery.watch(move |kind, entries| engine.update_list(kind, entries));
        }
    }

    fn fetch(&self, engine: &Rc<Engine<Self>>) {
        let engine = engine.clone();
        if let Some(discovery) = &self.discovery {
            discovery.fetch(move |kind, entries| engine.update_list(kind, entries));
        }
    }
}
