use super::*;

fn by(who: &str) -> Given {
    Given { who: who.to_owned(), ..Given::default() }
}

fn until(who: &str, until: Micros) -> Given {
    Given { until: Some(until), ..by(who) }
}

fn out(node: &str, pool: Option<&str>) -> Order {
    Order::Out { node: node.to_owned(), pool: pool.map(str::to_owned) }
}

fn node(node: &str, pool: Option<&str>) -> On {
    out(node, pool).on()
}

const POOLS: [&str; 3] = ["p", "q", "r"];

fn outs(book: &Book) -> Vec<(String, String)> {
    book.effect(POOLS.into_iter()).out.into_iter().collect()
}

/// The same by reading all that ever was said, latest last.
#[derive(Default)]
struct Naive {
    /// On what, with which bound, from when to when.
    said: Vec<(On, Option<Bound>, Micros, Option<Micros>)>,
}

impl Naive {
    fn holds(&self, on: &On, now: Micros) -> Option<Option<Bound>> {
        let last = self.said.iter().rev().find(|(of, ..)| of == on)?;
        (last.2 <= now && last.3.is_none_or(|until| now < until)).then_some(last.1)
    }

    fn effect(&self, now: Micros) -> Effect {
        let mut effect = Effect { standby: self.holds(&On::Instance, now).is_some(), ..Effect::default() };
        for pool in POOLS {
            for n in ["a", "b"] {
                if [None, Some(pool)].into_iter().any(|of| self.holds(&node(n, of), now).is_some()) {
                    effect.out.insert((pool.to_owned(), n.to_owned()));
                }
            }
            if let Some(Some(bound)) = self.holds(&On::Pool(pool.to_owned()), now) {
                effect.bounds.insert(pool.to_owned(), bound);
            }
        }
        effect
    }
}

#[test]
fn what_holds_is_what_was_said_last_through_ends_restarts_and_steps() {
    let seed = std::env::var("SEED").ok().and_then(|s| s.parse().ok()).unwrap_or_else(|| fastrand::u64(..));
    println!("SEED={seed}");
    let mut rng = fastrand::Rng::with_seed(seed);
    for _ in 0..300 {
        let (mut book, mut naive, mut now) = (Book::default(), Naive::default(), 1_000);
        // What the daemon would have carried out, by steps alone.
        let mut carried = Effect::default();
        for _ in 0..60 {
            now += rng.u64(0..20);
            let pool = rng.choice([None, Some("p"), Some("q"), Some("r")]).flatten();
            let name = if rng.bool() { "a" } else { "b" };
            let end = rng.bool().then(|| now + rng.u64(1..80));
            let given = Given { until: end, ..by("x") };
            let ends = |naive: &mut Naive, on: On| naive.said.push((on, None, Micros::MAX, None));
            match rng.u32(0..8) {
                0..=2 => {
                    book.give(now, out(name, pool), &given).expect("it is taken");
                    naive.said.push((node(name, pool), None, now, end));
                }
                3 => {
                    let on = node(name, pool);
                    let wider = pool.is_some() && naive.holds(&node(name, None), now).is_some();
                    assert_eq!(book.take_back(now, &on, &by("y")).is_err(), wider);
                    match pool {
                        None => [None, Some("p"), Some("q"), Some("r")]
                            .into_iter()
                            .for_each(|of| ends(&mut naive, node(name, of))),
                        Some(_) if !wider => ends(&mut naive, on),
                        Some(_) => {}
                    }
                }
                4 => {
                    let bound = Bound { open: Some(rng.u64(0..9)), rate: None };
                    let pool = pool.unwrap_or("p").to_owned();
                    naive.said.push((On::Pool(pool.clone()), Some(bound), now, end));
                    let order = Order::Limit { pool, open: bound.open, rate: None };
                    book.give(now, order, &given).expect("it is taken");
                }
                5 => {
                    naive.said.push((On::Instance, None, now, end));
                    book.give(now, Order::Standby, &given).expect("it is taken");
                }
                6 => {
                    book.take_back(now, &On::Instance, &by("y")).expect("nothing is wider");
                    ends(&mut naive, On::Instance);
                }
                _ => {
                    // A process after this one, which knows what is written and nothing else.
                    let text = serde_json::to_string(&book.written()).expect("JSON");
                    book = Book::read(serde_json::from_str(&text).expect("a book"), now).0;
                }
            }
            book.pass(now);
            let effect = book.effect(POOLS.into_iter());
            assert_eq!(effect, naive.effect(now), "at {now}: {book:?}");
            for step in carried.towards(&effect) {
                match step {
                    Step::Out(pool, node) => assert!(carried.out.insert((pool, node))),
                    Step::Back(pool, node) => assert!(carried.out.remove(&(pool, node))),
                    Step::Standby(on) => assert_ne!(std::mem::replace(&mut carried.standby, on), on),
                    Step::Bound(pool, Some(bound)) => _ = carried.bounds.insert(pool, bound),
                    Step::Bound(pool, None) => assert!(carried.bounds.remove(&pool).is_some()),
                }
            }
            assert_eq!(carried, effect);
            let next = book.standing().filter_map(|order| order.until).min();
            assert!(book.due() == next && next.is_none_or(|at| at > now));
        }
    }
}

