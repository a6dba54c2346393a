//! Operators' orders, carried out: what the book comes to is held against what was carried out before, after every change
//! and every reload.

use std::cell::RefCell;
use std::fs::File;
use std::path::Path;
use std::rc::Rc;
use std::sync::{Arc, Mutex};

use finchshift::Micros;
use serde_json::{Value, json};
use sloeline_events::emit;
use sloeline_membership::announce::DesiredState;
use sloeline_operations::client_policy::Lifecycle;
use sloeline_operations::command::{OrderReason, ReplySender};
use sloeline_operations::order_book::{
    ActiveOrder, EffectiveOrders, EndedOrder, Order, OrderBook, OrderChange, OrderDetails, OrderTarget,
    PoolLimit,
};
use sloeline_operations::order_store::OrderStore;
use sloeline_work::schedule::{Job, Priority};
use tokio::task::spawn_local;
use tokio::time::Instant;

use super::{Daemon, time, unix};

/// Longest time that an order may be given for, in seconds. Guards the arithmetic.
const LONGEST: f64 = 10.0 * 365.0 * 86_400.0;

/// The file of orders, and how far it has come.
struct Keeper {
    store: OrderStore,
    /// Held for as long as this process runs; none where another one has it.
    lock: Option<File>,
    /// The revision that stands there.
    written: Option<u64>,
}

/// The orders of a daemon.
pub(super) struct Orders {
    book: OrderBook,
    carried: EffectiveOrders,
    lifecycle: Lifecycle,
    keeper: Option<Arc<Mutex<Keeper>>>,
    /// Nodes whose order has ended while no process ran: they return as soon as they are listed.
    returning: Vec<(Option<String>, String)>,
    /// When this process began, in Unix time and by a clock that never goes back.
    began: (Micros, Instant),
}

impl Orders {
    /// As they stand in a file, if there is one.
    pub(super) fn open(path: Option<&Path>) -> Result<Orders, String> {
        let began = (unix(), Instant::now());
        let mut orders = Orders {
            book: OrderBook::default(),
            carried: EffectiveOrders::default(),
            lifecycle: Lifecycle::default(),
            keeper: None,
            returning: Vec::new(),
            began,
        };
        let Some(path) = path else { return Ok(orders) };
        let store = OrderStore::new(path.to_owned());
        let found =
            store.read().map_err(|why| format!("orders: {why}: move it away to start without orders"))?;
        if let Some(why) = &found.corruption {
            emit!(ORDERS_CORRUPT, why = %why; "sloeline: orders: {why}: those before it hold");
        }
        let revision = found.orders.revision;
        let (book, over) = OrderBook::restore(found.orders, began.0);
        for order in &over {
            let (id, who) = (order.id, &order.who);
            emit!(ORDER_EXPIRED, id = %id, who = %who; "sloeline: order {id} of {who} came to its end while nothing ran");
        }
        for order in book.standing() {
            let (id, who) = (order.id, &order.who);
            emit!(ORDER_RESTORED, id = %id, who = %who; "sloeline: order {id} of {who} stands");
        }
        orders.returning = over
            .into_iter()
            .filter_map(|order| match order.order {
                Order::Out { node, pool } => Some((pool, node)),
                _ => None,
            })
            .collect();
        orders.book = book;
        let lock = lock(path);
        if let Err(why) = &lock {
            emit!(ORDERS_NOT_SAVED, why = %why; "sloeline: orders are obeyed, and not kept: {why}");
        }
        let keeper = Keeper { store, lock: lock.ok(), written: Some(revision) };
        orders.keeper = Some(Arc::new(Mutex::new(keeper)));
        Ok(orders)
    }

    /// The present time in Unix time, as this process counts it: a clock that is set ends no order early or late.
    fn now(&self) -> Micros {
        self.began.0 + self.began.1.elapsed().as_micros() as Micros
    }

    /// When something happens by itself.
    pub(super) fn due(&self) -> Option<Instant> {
        let ends = self.book.next_expiry().map(|at| self.began.1 + time(at.saturating_sub(self.began.0)));
        let steps = self.lifecycle.next_change(Instant::now().into_std()).map(Instant::from_std);
        ends.into_iter().chain(steps).min()
    }

