//! The upstreams that discovery names: their numbers for the module, and where they are.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use finchshift as fs;
use finchshift::{ListKind, ServerId, ServerState};
use sloeline_settings::setup::{Names, ring};

use crate::types::{Listed, Target};

/// Numbers for names, never given twice: what still holds the number of one that is gone can't mistake another
/// for it, and one that comes back begins anew, with no breaker and no count.
struct Numbers {
    by_name: HashMap<String, u32>,
    next: u32,
}

impl Numbers {
    fn number(&mut self, name: &str) -> u32 {
        if let Some(&number) = self.by_name.get(name) {
            return number;
        }
        let number = self.next;
        self.next = self.next.wrapping_add(1);
        self.by_name.insert(name.to_owned(), number);
        number
    }

    fn keep(&mut self, kept: &HashSet<u32>) {
        self.by_name.retain(|_, number| kept.contains(number));
    }
}

/// Where an upstream is, and which zone and kind it was given.
struct Place {
    address: SocketAddr,
    state: ServerState,
    zone: u32,
    kind: u32,
}

/// All upstreams that are listed; those that are gone are forgotten.
pub struct Registry {
    servers: Numbers,
    places: HashMap<ServerId, Place>,
    zones: Numbers,
    /// Zones that the settings number.
    settled: u32,
    kinds: Numbers,
    ready: usize,
}

impl Registry {
    /// None listed; `zones` holds the numbers that the settings use.
    pub fn new(zones: &Names) -> Registry {
        let settled = zones.names.len() as u32;
        let named = zones.names.iter().cloned().zip(0..).collect();
        let none = || Numbers { by_name: HashMap::new(), next: 0 };
        let zones = Numbers { by_name: named, next: settled };
        Registry { servers: none(), places: HashMap::new(), zones, settled, kinds: none(), ready: 0 }
    }

    /// Where an upstream is, if it is listed.
    pub fn target(&self, server: ServerId) -> Option<Target> {
        self.places.get(&server).map(|p| Target { server, address: p.address })
    }

    /// How many are listed that take requests.
    pub fn ready(&self) -> usize {
        self.ready
    }

    /// Takes a list over: its entries for the module, and those that moved or are gone.
    pub fn take(&mut self, kind: ListKind, listed: &[Listed]) -> (Vec<fs::ServerEntry>, Vec<ServerId>) {
        let (mut entries, mut left) = (Vec::with_capacity(listed.len()), Vec::new());
        let mut named = HashSet::new();
        for l in listed {
            // Guards against names that are only ever mentioned as gone.
            if l.state == ServerState::Gone && !self.servers.by_name.contains_key(&l.instance) {
                continue;
            }
            let id = self.servers.number(&l.instance);
            let (zone, kind) = (self.zones.number(&l.zone), self.kinds.number(&l.kind));
            let gone = l.state == ServerState::Gone;
            let before = if gone {
                self.servers.by_name.remove(&l.instance);
                self.places.remove(&id)
            } else {
                named.insert(id);
                self.places.insert(id, Place { address: l.address, state: l.state, zone, kind })
            };
            if gone || before.is_some_and(|b| b.address != l.address) {
                left.push(id);
            }
            entries.push(fs::ServerEntry {
                id,
                zone,
                kind,
                cell: l.cell,
                // Of the instance: its address differs between balancers, the ring must not.
                ring: ring(&l.instance),
                state: l.state,
                weight: if l.weight.is_finite() && l.weight > 0.0 { l.weight } else { 1.0 },
                started: l.started,
            });
        }
        if matches!(kind, ListKind::Complete | ListKind::Stale) {
            left.extend(self.places.keys().filter(|id| !named.contains(id)));
            self.places.retain(|id, _| named.contains(id));
            self.servers.keep(&named);
        }
        self.ready = self.places.values().filter(|p| p.state == ServerState::Ready).count();
        let zones = self.places.values().map(|p| p.zone).chain(0..self.settled).collect();
        self.zones.keep(&zones);
        let kinds = self.places.values().map(|p| p.kind).collect();
        self.kinds.keep(&kinds);
        (entries, left)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn listed(instance: &str, port: u16, state: ServerState) -> Listed {
        Listed {
            instance: instance.to_owned(),
            address: SocketAddr::from(([127, 0, 0, 1], port)),
            zone: format!("z-{instance}"),
            kind: format!("k-{instance}"),
            cell: 0,
            state,
            weight: f64::NAN,
            started: None,
        }
    }

    #[test]
    fn what_is_gone_is_forgotten_and_its_number_never_given_again() {
        let mut zones = Names::default();
        let home = zones.number("home");
        let mut registry = Registry::new(&zones);
        let mut seen = HashSet::new();
        for round in 0..1000 {
            let name = format!("s-{}", round % 7);
            let (entries, left) = registry.take(ListKind::Changes, &[listed(&name, 80, ServerState::Ready)]);
            let id = entries[0].id;
            assert!(seen.insert(id) && left.is_empty() && entries[0].weight == 1.0);
            // Draining it is still listed.
            registry.take(ListKind::Changes, &[listed(&name, 80, ServerState::Draining)]);
            assert!(registry.target(id).is_some());
            let (_, left) = if round % 2 == 0 {
                registry.take(ListKind::Changes, &[listed(&name, 80, ServerState::Gone)])
            } else {
                registry.take(ListKind::Complete, &[])
            };
            assert_eq!((left, registry.target(id)), (vec![id], None));
            // Told once more: no news.
            let again = registry.take(ListKind::Changes, &[listed(&name, 80, ServerState::Gone)]);
            assert_eq!(again, (Vec::new(), Vec::new()));
        }
        assert!(registry.servers.by_name.is_empty() && registry.places.is_empty());
        assert!(registry.kinds.by_name.is_empty());
        assert_eq!((registry.zones.by_name.len(), registry.zones.number("home")), (1, home));
    }

    #[test]
    fn one_that_moved_or_was_replaced_at_its_address_loses_its_connections() {
        let mut registry = Registry::new(&Names::default());
        let (a, _) = registry.take(ListKind::Complete, &[listed("a", 80, ServerState::Ready)]);
        let (_, moved) = registry.take(ListKind::Changes, &[listed("a", 81, ServerState::Ready)]);
        assert_eq!(moved, [a[0].id]);
        let (b, left) = registry.take(ListKind::Complete, &[listed("b", 81, ServerState::Ready)]);
        assert_eq!(left, [a[0].id]);
        assert_ne!(b[0].id, a[0].id);
    }
}
