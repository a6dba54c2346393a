//! Carries out operators' orders, and meets the process before and the one after.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};

use finchshift::Micros;
use serde::{Deserialize, Serialize};
use sloeline_events::emit;
use sloeline_membership::platform::List;
use sloeline_operations::client_policy::Lifecycle;
use sloeline_operations::handover::{
    Handover, HandoverSocket, PeerConnection, PeerMessage, PeerSender, SocketId, is_held, read_leniently,
};
use sloeline_operations::order_call::Call;
use sloeline_operations::order_file::OrderFile;
use sloeline_operations::order_http::OrderHandler;
use sloeline_operations::orders::{Order, Orders};
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
    #[serde(default, deserialize_with = "read_leniently")]
    pub returned: Vec<(String, Option<Micros>, Micros)>,
    /// What was learned.
    #[serde(default, deserialize_with = "read_leniently")]
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

/// Most processes on one side that are counted. Guards what is divided by their number.
const MOST_CROWD: u32 = 8;

/// A neighbour in the row of processes: the one before or the one after.
#[derive(Default)]
struct Neighbour {
    sender: Option<PeerSender>,
    /// Attempts that are out on its side, by zone.
    out: Vec<(String, f64)>,
    /// How many processes there are on its side.
    crowd: u32,
}

/// Which of the two.
#[derive(Clone, Copy, PartialEq)]
enum Side {
    Before,
    After,
}

impl Side {
    fn other(self) -> Side {
        match self {
            Side::Before => Side::After,
            Side::After => Side::Before,
        }
    }
}

/// The sums of two lists by name.
fn added(a: Vec<(String, f64)>, b: &[(String, f64)]) -> Vec<(String, f64)> {
    let mut sums: BTreeMap<String, f64> = a.into_iter().collect();
    for (name, n) in b {
        *sums.entry(name.clone()).or_default() += n;
    }
    sums.into_iter().collect()
}

