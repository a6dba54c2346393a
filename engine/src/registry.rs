//! The upstreams that discovery names: their numbers for the module, and where they are.

use finchshift as fs;
use finchshift::{ListKind, Micros, ServerId, ServerState};
use sloeline_settings::setup::{NameTable, ring_hash};
use std::collections::{HashMap, HashSet};

use crate::types::{DiscoveryEntry, Target};

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

/// Most identities that are remembered, listed or not. Guards the memory where upstreams come and go for months.
const MOST_MET: usize = 1 << 16;

/// An upstream as it was listed, and which zone and kind it was given.
struct Place {
    listed: DiscoveryEntry,
    /// What the module is told of it.
    state: ServerState,
    zone: u32,
    kind: u32,
}

/// One that was put back: until the list tells another start than this one, it counts as started then.
struct Returned {
    listed: Option<Micros>,
    since: Micros,
}

/// All upstreams that are listed; those that are gone are forgotten.
pub struct Registry {
    servers: HashMap<String, ServerId>,
    next: ServerId,
    places: HashMap<ServerId, Place>,
    zones: Numbers,
    kinds: Numbers,
    ready: usize,
    /// Those that operators have taken out, and the start that the list told then; nothing where it had none.
    out: HashMap<String, Option<Option<Micros>>>,
    returned: HashMap<String, Returned>,
    /// Hashes of all identities that were ever listed.
    met: HashSet<u64>,
}

impl Registry {
    /// None listed; `zones` holds the numbers that the settings use.
    pub fn new(zones: &NameTable) -> Registry {
        let settled = zones.names.len() as u32;
        let by_name = zones.names.iter().cloned().zip(0..).collect();
        let zones = Numbers { by_name, next: settled, settled, ..Numbers::default() };
        let (servers, places) = (HashMap::new(), HashMap::new());
        let (out, returned, met) = (HashMap::new(), HashMap::new(), HashSet::new());
        let kinds = Numbers::default();
        Registry { servers, next: 0, places, zones, kinds, ready: 0, out, returned, met }
    }

    /// The list as it was told, without those that are gone.
    pub fn listed(&self) -> Vec<DiscoveryEntry> {
        self.places.values().map(|p| p.listed.clone()).collect()
    }

    /// Those that were put back and whose start the list has not told: the start that it tells, and since when they
    /// count as started.
    pub fn returned(&self) -> Vec<(String, Option<Micros>, Micros)> {
        self.returned.iter().map(|(name, r)| (name.clone(), r.listed, r.since)).collect()
    }

    /// Takes that over from another process; before the list that goes with it.
    pub fn take_returned(&mut self, returned: Vec<(String, Option<Micros>, Micros)>) {
        let each = returned.into_iter().map(|(name, listed, since)| (name, Returned { listed, since }));
        self.returned.extend(each);
    }

    /// It is or was in a list.
    pub fn has_met(&self, instance: &str) -> bool {
        self.out.contains_key(instance) || self.met.contains(&ring_hash(instance))
    }

    /// Takes an upstream out, whatever lists say; what the module is to be told, or `None` for one never listed.
    pub fn take_out(&mut self, instance: &str) -> Option<Vec<fs::ServerEntry>> {
        if !self.has_met(instance) {
            return None;
        }
        Some(self.order_out(instance))
    }

    /// The same for one that another process knew, listed here or not.
    pub fn order_out(&mut self, instance: &str) -> Vec<fs::ServerEntry> {
        let started = self.servers.get(instance).and_then(|id| self.places.get(id)).map(|p| p.listed.started);
        self.out.entry(instance.to_owned()).or_insert(started);
        self.told_again(instance)
    }

    /// Ends that; what the module is to be told, or `None` for one never listed. It was restarted meanwhile: where the
    /// list has not told so it counts as started now. Guards one that is cold against a list that is late.
    pub fn put_back(&mut self, instance: &str, now: Micros) -> Option<Vec<fs::ServerEntry>> {
        if !self.has_met(instance) {
            return None;
        }
        let Some(before) = self.out.remove(instance) else { return Some(Vec::new()) };
        let told = self.servers.get(instance).and_then(|id| self.places.get(id)).map(|p| p.listed.started);
        if let Some(listed) = told.or(before)
            && before.is_none_or(|b| b == listed)
        {
            self.returned.insert(instance.to_owned(), Returned { listed, since: now });
        }
        Some(self.told_again(instance))
    }

    /// The entry of one that is listed, as orders have it now.
    fn told_again(&mut self, instance: &str) -> Vec<fs::ServerEntry> {
        let id = self.servers.get(instance).copied();
        let Some(listed) = id.and_then(|id| self.places.get(&id)).map(|p| p.listed.clone()) else {
            return Vec::new();
        };
        self.take(ListKind::Changes, &[listed]).0
    }

