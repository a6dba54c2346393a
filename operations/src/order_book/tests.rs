use super::*;

fn by(who: &str) -> OrderDetails {
    OrderDetails { who: who.to_owned(), ..OrderDetails::default() }
}

fn until(who: &str, until: Micros) -> OrderDetails {
    OrderDetails { until: Some(until), ..by(who) }
}

fn out(node: &str, pool: Option<&str>) -> Order {
    Order::Out { node: node.to_owned(), pool: pool.map(str::to_owned) }
}

fn node(node: &str, pool: Option<&str>) -> OrderTarget {
    out(node, pool).target()
}

const POOLS: [&str; 3] = ["p", "q", "r"];

fn outs(book: &OrderBook) -> Vec<(String, String)> {
    book.effective(POOLS.into_iter()).out.into_iter().collect()
}

/// A reference model that stores all changes, latest last, and searches them.
#[derive(Default)]
struct ReferenceModel {
    /// Target, limits, start and expiry of each order.
    changes: Vec<(OrderTarget, Option<PoolLimit>, Micros, Option<Micros>)>,
}

impl ReferenceModel {
    fn in_force(&self, target: &OrderTarget, now: Micros) -> Option<Option<PoolLimit>> {
        let last = self.changes.iter().rev().find(|(of, ..)| of == target)?;
        (last.2 <= now && last.3.is_none_or(|until| now < until)).then_some(last.1)
    }

    fn effect(&self, now: Micros) -> EffectiveOrders {
        let mut effect = EffectiveOrders {
            standby: self.in_force(&OrderTarget::Instance, now).is_some(),
            ..EffectiveOrders::default()
        };
        for pool in POOLS {
            for n in ["a", "b"] {
                if [None, Some(pool)].into_iter().any(|of| self.in_force(&node(n, of), now).is_some()) {
                    effect.out.insert((pool.to_owned(), n.to_owned()));
                }
            }
            if let Some(Some(bound)) = self.in_force(&OrderTarget::Pool(pool.to_owned()), now) {
                effect.bounds.insert(pool.to_owned(), bound);
            }
        }
        effect
    }
}

