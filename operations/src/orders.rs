//! The orders that hold until they are taken back.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

/// Most upstreams that may be out at once. Guards the memory and the file against a script that runs away.
pub const MOST_OUT: usize = 4096;

/// Something that operators want from now on.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    /// Nothing new to this upstream, whatever the list says.
    TakeOut(String),
    /// As the list says again.
    PutBack(String),
    /// Send clients away.
    Standby,
    /// Back to work.
    Active,
}

/// All that holds. What another build has beside is passed over: what this one knows must hold all the same.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Orders {
    /// The upstreams that are out, by identity.
    pub out: BTreeSet<String>,
    /// Clients are sent away.
    pub standby: bool,
}

impl Orders {
    /// Takes an order over; tells whether anything is different now. Fails where too many are out.
    pub fn take(&mut self, order: &Order) -> Result<bool, &'static str> {
        match order {
            Order::TakeOut(id) if self.out.contains(id) => Ok(false),
            Order::TakeOut(_) if self.out.len() >= MOST_OUT => Err("too many upstreams are out"),
            Order::TakeOut(id) => Ok(self.out.insert(id.clone())),
            Order::PutBack(id) => Ok(self.out.remove(id)),
            Order::Standby => Ok(!std::mem::replace(&mut self.standby, true)),
            Order::Active => Ok(std::mem::replace(&mut self.standby, false)),
        }
    }

    /// What leads from these orders to others, those that take something back first.
    pub fn towards(&self, to: &Orders) -> Vec<Order> {
        let back = self.out.difference(&to.out).cloned().map(Order::PutBack);
        let out = to.out.difference(&self.out).cloned().map(Order::TakeOut);
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
    fn the_way_from_one_state_to_another_leads_there() {
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
                    2 => Order::PutBack(id),
                    _ => Order::TakeOut(id),
                };
                orders.take(&order).expect("few are out");
            }
            orders
        };
        for _ in 0..500 {
            let (mut from, to) = (draw(), draw());
            let way = from.towards(&to);
            for order in &way {
                assert_eq!(from.take(order), Ok(true), "{order:?} changes nothing");
            }
            assert_eq!(from, to, "{way:?}");
        }
    }

    #[test]
    fn no_more_are_out_than_may_be_and_a_repeat_is_not_one_more() {
        let mut orders = Orders::default();
        for n in 0..MOST_OUT {
            assert_eq!(orders.take(&Order::TakeOut(format!("s-{n}"))), Ok(true));
        }
        assert!(orders.take(&Order::TakeOut("one-more".to_owned())).is_err());
        assert_eq!(orders.take(&Order::TakeOut("s-7".to_owned())), Ok(false));
        assert_eq!(orders.take(&Order::PutBack("s-7".to_owned())), Ok(true));
        assert_eq!(orders.take(&Order::TakeOut("one-more".to_owned())), Ok(true));
    }
}
