//! Machines, links and disks as discrete events, with faults drawn by a seed.

pub mod disk;
pub mod doctored;
pub mod id_log;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use disk::Disk;
pub use doctored::Doctored;
use fastrand::Rng;
use id_log::{IdLog, READ, decoded, update};
use sloeline_chain_replication::{
    DurableState, Message, Node, Output, Peer, Replica, Settings, View, VoterSet, Write,
};

/// A machine that is back, or new, counts after so many milliseconds.
pub const SYNC_TIME: u64 = 4_000;
/// Most machines of a world, those that are gone included.
const MOST_MACHINES: usize = 12;
const SPAN: u64 = 14_000;
const CALM: u64 = 10_000;

pub struct Machine {
    pub node: Option<Node<IdLog>>,
    pub disk: Disk,
    frozen_until: u64,
    up_at: u64,
    /// It counts as lost until then.
    lost_until: u64,
    /// It never comes back.
    pub gone: bool,
    /// It ends once it is not needed, at the latest then; and stays down for so long, or for good.
    leaves: Option<(u64, Option<u64>)>,
    /// Its steady clock: where it began, and how fast it goes, in thousandths.
    clock: (u64, u64),
    /// How far the clock was set back, where leases go by one that can be.
    set_back: u64,
}

/// How a history went.
pub struct Told {
    /// What does not agree with the specification.
    pub wrong: Option<String>,
    /// Updates that were acknowledged.
    pub acknowledged: u64,
    /// Views that were accepted.
    pub views: u64,
    /// Sets of voters that were accepted.
    pub sets: u64,
    /// Times at which a machine relied on its lease.
    pub leases: u64,
}

/// Messages on their way, in order: when each arrives.
type Way = VecDeque<(u64, Message)>;

/// What was asked of a machine and is not answered.
struct Asked {
    machine: usize,
    request: u64,
    id: u64,
    /// For a read: all that had been acknowledged when it was asked.
    before: Vec<u64>,
    until: u64,
}

/// All of it.
pub struct World {
    pub rng: Rng,
    doctored: Doctored,
    pub now: u64,
    pub machines: Vec<Machine>,
    founders: usize,
    tolerated: usize,
    links: BTreeMap<(usize, usize), Way>,
    cut: BTreeSet<(usize, usize)>,
    heal_at: u64,
    asked: Vec<Asked>,
    next: u64,
    pub acknowledged: Vec<u64>,
    sent: BTreeSet<u64>,
    views: BTreeSet<u64>,
    sets: BTreeSet<u64>,
    leases: u64,
    pub wrong: Option<String>,
    /// Connections break now and then.
    pub breaks: bool,
    /// What happens is printed.
    pub trace: bool,
}

fn address(machine: usize) -> Peer {
    SocketAddr::from(([10, 0, 0, machine as u8 + 1], 1))
}

impl World {
    /// So many machines at the first start; the first three of them are founders.
    pub fn new(machines: usize, seed: u64, doctored: Doctored) -> World {
        let founders = machines.min(3);
        let mut world = World {
            rng: Rng::with_seed(seed),
            doctored,
            now: 0,
            machines: Vec::new(),
            founders,
            tolerated: machines.saturating_sub(1) / 2,
            links: BTreeMap::new(),
            cut: BTreeSet::new(),
            heal_at: 0,
            asked: Vec::new(),
            next: 1,
            acknowledged: Vec::new(),
            sent: BTreeSet::new(),
            views: BTreeSet::new(),
            sets: BTreeSet::new(),
            leases: 0,
            wrong: None,
            breaks: true,
            trace: false,
        };
        let peers: Vec<Peer> = (0..founders).map(address).collect();
        for machine in 0..machines {
            let durable = match machine < founders {
                true => DurableState::founder(VoterSet::founders(&peers)),
                false => DurableState::learner(machine as u64 + 1),
            };
            world.add(durable, 0);
        }
        world
    }

    fn add(&mut self, durable: DurableState, up_at: u64) -> usize {
        // A sync that is not waited for is missed only while it lasts.
        let slow = if self.doctored == Doctored::NoSync { 60 } else { 3 };
        let clock = (self.rng.u64(..1 << 30), self.rng.u64(970..1030));
        self.machines.push(Machine {
            node: None,
            disk: Disk::new(durable, slow),
            frozen_until: 0,
            up_at,
            lost_until: 0,
            gone: false,
            leaves: None,
            clock,
            set_back: 0,
        });
        self.machines.len() - 1
    }

