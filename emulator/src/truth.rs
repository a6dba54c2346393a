//! The true state of all nodes, for policies that may see what no real one can: how well could it be done?

use std::cell::Cell;
use std::rc::Rc;

#[derive(Clone, Copy, Default)]
struct View {
    rate: f64,
    busy: u32,
    queued: u32,
}

/// What is so, at this moment.
#[derive(Clone)]
pub struct Truth {
    nodes: Rc<[Cell<View>]>,
}

impl Truth {
    pub(crate) fn new(nodes: usize) -> Truth {
        Truth { nodes: (0..nodes).map(|_| Cell::default()).collect() }
    }

    pub(crate) fn set(&self, node: u32, rate: f64, busy: u32, queued: u32) {
        self.nodes[node as usize].set(View { rate, busy, queued });
    }

    /// Work that one core of a node does in a microsecond, in microseconds of work; 0 where nothing can be had of it.
    pub fn rate(&self, node: u32) -> f64 {
        self.nodes[node as usize].get().rate
    }

    /// Requests in work and in its queue.
    pub fn held(&self, node: u32) -> (u32, u32) {
        let view = self.nodes[node as usize].get();
        (view.busy, view.queued)
    }

    /// How many nodes there are.
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }
}
