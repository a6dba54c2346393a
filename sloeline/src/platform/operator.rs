//! Carries out operators' orders, and meets the process before and the one after.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

use finchshift::Micros;
use serde::{Deserialize, Serialize};
use sloeline_membership::platform::List;
use sloeline_operations::call::Call;
use sloeline_operations::control::Operated;
use sloeline_operations::keep::Keep;
use sloeline_operations::link::{Hello, Line, Mouth, Note, Seat, readable};
use sloeline_operations::orders::{Order, Orders};
use sloeline_operations::presence::Presence;
use tokio::sync::Notify;
use tokio::time::{interval, sleep, sleep_until};

use super::service::Service;

/// How often two processes tell each other what they have out: short beside a request, so that both together keep
/// to one window.
const TELL: Duration = Duration::from_millis(20);
/// Pause after the meeting place could not be taken, or a guest not be heard.
const PAUSE: Duration = Duration::from_millis(500);

/// What one process tells the next of its upstreams.
#[derive(Serialize, Deserialize)]
pub struct Handed {
    /// Whose versions the list has.
    pub discovery: SocketAddr,
    /// The list.
    pub list: List,
    /// Those put back whose start the list has not told, the start that it tells, and since when they count as started.
    #[serde(default, deserialize_with = "readable")]
    pub returned: Vec<(String, Option<Micros>, Micros)>,
    /// What was learned.
    #[serde(default, deserialize_with = "readable")]
    pub learned: Learned,
}

/// What the module has learned, by names. Nothing of it is as good as a start.
#[derive(Default, Serialize, Deserialize)]
pub struct Learned {
    /// Of each class.
    pub classes: BTreeMap<String, Vec<f64>>,
    /// Of all together.
    pub all: Vec<f64>,
    /// Of each zone.
    pub zones: Vec<(String, Vec<f64>)>,
}

/// The hands of the operators in a process.
pub struct Operator {
    service: Rc<Service>,
    orders: RefCell<Orders>,
    keep: Option<Keep>,
    presence: RefCell<Presence>,
    turned: Notify,
    /// The listener, for a process that is to follow.
    listener: RefCell<Option<TcpListener>>,
    /// The other process.
    other: RefCell<Option<Mouth>>,
    serving: Cell<bool>,
    /// It has the listener of the process before.
    follows: bool,
    stopping: Cell<bool>,
}

impl Operator {
    /// Nothing ordered; `listener` is a second descriptor of the one that serves, which may be that of the process
    /// before.
    pub fn new(
        service: Rc<Service>,
        keep: Option<Keep>,
        listener: TcpListener,
        follows: bool,
    ) -> Rc<Operator> {
        Rc::new(Operator {
            service,
            orders: RefCell::default(),
            keep,
            presence: RefCell::default(),
            turned: Notify::new(),
            listener: RefCell::new(Some(listener)),
            other: RefCell::default(),
            serving: Cell::default(),
            follows,
            stopping: Cell::default(),
        })
    }

    /// The process takes clients from now on.
    pub fn serving(&self) {
        self.serving.set(true);
        if let (true, Some(other)) = (self.follows, &*self.other.borrow()) {
            other.say(Note::Serving);
        }
    }

    /// The order to stop.
    pub fn stop(&self) {
        self.stopping.set(true);
        self.turn(Presence::stop);
    }

    /// Nothing is accepted any more: the address must not stay open by the second descriptor.
    pub fn let_go(&self) {
        self.listener.take();
    }

    /// Makes the orders that another process holds its own.
    pub fn adopt(&self, orders: &Orders) {
        let way = self.orders.borrow().towards(orders);
        for order in way {
            match &order {
                Order::TakeOut(id) => self.service.engine().order_out(id),
                Order::PutBack(id) => _ = self.service.engine().put_back(id),
                Order::Standby => self.turn(|p| p.standby(Instant::now(), true)),
                Order::Active => self.turn(|p| p.standby(Instant::now(), false)),
            }
            eprintln!("sloeline: taken over from the other process: {order:?}");
        }
        orders.clone_into(&mut self.orders.borrow_mut());
    }

    fn turn(&self, change: impl FnOnce(&mut Presence)) {
        change(&mut self.presence.borrow_mut());
        self.turned.notify_one();
        self.service.callers().pose(self.presence.borrow().posture(Instant::now()));
    }

    /// Meets clients as orders have it, also when time alone changes that; never returns.
    pub async fn pose(self: Rc<Self>) {
        loop {
            let now = Instant::now();
            self.service.callers().pose(self.presence.borrow().posture(now));
            let next = self.presence.borrow().next_change(now);
            match next {
                Some(at) => tokio::select! {
                    () = sleep_until(at.into()) => {}
                    () = self.turned.notified() => {}
                },
                None => self.turned.notified().await,
            }
        }
    }

