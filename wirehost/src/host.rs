//! Hosts the instances: one `Balancer` each, with its own table of ids.

use std::collections::{BTreeMap, HashMap};

use finchshift as fs;
use sloeline_settings::setup::{NameTable, Setup, balancer_settings, micros_to_ms, ms_to_micros, ring_hash};

use crate::wire::{self, Message, Reply};

/// A request whose number is still in use.
struct Open {
    name: String,
    out: u32,
    closed: bool,
}

struct Instance {
    balancer: fs::Balancer,
    classes: Vec<String>,
    tenants: Vec<String>,
    zones: NameTable,
    kinds: NameTable,
    servers: NameTable,
    numbers: HashMap<String, u64>,
    open: HashMap<u64, Open>,
    next: u64,
}

impl Instance {
    /// Forgets the request once it is closed and all its outcomes have come.
    fn settle(&mut self, id: u64) {
        if let Some(open) = self.open.get(&id)
            && open.closed
            && open.out == 0
        {
            self.numbers.remove(&open.name);
            self.open.remove(&id);
        }
    }

    fn close(&mut self, id: u64) {
        if let Some(open) = self.open.get_mut(&id) {
            open.closed = true;
        }
        self.settle(id);
    }
}

/// All instances of this process.
#[derive(Default)]
pub struct Host {
    now: Option<fs::Micros>,
    tables: BTreeMap<u64, Vec<wire::Entry>>,
    instances: BTreeMap<u64, Instance>,
    actions: Vec<fs::Action>,
}

fn outcome(d: wire::Disposition) -> fs::Outcome {
    match d {
        wire::Disposition::S => fs::Outcome::Ok,
        wire::Disposition::E => fs::Outcome::Error,
        wire::Disposition::F => fs::Outcome::Full,
        wire::Disposition::T => fs::Outcome::TimedOut,
        wire::Disposition::C => fs::Outcome::ConnectFailed,
        wire::Disposition::R => fs::Outcome::Reset,
        wire::Disposition::X => fs::Outcome::Cancelled,
        wire::Disposition::N => fs::Outcome::NotSent,
    }
}

fn load(l: wire::Load) -> fs::Load {
    fs::Load {
        in_flight: l.outstanding,
        queue: l.backlog,
        utilization: l.utilization,
        throughput: l.throughput,
        latency: l.recent_ms.map(ms_to_micros),
        errors: l.errors_per_s,
    }
}

impl Host {
    /// A batch has begun and not ended.
    pub fn in_batch(&self) -> bool {
        self.now.is_some()
    }

    /// Takes one message; tells whether the reply is complete.
    pub fn take(&mut self, message: Message<'_>, reply: &mut Vec<u8>) -> Result<bool, String> {
        if let Message::BeginBatch { now } = message {
            if self.now.is_some() {
                return Err("a batch begins inside a batch".to_owned());
            }
            self.now = Some(ms_to_micros(now));
            return Ok(false);
        }
        let now = self.now.ok_or("a message outside a batch")?;
        match message {
            Message::BeginBatch { .. } | Message::Peer { .. } => {}
            Message::Commit {} => {
                self.now = None;
                write(reply, &Reply::Yield {})?;
                return Ok(true);
            }
            Message::Table { set, items } => {
                self.tables.insert(set, items);
            }
            Message::PowerOn { balancer, seed, setup } => self.start(balancer, seed, &setup)?,
            Message::Teardown { balancer_id } => {
                self.instances.remove(&balancer_id);
            }
            Message::Fleet { balancer, form, set } => {
                let event = self.servers(balancer, form, set)?;
                self.tell(now, balancer, event, reply)?;
            }
            Message::JobIn { balancer_id, rid, owner, expected_ms, lane, time_left_ms, retry } => {
                let Some(instance) = self.instances.get_mut(&balancer_id) else { return Ok(false) };
                let Some(class) = instance.classes.iter().position(|c| *c == lane) else {
                    return Err(format!("unknown class {lane:?}"));
                };
                let tenant = match owner {
                    Some(wire::Owner::Name(name)) if !instance.tenants.is_empty() => {
                        let at = instance.tenants.iter().position(|t| *t == name);
                        Some(at.ok_or_else(|| format!("unknown tenant {name:?}"))?)
                    }
                    _ => None,
                };
                let id = instance.next;
                instance.next += 1;
                instance.numbers.insert(rid.clone().into_owned(), id);
                instance.open.insert(id, Open { name: rid.into_owned(), out: 0, closed: false });
                let (time_left, work) = (ms_to_micros(time_left_ms), expected_ms.map(ms_to_micros));
                let event = fs::Event::Request { id, class, time_left, tenant, work, retry };
                self.tell(now, balancer_id, event, reply)?;
            }
            Message::Echo { balancer_id, upstream, disposition, time_taken_ms, load: l } => {
                let Some(instance) = self.instances.get_mut(&balancer_id) else { return Ok(false) };
                let server = instance.servers.id_of(&upstream);
                let (outcome, latency, load) =
                    (outcome(disposition), ms_to_micros(time_taken_ms), l.map(load));
                self.tell(now, balancer_id, fs::Event::Probed { server, outcome, latency, load }, reply)?;
            }
            Message::AckFirst { balancer_id, rid, trial } => {
                if let Some(request) = self.request(balancer_id, &rid) {
                    self.tell(now, balancer_id, fs::Event::FirstByte { request, attempt: trial }, reply)?;
                }
            }
            Message::Resolved {
                balancer_id,
                rid,
                trial,
                upstream,
                disposition,
                time_taken_ms,
                closed,
                load: l,
            } => {
                let Some(request) = self.request(balancer_id, &rid) else { return Ok(false) };
                let Some(instance) = self.instances.get_mut(&balancer_id) else { return Ok(false) };
                let event = fs::Event::Outcome {
                    request,
                    attempt: trial,
                    server: instance.servers.id_of(&upstream),
                    outcome: outcome(disposition),
                    latency: ms_to_micros(time_taken_ms),
                    closed,
                    load: l.map(load),
                };
                if let Some(open) = instance.open.get_mut(&request) {
                    open.out = open.out.saturating_sub(1);
                    open.closed |= closed;
                }
                self.tell(now, balancer_id, event, reply)?;
                if let Some(instance) = self.instances.get_mut(&balancer_id) {
                    instance.settle(request);
                }
            }
            Message::Aborted { balancer_id, rid } => {
                if let Some(request) = self.request(balancer_id, &rid) {
                    self.tell(now, balancer_id, fs::Event::ClientGone { request }, reply)?;
                    if let Some(instance) = self.instances.get_mut(&balancer_id) {
                        instance.close(request);
                    }
                }
            }
            Message::Bell { balancer_id, ctx } => {
                self.tell(now, balancer_id, fs::Event::Timer { token: ctx }, reply)?;
            }
        }
        Ok(false)
    }

