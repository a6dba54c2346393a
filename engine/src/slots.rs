//! Assigns class ids in a pool's decision module across configuration changes.
//!
//! A request keeps the class definition it arrived with. A definition that open requests use is never changed: the
//! new definition of the class gets another id and inherits the learned latencies of the old one. Unused ids are
//! reused.

use finchshift::{Class, ClassId};

/// A class definition. Its index in the list of slots is its class id.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassSlot {
    /// The name of the class in the configuration.
    pub name: String,
    /// The definition of the class.
    pub class: Class,
}

/// The slots and class ids for a new configuration.
#[derive(Debug, PartialEq)]
pub struct Assignment {
    /// All slots, including those of removed classes.
    pub slots: Vec<ClassSlot>,
    /// For each slot, the old class id whose learned latencies it inherits.
    pub inherited: Vec<Option<ClassId>>,
    /// For each wanted class, its class id.
    pub class_ids: Vec<ClassId>,
}

/// Assigns a slot to each wanted class. `in_use` returns whether a request with an old class id is open.
pub fn assign(old: &[ClassSlot], wanted: &[ClassSlot], in_use: impl Fn(ClassId) -> bool) -> Assignment {
    let mut slots = old.to_vec();
    let mut inherited: Vec<Option<ClassId>> = (0..old.len()).map(Some).collect();
    let mut taken = vec![false; old.len()];
    let mut class_ids: Vec<Option<ClassId>> = vec![None; wanted.len()];
    let old_id = |name: &str| old.iter().position(|slot| slot.name == name);
    // Preference: an identical slot, then a free slot of the same name, then any free slot.
    for (want, class_id) in wanted.iter().zip(&mut class_ids) {
        *class_id = (0..old.len()).find(|&at| !taken[at] && old[at] == *want);
        class_id.iter().for_each(|&at| taken[at] = true);
    }
    for by_name in [true, false] {
        for (want, class_id) in wanted.iter().zip(&mut class_ids).filter(|(_, n)| n.is_none()) {
            let fits = |at: &usize| !taken[*at] && !in_use(*at) && (!by_name || old[*at].name == want.name);
            let Some(at) = (0..old.len()).find(fits) else { continue };
            (taken[at], *class_id) = (true, Some(at));
            (slots[at], inherited[at]) = (want.clone(), old_id(&want.name));
        }
    }
    let class_ids = wanted.iter().zip(class_ids).map(|(want, class_id)| {
        class_id.unwrap_or_else(|| {
            slots.push(want.clone());
            inherited.push(old_id(&want.name));
            taken.push(true);
            slots.len() - 1
        })
    });
    let class_ids = class_ids.collect();
    while slots.len() > 1 && !taken[slots.len() - 1] && !in_use(slots.len() - 1) {
        slots.pop();
        inherited.pop();
    }
    Assignment { slots, inherited, class_ids }
}

#[cfg(test)]
mod tests {
    use super::*;
    use finchshift::Effect;

    /// A slot whose class differs only in effect and deadline.
    fn slot(name: &str, effect: Effect, deadline: u64) -> ClassSlot {
        let class = Class {
            effect,
            max_runs: u32::MAX,
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
    fn unchanged_classes_keep_their_ids_in_any_order() {
        let (a, b, c) = (slot("a", SAFE, 1), slot("b", SAFE, 1), slot("c", SAFE, 1));
        let got = assign(&[a.clone(), b.clone()], &[c.clone(), b.clone(), a.clone()], |_| true);
        assert_eq!((got.class_ids, got.inherited), (vec![2, 1, 0], vec![Some(0), Some(1), None]));
        assert_eq!(got.slots, [a, b, c]);
    }

    #[test]
    fn a_class_in_use_is_not_redefined() {
        let (old, new) = (slot("pay", SAFE, 1), slot("pay", Effect::Unsafe, 1));
        let got = assign(std::slice::from_ref(&old), std::slice::from_ref(&new), |at| at == 0);
        assert_eq!(got.slots, [old.clone(), new.clone()]);
        // The new slot inherits what the old one learned.
        assert_eq!((got.class_ids, got.inherited), (vec![1], vec![Some(0), Some(0)]));
        // Without open requests the class id is reused.
        let got = assign(&[old], std::slice::from_ref(&new), |_| false);
        assert_eq!((got.slots, got.class_ids, got.inherited), (vec![new], vec![0], vec![Some(0)]));
    }

    #[test]
    fn repeated_changes_do_not_accumulate_slots() {
        let mut slots = vec![slot("a", SAFE, 0)];
        for round in 1..1000 {
            // A request of the most recent definition is still open at each change.
            let last = slots.len() - 1;
            let got = assign(&slots, &[slot("a", SAFE, round)], |at| at == last);
            assert!(got.slots.len() <= 2, "{}", got.slots.len());
            assert_eq!(got.slots[got.class_ids[0]].class.deadline, round);
            slots = got.slots;
        }
    }
}