    fn order(&self, order: &Order) -> Result<String, String> {
        let mut after = self.orders.borrow().clone();
        let changed = after.take(order)?;
        let engine = self.service.engine();
        let known = match order {
            Order::TakeOut(id) => engine.take_out(id),
            Order::PutBack(id) => engine.put_back(id) || changed,
            Order::Standby | Order::Active => true,
        };
        if !known {
            return Err("no upstream with this identity was ever listed".to_owned());
        }
        match order {
            Order::Standby => self.turn(|p| p.standby(Instant::now(), true)),
            Order::Active => self.turn(|p| p.standby(Instant::now(), false)),
            Order::TakeOut(_) | Order::PutBack(_) => {}
        }
        if changed {
            eprintln!("sloeline: ordered: {order:?}");
            if let Some(Err(why)) = self.keep.as_ref().map(|keep| keep.write(&after)) {
                // It holds in this process all the same, and passes over the link.
                eprintln!("sloeline: orders would be lost with this process: {why}");
            }
            if let Some(other) = &*self.other.borrow() {
                other.say(Note::Orders(after.clone()));
            }
            *self.orders.borrow_mut() = after;
        }
        Ok(if changed { "done" } else { "so it is" }.to_owned())
    }

    /// Meets the other processes of this balancer: first the one before, over the line that it gave, then each that is
    /// to follow. Never returns.
    pub async fn meet(self: Rc<Self>, place: PathBuf, before: Option<Line>) {
        if let Some(line) = before {
            self.talk(line, true).await;
            eprintln!("sloeline: the process before has gone");
        }
        loop {
            match self.next_guest(&place).await {
                Ok(line) => {
                    eprintln!("sloeline: another process has come");
                    self.talk(line, false).await;
                    eprintln!("sloeline: the other process has gone");
                }
                Err(why) => {
                    eprintln!("link: {why}");
                    sleep(PAUSE).await;
                }
            }
        }
    }

    async fn next_guest(&self, place: &std::path::Path) -> Result<Line, String> {
        let seat = Seat::take(place)?;
        let guest = seat.next().await.map_err(|e| e.to_string())?;
        let listener = self.listener.borrow().as_ref().map(TcpListener::try_clone);
        let listener = listener.ok_or("nothing to hand over: this process is stopping")?;
        let listener = listener.map_err(|e| e.to_string())?;
        let (discovery, generation) = self.service.discovery();
        let engine = self.service.engine();
        let list = engine.list_held().map(|listed| Handed {
            discovery,
            list: List::whole(generation, listed),
            returned: engine.returned(),
            learned: self.service.learned(),
        });
        let hello = Hello { orders: self.orders.borrow().clone(), list };
        guest.welcome(&listener, &hello).await
    }

    /// Shares this balancer with another process until that has gone.
    async fn talk(&self, mut line: Line, newer: bool) {
        self.service.halve(true);
        *self.other.borrow_mut() = Some(line.mouth());
        if newer && self.follows && self.serving.get() {
            line.mouth().say(Note::Serving);
        }
        let engine = self.service.engine();
        let (mut tell, mut told) = (interval(TELL), Vec::new());
        loop {
            let note = tokio::select! {
                note = line.next() => note,
                _ = tell.tick() => {
                    let now = engine.in_flight();
                    if now != told {
                        line.mouth().say(Note::InFlight(now.clone()));
                        told = now;
                    }
                    continue;
                }
            };
            let Some(note) = note else { break };
            match note {
                Note::InFlight(others) => engine.beside(&others),
                // From now on it has the listener's queue for itself.
                Note::Serving if newer => {}
                Note::Serving => self.turn(|p| p.succeeded(true)),
                Note::Orders(orders) => self.adopt(&orders),
            }
        }
        *self.other.borrow_mut() = None;
        engine.beside(&[]);
        self.service.halve(false);
        self.turn(|p| p.succeeded(false));
    }
}

impl Operated for Operator {
    fn call(&self, call: Call) -> Result<String, String> {
        match call {
            Call::Status if self.stopping.get() => Err("stopping".to_owned()),
            Call::Status if !self.serving.get() || !self.service.engine().listed() => {
                Err("not yet".to_owned())
            }
            Call::Status => {
                let standby = self.orders.borrow().standby;
                Ok(if standby { "standby" } else { "active" }.to_owned())
            }
            Call::Order(order) => self.order(&order),
        }
    }
}
