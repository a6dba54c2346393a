//! A key-value registry in memory, with revisions, leases, compaction and its whole past: what etcd's v3 interface
//! promises, without a socket. Copies of it stand for members that are behind and for backups.

use std::collections::{BTreeMap, BTreeSet};

/// A key.
#[derive(Clone, Debug, PartialEq)]
pub struct Pair {
    /// Its value.
    pub value: Vec<u8>,
    /// The revision at which it was made.
    pub made: i64,
    /// The revision of its last change.
    pub written: i64,
    /// The lease it hangs on; 0 for none.
    pub lease: i64,
}

/// A change: the key, what it is now, what it was.
#[derive(Clone, Debug, PartialEq)]
pub struct Changed {
    /// At this revision.
    pub revision: i64,
    /// The key.
    pub key: Vec<u8>,
    /// As it is; none where it was deleted.
    pub now: Option<Pair>,
    /// As it was.
    pub before: Option<Pair>,
}

/// The registry.
#[derive(Clone, Debug)]
pub struct Store {
    /// The cluster's identity.
    pub cluster: u64,
    /// The newest revision.
    pub revision: i64,
    /// Revisions up to here can't be asked for.
    pub compacted: i64,
    /// Everything that ever happened.
    pub log: Vec<Changed>,
    keys: BTreeMap<Vec<u8>, Pair>,
    leases: BTreeSet<i64>,
    granted: i64,
}

/// A change to make; several in one revision make a transaction.
#[derive(Clone, Debug)]
pub enum Write {
    /// A key, its value and its lease.
    Put(String, Vec<u8>, i64),
    /// A key goes.
    Delete(String),
}

impl Store {
    /// Nothing in it; the first revision is 1, as etcd has it.
    pub fn new(cluster: u64) -> Store {
        Store {
            cluster,
            revision: 1,
            compacted: 0,
            log: Vec::new(),
            keys: BTreeMap::new(),
            leases: BTreeSet::new(),
            granted: 0,
        }
    }

    /// Writes all of it in one revision.
    pub fn write(&mut self, writes: Vec<Write>) {
        let revision = self.revision + 1;
        let mut changed = false;
        for write in writes {
            let (key, now) = match write {
                Write::Put(key, value, lease) => {
                    let key = key.into_bytes();
                    let made = self.keys.get(&key).map_or(revision, |p| p.made);
                    (key, Some(Pair { value, made, written: revision, lease }))
                }
                Write::Delete(key) => (key.into_bytes(), None),
            };
            let before = self.keys.get(&key).cloned();
            if now.is_none() && before.is_none() {
                continue;
            }
            match &now {
                Some(pair) => self.keys.insert(key.clone(), pair.clone()),
                None => self.keys.remove(&key),
            };
            changed = true;
            self.log.push(Changed { revision, key, now, before });
        }
        if changed {
            self.revision = revision;
        }
    }

    /// Writes a key.
    pub fn put(&mut self, key: &str, value: impl Into<Vec<u8>>, lease: i64) {
        self.write(vec![Write::Put(key.to_owned(), value.into(), lease)]);
    }

    /// Deletes a key.
    pub fn delete(&mut self, key: &str) {
        self.write(vec![Write::Delete(key.to_owned())]);
    }

    /// A new lease.
    pub fn grant(&mut self) -> i64 {
        self.granted += 1;
        self.leases.insert(self.granted);
        self.granted
    }

    /// Whether a lease lives.
    pub fn lives(&self, lease: i64) -> bool {
        self.leases.contains(&lease)
    }

    /// A lease runs out or is revoked: its keys go, in one revision.
    pub fn end(&mut self, lease: i64) {
        self.leases.remove(&lease);
        let hang = self.keys.iter().filter(|(_, p)| p.lease == lease);
        let keys = hang.map(|(key, _)| Write::Delete(String::from_utf8_lossy(key).into_owned()));
        let writes = keys.collect();
        self.write(writes);
    }

    /// Forgets revisions up to this one.
    pub fn compact(&mut self, upto: i64) {
        self.compacted = self.compacted.max(upto.min(self.revision));
    }

    /// Keys in `from..end` as they were at a revision, 0 for now; nothing where that was compacted.
    pub fn range(&self, from: &[u8], end: &[u8], revision: i64) -> Option<Vec<(Vec<u8>, Pair)>> {
        let within = |key: &[u8]| from <= key && key < end;
        if revision <= 0 || revision >= self.revision {
            let now = self.keys.range(from.to_vec()..end.to_vec());
            return Some(now.map(|(k, p)| (k.clone(), p.clone())).collect());
        }
        if revision < self.compacted {
            return None;
        }
        let mut keys = BTreeMap::new();
        for change in self.log.iter().filter(|c| c.revision <= revision && within(&c.key)) {
            match &change.now {
                Some(pair) => keys.insert(change.key.clone(), pair.clone()),
                None => keys.remove(&change.key),
            };
        }
        Some(keys.into_iter().collect())
    }

    /// Changes in `from..end` from a revision on.
    pub fn since(&self, from: &[u8], end: &[u8], revision: i64) -> impl Iterator<Item = &Changed> {
        let first = self.log.partition_point(|c| c.revision < revision);
        let (from, end) = (from.to_vec(), end.to_vec());
        self.log[first..].iter().filter(move |c| from <= c.key && c.key < end)
    }
}
