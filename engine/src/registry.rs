//! The registry of listed upstreams: their ids for the decision module, their addresses and their maintenance state.

use finchshift as fs;
use finchshift::{ListKind, Micros, ServerId, ServerState};
use sloeline_settings::setup::{NameTable, ring_hash};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;

use crate::types::{DiscoveryEntry, Target};

/// Assigns numbers to zone or machine kind names. A number is never reused: a stale reference to a removed name
/// cannot refer to another one, and a name that returns starts without the old circuit breaker state and counters.
#[derive(Default)]
struct NameNumbers {
    /// The number of each name in use.
    by_name: HashMap<String, u32>,
    /// The next number to assign.
    next: u32,
    /// How many upstreams use each number.
    uses: HashMap<u32, usize>,
    /// Numbers below this one come from the settings and are kept even when no upstream uses them.
    permanent_below: u32,
}

impl NameNumbers {
    /// Returns the number of a name, assigning one if it is new.
    fn number(&mut self, name: &str) -> u32 {
        if let Some(&number) = self.by_name.get(name) {
            return number;
        }
        let number = self.next;
        self.next = self.next.wrapping_add(1);
        self.by_name.insert(name.to_owned(), number);
        number
    }

    /// Counts one more use of a number.
    fn acquire(&mut self, number: u32) {
        *self.uses.entry(number).or_default() += 1;
    }

    /// Counts one use less of a number, and removes its name after the last use unless it is permanent.
    fn release(&mut self, number: u32) {
        let Some(uses) = self.uses.get_mut(&number) else { return };
        *uses -= 1;
        if *uses == 0 {
            self.uses.remove(&number);
            if number >= self.permanent_below {
                // A linear scan suffices: there are few zones and machine kinds.
                self.by_name.retain(|_, n| *n != number);
            }
        }
    }
}

/// Maximum number of instances that are remembered as listed before. Bounds the memory where upstreams come and go.
const MAX_REMEMBERED_INSTANCES: usize = 1 << 16;

/// A listed upstream.
struct Upstream {
    /// The entry in the list.
    listed: DiscoveryEntry,
    /// The instance name in the entry, shared with the targets of attempts.
    instance: Rc<str>,
    /// The state that the decision module sees, which takes maintenance into account.
    state: ServerState,
    /// The number of the zone.
    zone: u32,
    /// The number of the machine kind.
    kind: u32,
}

/// The assumed restart of an upstream that left maintenance. It applies until the list has a different start time.
struct UnconfirmedRestart {
    /// The start time in the list, which is from before the maintenance.
    listed: Option<Micros>,
    /// When the upstream left maintenance. It counts as started at this time.
    since: Micros,
}

/// All listed upstreams. Upstreams that leave the list are removed.
pub struct Registry {
    /// The id of each listed upstream, by instance.
    servers: HashMap<String, ServerId>,
    /// The next id to assign.
    next_id: ServerId,
    /// The listed upstreams by id.
    upstreams: HashMap<ServerId, Upstream>,
    /// Numbers of zone names.
    zones: NameNumbers,
    /// Numbers of machine kind names.
    kinds: NameNumbers,
    /// Number of upstreams that accept requests.
    ready: usize,
    /// Instances in maintenance, with the start time that the list had at that moment. The outer `None` stands for an
    /// instance that was not listed, the inner for an entry without a start time.
    in_maintenance: HashMap<String, Option<Option<Micros>>>,
    /// Instances that left maintenance and whose restart the list has not confirmed.
    unconfirmed: HashMap<String, UnconfirmedRestart>,
    /// Hashes of the instances that are or were listed.
    ever_listed: HashSet<u64>,
}