    /// The pools that are no more, or are others under the same name, have been told nothing.
    pub(super) fn forget(&mut self, pool: &str) {
        self.carried.out.retain(|(of, _)| of != pool);
        self.carried.bounds.remove(pool);
    }

    /// How many stand.
    pub(super) fn standing(&self) -> usize {
        self.book.standing().count()
    }

    pub(super) fn told(&self) -> Value {
        let of = |order: &ActiveOrder| serde_json::to_value(order).unwrap_or_default();
        let past = |past: &EndedOrder| {
            let mut told = serde_json::to_value(past).unwrap_or_default();
            if let (Some(told), Ok(end)) = (told.as_object_mut(), serde_json::to_value(&past.end)) {
                told.insert("end".to_owned(), end);
            }
            told
        };
        json!({
            "revision": self.book.revision(),
            "standing": self.book.standing().map(of).collect::<Vec<_>>(),
            "past": self.book.past().map(past).collect::<Vec<_>>(),
        })
    }
}

/// Makes this process the one that writes beside a path.
fn lock(path: &Path) -> Result<File, String> {
    let mut name = path.as_os_str().to_owned();
    name.push(".lock");
    let named = |why: String| format!("{}: {why}", Path::new(&name).display());
    let file = File::options().create(true).truncate(false).write(true).open(&name);
    let file = file.map_err(|e| named(e.to_string()))?;
    // A crash frees it.
    rustix::fs::flock(&file, rustix::fs::FlockOperation::NonBlockingLockExclusive)
        .map_err(|_| named("another process has it".to_owned()))?;
    Ok(file)
}

impl Keeper {
    fn write(&mut self, book: &OrderBook) -> Result<(), String> {
        if self.lock.is_none() {
            return Err("another process keeps this file".to_owned());
        }
        // Another change was written while this one waited: this one is in it.
        if self.written.is_some_and(|written| written >= book.revision()) {
            return Ok(());
        }
        self.store.write(&book.to_stored())?;
        self.written = Some(book.revision());
        Ok(())
    }
}

impl Daemon {
    /// Carries out what the book comes to now.
    pub(super) fn carry_out(&self) {
        let mut orders = self.orders.borrow_mut();
        let mut to = orders.book.effective(self.pools.keys().map(String::as_str));
        to.out.extend(self.kept_out().into_iter().filter(|(pool, _)| self.pools.contains_key(pool)));
        for step in orders.carried.changes_to(&to) {
            match step {
                OrderChange::Out(pool, node) => self.pools[&pool].pool.engine.replicate_maintenance(&node),
                OrderChange::Back(pool, node) => _ = self.pools[&pool].pool.engine.exit_maintenance(&node),
                OrderChange::Limit(pool, bound) => {
                    let pool = &self.pools[&pool].pool;
                    let PoolLimit { open, rate } = bound.unwrap_or_default();
                    pool.operator_limit.set(pool.engine.now(), open, rate);
                }
                OrderChange::Standby(on) => {
                    orders.lifecycle.set_standby(Instant::now().into_std(), on);
                    // Readers of the registry send their callers elsewhere too.
                    if let Some((_, announcement)) = &self.announced {
                        announcement.set_desired(if on {
                            DesiredState::Draining
                        } else {
                            DesiredState::Serving
                        });
                    }
                }
            }
        }
        orders.carried = to;
        let client_policy = orders.lifecycle.client_policy(Instant::now().into_std());
        drop(orders);
        self.listeners.values().for_each(|heard| heard.callers.set_client_policy(client_policy));
    }

    /// Nodes whose order has ended while nothing ran return when they are listed, as ones that have just started.
    pub(super) fn let_return(&self) {
        let returning = std::mem::take(&mut self.orders.borrow_mut().returning);
        for (only, node) in returning {
            for (name, running) in &self.pools {
                let key = (name.clone(), node.clone());
                let out = self.orders.borrow().carried.out.contains(&key);
                if out || only.as_ref().is_some_and(|only| only != name) {
                    continue;
                }
                let (engine, listed) = (running.pool.engine.clone(), running.listed());
                engine.replicate_maintenance(&node);
                let (orders, node) = (Rc::clone(&self.orders), node.clone());
                spawn_local(async move {
                    listed.await;
                    // Ordered out again meanwhile?
                    if !orders.borrow().carried.out.contains(&key) {
                        engine.exit_maintenance(&node);
                    }
                });
            }
        }
    }