#[test]
fn the_latest_order_is_in_force_through_expiries_restarts_and_changes() {
    let seed = std::env::var("SEED").ok().and_then(|s| s.parse().ok()).unwrap_or_else(|| fastrand::u64(..));
    println!("SEED={seed}");
    let mut rng = fastrand::Rng::with_seed(seed);
    for _ in 0..300 {
        let (mut book, mut model, mut now) = (OrderBook::default(), ReferenceModel::default(), 1_000);
        // The effect that a daemon reaches by applying the changes only.
        let mut carried = EffectiveOrders::default();
        for _ in 0..60 {
            now += rng.u64(0..20);
            let pool = rng.choice([None, Some("p"), Some("q"), Some("r")]).flatten();
            let name = if rng.bool() { "a" } else { "b" };
            let end = rng.bool().then(|| now + rng.u64(1..80));
            let given = OrderDetails { until: end, ..by("x") };
            let ends = |model: &mut ReferenceModel, on: OrderTarget| {
                model.changes.push((on, None, Micros::MAX, None))
            };
            match rng.u32(0..8) {
                0..=2 => {
                    book.add(now, out(name, pool), &given).expect("it is taken");
                    model.changes.push((node(name, pool), None, now, end));
                }
                3 => {
                    let on = node(name, pool);
                    let wider = pool.is_some() && model.in_force(&node(name, None), now).is_some();
                    assert_eq!(book.revoke(now, &on, &by("y")).is_err(), wider);
                    match pool {
                        None => [None, Some("p"), Some("q"), Some("r")]
                            .into_iter()
                            .for_each(|of| ends(&mut model, node(name, of))),
                        Some(_) if !wider => ends(&mut model, on),
                        Some(_) => {}
                    }
                }
                4 => {
                    let bound = PoolLimit { open: Some(rng.u64(0..9)), rate: None };
                    let pool = pool.unwrap_or("p").to_owned();
                    model.changes.push((OrderTarget::Pool(pool.clone()), Some(bound), now, end));
                    let order = Order::Limit { pool, open: bound.open, rate: None };
                    book.add(now, order, &given).expect("it is taken");
                }
                5 => {
                    model.changes.push((OrderTarget::Instance, None, now, end));
                    book.add(now, Order::Standby, &given).expect("it is taken");
                }
                6 => {
                    book.revoke(now, &OrderTarget::Instance, &by("y")).expect("nothing is wider");
                    ends(&mut model, OrderTarget::Instance);
                }
                _ => {
                    // A later process, which has only the stored form.
                    let text = serde_json::to_string(&book.to_stored()).expect("JSON");
                    book = OrderBook::restore(serde_json::from_str(&text).expect("a book"), now).0;
                }
            }
            book.expire(now);
            let effect = book.effective(POOLS.into_iter());
            assert_eq!(effect, model.effect(now), "at {now}: {book:?}");
            for step in carried.changes_to(&effect) {
                match step {
                    OrderChange::Out(pool, node) => assert!(carried.out.insert((pool, node))),
                    OrderChange::Back(pool, node) => assert!(carried.out.remove(&(pool, node))),
                    OrderChange::Standby(on) => assert_ne!(std::mem::replace(&mut carried.standby, on), on),
                    OrderChange::Limit(pool, Some(bound)) => _ = carried.bounds.insert(pool, bound),
                    OrderChange::Limit(pool, None) => assert!(carried.bounds.remove(&pool).is_some()),
                }
            }
            assert_eq!(carried, effect);
            let next = book.standing().filter_map(|order| order.until).min();
            assert!(book.next_expiry() == next && next.is_none_or(|at| at > now));
        }
    }
}

#[test]
fn invalid_orders_are_refused_and_change_nothing() {
    let limit = |open, rate| Order::Limit { pool: "p".to_owned(), open, rate };
    let long = "x".repeat(MAX_NAME_BYTES + 1);
    let cases = [
        (out("", None), by("a"), "node: found 0 bytes, expected 1 to 256 bytes"),
        (out(&long, None), by("a"), "node: found 257 bytes"),
        (out("n", Some("")), by("a"), "pool: found 0 bytes"),
        (out("n", None), by(&long), "who: found 257 bytes"),
        (
            out("n", None),
            OrderDetails { why: Some("x".repeat(MAX_REASON_BYTES + 1)), ..by("a") },
            "why: found 1025 bytes, expected at most 1024",
        ),
        (out("n", None), until("a", 100), "until: found a time that has passed"),
        (limit(None, None), by("a"), "limit: found none for p"),
        (limit(None, Some(f64::NAN)), by("a"), "rate: found NaN"),
        (limit(Some(3), Some(-1.0)), by("a"), "rate: found -1"),
    ];
    let mut book = OrderBook::default();
    book.add(100, Order::Standby, &by("a")).expect("it is taken");
    let before = book.clone();
    for (order, given, why) in cases {
        let refused = book.add(100, order, &given).expect_err(why);
        assert!(refused.to_string().contains(why), "{refused}");
        assert_eq!(book, before, "{why}");
    }
}