impl Registry {
    /// Creates an empty registry. `zones` maps the zone names to the numbers that the settings use.
    pub fn new(zones: &NameTable) -> Registry {
        let permanent_below = zones.names.len() as u32;
        let by_name = zones.names.iter().cloned().zip(0..).collect();
        let zones = NameNumbers { by_name, next: permanent_below, permanent_below, ..NameNumbers::default() };
        let (servers, upstreams) = (HashMap::new(), HashMap::new());
        let (in_maintenance, unconfirmed, ever_listed) = (HashMap::new(), HashMap::new(), HashSet::new());
        let kinds = NameNumbers::default();
        Registry {
            servers,
            next_id: 0,
            upstreams,
            zones,
            kinds,
            ready: 0,
            in_maintenance,
            unconfirmed,
            ever_listed,
        }
    }

    /// The listed upstreams, as last received from discovery.
    pub fn listed(&self) -> Vec<DiscoveryEntry> {
        self.upstreams.values().map(|u| u.listed.clone()).collect()
    }

    /// Upstreams that left maintenance and whose restart the list has not confirmed: the instance, the start time in
    /// the list, and the time from which the upstream counts as started.
    pub fn unconfirmed_restarts(&self) -> Vec<(String, Option<Micros>, Micros)> {
        self.unconfirmed.iter().map(|(name, r)| (name.clone(), r.listed, r.since)).collect()
    }

    /// Adds the [`unconfirmed_restarts`](Registry::unconfirmed_restarts) of another process. Call this before
    /// applying the list of that process.
    pub fn import_unconfirmed_restarts(&mut self, restarts: Vec<(String, Option<Micros>, Micros)>) {
        let entries =
            restarts.into_iter().map(|(name, listed, since)| (name, UnconfirmedRestart { listed, since }));
        self.unconfirmed.extend(entries);
    }

    /// Whether an instance is or was listed, or is in maintenance.
    pub fn ever_listed(&self, instance: &str) -> bool {
        self.in_maintenance.contains_key(instance) || self.ever_listed.contains(&ring_hash(instance))
    }

    /// Puts an upstream into maintenance: whatever lists say, it counts as draining. Returns the changed entries for
    /// the decision module, or `None` for an instance that was never listed.
    pub fn enter_maintenance(&mut self, instance: &str) -> Option<Vec<fs::ServerEntry>> {
        if !self.ever_listed(instance) {
            return None;
        }
        Some(self.replicate_maintenance(instance))
    }

    /// Puts an upstream that another process knows into maintenance, listed here or not. Returns the changed entries
    /// for the decision module.
    pub fn replicate_maintenance(&mut self, instance: &str) -> Vec<fs::ServerEntry> {
        let started =
            self.servers.get(instance).and_then(|id| self.upstreams.get(id)).map(|u| u.listed.started);
        self.in_maintenance.entry(instance.to_owned()).or_insert(started);
        self.refreshed_entry(instance)
    }

    /// Takes an upstream out of maintenance. Returns the changed entries for the decision module, or `None` for an
    /// instance that was never listed. The upstream was presumably restarted meanwhile: unless the list has a new
    /// start time, it counts as started now, so that a late list does not expose a cold upstream to full load.
    pub fn exit_maintenance(&mut self, instance: &str, now: Micros) -> Option<Vec<fs::ServerEntry>> {
        if !self.ever_listed(instance) {
            return None;
        }
        let Some(before) = self.in_maintenance.remove(instance) else { return Some(Vec::new()) };
        let listed_now =
            self.servers.get(instance).and_then(|id| self.upstreams.get(id)).map(|u| u.listed.started);
        if let Some(listed) = listed_now.or(before)
            && before.is_none_or(|b| b == listed)
        {
            self.unconfirmed.insert(instance.to_owned(), UnconfirmedRestart { listed, since: now });
        }
        Some(self.refreshed_entry(instance))
    }

    /// Recomputes the entry of a listed upstream after its maintenance state changed. Empty if it is not listed.
    fn refreshed_entry(&mut self, instance: &str) -> Vec<fs::ServerEntry> {
        let id = self.servers.get(instance).copied();
        let Some(listed) = id.and_then(|id| self.upstreams.get(&id)).map(|u| u.listed.clone()) else {
            return Vec::new();
        };
        self.apply_list(ListKind::Changes, &[listed]).0
    }