    /// Ends what has come to its end.
    pub(super) fn pass(&self) {
        let over = {
            let mut orders = self.orders.borrow_mut();
            let now = orders.now();
            orders.book.expire(now)
        };
        for order in &over {
            let (id, who) = (order.id, &order.who);
            emit!(ORDER_EXPIRED, id = %id, who = %who; "sloeline: order {id} of {who} came to its end");
        }
        self.carry_out();
        if !over.is_empty() {
            self.keep(|kept| {
                if let Err(why) = kept {
                    emit!(ORDERS_NOT_SAVED, why = %why; "sloeline: orders are not kept: {why}");
                }
            });
        }
    }

    /// Writes the book down beside the requests, and says how that went. Whoever waits for a rule goes first.
    fn keep(&self, then: impl FnOnce(Result<(), String>) + 'static) {
        let orders = self.orders.borrow();
        let Some(keeper) = orders.keeper.clone() else {
            return then(Err("there is no [control] orders file".to_owned()));
        };
        let (book, work) = (orders.book.clone(), self.work.clone());
        spawn_local(async move {
            // Without a place it is written all the same.
            let turn = work.acquire_turn(Job::new("orders", 0, Priority::Critical)).await;
            drop(turn);
            let write = move || keeper.lock().map_err(|e| e.to_string())?.write(&book);
            then(tokio::task::spawn_blocking(write).await.unwrap_or_else(|e| Err(e.to_string())));
        });
    }

    /// Answers when it is written down; that it could not be is told, and the order holds all the same.
    fn kept(&self, to: ReplySender, mut told: Value) {
        self.keep(move |kept| {
            told["kept"] = match kept {
                Ok(()) => json!(true),
                Err(why) => {
                    emit!(ORDERS_NOT_SAVED, why = %why; "sloeline: orders are not kept: {why}");
                    json!(format!("no: {why}"))
                }
            };
            to.end(Ok(told));
        });
    }

    fn given(&self, who: String, because: OrderReason) -> Result<OrderDetails, String> {
        let OrderReason { why, for_s, revision } = because;
        let until = match for_s {
            None => None,
            Some(span) if span > 0.0 && span <= LONGEST => {
                Some(self.orders.borrow().now() + (span * 1e6) as Micros)
            }
            Some(span) => {
                return Err(format!("for_s: found {span}, expected more than 0 and at most {LONGEST}"));
            }
        };
        Ok(OrderDetails { who, why, until, revision })
    }

    /// Gives an order; what is to be told of it.
    pub(super) fn give(&self, order: Order, who: String, because: OrderReason) -> Result<Value, String> {
        let pools = match &order {
            Order::Out { node, pool } => self.meets(node, pool.as_deref())?,
            Order::Limit { pool, .. } => self.only(Some(pool))?.into_iter().cloned().collect(),
            Order::Standby => Vec::new(),
        };
        let given = self.given(who, because)?;
        let told = {
            let mut orders = self.orders.borrow_mut();
            let now = orders.now();
            let (id, replaced) = orders.book.add(now, order.clone(), &given).map_err(|e| e.to_string())?;
            let mut told = serde_json::to_value(&order).map_err(|e| e.to_string())?;
            told["id"] = json!(id);
            told["revision"] = json!(orders.book.revision());
            told["pools"] = json!(pools);
            told["until"] = json!(given.until);
            told["replaced"] = replaced
                .map_or(Value::Null, |order| json!({"id": order.id, "who": order.who, "why": order.why}));
            told
        };
        self.carry_out();
        let why = given.why.as_deref().unwrap_or("no reason given");
        let (who, thing) = (&given.who, said(&order, &pools));
        emit!(ORDER_GIVEN, who = %who, thing = %thing; "sloeline: ordered by {who}: {thing} ({why})");
        Ok(told)
    }

