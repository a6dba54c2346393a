//! Operators' orders to the platform's program, which stay in force until they are revoked.

use std::collections::BTreeSet;
use std::fmt;

use serde::{Deserialize, Serialize};

/// Maximum number of upstreams in maintenance. Bounds the memory and the file size against a runaway script.
pub const MAX_IN_MAINTENANCE: usize = 4096;

/// An order of an operator.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    /// Sends no new requests to this upstream, whatever discovery reports.
    EnterMaintenance(String),
    /// Follows discovery again for this upstream.
    ExitMaintenance(String),
    /// Sends clients away.
    Standby,
    /// Accepts clients again.
    Active,
}

/// Formats an order in the form of the log, which keeps the names of earlier builds.
impl fmt::Display for Order {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Order::EnterMaintenance(id) => write!(f, "TakeOut({id:?})"),
            Order::ExitMaintenance(id) => write!(f, "PutBack({id:?})"),
            Order::Standby => write!(f, "Standby"),
            Order::Active => write!(f, "Active"),
        }
    }
}

/// All orders in force. Unknown fields, written by another build, are ignored: the known orders must stay in force.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Orders {
    /// Ids of the upstreams in maintenance.
    #[serde(rename = "out")]
    pub in_maintenance: BTreeSet<String>,
    /// Whether clients are sent away.
    pub standby: bool,
}

impl Orders {
    /// Applies an order. Returns whether it has changed anything. Fails if too many upstreams are in maintenance.
    pub fn apply(&mut self, order: &Order) -> Result<bool, &'static str> {
        match order {
            Order::EnterMaintenance(id) if self.in_maintenance.contains(id) => Ok(false),
            Order::EnterMaintenance(_) if self.in_maintenance.len() >= MAX_IN_MAINTENANCE => {
                Err("too many upstreams are out")
            }
            Order::EnterMaintenance(id) => Ok(self.in_maintenance.insert(id.clone())),
            Order::ExitMaintenance(id) => Ok(self.in_maintenance.remove(id)),
            Order::Standby => Ok(!std::mem::replace(&mut self.standby, true)),
            Order::Active => Ok(std::mem::replace(&mut self.standby, false)),
        }
    }

    /// Returns the orders that turn these into `to`, with revocations first.
    pub fn changes_to(&self, to: &Orders) -> Vec<Order> {
        let back = self.in_maintenance.difference(&to.in_maintenance).cloned().map(Order::ExitMaintenance);
        let out = to.in_maintenance.difference(&self.in_maintenance).cloned().map(Order::EnterMaintenance);
        let turned = (self.standby != to.standby).then_some(match to.standby {
            true => Order::Standby,
            false => Order::Active,
        });
        back.chain(out).chain(turned).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn changes_lead_from_any_state_to_any_other() {
        let seed =
            std::env::var("SEED").ok().and_then(|s| s.parse().ok()).unwrap_or_else(|| fastrand::u64(..));
        println!("SEED={seed}");
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut draw = || {
            let mut orders = Orders::default();
            for _ in 0..rng.usize(0..20) {
                let id = format!("s-{}", rng.u32(0..8));
                let order = match rng.u32(0..4) {
                    0 => Order::Standby,
                    1 => Order::Active,
                    2 => Order::ExitMaintenance(id),
                    _ => Order::EnterMaintenance(id),
                };
                orders.apply(&order).expect("few are out");
            }
            orders
        };
        for _ in 0..500 {
            let (mut from, to) = (draw(), draw());
            let way = from.changes_to(&to);
            for order in &way {
                assert_eq!(from.apply(order), Ok(true), "{order:?} changes nothing");
            }
            assert_eq!(from, to, "{way:?}");
        }
    }

    #[test]
    fn upstreams_in_maintenance_are_limited_and_a_repeated_order_does_not_count() {
        let mut orders = Orders::default();
        for n in 0..MAX_IN_MAINTENANCE {
            assert_eq!(orders.apply(&Order::EnterMaintenance(format!("s-{n}"))), Ok(true));
        }
        assert!(orders.apply(&Order::EnterMaintenance("one-more".to_owned())).is_err());
        assert_eq!(orders.apply(&Order::EnterMaintenance("s-7".to_owned())), Ok(false));
        assert_eq!(orders.apply(&Order::ExitMaintenance("s-7".to_owned())), Ok(true));
        assert_eq!(orders.apply(&Order::EnterMaintenance("one-more".to_owned())), Ok(true));
    }
}