    /// The state and start time of a list entry, taking maintenance and unconfirmed restarts into account.
    fn effective_state(&mut self, l: &DiscoveryEntry) -> (ServerState, Option<Micros>) {
        let state = match l.state {
            ServerState::Ready if self.in_maintenance.contains_key(&l.instance) => ServerState::Draining,
            other => other,
        };
        let started_at = match self.unconfirmed.get(&l.instance) {
            Some(restart) if restart.listed == l.started => Some(restart.since),
            Some(_) => {
                self.unconfirmed.remove(&l.instance);
                l.started
            }
            None => l.started,
        };
        (state, started_at)
    }

    /// The id, instance name and address of an upstream, if it is listed.
    pub fn target(&self, server: ServerId) -> Option<Target> {
        let upstream = self.upstreams.get(&server)?;
        Some(Target { server, instance: upstream.instance.clone(), address: upstream.listed.address })
    }

    /// The id of a listed upstream.
    pub fn server_id(&self, instance: &str) -> Option<ServerId> {
        self.servers.get(instance).copied()
    }

    /// The instance name of a listed upstream.
    pub fn name(&self, server: ServerId) -> Option<&str> {
        self.upstreams.get(&server).map(|u| u.listed.instance.as_str())
    }

    /// The name of the zone with a number.
    pub fn zone_name(&self, zone: u32) -> Option<&str> {
        self.zones.by_name.iter().find(|(_, number)| **number == zone).map(|(name, _)| name.as_str())
    }

    /// The number of the zone with a name.
    pub fn zone_number(&self, name: &str) -> Option<u32> {
        self.zones.by_name.get(name).copied()
    }

    /// Number of listed upstreams that accept requests.
    pub fn ready(&self) -> usize {
        self.ready
    }

    /// Returns the id of an instance. A new instance gets a new id and is remembered as listed.
    fn assign_id(&mut self, instance: &str) -> ServerId {
        if let Some(&id) = self.servers.get(instance) {
            return id;
        }
        let id = self.next_id;
        self.next_id = self.next_id.wrapping_add(1);
        self.servers.insert(instance.to_owned(), id);
        if self.ever_listed.len() >= MAX_REMEMBERED_INSTANCES {
            self.ever_listed = self.servers.keys().map(|name| ring_hash(name)).collect();
        }
        self.ever_listed.insert(ring_hash(instance));
        id
    }

    /// Inserts or replaces an upstream and updates the counts. Returns the replaced one.
    fn insert(&mut self, id: ServerId, upstream: Upstream) -> Option<Upstream> {
        // The new uses are counted first, so that a zone or kind that stays the same is not released in between.
        self.zones.acquire(upstream.zone);
        self.kinds.acquire(upstream.kind);
        self.ready += usize::from(upstream.state == ServerState::Ready);
        let before = self.upstreams.insert(id, upstream);
        before.iter().for_each(|b| self.uncount(b));
        before
    }

    /// Removes an upstream and updates the counts.
    fn remove(&mut self, id: ServerId) -> Option<Upstream> {
        let before = self.upstreams.remove(&id);
        before.iter().for_each(|b| self.uncount(b));
        before
    }

    /// Updates the counts for an upstream that was removed or replaced.
    fn uncount(&mut self, upstream: &Upstream) {
        self.zones.release(upstream.zone);
        self.kinds.release(upstream.kind);
        self.ready -= usize::from(upstream.state == ServerState::Ready);
    }

