//! Which number a class has in a pool's module, from one configuration to the next.
//!
//! A request keeps the class it came with: a definition that open requests have is never changed, the new one gets
//! another number and begins with what the old one learned. Numbers that nobody uses are given again.

use finchshift::{Class, ClassId};

/// A numbered class.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassSlot {
    /// Its name in the configuration.
    pub name: String,
    /// Its definition.
    pub class: Class,
}

/// Numbers for new configurations.
#[derive(Debug, PartialEq)]
pub struct Assignment {
    /// All slots, those of classes that are no more among them.
    pub slots: Vec<ClassSlot>,
    /// For each slot, the old one whose latencies it begins with.
    pub inherited: Vec<Option<ClassId>>,
    /// For each wanted class, its slot.
    pub class_ids: Vec<ClassId>,
}

/// Gives each wanted class a slot; `in_use` tells whether a request of an old slot is open.
pub fn assign(old: &[ClassSlot], wanted: &[ClassSlot], in_use: impl Fn(ClassId) -> bool) -> Assignment {
    let mut slots = old.to_vec();
    let mut learned: Vec<Option<ClassId>> = (0..old.len()).map(Some).collect();
    let mut taken = vec![false; old.len()];
    let mut numbers: Vec<Option<ClassId>> = vec![None; wanted.len()];
    let named = |name: &str| old.iter().position(|slot| slot.name == name);
    // As it was; then under its name with another definition; then any that is free.
    for (want, number) in wanted.iter().zip(&mut numbers) {
        *number = (0..old.len()).find(|&at| !taken[at] && old[at] == *want);
        number.iter().for_each(|&at| taken[at] = true);
    }
    for by_name in [true, false] {
        for (want, number) in wanted.iter().zip(&mut numbers).filter(|(_, n)| n.is_none()) {
            let fits = |at: &usize| !taken[*at] && !in_use(*at) && (!by_name || old[*at].name == want.name);
            let Some(at) = (0..old.len()).find(fits) else { continue };
            (taken[at], *number) = (true, Some(at));
            (slots[at], learned[at]) = (want.clone(), named(&want.name));
        }
    }
    let numbers = wanted.iter().zip(numbers).map(|(want, number)| {
        number.unwrap_or_else(|| {
            slots.push(want.clone());
            learned.push(named(&want.name));
            taken.push(true);
            slots.len() - 1
        })
    });
    let numbers = numbers.collect();
    while slots.len() > 1 && !taken[slots.len() - 1] && !in_use(slots.len() - 1) {
        slots.pop();
        learned.pop();
    }
    Assignment { slots, inherited: learned, class_ids: numbers }
}

#[cfg(test)]
mod tests {
    use super::*;
    use finchshift::Effect;

    fn slot(name: &str, effect: Effect, deadline: u64) -> ClassSlot {
        let class = Class {
            effect,
            latency_target: 1,
            target_per_work: 0.0,
            deadline,
            value: 1.0,
            late_value_ratio: 0.0,
            stream: false,
        };
        ClassSlot { name: name.to_owned(), class }
    }

    const SAFE: Effect = Effect::Safe;

    #[test]
    fn what_stays_keeps_its_number_whatever_the_order() {
        let (a, b, c) = (slot("a", SAFE, 1), slot("b", SAFE, 1), slot("c", SAFE, 1));
        let got = assign(&[a.clone(), b.clone()], &[c.clone(), b.clone(), a.clone()], |_| true);
        assert_eq!((got.class_ids, got.inherited), (vec![2, 1, 0], vec![Some(0), Some(1), None]));
        assert_eq!(got.slots, [a, b, c]);
    }

    #[test]
    fn a_class_with_open_requests_is_never_changed_under_them() {
        let (old, new) = (slot("pay", SAFE, 1), slot("pay", Effect::Unsafe, 1));
        let got = assign(std::slice::from_ref(&old), std::slice::from_ref(&new), |at| at == 0);
        assert_eq!(got.slots, [old.clone(), new.clone()]);
        // It begins with what the old one learned.
        assert_eq!((got.class_ids, got.inherited), (vec![1], vec![Some(0), Some(0)]));
        // And with none open the number is used again.
        let got = assign(&[old], std::slice::from_ref(&new), |_| false);
        assert_eq!((got.slots, got.class_ids, got.inherited), (vec![new], vec![0], vec![Some(0)]));
    }

    #[test]
    fn slots_do_not_pile_up() {
        let mut slots = vec![slot("a", SAFE, 0)];
        for round in 1..1000 {
            // The class that was there last still has a request open each time.
            let last = slots.len() - 1;
            let got = assign(&slots, &[slot("a", SAFE, round)], |at| at == last);
            assert!(got.slots.len() <= 2, "{}", got.slots.len());
            assert_eq!(got.slots[got.class_ids[0]].class.deadline, round);
            slots = got.slots;
        }
    }
}
