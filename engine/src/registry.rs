//! The upstreams that discovery names: their numbers for the module, and where they are.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use finchshift as fs;
use finchshift::{ListKind, ServerId, ServerState};
use sloeline_settings::setup::{Names, ring};

use crate::types::{Listed, Target};

/// Numbers for names, never given twice: what still holds the number of one that is gone can't mistake another
/// for it, and one that comes back begins anew, with no breaker and no count.
#[derive(Default)]
struct Numbers {
    by_name: HashMap<String, u32>,
    next: u32,
    /// How many upstreams have each number.
    uses: HashMap<u32, usize>,
    /// Numbers under this one stay, used or not.
    settled: u32,
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

    fn hold(&mut self, number: u32) {
        *self.uses.entry(number).or_default() += 1;
    }

    /// Forgets a number that nothing has any more.
    fn release(&mut self, number: u32) {
        let Some(uses) = self.uses.get_mut(&number) else { return };
        *uses -= 1;
        if *uses == 0 {
            self.uses.remove(&number);
            if number >= self.settled {
                // Few: zones and kinds.
                self.by_name.retain(|_, n| *n != number);
            }
        }
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
    servers: HashMap<String, ServerId>,
    next: ServerId,
    places: HashMap<ServerId, Place>,
    zones: Numbers,
    kinds: Numbers,
    ready: usize,
}

impl Registry {
    /// None listed; `zones` holds the numbers that the settings use.
    pub fn new(zones: &Names) -> Registry {
        let settled = zones.names.len() as u32;
        let by_name = zones.names.iter().cloned().zip(0..).collect();
        let zones = Numbers { by_name, next: settled, settled, ..Numbers::default() };
        let (servers, places) = (HashMap::new(), HashMap::new());
        Registry { servers, next: 0, places, zones, kinds: Numbers::default(), ready: 0 }
    }

    /// Where an upstream is, if it is listed.
    pub fn target(&self, server: ServerId) -> Option<Target> {
        self.places.get(&server).map(|p| Target { server, address: p.address })
    }

    /// How many are listed that take requests.
    pub fn ready(&self) -> usize {
        self.ready
    }

    fn number(&mut self, instance: &str) -> ServerId {
        if let Some(&id) = self.servers.get(instance) {
            return id;
        }
        let id = self.next;
        self.next = self.next.wrapping_add(1);
        self.servers.insert(instance.to_owned(), id);
        id
    }

    fn place(&mut self, id: ServerId, place: Place) -> Option<Place> {
        // First, so that what it keeps is not given up in between.
        self.zones.hold(place.zone);
        self.kinds.hold(place.kind);
        self.ready += usize::from(place.state == ServerState::Ready);
        let before = self.places.insert(id, place);
        before.iter().for_each(|b| self.released(b));
        before
    }

    fn remove(&mut self, id: ServerId) -> Option<Place> {
        let before = self.places.remove(&id);
        before.iter().for_each(|b| self.released(b));
        before
    }

    fn released(&mut self, place: &Place) {
        self.zones.release(place.zone);
        self.kinds.release(place.kind);
        self.ready -= usize::from(place.state == ServerState::Ready);
    }

    /// Takes a list over: its entries for the module, and those that moved or are gone. News of a few cost what
    /// these few do.
    pub fn take(&mut self, kind: ListKind, listed: &[Listed]) -> (Vec<fs::ServerEntry>, Vec<ServerId>) {
        let (mut entries, mut left) = (Vec::with_capacity(listed.len()), Vec::new());
        let whole = matches!(kind, ListKind::Complete | ListKind::Stale);
        let mut named = HashSet::new();
        for l in listed {
            // Guards against names that are only ever mentioned as gone.
            if l.state == ServerState::Gone && !self.servers.contains_key(&l.instance) {
                continue;
            }
            let id = self.number(&l.instance);
            let gone = l.state == ServerState::Gone;
            let (before, zone, kind) = if gone {
                self.servers.remove(&l.instance);
                named.remove(&id);
                let Some(before) = self.remove(id) else { continue };
                (None, before.zone, before.kind)
            } else {
                if whole {
                    named.insert(id);
                }
                let (zone, kind) = (self.zones.number(&l.zone), self.kinds.number(&l.kind));
                (self.place(id, Place { address: l.address, state: l.state, zone, kind }), zone, kind)
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
        if whole {
            let unnamed: Vec<ServerId> =
                self.places.keys().filter(|id| !named.contains(id)).copied().collect();
            for id in &unnamed {
                self.remove(*id);
            }
            self.servers.retain(|_, id| named.contains(id));
            left.extend(unnamed);
        }
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
        assert!(registry.servers.is_empty() && registry.places.is_empty());
        assert!(registry.kinds.by_name.is_empty());
        assert_eq!((registry.zones.by_name.len(), registry.zones.number("home")), (1, home));
    }

    /// What is counted as the list changes is what a count of the whole would give.
    #[test]
    fn the_counts_follow_any_order_of_news() {
        let seed =
            std::env::var("SEED").ok().and_then(|s| s.parse().ok()).unwrap_or_else(|| fastrand::u64(..));
        println!("SEED={seed}");
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut registry = Registry::new(&Names::default());
        let mut model: std::collections::BTreeMap<String, Listed> = Default::default();
        for _ in 0..3000 {
            let whole = rng.u8(..8) == 0;
            let news: Vec<Listed> = (0..rng.usize(..4))
                .map(|_| {
                    let state =
                        [ServerState::Ready, ServerState::Draining, ServerState::Gone][rng.usize(..3)];
                    let mut l = listed(&format!("s-{}", rng.u8(..9)), rng.u16(1..3), state);
                    (l.zone, l.kind) = (format!("z-{}", rng.u8(..4)), format!("k-{}", rng.u8(..4)));
                    l
                })
                .collect();
            if whole {
                model.clear();
            }
            for l in &news {
                let _ = match l.state {
                    ServerState::Gone => model.remove(&l.instance),
                    _ => model.insert(l.instance.clone(), l.clone()),
                };
            }
            registry.take(if whole { ListKind::Complete } else { ListKind::Changes }, &news);
            let set = |of: fn(&Listed) -> &String| model.values().map(of).collect::<HashSet<_>>();
            let names = |numbers: &Numbers| numbers.by_name.len();
            assert_eq!(registry.ready(), model.values().filter(|l| l.state == ServerState::Ready).count());
            assert_eq!((registry.servers.len(), registry.places.len()), (model.len(), model.len()));
            assert_eq!(names(&registry.zones), set(|l| &l.zone).len());
            assert_eq!(names(&registry.kinds), set(|l| &l.kind).len());
            for (name, l) in &model {
                let id = registry.servers[name];
                assert_eq!(registry.target(id), Some(Target { server: id, address: l.address }));
            }
        }
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