    /// Applies a list or changes to it. Returns the entries for the decision module, and the ids of upstreams that
    /// moved to another address or were removed. The cost of changes is proportional to their number, not to the size
    /// of the list.
    pub fn apply_list(
        &mut self,
        kind: ListKind,
        listed: &[DiscoveryEntry],
    ) -> (Vec<fs::ServerEntry>, Vec<ServerId>) {
        let (mut entries, mut moved) = (Vec::with_capacity(listed.len()), Vec::new());
        let whole = matches!(kind, ListKind::Complete | ListKind::Stale);
        let mut listed_ids = HashSet::new();
        for l in listed {
            // An instance that is only ever reported as gone must not get an id.
            if l.state == ServerState::Gone && !self.servers.contains_key(&l.instance) {
                continue;
            }
            let id = self.assign_id(&l.instance);
            let gone = l.state == ServerState::Gone;
            let (state, started_at) = self.effective_state(l);
            let (before, zone, kind) = if gone {
                self.servers.remove(&l.instance);
                self.unconfirmed.remove(&l.instance);
                listed_ids.remove(&id);
                let Some(before) = self.remove(id) else { continue };
                (None, before.zone, before.kind)
            } else {
                if whole {
                    listed_ids.insert(id);
                }
                let (zone, kind) = (self.zones.number(&l.zone), self.kinds.number(&l.kind));
                let instance = Rc::from(l.instance.as_str());
                (self.insert(id, Upstream { listed: l.clone(), instance, state, zone, kind }), zone, kind)
            };
            if gone || before.is_some_and(|b| b.listed.address != l.address) {
                moved.push(id);
            }
            entries.push(fs::ServerEntry {
                id,
                zone,
                kind,
                cell: l.cell,
                // Hashed from the instance: its address may differ between balancers, but its position on the ring
                // must not.
                ring_hash: ring_hash(&l.instance),
                state,
                weight: if l.weight.is_finite() && l.weight > 0.0 { l.weight } else { 1.0 },
                started_at,
            });
        }
        if whole {
            let unlisted: Vec<ServerId> =
                self.upstreams.keys().filter(|id| !listed_ids.contains(id)).copied().collect();
            for id in &unlisted {
                self.remove(*id);
            }
            self.servers.retain(|_, id| listed_ids.contains(id));
            self.unconfirmed.retain(|name, _| self.servers.contains_key(name));
            moved.extend(unlisted);
        }
        (entries, moved)
    }
}

#[cfg(test)]
mod tests {
    use std::net::SocketAddr;

    use super::*;

    /// A list entry whose zone and kind are derived from the instance.
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
    fn removed_upstreams_are_forgotten_and_ids_not_reused() {
        let mut zones = NameTable::default();
        let home = zones.id_of("home");
        let mut registry = Registry::new(&zones);
        let mut seen = HashSet::new();
        for round in 0..1000 {
            let name = format!("s-{}", round % 7);
            let (entries, moved) =
                registry.apply_list(ListKind::Changes, &[listed(&name, 80, ServerState::Ready)]);
            let id = entries[0].id;
            assert!(seen.insert(id) && moved.is_empty() && entries[0].weight == 1.0);
            // A draining upstream is still listed.
            registry.apply_list(ListKind::Changes, &[listed(&name, 80, ServerState::Draining)]);
            assert!(registry.target(id).is_some());
            let (_, moved) = if round % 2 == 0 {
                registry.apply_list(ListKind::Changes, &[listed(&name, 80, ServerState::Gone)])
            } else {
                registry.apply_list(ListKind::Complete, &[])
            };
            assert_eq!((moved, registry.target(id)), (vec![id], None));
            // A repeated removal changes nothing.
            let again = registry.apply_list(ListKind::Changes, &[listed(&name, 80, ServerState::Gone)]);
            assert_eq!(again, (Vec::new(), Vec::new()));
        }
        assert!(registry.servers.is_empty() && registry.upstreams.is_empty());
        assert!(registry.kinds.by_name.is_empty());
        assert_eq!((registry.zones.by_name.len(), registry.zones.number("home")), (1, home));
    }