    /// What orders make of an entry.
    fn ordered(&mut self, l: &DiscoveryEntry) -> (ServerState, Option<Micros>) {
        let state = match l.state {
            ServerState::Ready if self.out.contains_key(&l.instance) => ServerState::Draining,
            other => other,
        };
        let started = match self.returned.get(&l.instance) {
            Some(returned) if returned.listed == l.started => Some(returned.since),
            Some(_) => {
                self.returned.remove(&l.instance);
                l.started
            }
            None => l.started,
        };
        (state, started)
    }

    /// Where an upstream is, if it is listed.
    pub fn target(&self, server: ServerId) -> Option<Target> {
        self.places.get(&server).map(|p| Target { server, address: p.listed.address })
    }

    /// The number of an upstream that is listed.
    pub fn known(&self, instance: &str) -> Option<ServerId> {
        self.servers.get(instance).copied()
    }

    /// The identity of an upstream that is listed.
    pub fn name(&self, server: ServerId) -> Option<&str> {
        self.places.get(&server).map(|p| p.listed.instance.as_str())
    }

    /// The name of a zone.
    pub fn zone_name(&self, zone: u32) -> Option<&str> {
        self.zones.by_name.iter().find(|(_, number)| **number == zone).map(|(name, _)| name.as_str())
    }

    /// The number of a zone.
    pub fn zone_number(&self, name: &str) -> Option<u32> {
        self.zones.by_name.get(name).copied()
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
        if self.met.len() >= MOST_MET {
            self.met = self.servers.keys().map(|name| ring_hash(name)).collect();
        }
        self.met.insert(ring_hash(instance));
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
    pub fn take(
        &mut self,
        kind: ListKind,
        listed: &[DiscoveryEntry],
    ) -> (Vec<fs::ServerEntry>, Vec<ServerId>) {
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
            let (state, started) = self.ordered(l);
            let (before, zone, kind) = if gone {
                self.servers.remove(&l.instance);
                self.returned.remove(&l.instance);
                named.remove(&id);
                let Some(before) = self.remove(id) else { continue };
                (None, before.zone, before.kind)
            } else {
                if whole {
                    named.insert(id);
                }
                let (zone, kind) = (self.zones.number(&l.zone), self.kinds.number(&l.kind));
                (self.place(id, Place { listed: l.clone(), state, zone, kind }), zone, kind)
            };
            if gone || before.is_some_and(|b| b.listed.address != l.address) {
                left.push(id);
            }
            entries.push(fs::ServerEntry {
                id,
                zone,
                kind,
                cell: l.cell,
                // Of the instance: its address differs between balancers, the ring must not.
                ring_hash: ring_hash(&l.instance),
                state,
                weight: if l.weight.is_finite() && l.weight > 0.0 { l.weight } else { 1.0 },
                started_at: started,
            });
        }
        if whole {
            let unnamed: Vec<ServerId> =
                self.places.keys().filter(|id| !named.contains(id)).copied().collect();
            for id in &unnamed {
                self.remove(*id);
            }
            self.servers.retain(|_, id| named.contains(id));
            self.returned.retain(|name, _| self.servers.contains_key(name));
            left.extend(unnamed);
        }
        (entries, left)
    }
}

#[cfg(test)]
mod tests {
    use std::net::SocketAddr;

    use super::*;