    /// Takes back what stands on something; what is to be told of it.
    pub(super) fn revoke(
        &self,
        on: &OrderTarget,
        who: String,
        because: OrderReason,
    ) -> Result<Value, String> {
        let (thing, pools) = match on {
            OrderTarget::Node(node, pool) => (node.clone(), self.meets(node, pool.as_deref())?),
            OrderTarget::Pool(pool) => (pool.clone(), self.only(Some(pool))?.into_iter().cloned().collect()),
            OrderTarget::Instance => ("standby".to_owned(), Vec::new()),
        };
        let given = self.given(who, because)?;
        let (ended, revision) = {
            let mut orders = self.orders.borrow_mut();
            let now = orders.now();
            let ended = orders.book.revoke(now, on, &given).map_err(|e| e.to_string())?;
            (ended, orders.book.revision())
        };
        self.carry_out();
        let ids: Vec<u64> = ended.iter().map(|order| order.id).collect();
        let why = given.why.as_deref().unwrap_or("no reason given");
        let who = &given.who;
        emit!(ORDER_WITHDRAWN, who = %who, thing = %thing; "sloeline: taken back by {who}: {thing}, orders {ids:?} ({why})");
        let name = if matches!(on, OrderTarget::Node(..)) { "node" } else { "on" };
        Ok(json!({name: thing, "pools": pools, "ended": ids, "revision": revision}))
    }

    /// The pools, of one or of all, whose lists have named a node.
    fn meets(&self, node: &str, pool: Option<&str>) -> Result<Vec<String>, String> {
        let in_pools =
            self.only(pool)?.into_iter().filter(|name| self.pools[*name].pool.engine.ever_listed(node));
        let in_pools: Vec<String> = in_pools.cloned().collect();
        if in_pools.is_empty() {
            return Err(format!("found node {node:?}, expected the name of one that is listed"));
        }
        Ok(in_pools)
    }

    /// Gives or takes back an order, and answers when it is kept.
    pub(super) fn ordered(&self, told: Result<Value, String>, to: ReplySender) {
        match told {
            Ok(told) => self.kept(to, told),
            Err(why) => to.end(Err(why)),
        }
    }

    /// Orders a node out, and goes on telling what it carries until that is nothing.
    pub(super) fn drain(&self, node: String, told: Result<Value, String>, to: ReplySender) {
        let told = match told {
            Ok(told) => told,
            Err(why) => return to.end(Err(why)),
        };
        let pools: Vec<String> = serde_json::from_value(told["pools"].clone()).unwrap_or_default();
        let engines = pools.into_iter().filter_map(|name| {
            let engine = self.pools.get(&name)?.pool.engine.clone();
            Some((name, engine))
        });
        let engines: Vec<_> = engines.collect();
        let (answer, mut waiting) = (to.clone(), Some(told));
        self.keep(move |kept| {
            spawn_local(async move {
                let mut told = waiting.take().unwrap_or_default();
                told["kept"] = kept.map_or_else(|why| json!(format!("no: {why}")), |()| json!(true));
                let empty = async {
                    for (pool, engine) in engines {
                        let tell = |carries| _ = to.more(json!({"pool": pool, "carries": carries}));
                        engine.watch_in_flight(&node, tell).await;
                    }
                };
                // Whoever asked may leave; the order stands.
                tokio::select! {
                    () = empty => answer.end(Ok(told)),
                    () = answer.left() => {}
                }
            });
        });
    }
}

fn said(order: &Order, pools: &[String]) -> String {
    match order {
        Order::Out { node, .. } => format!("{node} out in {}", pools.join(", ")),
        Order::Standby => "standby".to_owned(),
        Order::Limit { pool, open, rate } => {
            let open = open.map(|n| format!(" to {n} open"));
            let rate = rate.map(|r| format!(" to {r} a second"));
            format!("{pool} limited{}{}", open.unwrap_or_default(), rate.unwrap_or_default())
        }
    }
}

/// The orders of a daemon, which outlive a change of it.
pub(super) type Shared = Rc<RefCell<Orders>>;
