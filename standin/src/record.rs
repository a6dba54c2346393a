//! What was asked, what ran where, and what clients were told.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

/// The header that carries a request's number.
pub const ID: &str = "stand-in-id";
/// The header that carries what may be repeated of it.
pub const KIND: &str = "stand-in-kind";

/// What may be repeated of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    /// Anything.
    Safe,
    /// What the upstreams of one group drop.
    Keyed,
    /// Nothing.
    Unsafe,
}

impl Kind {
    /// Its word in the header.
    pub fn word(self) -> &'static str {
        match self {
            Kind::Safe => "safe",
            Kind::Keyed => "keyed",
            Kind::Unsafe => "unsafe",
        }
    }

    /// From the header.
    pub fn read(word: &str) -> Kind {
        match word {
            "safe" => Kind::Safe,
            "keyed" => Kind::Keyed,
            _ => Kind::Unsafe,
        }
    }
}

/// What a client was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Told {
    /// A 2xx answer that an upstream made for this request.
    Served,
    /// 429 or 503.
    Refused,
    /// Any other answer.
    Failed,
    /// No whole answer, none in time, or one made for another request.
    Lost,
}

struct Asked {
    kind: Kind,
    told: Vec<Told>,
    /// Where attempts arrived, in their order.
    attempts: Vec<Rc<str>>,
    /// How often it had an effect.
    effects: u32,
    /// An attempt ran, whatever it did.
    ran: bool,
}

#[derive(Default)]
struct Inner {
    next: u64,
    asked: HashMap<u64, Asked>,
    /// Keys that the nodes of a group remember.
    keys: HashSet<(Rc<str>, u64)>,
    /// Nodes that get nothing new from a time on.
    closed: HashMap<Rc<str>, Instant>,
    late_sends: Vec<(Rc<str>, u64, Duration)>,
    unknown: u64,
    sends: BTreeMap<Rc<str>, u64>,
}

/// The record; clones are the same.
#[derive(Clone, Default)]
pub struct Record(Rc<RefCell<Inner>>);

/// All requests in figures.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Account {
    /// Requests that clients sent.
    pub asked: u64,
    /// Told served.
    pub served: u64,
    /// Told refused.
    pub refused: u64,
    /// Told failed.
    pub failed: u64,
    /// Not told in time, or not told.
    pub lost: u64,
    /// Told more than once.
    pub twice_told: u64,
    /// Had an effect more than once.
    pub run_twice: u64,
    /// Unsafe, refused, and yet an attempt had run.
    pub refused_but_ran: u64,
    /// Had more than four attempts.
    pub too_many: u64,
    /// Attempts on nodes that should have had nothing new any more.
    pub after_drain: u64,
    /// Attempts that no client asked for.
    pub unknown: u64,
}

impl Account {
    /// Every request has one answer, and no rule is broken.
    pub fn closes(&self) -> bool {
        let told = self.served + self.refused + self.failed;
        let broken = [
            self.lost,
            self.twice_told,
            self.run_twice,
            self.refused_but_ran,
            self.too_many,
            self.after_drain,
            self.unknown,
        ];
        self.asked == told && broken.iter().all(|n| *n == 0)
    }
}

impl fmt::Display for Account {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "asked {}, served {}, refused {}, failed {}, lost {}, run twice {}",
            self.asked, self.served, self.refused, self.failed, self.lost, self.run_twice
        )?;
        for (count, what) in [
            (self.twice_told, "told twice"),
            (self.refused_but_ran, "refused though it ran"),
            (self.too_many, "with more than four attempts"),
            (self.after_drain, "sent to a drained upstream"),
            (self.unknown, "sent though never asked"),
        ] {
            if count > 0 {
                write!(f, ", {what} {count}")?;
            }
        }
        Ok(())
    }
}

impl Record {
    /// A client is about to send a request; its number.
    pub fn ask(&self, kind: Kind) -> u64 {
        let mut inner = self.0.borrow_mut();
        let id = inner.next;
        inner.next += 1;
        let asked = Asked { kind, told: Vec::new(), attempts: Vec::new(), effects: 0, ran: false };
        inner.asked.insert(id, asked);
        id
    }

    /// A client was told.
    pub fn told(&self, id: u64, told: Told) {
        if let Some(asked) = self.0.borrow_mut().asked.get_mut(&id) {
            asked.told.push(told);
        }
    }

    /// A request arrived whole at a node. Requests that no client asked for are counted.
    pub fn arrived(&self, node: &Rc<str>, id: Option<u64>) {
        let mut inner = self.0.borrow_mut();
        let inner = &mut *inner;
        *inner.sends.entry(node.clone()).or_default() += 1;
        let Some((id, asked)) = id.and_then(|id| inner.asked.get_mut(&id).map(|asked| (id, asked))) else {
            inner.unknown += 1;
            return;
        };
        asked.attempts.push(node.clone());
        if let Some(late) = inner.closed.get(node).and_then(|at| Instant::now().checked_duration_since(*at)) {
            inner.late_sends.push((node.clone(), id, late));
        }
    }