    fn listed(instance: &str, port: u16, state: ServerState) -> DiscoveryEntry {
        DiscoveryEntry {
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
        let mut zones = NameTable::default();
        let home = zones.id_of("home");
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
        let mut registry = Registry::new(&NameTable::default());
        let mut model: std::collections::BTreeMap<String, DiscoveryEntry> = Default::default();
        for _ in 0..3000 {
            let whole = rng.u8(..8) == 0;
            let news: Vec<DiscoveryEntry> = (0..rng.usize(..4))
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
            let set = |of: fn(&DiscoveryEntry) -> &String| model.values().map(of).collect::<HashSet<_>>();
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
        let mut registry = Registry::new(&NameTable::default());
        let (a, _) = registry.take(ListKind::Complete, &[listed("a", 80, ServerState::Ready)]);
        let (_, moved) = registry.take(ListKind::Changes, &[listed("a", 81, ServerState::Ready)]);
        assert_eq!(moved, [a[0].id]);
        let (b, left) = registry.take(ListKind::Complete, &[listed("b", 81, ServerState::Ready)]);
        assert_eq!(left, [a[0].id]);
        assert_ne!(b[0].id, a[0].id);
    }

    #[test]
    fn what_is_out_stays_out_whatever_lists_say_and_comes_back_cold() {
        const READY: ServerState = ServerState::Ready;
        let mut registry = Registry::new(&NameTable::default());
        let told = |state, started| DiscoveryEntry { started, ..listed("a", 80, state) };
        assert_eq!(registry.take_out("a"), None);
        assert_eq!(registry.put_back("a", 1), None);
        registry.take(ListKind::Complete, &[told(READY, Some(5))]);
        let state = |entries: Vec<fs::ServerEntry>| {
            entries.iter().map(|e| (e.state, e.started_at)).collect::<Vec<_>>()
        };
        assert_eq!(state(registry.take_out("a").expect("listed")), [(ServerState::Draining, Some(5))]);
        assert_eq!(registry.ready(), 0);
        // Said again, told again, and told as a whole.
        assert_eq!(state(registry.take_out("a").expect("listed")), [(ServerState::Draining, Some(5))]);
        for kind in [ListKind::Changes, ListKind::Complete] {
            let (entries, _) = registry.take(kind, &[told(READY, Some(5))]);
            assert_eq!(state(entries), [(ServerState::Draining, Some(5))]);
        }
        // The list has told no start since: it counts from the call, also in later lists.
        assert_eq!(state(registry.put_back("a", 70).expect("listed")), [(READY, Some(70))]);
        assert_eq!(state(registry.take(ListKind::Complete, &[told(READY, Some(5))]).0), [(READY, Some(70))]);
        // Until one tells it.
        assert_eq!(state(registry.take(ListKind::Changes, &[told(READY, Some(60))]).0), [(READY, Some(60))]);
        // A start told while it was out holds, and a call back of one that is not out changes nothing.
        registry.take_out("a").expect("listed");
        registry.take(ListKind::Changes, &[told(READY, Some(90))]);
        assert_eq!(state(registry.put_back("a", 99).expect("listed")), [(READY, Some(90))]);
        assert_eq!(registry.put_back("a", 100), Some(Vec::new()));
        // Out when it goes, still out when it comes again, and known when it is not there.
        registry.take_out("a").expect("listed");
        registry.take(ListKind::Changes, &[told(ServerState::Gone, None)]);
        let (entries, _) = registry.take(ListKind::Changes, &[told(READY, Some(120))]);
        assert_eq!(state(entries), [(ServerState::Draining, Some(120))]);
        registry.take(ListKind::Complete, &[]);
        assert_eq!(registry.put_back("a", 130), Some(Vec::new()));
        // One that drains by the list is not put back by an order.
        registry.take(ListKind::Complete, &[told(ServerState::Draining, Some(120))]);
        registry.take_out("a").expect("listed");
        let entries = registry.put_back("a", 140).expect("listed");
        assert_eq!(entries[0].state, ServerState::Draining);
    }

    #[test]
    fn identities_that_are_remembered_are_bounded() {
        let mut registry = Registry::new(&NameTable::default());
        for n in 0..MOST_MET + 10 {
            let name = format!("s-{n}");
            registry.take(ListKind::Changes, &[listed(&name, 80, ServerState::Ready)]);
            registry.take(ListKind::Changes, &[listed(&name, 80, ServerState::Gone)]);
        }
        assert!(registry.met.len() <= MOST_MET, "{}", registry.met.len());
        assert!(registry.has_met(&format!("s-{}", MOST_MET + 9)));
    }

    #[test]
    fn a_successor_knows_what_is_out_and_what_came_back() {
        const READY: ServerState = ServerState::Ready;
        let told = |started| vec![DiscoveryEntry { started, ..listed("a", 80, READY) }];
        let mut old = Registry::new(&NameTable::default());
        old.take(ListKind::Complete, &told(Some(5)));
        old.take_out("a").expect("listed");
        old.put_back("a", 70).expect("listed");
        // Put back, and not yet told to have started again.
        let mut new = Registry::new(&NameTable::default());
        new.take_returned(old.returned());
        let (entries, _) = new.take(ListKind::Complete, &old.listed());
        assert_eq!((entries[0].state, entries[0].started_at), (READY, Some(70)));
        assert_eq!(new.take(ListKind::Complete, &told(Some(60))).0[0].started_at, Some(60));
        // Out, as another process says, before any list; then it is listed and put back.
        let mut other = Registry::new(&NameTable::default());
        assert_eq!(other.order_out("a"), Vec::new());
        assert_eq!(other.take(ListKind::Complete, &told(Some(60))).0[0].state, ServerState::Draining);
        let back = other.put_back("a", 80).expect("it was ordered out");
        // Whether that start came before or after is not known here: cold is the safe reading.
        assert_eq!((back[0].state, back[0].started_at), (READY, Some(80)));
    }
}