    /// An empty machine at an address of its own.
    pub fn add_learner(&mut self, up_at: u64) -> usize {
        let disk = self.rng.u64(1_000..);
        self.add(DurableState::learner(disk), up_at)
    }

    fn settings(&self, me: usize) -> Settings {
        // Any three of those that are there, as an operator's list may have them.
        let there: Vec<usize> =
            (0..self.machines.len()).filter(|at| *at != me && !self.machines[*at].gone).collect();
        let seeds = there.iter().take(3).map(|at| address(*at)).collect();
        let target_voters = self.founders.max(2 * self.tolerated + 1);
        let copies = self.tolerated + 1;
        Settings {
            me: address(me),
            seeds,
            min_copies: copies,
            target_voters,
            heartbeat_interval_ms: 100,
            silence_timeout_ms: 700,
            retry_interval_ms: 200,
        }
    }

    /// A machine's steady clock.
    fn clock(&self, at: usize) -> u64 {
        let (began, rate) = self.machines[at].clock;
        began + self.now * rate / 1000 - self.machines[at].set_back.min(began)
    }

    /// Something does not agree with the specification.
    pub fn fail(&mut self, why: String) {
        let now = self.now;
        self.wrong.get_or_insert_with(|| format!("at {now} ms: {why}"));
    }

    /// Plays the history to its end: faults, then calm, then a read.
    pub fn play(&mut self) -> Told {
        let faults = self.draw_faults();
        let mut faults = faults.into_iter().peekable();
        while self.now < SPAN && self.wrong.is_none() {
            while let Some((_, fault)) = faults.next_if(|(at, _)| *at <= self.now) {
                self.strike(fault);
            }
            if self.rng.u8(..) < 16 {
                let read = self.rng.u8(..) < 64;
                self.ask_any(read);
            }
            self.step();
        }
        self.calm();
        self.told()
    }

    /// Everything heals; a read must come through and see all that was acknowledged.
    pub fn calm(&mut self) {
        self.calm_for(CALM);
    }

    /// The same, in so many milliseconds.
    pub fn calm_for(&mut self, span: u64) {
        self.heal_at = 0;
        self.cut.clear();
        for machine in &mut self.machines {
            machine.frozen_until = 0;
            machine.up_at = machine.up_at.min(self.now);
            machine.disk.slow = 3;
        }
        let calm = self.now + span;
        let mut read = false;
        while self.now < calm && self.wrong.is_none() {
            if self.now + 2_500 > calm && !read {
                read = true;
                self.asked.clear();
                self.ask_any(true);
            }
            self.step();
        }
        if self.wrong.is_none() && !self.asked.is_empty() {
            let machines: Vec<String> = (0..self.machines.len()).map(|at| self.describe(at)).collect();
            self.fail(format!("no read comes through though all is calm: {}", machines.join("")));
        }
        if self.wrong.is_none() && !self.all_are_in() {
            let machines: Vec<String> = (0..self.machines.len()).map(|at| self.describe(at)).collect();
            self.fail(format!("a voter that is there is not of the chain: {}", machines.join("")));
        }
    }

    /// Every voter that is there works in the newest view, and learners stand by if there are any.
    fn all_are_in(&self) -> bool {
        let Some(view) = self.newest_view() else { return false };
        let me =
            |at: usize, machine: &Machine| Replica { peer: address(at), disk: machine.disk.durable.disk };
        let is_in = |(at, machine): (usize, &Machine)| {
            let votes = view.voters.contains(&me(at, machine));
            let works = machine.node.as_ref().is_some_and(|node| {
                node.active() && node.view().is_some_and(|mine| mine.number == view.number)
            });
            machine.gone || !votes || works
        };
        self.machines.iter().enumerate().all(is_in)
    }