/// The hands of the operators in a process.
pub struct Operator {
    service: Rc<Service>,
    orders: RefCell<Orders>,
    keep: Option<OrderFile>,
    lifecycle: RefCell<Lifecycle>,
    turned: Notify,
    /// The listener, for a process that is to follow.
    listener: RefCell<Option<TcpListener>>,
    /// The processes before and after.
    row: RefCell<[Neighbour; 2]>,
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
        keep: Option<OrderFile>,
        listener: TcpListener,
        follows: bool,
    ) -> Rc<Operator> {
        Rc::new(Operator {
            service,
            orders: RefCell::default(),
            keep,
            lifecycle: RefCell::default(),
            turned: Notify::new(),
            listener: RefCell::new(Some(listener)),
            row: RefCell::default(),
            serving: Cell::default(),
            follows,
            stopping: Cell::default(),
        })
    }

    /// The process takes clients from now on.
    pub fn serving(&self) {
        self.serving.set(true);
        if self.follows {
            self.say(Side::Before, PeerMessage::Serving);
        }
    }

    /// The order to stop.
    pub fn stop(&self) {
        self.stopping.set(true);
        self.turn(Lifecycle::stop);
    }

    /// Nothing is accepted any more: the address must not stay open by the second descriptor.
    pub fn let_go(&self) {
        self.listener.take();
    }

    /// Makes the orders that another process holds its own.
    pub fn adopt(&self, orders: &Orders) {
        let way = self.orders.borrow().changes_to(orders);
        for order in way {
            match &order {
                Order::EnterMaintenance(id) => self.service.engine().replicate_maintenance(id),
                Order::ExitMaintenance(id) => _ = self.service.engine().exit_maintenance(id),
                Order::Standby => self.turn(|p| p.set_standby(Instant::now(), true)),
                Order::Active => self.turn(|p| p.set_standby(Instant::now(), false)),
            }
            emit!(ORDER_TAKEN_OVER, order = %order; "sloeline: taken over from the other process: {order}");
        }
        orders.clone_into(&mut self.orders.borrow_mut());
    }

    fn turn(&self, change: impl FnOnce(&mut Lifecycle)) {
        change(&mut self.lifecycle.borrow_mut());
        self.turned.notify_one();
        self.service.callers().set_client_policy(self.lifecycle.borrow().client_policy(Instant::now()));
    }

    /// Meets clients as orders have it, also when time alone changes that; never returns.
    pub async fn pose(self: Rc<Self>) {
        loop {
            let now = Instant::now();
            self.service.callers().set_client_policy(self.lifecycle.borrow().client_policy(now));
            let next = self.lifecycle.borrow().next_change(now);
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
        let changed = after.apply(order)?;
        let engine = self.service.engine();
        let known = match order {
            Order::EnterMaintenance(id) => engine.enter_maintenance(id),
            Order::ExitMaintenance(id) => engine.exit_maintenance(id) || changed,
            Order::Standby | Order::Active => true,
        };
        if !known {
            return Err("no upstream with this identity was ever listed".to_owned());
        }
        match order {
            Order::Standby => self.turn(|p| p.set_standby(Instant::now(), true)),
            Order::Active => self.turn(|p| p.set_standby(Instant::now(), false)),
            Order::EnterMaintenance(_) | Order::ExitMaintenance(_) => {}
        }
        if changed {
            emit!(ORDER_GIVEN, who = %"a call", thing = %order; "sloeline: ordered: {order}");
            if let Some(Err(why)) = self.keep.as_ref().map(|keep| keep.write(&after)) {
                // It holds in this process all the same, and passes over the link.
                emit!(ORDERS_NOT_SAVED, why = %why; "sloeline: orders would be lost with this process: {why}");
            }
            for side in [Side::Before, Side::After] {
                self.say(side, PeerMessage::Orders(after.clone()));
            }
            *self.orders.borrow_mut() = after;
        }
        Ok(if changed { "done" } else { "so it is" }.to_owned())
    }

    fn say(&self, side: Side, note: PeerMessage) {
        if let Some(sender) = &self.row.borrow()[side as usize].sender {
            sender.send(note);
        }
    }

    /// Meets the other processes of this balancer: the one before, over the line that it gave, and each that is to
    /// follow, also while the one before is still there. Never returns.
    pub async fn meet(self: Rc<Self>, place: PathBuf, before: Option<PeerConnection>) {
        let before = async {
            if let Some(line) = before {
                self.talk(line, Side::Before).await;
                emit!(PEER_PROCESS_GONE, which = %"before"; "sloeline: the process before has gone");
            }
        };
        tokio::join!(before, self.guests(&place));
    }

    async fn guests(&self, place: &Path) {
        let mut mine = None;
        loop {
            // The place is the newest's: where another holds it, that came later and is the one to be followed.
            let other = mine.is_some() && SocketId::of(place).is_some_and(|there| Some(there) != mine);
            if other && is_held(place).await {
                return emit!(LINK_HANDED_OVER; "link: a later process is met from now on");
            }
            match self.next_guest(place, &mut mine).await {
                Ok(line) => {
                    emit!(PEER_PROCESS_CONNECTED; "sloeline: another process has come");
                    self.talk(line, Side::After).await;
                    emit!(PEER_PROCESS_GONE, which = %"after"; "sloeline: the other process has gone");
                }
                Err(why) => {
                    emit!(LINK_FAILED, why = %why; "link: {why}");
                    sleep(PAUSE).await;
                }
            }
        }
    }

    async fn next_guest(&self, place: &Path, mine: &mut Option<SocketId>) -> Result<PeerConnection, String> {
        let seat = HandoverSocket::bind(place)?;
        *mine = SocketId::of(place);
        let guest = seat.next().await.map_err(|e| e.to_string())?;
        let listener = self.listener.borrow().as_ref().map(TcpListener::try_clone);
        let listener = listener.ok_or("nothing to hand over: this process is stopping")?;
        let listener = listener.map_err(|e| e.to_string())?;
        let (discovery, generation) = self.service.discovery();
        let engine = self.service.engine();
        let list = engine.current_list().map(|listed| Handed {
            discovery,
            list: List::whole(generation, listed),
            returned: engine.unconfirmed_restarts(),
            learned: self.service.learned(),
        });
        let hello = Handover { orders: self.orders.borrow().clone(), list };
        guest.hand_over(&listener, &hello).await
    }

    /// What is out in this process and on one side of it.
    fn out_with(&self, side: Side) -> Vec<(String, f64)> {
        added(self.service.engine().in_flight(), &self.row.borrow()[side as usize].out)
    }

    /// Those of a side have changed: what this process may hold, and what the other side is told.
    fn row_changed(&self) {
        let crowds = [Side::Before, Side::After].map(|side| self.row.borrow()[side as usize].crowd);
        self.service.share(1 + (crowds[0] + crowds[1]) as usize);
        for side in [Side::Before, Side::After] {
            self.say(side, PeerMessage::ProcessCount(1 + crowds[side.other() as usize]));
        }
        self.heard();
    }

    /// Counts what all others have out beside this process's own.
    fn heard(&self) {
        let others = {
            let row = self.row.borrow();
            added(row[0].out.clone(), &row[1].out)
        };
        self.service.engine().set_sibling_in_flight(&others);
    }

    /// Shares this balancer with the processes on one side until the nearest has gone.
    async fn talk(&self, mut line: PeerConnection, side: Side) {
        let neighbour = Neighbour { sender: Some(line.sender()), out: Vec::new(), crowd: 1 };
        self.row.borrow_mut()[side as usize] = neighbour;
        self.row_changed();
        if side == Side::Before && self.follows && self.serving.get() {
            line.sender().send(PeerMessage::Serving);
        }
        let (mut tell, mut told) = (interval(TELL), Vec::new());
        loop {
            let note = tokio::select! {
                note = line.next() => note,
                _ = tell.tick() => {
                    let now = self.out_with(side.other());
                    if now != told {
                        line.sender().send(PeerMessage::InFlight(now.clone()));
                        told = now;
                    }
                    continue;
                }
            };
            let Some(note) = note else { break };
            match note {
                PeerMessage::InFlight(others) => {
                    self.row.borrow_mut()[side as usize].out = others;
                    self.heard();
                }
                PeerMessage::ProcessCount(n) => {
                    let n = n.clamp(1, MOST_CROWD);
                    // Told only where it is news: two that tell each other would not end.
                    if std::mem::replace(&mut self.row.borrow_mut()[side as usize].crowd, n) != n {
                        self.row_changed();
                    }
                }
                // From now on it has the listener's queue for itself.
                PeerMessage::Serving if side == Side::Before => {}
                PeerMessage::Serving => self.turn(|p| p.set_successor(true)),
                PeerMessage::Orders(orders) => {
                    self.adopt(&orders);
                    self.say(side.other(), PeerMessage::Orders(orders));
                }
            }
        }
        self.row.borrow_mut()[side as usize] = Neighbour::default();
        self.row_changed();
        if side == Side::After {
            self.turn(|p| p.set_successor(false));
        }
    }
}

impl OrderHandler for Operator {
    fn call(&self, call: Call) -> Result<String, String> {
        match call {
            Call::Status if self.stopping.get() => Err("stopping".to_owned()),
            Call::Status if !self.serving.get() || !self.service.engine().has_list() => {
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