#[test]
fn the_second_of_two_operators_learns_what_the_first_changed() {
    let mut book = OrderBook::default();
    book.add(1, out("n", None), &by("anna")).expect("it is taken");
    let seen = Some(book.revision());
    // Both have seen the same revision; one revokes the order, the other wants to extend it.
    book.revoke(2, &node("n", None), &OrderDetails { revision: seen, ..by("budi") })
        .expect("it is the latest");
    let late = OrderDetails { revision: seen, ..by("anna") };
    let refused = book.add(3, out("n", None), &late).expect_err("it has gone on");
    assert_eq!(
        refused.to_string(),
        "found revision 1, expected 2: since then order 0 of anna was taken back by budi"
    );
    assert_eq!(outs(&book), []);
    // Without a revision the later order wins, and its author learns which order it replaces.
    let (first, none) = book.add(4, out("n", None), &by("anna")).expect("it is taken");
    let (second, replaced) = book.add(5, out("n", None), &until("budi", 9)).expect("it is taken");
    assert_eq!((none, replaced.map(|order| (order.id, order.who))), (None, Some((first, "anna".to_owned()))));
    let ends: Vec<&EndReason> = book.past().map(|past| &past.end).collect();
    assert_eq!(ends, [&EndReason::Revoked("budi".to_owned()), &EndReason::Replaced(second)]);
}

#[test]
fn an_order_for_all_pools_cannot_be_revoked_for_one_pool() {
    let mut book = OrderBook::default();
    book.add(1, out("n", None), &by("anna")).expect("it is taken");
    book.add(1, out("n", Some("q")), &until("budi", 50)).expect("it is taken");
    let refused = book.revoke(2, &node("n", Some("q")), &by("budi")).expect_err("all pools");
    assert!(refused.to_string().contains("out in all pools by order 0 of anna"), "{refused}");
    assert_eq!(book.revoke(3, &node("n", None), &by("budi")).map(|ended| ended.len()), Ok(2));
    assert_eq!(outs(&book), []);
    assert_eq!(book.revoke(3, &node("n", None), &by("budi")), Ok(Vec::new()), "nothing is left");
}

#[test]
fn orders_expire_while_no_process_runs_and_a_clock_set_back_extends_none() {
    let mut book = OrderBook::default();
    let hour = 3_600_000_000;
    let start = 1_000 * hour;
    book.add(start, out("short", Some("p")), &until("a", start + hour)).expect("it is taken");
    book.add(start, out("long", Some("p")), &until("a", start + 3 * hour)).expect("it is taken");
    book.add(start, out("ever", Some("p")), &by("a")).expect("it is taken");
    let (later, over) = OrderBook::restore(book.to_stored(), start + 2 * hour);
    assert_eq!(over.iter().map(|order| order.order.target()).collect::<Vec<_>>(), [node("short", Some("p"))]);
    assert!(later.past().all(|past| past.end == EndReason::Expired) && outs(&later).len() == 2);
    // The clock went back by ten hours: orders last for their original duration from now.
    let now = start - 10 * hour;
    let (mut back, over) = OrderBook::restore(book.to_stored(), now);
    assert!(over.is_empty());
    assert_eq!(back.next_expiry(), Some(now + hour));
    assert_eq!(
        (back.expire(now + hour).len(), back.expire(now + 3 * hour).len(), outs(&back).len()),
        (1, 1, 1)
    );
    // Within a process, a clock that goes back delays no expiry.
    let mut book = OrderBook::default();
    book.add(100, Order::Standby, &until("a", 200)).expect("it is taken");
    book.expire(300);
    assert!(book.add(50, out("n", None), &until("a", 250)).is_err(), "it is 300");
}

#[test]
fn orders_in_force_and_ended_orders_are_bounded() {
    let mut book = OrderBook::default();
    for n in 0..MAX_ACTIVE_ORDERS {
        book.add(1, out(&format!("n{n}"), None), &by("a")).expect("there is room");
    }
    assert_eq!(book.add(1, Order::Standby, &by("a")), Err(OrderError::TooManyOrders));
    // A repeated order replaces the earlier one.
    for _ in 0..2 * MAX_ENDED_ORDERS {
        book.add(1, out("n7", None), &by("a")).expect("it has a place");
    }
    assert_eq!((book.standing().count(), book.past().count()), (MAX_ACTIVE_ORDERS, MAX_ENDED_ORDERS));
    let read = OrderBook::restore(book.to_stored(), 1).0;
    assert_eq!((read.standing().count(), read.revision()), (MAX_ACTIVE_ORDERS, book.revision()));
}