    /// What a failure says of a machine.
    fn describe(&self, at: usize) -> String {
        let machine = &self.machines[at];
        let Some(node) = &machine.node else { return format!("\n  {at}: down, gone {}", machine.gone) };
        let view = node.view().map(|view| {
            let names = |replicas: &[Replica]| {
                replicas
                    .iter()
                    .map(|r| format!("{}/{}", r.peer.ip(), r.disk % 1000))
                    .collect::<Vec<_>>()
                    .join(" ")
            };
            let outgoing = view.outgoing.as_ref().map(|o| names(&o.replicas));
            let (chain, voters) = (names(&view.chain), names(&view.voters.replicas));
            format!(
                "{} chain {chain}, voters {} {voters}, outgoing {outgoing:?}",
                view.number.round, view.voters.number
            )
        });
        let known = node.known_view().map(|view| view.number.round);
        let heard: Vec<String> = node.heartbeats().iter().map(|h| h.replica.peer.ip().to_string()).collect();
        let (durable, position) = (node.durable(), node.position());
        format!(
            "\n  {at}: disk {}, view {view:?}, known {known:?}, established {}, active {}, promised {}, at {} of {}, committed {}, hears {heard:?}",
            durable.disk % 1000,
            node.established(),
            node.active(),
            durable.promised.round,
            position.sequence,
            position.view.round,
            node.committed()
        )
    }

    pub fn told(&mut self) -> Told {
        Told {
            wrong: self.wrong.take(),
            acknowledged: self.acknowledged.len() as u64,
            views: self.views.len() as u64,
            sets: self.sets.len() as u64,
            leases: self.leases,
        }
    }

    /// When what strikes.
    fn draw_faults(&mut self) -> Vec<(u64, u8)> {
        let count = self.rng.usize(1..8);
        let mut faults: Vec<_> =
            (0..count).map(|_| (self.rng.u64(500..SPAN - 500), self.rng.u8(..18))).collect();
        faults.sort_unstable();
        faults
    }

    fn lost(&self) -> usize {
        self.machines.iter().filter(|m| m.lost_until > self.now).count()
    }

    /// The newest view that any disk has.
    pub fn newest_view(&self) -> Option<View> {
        let there = self.machines.iter().filter(|m| !m.gone);
        there.filter_map(|m| m.disk.durable.view.clone()).max_by_key(|view| view.number)
    }

    /// What may be lost at once: while the set still grows, no more than it can bear.
    fn tolerated_now(&self) -> usize {
        let voters = self.newest_view().map_or(1, |view| {
            let outgoing = view.outgoing.as_ref().map_or(usize::MAX, |o| o.replicas.len());
            view.voters.replicas.len().min(outgoing)
        });
        self.tolerated.min((voters - 1) / 2)
    }

    /// Voters whose disks are gone for good.
    fn voters_gone(&self) -> usize {
        let Some(view) = self.newest_view() else { return 0 };
        let gone = |replica: &&Replica| {
            let there = |(at, m): (usize, &Machine)| {
                address(at) == replica.peer && m.disk.durable.disk == replica.disk && !m.gone
            };
            !self.machines.iter().enumerate().any(there)
        };
        let count = |voters: &VoterSet| voters.replicas.iter().filter(gone).count();
        count(&view.voters).max(view.outgoing.as_ref().map_or(0, count))
    }

    fn say(&self, what: impl FnOnce() -> String) {
        if self.trace {
            println!("{:>6} {}", self.now, what());
        }
    }

    fn strike(&mut self, fault: u8) {
        // All at once, disks kept: whatever is tolerated.
        if fault == 9 {
            let power = self.rng.bool();
            for at in 0..self.machines.len() {
                let down = self.rng.u64(50..1_500);
                self.kill(at, power, down);
            }
            return;
        }
        if fault == 10 {
            // A spare, which stands by.
            if self.machines.len() < MOST_MACHINES {
                self.add_learner(self.now);
            }
            return;
        }
        if matches!(fault, 16 | 17) {
            // Cut in two in any way: nobody may be able to work, but nothing may go wrong.
            let side: Vec<usize> = (0..self.machines.len()).filter(|_| self.rng.bool()).collect();
            let span = self.rng.u64(200..4_000);
            self.cut_apart(&side, span);
            return;
        }
        if self.lost() >= self.tolerated_now() {
            return;
        }
        let there: Vec<usize> = (0..self.machines.len()).filter(|at| !self.machines[*at].gone).collect();
        let Some(&at) = self.rng.choice(&there) else { return };
        if self.machines[at].lost_until > self.now {
            return;
        }
        // A disk that was lost is one until its voter has been replaced.
        let for_good = matches!(fault, 2 | 3 | 11..);
        if for_good && self.doctored != Doctored::WipedVotes && self.voters_gone() >= self.tolerated_now() {
            return;
        }
        let span = self.rng.u64(200..4_000);
        // What comes next may come before this one has caught up.
        let after = if self.rng.bool() { SYNC_TIME } else { self.rng.u64(..600) };
        self.machines[at].lost_until = self.now + span + after;
        self.say(|| {
            format!("fault {fault} on {at} for {span}, counts as lost until {}", self.now + span + after)
        });
        match fault {
            0 | 1 => self.kill(at, fault == 0, span),
            2 | 3 => self.wipe(at, span),
            4 | 5 => self.machines[at].frozen_until = self.now + span,
            6 | 7 => self.cut_off(at, span),
            8 => self.machines[at].disk.slow = self.rng.u64(50..1_200),
            11 | 12 => self.replace(at, after),
            13 => {
                // It stays away until another has its place, and comes back with what it had.
                if self.machines.len() < MOST_MACHINES {
                    self.add_learner(self.now);
                }
                self.kill(at, true, 3_000 + span);
                self.machines[at].lost_until += 3_000;
            }
            _ => self.leave(at, span),
        }
    }