#[test]
fn what_makes_no_sense_is_refused_and_changes_nothing() {
    let limit = |open, rate| Order::Limit { pool: "p".to_owned(), open, rate };
    let long = "x".repeat(MOST_NAME + 1);
    let cases = [
        (out("", None), by("a"), "node: found 0 bytes, expected 1 to 256 bytes"),
        (out(&long, None), by("a"), "node: found 257 bytes"),
        (out("n", Some("")), by("a"), "pool: found 0 bytes"),
        (out("n", None), by(&long), "who: found 257 bytes"),
        (
            out("n", None),
            Given { why: Some("x".repeat(MOST_WHY + 1)), ..by("a") },
            "why: found 1025 bytes, expected at most 1024",
        ),
        (out("n", None), until("a", 100), "until: found a time that has passed"),
        (limit(None, None), by("a"), "limit: found none for p"),
        (limit(None, Some(f64::NAN)), by("a"), "rate: found NaN"),
        (limit(Some(3), Some(-1.0)), by("a"), "rate: found -1"),
    ];
    let mut book = Book::default();
    book.give(100, Order::Standby, &by("a")).expect("it is taken");
    let before = book.clone();
    for (order, given, why) in cases {
        let refused = book.give(100, order, &given).expect_err(why);
        assert!(refused.to_string().contains(why), "{refused}");
        assert_eq!(book, before, "{why}");
    }
}

#[test]
fn of_two_operators_the_second_is_told_what_the_first_changed() {
    let mut book = Book::default();
    book.give(1, out("n", None), &by("anna")).expect("it is taken");
    let seen = Some(book.revision());
    // Both have looked; one takes it back, the other would order it out for longer.
    book.take_back(2, &node("n", None), &Given { revision: seen, ..by("budi") }).expect("it is the latest");
    let late = Given { revision: seen, ..by("anna") };
    let refused = book.give(3, out("n", None), &late).expect_err("it has gone on");
    assert_eq!(
        refused.to_string(),
        "found revision 1, expected 2: since then order 0 of anna was taken back by budi"
    );
    assert_eq!(outs(&book), []);
    // Without a revision the later one counts, and whoever replaces is told whom.
    let (first, none) = book.give(4, out("n", None), &by("anna")).expect("it is taken");
    let (second, replaced) = book.give(5, out("n", None), &until("budi", 9)).expect("it is taken");
    assert_eq!((none, replaced.map(|order| (order.id, order.who))), (None, Some((first, "anna".to_owned()))));
    let ends: Vec<&End> = book.past().map(|past| &past.end).collect();
    assert_eq!(ends, [&End::Back("budi".to_owned()), &End::Replaced(second)]);
}

#[test]
fn a_node_out_in_all_pools_is_not_put_back_into_one_in_passing() {
    let mut book = Book::default();
    book.give(1, out("n", None), &by("anna")).expect("it is taken");
    book.give(1, out("n", Some("q")), &until("budi", 50)).expect("it is taken");
    let refused = book.take_back(2, &node("n", Some("q")), &by("budi")).expect_err("all pools");
    assert!(refused.to_string().contains("out in all pools by order 0 of anna"), "{refused}");
    assert_eq!(book.take_back(3, &node("n", None), &by("budi")).map(|ended| ended.len()), Ok(2));
    assert_eq!(outs(&book), []);
    assert_eq!(book.take_back(3, &node("n", None), &by("budi")), Ok(Vec::new()), "nothing is left");
}

#[test]
fn ends_pass_while_no_process_runs_and_a_clock_that_goes_back_makes_no_order_longer() {
    let mut book = Book::default();
    let hour = 3_600_000_000;
    let start = 1_000 * hour;
    book.give(start, out("short", Some("p")), &until("a", start + hour)).expect("it is taken");
    book.give(start, out("long", Some("p")), &until("a", start + 3 * hour)).expect("it is taken");
    book.give(start, out("ever", Some("p")), &by("a")).expect("it is taken");
    let (later, over) = Book::read(book.written(), start + 2 * hour);
    assert_eq!(over.iter().map(|order| order.order.on()).collect::<Vec<_>>(), [node("short", Some("p"))]);
    assert!(later.past().all(|past| past.end == End::Over) && outs(&later).len() == 2);
    // Back by ten hours: they last as long as they were given for, from now, and no longer.
    let now = start - 10 * hour;
    let (mut back, over) = Book::read(book.written(), now);
    assert!(over.is_empty());
    assert_eq!(back.due(), Some(now + hour));
    assert_eq!((back.pass(now + hour).len(), back.pass(now + 3 * hour).len(), outs(&back).len()), (1, 1, 1));
    // Within a process a time that goes back ends nothing late.
    let mut book = Book::default();
    book.give(100, Order::Standby, &until("a", 200)).expect("it is taken");
    book.pass(300);
    assert!(book.give(50, out("n", None), &until("a", 250)).is_err(), "it is 300");
}

#[test]
fn neither_what_stands_nor_what_is_past_grows_without_bound() {
    let mut book = Book::default();
    for n in 0..MOST_STANDING {
        book.give(1, out(&format!("n{n}"), None), &by("a")).expect("there is room");
    }
    assert_eq!(book.give(1, Order::Standby, &by("a")), Err(Refused::Full));
    // A repeat takes the place of the one before.
    for _ in 0..2 * MOST_PAST {
        book.give(1, out("n7", None), &by("a")).expect("it has a place");
    }
    assert_eq!((book.standing().count(), book.past().count()), (MOST_STANDING, MOST_PAST));
    let read = Book::read(book.written(), 1).0;
    assert_eq!((read.standing().count(), read.revision()), (MOST_STANDING, book.revision()));
}