    /// The incrementally maintained counts equal those of a full recount after random changes.
    #[test]
    fn counts_match_a_full_recount_after_random_changes() {
        let seed =
            std::env::var("SEED").ok().and_then(|s| s.parse().ok()).unwrap_or_else(|| fastrand::u64(..));
        println!("SEED={seed}");
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut registry = Registry::new(&NameTable::default());
        let mut model: std::collections::BTreeMap<String, DiscoveryEntry> = Default::default();
        for _ in 0..3000 {
            let whole = rng.u8(..8) == 0;
            let changes: Vec<DiscoveryEntry> = (0..rng.usize(..4))
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
            for l in &changes {
                let _ = match l.state {
                    ServerState::Gone => model.remove(&l.instance),
                    _ => model.insert(l.instance.clone(), l.clone()),
                };
            }
            registry.apply_list(if whole { ListKind::Complete } else { ListKind::Changes }, &changes);
            let set = |of: fn(&DiscoveryEntry) -> &String| model.values().map(of).collect::<HashSet<_>>();
            let names = |numbers: &NameNumbers| numbers.by_name.len();
            assert_eq!(registry.ready(), model.values().filter(|l| l.state == ServerState::Ready).count());
            assert_eq!((registry.servers.len(), registry.upstreams.len()), (model.len(), model.len()));
            assert_eq!(names(&registry.zones), set(|l| &l.zone).len());
            assert_eq!(names(&registry.kinds), set(|l| &l.kind).len());
            for (name, l) in &model {
                let id = registry.servers[name];
                let instance = Rc::from(name.as_str());
                assert_eq!(registry.target(id), Some(Target { server: id, instance, address: l.address }));
            }
        }
    }

    #[test]
    fn moved_and_replaced_upstreams_are_reported() {
        let mut registry = Registry::new(&NameTable::default());
        let (a, _) = registry.apply_list(ListKind::Complete, &[listed("a", 80, ServerState::Ready)]);
        let (_, moved) = registry.apply_list(ListKind::Changes, &[listed("a", 81, ServerState::Ready)]);
        assert_eq!(moved, [a[0].id]);
        let (b, removed) = registry.apply_list(ListKind::Complete, &[listed("b", 81, ServerState::Ready)]);
        assert_eq!(removed, [a[0].id]);
        assert_ne!(b[0].id, a[0].id);
    }