    /// It never comes back.
    pub fn lose_for_good(&mut self, at: usize) {
        self.kill(at, true, 0);
        self.machines[at].gone = true;
    }

    /// It is told to end and never comes back; its successor is there already.
    pub fn leave_for_good(&mut self, at: usize) {
        let clock = self.clock(at);
        self.machines[at].leaves = Some((self.now + 2_500, None));
        if let Some(node) = &mut self.machines[at].node {
            node.set_leaving(clock);
        }
    }

    /// It comes back after `span` with an empty disk.
    pub fn lose_disk(&mut self, at: usize, span: u64) {
        self.kill(at, true, span);
        let disk = self.rng.u64(1_000..);
        self.machines[at].disk.durable = DurableState::learner(disk);
        self.machines[at].disk.rows.clear();
    }

    /// The disk comes back empty, and others may lose power with it.
    fn wipe(&mut self, at: usize, span: u64) {
        self.kill(at, true, span);
        let disk = self.rng.u64(1_000..);
        let founders: Vec<Peer> = (0..self.founders).map(address).collect();
        let durable = match self.doctored == Doctored::WipedVotes && at < self.founders {
            true => DurableState::founder(VoterSet::founders(&founders)),
            false => DurableState::learner(disk),
        };
        self.machines[at].disk.durable = durable;
        self.machines[at].disk.rows.clear();
        // Others may lose power in the same moment.
        if self.rng.u8(..) < 128 {
            for other in (0..self.machines.len()).filter(|other| *other != at) {
                let down = self.rng.u64(50..1_500);
                self.kill(other, true, down);
            }
        }
    }

    fn cut_off(&mut self, at: usize, span: u64) {
        let one_way = self.rng.bool();
        for other in (0..self.machines.len()).filter(|other| *other != at) {
            self.cut.insert((at, other));
            if !one_way {
                self.cut.insert((other, at));
            }
        }
        self.heal_at = self.now + span;
    }

    /// These machines and the others hear nothing of each other.
    pub fn cut_apart(&mut self, side: &[usize], span: u64) {
        for at in 0..MOST_MACHINES {
            for other in (0..MOST_MACHINES).filter(|other| side.contains(&at) != side.contains(other)) {
                self.cut.insert((at, other));
            }
        }
        self.heal_at = self.now + span;
    }

    /// One is gone for good; an empty one comes at another address.
    pub fn replace(&mut self, at: usize, counts_after: u64) {
        if self.machines.len() >= MOST_MACHINES {
            return;
        }
        self.kill(at, true, 0);
        self.machines[at].gone = true;
        self.machines[at].lost_until = 0;
        let up_at = self.now + 1_000;
        let new = self.add_learner(up_at);
        self.machines[new].lost_until = up_at + counts_after;
    }

    /// One is told to end: with a successor that came before it is gone for good, without one it comes back.
    pub fn leave(&mut self, at: usize, span: u64) {
        let planned = self.rng.bool() && self.machines.len() < MOST_MACHINES;
        if planned {
            let new = self.add_learner(self.now);
            self.machines[new].lost_until = self.now + SYNC_TIME;
        }
        // Another loss may come once the successor has had its time.
        self.machines[at].lost_until = self.now + if planned { SYNC_TIME } else { span + SYNC_TIME };
        let latest = self.now + 2_500;
        self.machines[at].leaves = Some((latest, (!planned).then_some(span)));
        let clock = self.clock(at);
        if let Some(node) = &mut self.machines[at].node {
            node.set_leaving(clock);
        }
    }