    fn request(&self, balancer: u64, rid: &str) -> Option<u64> {
        self.instances.get(&balancer)?.numbers.get(rid).copied()
    }

    fn start(&mut self, id: u64, seed: u64, setup: &Setup) -> Result<(), String> {
        let mut zones = NameTable::default();
        let settings = balancer_settings(setup, &mut zones)?;
        let instance = Instance {
            balancer: fs::Balancer::new(settings, seed).map_err(|e| e.to_string())?,
            classes: setup.classes.iter().map(|c| c.name.clone()).collect(),
            tenants: setup.tenants.iter().map(|r| r.name.clone()).collect(),
            zones,
            kinds: NameTable::default(),
            servers: NameTable::default(),
            numbers: HashMap::new(),
            open: HashMap::new(),
            next: 0,
        };
        self.instances.insert(id, instance);
        Ok(())
    }

    fn servers(&mut self, balancer: u64, form: wire::Form, set: u64) -> Result<fs::Event, String> {
        let kind = match form {
            wire::Form::Patch => fs::ListKind::Changes,
            wire::Form::Whole => fs::ListKind::Complete,
            wire::Form::StaleCopy => fs::ListKind::Stale,
            wire::Form::Broken => fs::ListKind::Failed,
        };
        let mut entries = Vec::new();
        if let (Some(instance), false) = (self.instances.get_mut(&balancer), form == wire::Form::Broken) {
            let table = self.tables.get(&set).ok_or_else(|| format!("no table {set}"))?;
            entries.extend(table.iter().map(|e| fs::ServerEntry {
                id: instance.servers.id_of(&e.upstream),
                zone: instance.zones.id_of(&e.locality),
                kind: instance.kinds.id_of(&e.machine),
                cell: e.group,
                ring_hash: ring_hash(&e.upstream),
                state: match e.condition {
                    wire::Condition::On => fs::ServerState::Ready,
                    wire::Condition::Fading => fs::ServerState::Draining,
                    wire::Condition::Off => fs::ServerState::Gone,
                },
                weight: e.weight,
                started_at: (e.last_start_ms > 0.0).then(|| ms_to_micros(e.last_start_ms)),
            }));
        }
        Ok(fs::Event::Servers { kind, entries })
    }

    /// Hands an event to its instance and writes what the instance wants done.
    fn tell(
        &mut self,
        now: fs::Micros,
        id: u64,
        event: fs::Event,
        reply: &mut Vec<u8>,
    ) -> Result<(), String> {
        let Some(instance) = self.instances.get_mut(&id) else { return Ok(()) };
        self.actions.clear();
        instance.balancer.handle(now, event, &mut self.actions);
        for action in &self.actions {
            write_action(id, instance, action, reply)?;
        }
        Ok(())
    }
}

fn write(reply: &mut Vec<u8>, line: &Reply<'_>) -> Result<(), String> {
    serde_json::to_writer(&mut *reply, line).map_err(|e| e.to_string())?;
    reply.push(b'\n');
    Ok(())
}