    #[test]
    fn maintenance_overrides_lists_and_ends_with_a_cold_upstream() {
        const READY: ServerState = ServerState::Ready;
        let mut registry = Registry::new(&NameTable::default());
        let entry = |state, started| DiscoveryEntry { started, ..listed("a", 80, state) };
        assert_eq!(registry.enter_maintenance("a"), None);
        assert_eq!(registry.exit_maintenance("a", 1), None);
        registry.apply_list(ListKind::Complete, &[entry(READY, Some(5))]);
        let state = |entries: Vec<fs::ServerEntry>| {
            entries.iter().map(|e| (e.state, e.started_at)).collect::<Vec<_>>()
        };
        assert_eq!(
            state(registry.enter_maintenance("a").expect("listed")),
            [(ServerState::Draining, Some(5))]
        );
        assert_eq!(registry.ready(), 0);
        // Repeated calls, changes and complete lists do not end the maintenance.
        assert_eq!(
            state(registry.enter_maintenance("a").expect("listed")),
            [(ServerState::Draining, Some(5))]
        );
        for kind in [ListKind::Changes, ListKind::Complete] {
            let (entries, _) = registry.apply_list(kind, &[entry(READY, Some(5))]);
            assert_eq!(state(entries), [(ServerState::Draining, Some(5))]);
        }
        // The list has no new start time: the upstream counts as started at the call, also in later lists.
        assert_eq!(state(registry.exit_maintenance("a", 70).expect("listed")), [(READY, Some(70))]);
        assert_eq!(
            state(registry.apply_list(ListKind::Complete, &[entry(READY, Some(5))]).0),
            [(READY, Some(70))]
        );
        // Until a list has a new start time.
        assert_eq!(
            state(registry.apply_list(ListKind::Changes, &[entry(READY, Some(60))]).0),
            [(READY, Some(60))]
        );
        // A new start time that was listed during the maintenance is used, and leaving maintenance twice changes
        // nothing.
        registry.enter_maintenance("a").expect("listed");
        registry.apply_list(ListKind::Changes, &[entry(READY, Some(90))]);
        assert_eq!(state(registry.exit_maintenance("a", 99).expect("listed")), [(READY, Some(90))]);
        assert_eq!(registry.exit_maintenance("a", 100), Some(Vec::new()));
        // Maintenance outlives removal from the list, and ends also for an upstream that is not listed.
        registry.enter_maintenance("a").expect("listed");
        registry.apply_list(ListKind::Changes, &[entry(ServerState::Gone, None)]);
        let (entries, _) = registry.apply_list(ListKind::Changes, &[entry(READY, Some(120))]);
        assert_eq!(state(entries), [(ServerState::Draining, Some(120))]);
        registry.apply_list(ListKind::Complete, &[]);
        assert_eq!(registry.exit_maintenance("a", 130), Some(Vec::new()));
        // An upstream that the list reports as draining keeps draining after maintenance.
        registry.apply_list(ListKind::Complete, &[entry(ServerState::Draining, Some(120))]);
        registry.enter_maintenance("a").expect("listed");
        let entries = registry.exit_maintenance("a", 140).expect("listed");
        assert_eq!(entries[0].state, ServerState::Draining);
    }

    #[test]
    fn the_number_of_remembered_instances_is_bounded() {
        let mut registry = Registry::new(&NameTable::default());
        for n in 0..MAX_REMEMBERED_INSTANCES + 10 {
            let name = format!("s-{n}");
            registry.apply_list(ListKind::Changes, &[listed(&name, 80, ServerState::Ready)]);
            registry.apply_list(ListKind::Changes, &[listed(&name, 80, ServerState::Gone)]);
        }
        assert!(registry.ever_listed.len() <= MAX_REMEMBERED_INSTANCES, "{}", registry.ever_listed.len());
        assert!(registry.ever_listed(&format!("s-{}", MAX_REMEMBERED_INSTANCES + 9)));
    }

    #[test]
    fn a_successor_process_imports_maintenance_and_unconfirmed_restarts() {
        const READY: ServerState = ServerState::Ready;
        let list = |started| vec![DiscoveryEntry { started, ..listed("a", 80, READY) }];
        let mut old = Registry::new(&NameTable::default());
        old.apply_list(ListKind::Complete, &list(Some(5)));
        old.enter_maintenance("a").expect("listed");
        old.exit_maintenance("a", 70).expect("listed");
        // The upstream left maintenance, and the list has not confirmed its restart.
        let mut new = Registry::new(&NameTable::default());
        new.import_unconfirmed_restarts(old.unconfirmed_restarts());
        let (entries, _) = new.apply_list(ListKind::Complete, &old.listed());
        assert_eq!((entries[0].state, entries[0].started_at), (READY, Some(70)));
        assert_eq!(new.apply_list(ListKind::Complete, &list(Some(60))).0[0].started_at, Some(60));
        // Another process reports the maintenance before any list arrives; the upstream is listed and leaves it
        // later.
        let mut other = Registry::new(&NameTable::default());
        assert_eq!(other.replicate_maintenance("a"), Vec::new());
        assert_eq!(other.apply_list(ListKind::Complete, &list(Some(60))).0[0].state, ServerState::Draining);
        let back = other.exit_maintenance("a", 80).expect("it is in maintenance");
        // It is unknown whether the listed start was before or after the maintenance; treating it as cold is safe.
        assert_eq!((back[0].state, back[0].started_at), (READY, Some(80)));
    }
}