    pub fn kill(&mut self, at: usize, power: bool, down: u64) {
        self.say(|| format!("{at} is killed, power {power}, for {down}"));
        let machine = &mut self.machines[at];
        if machine.gone {
            return;
        }
        machine.node = None;
        machine.leaves = None;
        machine.up_at = self.now + down;
        let written = machine.disk.writes.len();
        machine.disk.end(if power { self.rng.usize(..=written) } else { written });
        self.links.retain(|(from, to), _| *from != at && *to != at);
        self.asked.retain(|asked| asked.machine != at);
    }

    fn ask_any(&mut self, read: bool) {
        let up: Vec<usize> = (0..self.machines.len()).filter(|m| self.machines[*m].node.is_some()).collect();
        if let Some(&machine) = self.rng.choice(&up) {
            self.ask(machine, read);
        }
    }

    /// Asks a machine for an update or a read; tells the id.
    pub fn ask(&mut self, machine: usize, read: bool) -> u64 {
        let request = self.next;
        self.next += 1;
        let id = if read { READ } else { request };
        self.sent.insert(request);
        let before = if read { self.acknowledged.clone() } else { Vec::new() };
        self.asked.push(Asked { machine, request, id, before, until: self.now + 2_500 });
        let clock = self.clock(machine);
        if let Some(node) = &mut self.machines[machine].node {
            node.submit(clock, request, update(id));
        }
        self.carry_out(machine);
        request
    }

    /// A millisecond or a few pass.
    pub fn step(&mut self) {
        self.now += self.rng.u64(1..12);
        if self.heal_at <= self.now {
            self.cut.clear();
        }
        for at in 0..self.machines.len() {
            self.start_if_due(at);
            if self.machines[at].frozen_until <= self.now && !self.machines[at].gone {
                self.turn(at);
                self.end_if_left(at);
            }
        }
        let now = self.now;
        for late in self.asked.extract_if(.., |asked| asked.until <= now).collect::<Vec<_>>() {
            if let Some(node) = &mut self.machines[late.machine].node {
                node.stop_retrying(late.request);
            }
        }
    }

    fn start_if_due(&mut self, at: usize) {
        let machine = &self.machines[at];
        if machine.node.is_some() || machine.gone || machine.up_at > self.now {
            return;
        }
        let (durable, rows) = (machine.disk.durable.clone(), machine.disk.load());
        if durable.digest != rows.digest() {
            self.fail(format!("machine {at}: the rows on disk are not those of its durable state"));
        }
        let node = Node::new(self.settings(at), durable, rows, IdLog::default(), self.clock(at));
        self.machines[at].node = Some(node);
    }

    fn end_if_left(&mut self, at: usize) {
        let Some((latest, down)) = self.machines[at].leaves else { return };
        let needed = self.machines[at].node.as_ref().is_some_and(|node| node.is_in_newest_chain());
        if !needed || self.now >= latest {
            self.kill(at, false, down.unwrap_or(0));
            self.machines[at].gone = down.is_none();
        }
    }

    /// A machine does what has come up.
    fn turn(&mut self, at: usize) {
        if self.doctored == Doctored::SettableClock && self.rng.u16(..) < 24 {
            self.machines[at].set_back = self.rng.u64(..6_000);
        }
        let clock = self.clock(at);
        self.sync(at, clock);
        self.deliver(at, clock);
        if let Some(node) = &mut self.machines[at].node {
            node.tick(clock);
            if let Some(view) = node.view() {
                let new = self.views.insert(view.number.round);
                self.sets.insert(view.voters.number);
                if new {
                    let described = self.describe(at);
                    self.say(|| described);
                }
            }
        }
        self.carry_out(at);
    }

    /// One sync for all that waits.
    fn sync(&mut self, at: usize, clock: u64) {
        let now = self.now;
        let machine = &mut self.machines[at];
        if machine.disk.writes.front().is_none_or(|(due, _)| *due > now) {
            return;
        }
        let writes: Vec<Write> = machine.disk.writes.drain(..).map(|(_, write)| write).collect();
        writes.iter().for_each(|write| machine.disk.apply(write));
        if self.doctored != Doctored::NoSync
            && let (Some(node), Some(last)) = (&mut machine.node, writes.last())
        {
            node.write_synced(clock, last.token);
        }
    }