fn write_action(
    id: u64,
    instance: &mut Instance,
    action: &fs::Action,
    reply: &mut Vec<u8>,
) -> Result<(), String> {
    let balancer_id = id;
    let server = |n: fs::ServerId| instance.servers.names[n as usize].as_str();
    let rid = |n: &fs::RequestId| instance.open.get(n).map_or("", |o| o.name.as_str());
    match action {
        fs::Action::Send { request, server: to, limit } => {
            let (rid, upstream) = (rid(request), server(*to));
            write(reply, &Reply::CallOut { balancer_id, rid, limit_ms: micros_to_ms(*limit), upstream })?;
            if let Some(open) = instance.open.get_mut(request) {
                open.out += 1;
            }
        }
        fs::Action::Refuse { request, retry_after } => {
            let wait_ms = micros_to_ms(*retry_after);
            write(reply, &Reply::Refuse { balancer_id, rid: rid(request), wait_ms })?;
            instance.close(*request);
        }
        fs::Action::Fail { request } => {
            write(reply, &Reply::FinishError { balancer_id, rid: rid(request) })?;
            instance.close(*request);
        }
        fs::Action::Cancel { request, attempt } => {
            write(reply, &Reply::AbortAttempt { balancer_id, rid: rid(request), trial: *attempt })?;
        }
        fs::Action::Probe { server: to } => {
            write(reply, &Reply::Touch { balancer_id, upstream: server(*to) })?
        }
        fs::Action::CloseIdle { server: to } => {
            write(reply, &Reply::ShutIdle { balancer_id, upstream: server(*to) })?;
        }
        fs::Action::Timer { delay, token } => {
            write(reply, &Reply::Schedule { balancer_id, offset_ms: micros_to_ms(*delay), ctx: *token })?;
        }
        fs::Action::Watch => write(reply, &Reply::Subscribe { balancer_id, enable: true })?,
        fs::Action::Fetch => write(reply, &Reply::QueryAll { balancer_id })?,
    }
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn every_action_has_its_line() {
        let setup = r#"{"Areas":["a"],"Balancers":1,"Categories":[{"DeadlineMs":9.0,"Effect":"fragile",
            "Name":"c","TargetMs":9.0}],"Discovery":"automatic","GranularityMs":1.0,"Limits":{"MostTries":1},
            "Rules":{"ColdFrom":0.5,"OverloadFactor":3.0,"TipAfterMs":1.0,"WarmAfterMs":1.0},"Zone":"a"}"#;
        let mut host = Host::default();
        host.start(6, 1, &serde_json::from_str(setup).expect("a setup")).expect("it starts");
        let instance = host.instances.get_mut(&6).expect("an instance");
        let server = instance.servers.id_of("10.0.0.1:80");
        for (id, name) in ["r-0", "r-1", "r-2"].into_iter().enumerate() {
            instance.numbers.insert(name.to_owned(), id as u64);
            instance.open.insert(id as u64, Open { name: name.to_owned(), out: 0, closed: false });
        }
        let upstream = r#""BalancerId":6,"Upstream":"10.0.0.1:80""#;
        for (action, line) in [
            (
                fs::Action::Send { request: 0, server, limit: 1_500 },
                r#"{"CallOut":{"BalancerId":6,"Rid":"r-0","LimitMs":1.5,"Upstream":"10.0.0.1:80"}}"#
                    .to_owned(),
            ),
            (
                fs::Action::Cancel { request: 0, attempt: 2 },
                r#"{"AbortAttempt":{"BalancerId":6,"Rid":"r-0","Trial":2}}"#.to_owned(),
            ),
            (
                fs::Action::Refuse { request: 1, retry_after: 2_000 },
                r#"{"Refuse":{"BalancerId":6,"Rid":"r-1","WaitMs":2.0}}"#.to_owned(),
            ),
            (fs::Action::Fail { request: 2 }, r#"{"FinishError":{"BalancerId":6,"Rid":"r-2"}}"#.to_owned()),
            (fs::Action::Probe { server }, format!(r#"{{"Touch":{{{upstream}}}}}"#)),
            (fs::Action::CloseIdle { server }, format!(r#"{{"ShutIdle":{{{upstream}}}}}"#)),
            (
                fs::Action::Timer { delay: 500, token: 9 },
                r#"{"Schedule":{"BalancerId":6,"OffsetMs":0.5,"Ctx":9}}"#.to_owned(),
            ),
            (fs::Action::Watch, r#"{"Subscribe":{"BalancerId":6,"Enable":true}}"#.to_owned()),
            (fs::Action::Fetch, r#"{"QueryAll":{"BalancerId":6}}"#.to_owned()),
        ] {
            let mut reply = Vec::new();
            write_action(6, instance, &action, &mut reply).expect("it is written");
            assert_eq!(String::from_utf8(reply).expect("UTF-8"), line + "\n");
        }
        assert_eq!(instance.numbers.keys().collect::<Vec<_>>(), ["r-0"], "answered ones with nothing out go");
    }
}