    /// It runs there; a keyed one has an effect once in each group.
    pub fn ran(&self, group: &Rc<str>, id: u64) {
        let mut inner = self.0.borrow_mut();
        let inner = &mut *inner;
        let Some(asked) = inner.asked.get_mut(&id) else { return };
        asked.ran = true;
        let effect = match asked.kind {
            Kind::Safe => false,
            Kind::Keyed => inner.keys.insert((group.clone(), id)),
            Kind::Unsafe => true,
        };
        asked.effects += u32::from(effect);
    }

    /// From `grace` on nothing new may come to the node.
    pub fn close(&self, node: &str, grace: Duration) {
        self.0.borrow_mut().closed.insert(node.into(), Instant::now() + grace);
    }

    /// The node may be used again.
    pub fn reopen(&self, node: &str) {
        self.0.borrow_mut().closed.remove(node);
    }

    /// How many requests arrived at a node.
    pub fn sends(&self, node: &str) -> u64 {
        self.0.borrow().sends.get(node).copied().unwrap_or(0)
    }

    /// Requests that clients asked and were not told of yet.
    pub fn open(&self) -> usize {
        self.0.borrow().asked.values().filter(|a| a.told.is_empty()).count()
    }

    /// The figures so far; what is open is neither told nor lost yet.
    pub fn account(&self) -> Account {
        let inner = self.0.borrow();
        let mut account = Account {
            after_drain: inner.late_sends.len() as u64,
            unknown: inner.unknown,
            ..Account::default()
        };
        for asked in inner.asked.values() {
            account.asked += 1;
            match asked.told.first() {
                Some(Told::Served) => account.served += 1,
                Some(Told::Refused) => account.refused += 1,
                Some(Told::Failed) => account.failed += 1,
                Some(Told::Lost) => account.lost += 1,
                None => {}
            }
            account.twice_told += u64::from(asked.told.len() > 1);
            account.run_twice += u64::from(asked.effects > 1);
            let refused = asked.told.first() == Some(&Told::Refused);
            account.refused_but_ran += u64::from(refused && asked.ran && asked.kind == Kind::Unsafe);
            account.too_many += u64::from(asked.attempts.len() > 4);
        }
        account
    }

    /// What breaks the rules, some of it, in words.
    pub fn violations(&self) -> Vec<String> {
        let inner = self.0.borrow();
        let mut list: Vec<String> = inner
            .late_sends
            .iter()
            .map(|(node, id, late)| format!("request {id} was sent to {node} {late:?} after its grace"))
            .collect();
        for (id, a) in &inner.asked {
            let refused_but_ran = a.told.first() == Some(&Told::Refused) && a.ran && a.kind == Kind::Unsafe;
            let wrong =
                a.told.len() > 1 || a.told.contains(&Told::Lost) || a.effects > 1 || a.attempts.len() > 4;
            if wrong || refused_but_ran {
                list.push(format!(
                    "request {id} ({:?}): told {:?}, at {:?}, effects {}",
                    a.kind, a.told, a.attempts, a.effects
                ));
            }
        }
        list.truncate(20);
        list
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A record with one request, served after one attempt.
    fn good(kind: Kind) -> (Record, u64) {
        let record = Record::default();
        let id = record.ask(kind);
        record.arrived(&"n".into(), Some(id));
        record.ran(&"g".into(), id);
        (record, id)
    }

    #[test]
    fn a_good_record_closes_and_an_open_one_does_not() {
        let (record, id) = good(Kind::Unsafe);
        assert!(!record.account().closes());
        record.told(id, Told::Served);
        assert!(record.account().closes() && record.violations().is_empty());
    }

    #[test]
    fn each_broken_rule_is_found() {
        let node: Rc<str> = "n".into();
        let broken = |kind, told, f: &dyn Fn(&Record, u64)| {
            let (record, id) = good(kind);
            f(&record, id);
            record.told(id, told);
            assert!(!record.account().closes() && !record.violations().is_empty(), "{:?}", record.account());
        };
        broken(Kind::Unsafe, Told::Served, &|r, id| r.ran(&"h".into(), id));
        broken(Kind::Keyed, Told::Served, &|r, id| r.ran(&"h".into(), id));
        broken(Kind::Safe, Told::Served, &|r, id| r.told(id, Told::Failed));
        broken(Kind::Safe, Told::Lost, &|_, _| {});
        broken(Kind::Unsafe, Told::Refused, &|_, _| {});
        broken(Kind::Safe, Told::Served, &|r, id| (0..4).for_each(|_| r.arrived(&node, Some(id))));
        broken(Kind::Safe, Told::Served, &|r, id| {
            r.close("n", Duration::ZERO);
            r.arrived(&node, Some(id));
        });
        let (record, id) = good(Kind::Safe);
        record.told(id, Told::Served);
        record.arrived(&node, Some(77));
        assert!(!record.account().closes());
    }

    #[test]
    fn what_the_rules_allow_is_not_found() {
        let node: Rc<str> = "n".into();
        // A keyed repeat in its group, three more attempts, a refusal of what may be repeated, a send in the grace.
        let (record, id) = good(Kind::Keyed);
        record.close("n", Duration::from_secs(60));
        (0..3).for_each(|_| record.arrived(&node, Some(id)));
        record.ran(&"g".into(), id);
        record.told(id, Told::Refused);
        assert!(record.account().closes(), "{:?}", record.violations());
    }
}