    fn deliver(&mut self, at: usize, clock: u64) {
        for from in 0..self.machines.len() {
            while let Some(message) = self.next_message(from, at) {
                if let Some(node) = &mut self.machines[at].node {
                    node.receive(clock, address(from), message);
                }
            }
        }
    }

    fn next_message(&mut self, from: usize, to: usize) -> Option<Message> {
        let now = self.now;
        let way = self.links.get_mut(&(from, to))?;
        let (due, _) = way.front()?;
        if *due > now {
            return None;
        }
        let (_, mut message) = way.pop_front()?;
        if self.cut.contains(&(from, to)) {
            return self.next_message(from, to);
        }
        let durable = &self.machines[to].disk.durable;
        let position = self.machines[to].node.as_ref().map_or(durable.position, |node| node.position());
        let me = Replica { peer: address(to), disk: durable.disk };
        let in_newest = self.newest_view().is_some_and(|view| view.knows(&me));
        if self.trace && !matches!(message, Message::Heartbeat(_)) {
            self.say(|| format!("{from} -> {to}: {message:?}"));
        }
        doctored::rewrite(self.doctored, &mut message, durable.view.as_ref(), position, in_newest);
        Some(message)
    }

    fn carry_out(&mut self, at: usize) {
        let now = self.now;
        let Some(node) = &mut self.machines[at].node else { return };
        for output in node.take_outputs() {
            match output {
                Output::Send { to, message } => self.post(at, to, message),
                Output::Write(write) => {
                    let clock = self.clock(at);
                    let machine = &mut self.machines[at];
                    if self.doctored == Doctored::NoSync
                        && let Some(node) = &mut machine.node
                    {
                        node.write_synced(clock, write.token);
                    }
                    let after = machine.disk.writes.back().map_or(now, |(due, _)| *due);
                    let due = after.max(now) + self.rng.u64(1..=machine.disk.slow);
                    machine.disk.writes.push_back((due, write));
                }
                Output::Result { request, result } => {
                    let found = self.asked.iter().position(|a| a.machine == at && a.request == request);
                    if let Some(asked) = found.map(|at| self.asked.swap_remove(at)) {
                        self.answered(&asked, &decoded(&result));
                    }
                }
            }
        }
    }

    fn post(&mut self, from: usize, to: Peer, message: Message) {
        let Some(to) = (0..self.machines.len()).find(|at| address(*at) == to) else { return };
        // A connection breaks now and then; what was on it is lost.
        if self.breaks && self.rng.u16(..) < 20 {
            self.links.remove(&(from, to));
            return;
        }
        let way = self.links.entry((from, to)).or_default();
        let after = way.back().map_or(0, |(due, _)| *due);
        way.push_back(((self.now + self.rng.u64(1..5)).max(after), message));
    }

    fn answered(&mut self, asked: &Asked, read: &[u64]) {
        self.say(|| format!("{} answered by {}: {read:?}", asked.id, asked.machine));
        if asked.id != READ {
            self.acknowledged.push(asked.id);
            self.check_leases(asked.id);
            return;
        }
        if let Some(id) = asked.before.iter().find(|id| !read.contains(id)) {
            self.fail(format!("a read lacks {id}, acknowledged before it was asked"));
        }
        if let Some(id) = read.iter().find(|id| !self.sent.contains(id)) {
            self.fail(format!("a read has {id}, which nobody sent"));
        }
    }

    /// Whoever takes itself for current holds what has just been acknowledged.
    fn check_leases(&mut self, id: u64) {
        for at in 0..self.machines.len() {
            let clock = self.clock(at);
            let Some(node) = &self.machines[at].node else { continue };
            if !node.holds_lease(clock) {
                continue;
            }
            self.leases += 1;
            if !node.state_machine().contains(id) {
                self.fail(format!("machine {at} takes itself for current and lacks {id}, just acknowledged"));
            }
        }
    }

    /// How many disks hold an update, synced.
    pub fn copies(&self, id: u64) -> usize {
        let holds = |machine: &&Machine| {
            !machine.gone && machine.disk.rows.values().any(|value| *value == update(id))
        };
        self.machines.iter().filter(holds).count()
    }
}
