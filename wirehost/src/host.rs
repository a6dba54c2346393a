//! Hosts balancer instances: each has a `Balancer` and its own tables of ids.

use std::collections::{BTreeMap, HashMap};

use finchshift as fs;
use sloeline_settings::setup::{NameTable, Setup, balancer_settings, micros_to_ms, ms_to_micros, ring_hash};

use crate::wire::{self, Message, Reply};

/// A request whose id is still in use.
struct OpenRequest {
    name: String,
    /// Number of attempts without an outcome yet.
    in_flight: u32,
    /// The request has its final answer.
    closed: bool,
}

/// A balancer with the names that the wire uses for its ids.
struct Instance {
    balancer: fs::Balancer,
    classes: Vec<String>,
    tenants: Vec<String>,
    zones: NameTable,
    kinds: NameTable,
    servers: NameTable,
    request_ids: HashMap<String, u64>,
    open: HashMap<u64, OpenRequest>,
    next_id: u64,
}

impl Instance {
    /// Removes a request that is closed and has no attempt in flight.
    fn remove_if_done(&mut self, id: u64) {
        if let Some(open) = self.open.get(&id)
            && open.closed
            && open.in_flight == 0
        {
            self.request_ids.remove(&open.name);
            self.open.remove(&id);
        }
    }

    /// Marks a request as answered.
    fn close(&mut self, id: u64) {
        if let Some(open) = self.open.get_mut(&id) {
            open.closed = true;
        }
        self.remove_if_done(id);
    }
}

/// All balancer instances of this process.
#[derive(Default)]
pub struct Host {
    /// Time of the current batch; `None` between batches.
    now: Option<fs::Micros>,
    tables: BTreeMap<u64, Vec<wire::Entry>>,
    instances: BTreeMap<u64, Instance>,
    actions: Vec<fs::Action>,
}

fn outcome(outcome: wire::Outcome) -> fs::Outcome {
    match outcome {
        wire::Outcome::Ok => fs::Outcome::Ok,
        wire::Outcome::Error => fs::Outcome::Error,
        wire::Outcome::Full => fs::Outcome::Full,
        wire::Outcome::TimedOut => fs::Outcome::TimedOut,
        wire::Outcome::ConnectFailed => fs::Outcome::ConnectFailed,
        wire::Outcome::Reset => fs::Outcome::Reset,
        wire::Outcome::Cancelled => fs::Outcome::Cancelled,
        wire::Outcome::NotSent => fs::Outcome::NotSent,
    }
}

fn load(l: wire::Load) -> fs::Load {
    fs::Load {
        in_flight: l.in_flight,
        queue: l.queue,
        utilization: l.utilization,
        throughput: l.throughput,
        latency: l.latency_ms.map(ms_to_micros),
        errors: l.errors_per_s,
    }
}

impl Host {
    /// Returns true if a batch has begun and not ended.
    pub fn in_batch(&self) -> bool {
        self.now.is_some()
    }

    /// Handles a message and appends lines to the reply. Returns true if the reply is complete.
    pub fn handle_message(&mut self, message: Message<'_>, reply: &mut Vec<u8>) -> Result<bool, String> {
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
                write(reply, &Reply::EndBatch {})?;
                return Ok(true);
            }
            Message::ServerTable { table, entries } => {
                self.tables.insert(table, entries);
            }
            Message::StartInstance { balancer, seed, setup } => self.start(balancer, seed, &setup)?,
            Message::StopInstance { balancer } => {
                self.instances.remove(&balancer);
            }
            Message::Servers { balancer, kind, table } => {
                let event = self.servers(balancer, kind, table)?;
                self.deliver(now, balancer, event, reply)?;
            }
            Message::Request { balancer, request, tenant, work_ms, class, time_left_ms, retry } => {
                let Some(instance) = self.instances.get_mut(&balancer) else { return Ok(false) };
                let Some(class_id) = instance.classes.iter().position(|c| *c == class) else {
                    return Err(format!("unknown class {class:?}"));
                };
                let tenant = match tenant {
                    Some(wire::Tenant::Name(name)) if !instance.tenants.is_empty() => {
                        let at = instance.tenants.iter().position(|t| *t == name);
                        Some(at.ok_or_else(|| format!("unknown tenant {name:?}"))?)
                    }
                    _ => None,
                };
                let id = instance.next_id;
                instance.next_id += 1;
                instance.request_ids.insert(request.clone().into_owned(), id);
                instance
                    .open
                    .insert(id, OpenRequest { name: request.into_owned(), in_flight: 0, closed: false });
                let (time_left, work) = (ms_to_micros(time_left_ms), work_ms.map(ms_to_micros));
                let event = fs::Event::Request { id, class: class_id, time_left, tenant, work, retry };
                self.deliver(now, balancer, event, reply)?;
            }
            Message::Probed { balancer, server, outcome: ended, latency_ms, load: l } => {
                let Some(instance) = self.instances.get_mut(&balancer) else { return Ok(false) };
                let server = instance.servers.id_of(&server);
                let (outcome, latency, load) = (outcome(ended), ms_to_micros(latency_ms), l.map(load));
                self.deliver(now, balancer, fs::Event::Probed { server, outcome, latency, load }, reply)?;
            }
            Message::FirstByte { balancer, request, attempt } => {
                if let Some(request) = self.request_id(balancer, &request) {
                    self.deliver(now, balancer, fs::Event::FirstByte { request, attempt }, reply)?;
                }
            }
            Message::AttemptEnded {
                balancer,
                request,
                attempt,
                server,
                outcome: ended,
                latency_ms,
                closed,
                load: l,
            } => {
                let Some(request) = self.request_id(balancer, &request) else { return Ok(false) };
                let Some(instance) = self.instances.get_mut(&balancer) else { return Ok(false) };
                let event = fs::Event::Outcome {
                    request,
                    attempt,
                    server: instance.servers.id_of(&server),
                    outcome: outcome(ended),
                    latency: ms_to_micros(latency_ms),
                    closed,
                    load: l.map(load),
                };
                if let Some(open) = instance.open.get_mut(&request) {
                    open.in_flight = open.in_flight.saturating_sub(1);
                    open.closed |= closed;
                }
                self.deliver(now, balancer, event, reply)?;
                if let Some(instance) = self.instances.get_mut(&balancer) {
                    instance.remove_if_done(request);
                }
            }
            Message::ClientGone { balancer, request } => {
                if let Some(request) = self.request_id(balancer, &request) {
                    self.deliver(now, balancer, fs::Event::ClientGone { request }, reply)?;
                    if let Some(instance) = self.instances.get_mut(&balancer) {
                        instance.close(request);
                    }
                }
            }
            Message::Timer { balancer, token } => {
                self.deliver(now, balancer, fs::Event::Timer { token }, reply)?;
            }
        }
        Ok(false)
    }

    fn request_id(&self, balancer: u64, name: &str) -> Option<u64> {
        self.instances.get(&balancer)?.request_ids.get(name).copied()
    }

    /// Starts an instance; it replaces one with the same id.
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
            request_ids: HashMap::new(),
            open: HashMap::new(),
            next_id: 0,
        };
        self.instances.insert(id, instance);
        Ok(())
    }

    /// Converts a list of servers into an event of an instance.
    fn servers(&mut self, balancer: u64, kind: wire::ListKind, table: u64) -> Result<fs::Event, String> {
        let list_kind = match kind {
            wire::ListKind::Changes => fs::ListKind::Changes,
            wire::ListKind::Complete => fs::ListKind::Complete,
            wire::ListKind::Stale => fs::ListKind::Stale,
            wire::ListKind::Failed => fs::ListKind::Failed,
        };
        let mut entries = Vec::new();
        if let (Some(instance), false) = (self.instances.get_mut(&balancer), kind == wire::ListKind::Failed) {
            let listed = self.tables.get(&table).ok_or_else(|| format!("unknown table {table}"))?;
            entries.extend(listed.iter().map(|e| fs::ServerEntry {
                id: instance.servers.id_of(&e.server),
                zone: instance.zones.id_of(&e.zone),
                kind: instance.kinds.id_of(&e.kind),
                cell: e.cell,
                ring_hash: ring_hash(&e.server),
                state: match e.state {
                    wire::ServerState::Ready => fs::ServerState::Ready,
                    wire::ServerState::Draining => fs::ServerState::Draining,
                    wire::ServerState::Gone => fs::ServerState::Gone,
                },
                weight: e.weight,
                started_at: (e.started_at_ms > 0.0).then(|| ms_to_micros(e.started_at_ms)),
            }));
        }
        Ok(fs::Event::Servers { kind: list_kind, entries })
    }

    /// Delivers an event to an instance and appends the resulting actions to the reply.
    fn deliver(
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
    let balancer = id;
    let server = |n: fs::ServerId| instance.servers.names[n as usize].as_str();
    let name = |n: &fs::RequestId| instance.open.get(n).map_or("", |o| o.name.as_str());
    match action {
        fs::Action::Send { request, server: to, limit } => {
            let (name, server) = (name(request), server(*to));
            write(reply, &Reply::Send { balancer, request: name, limit_ms: micros_to_ms(*limit), server })?;
            if let Some(open) = instance.open.get_mut(request) {
                open.in_flight += 1;
            }
        }
        fs::Action::Refuse { request, retry_after } => {
            let retry_after_ms = micros_to_ms(*retry_after);
            write(reply, &Reply::Refuse { balancer, request: name(request), retry_after_ms })?;
            instance.close(*request);
        }
        fs::Action::Fail { request } => {
            write(reply, &Reply::Fail { balancer, request: name(request) })?;
            instance.close(*request);
        }
        fs::Action::Cancel { request, attempt } => {
            write(reply, &Reply::Cancel { balancer, request: name(request), attempt: *attempt })?;
        }
        fs::Action::Probe { server: to } => write(reply, &Reply::Probe { balancer, server: server(*to) })?,
        fs::Action::CloseIdle { server: to } => {
            write(reply, &Reply::CloseIdle { balancer, server: server(*to) })?;
        }
        fs::Action::Timer { delay, token } => {
            write(reply, &Reply::SetTimer { balancer, delay_ms: micros_to_ms(*delay), token: *token })?;
        }
        fs::Action::Watch => write(reply, &Reply::Watch { balancer, enable: true })?,
        fs::Action::Fetch => write(reply, &Reply::Fetch { balancer })?,
    }
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn writes_a_reply_line_for_every_action() {
        let setup = r#"{"Areas":["a"],"Balancers":1,"Categories":[{"DeadlineMs":9.0,"Effect":"fragile",
            "Name":"c","TargetMs":9.0}],"Discovery":"automatic","GranularityMs":1.0,"Limits":{"MostTries":1},
            "Rules":{"ColdFrom":0.5,"OverloadFactor":3.0,"TipAfterMs":1.0,"WarmAfterMs":1.0},"Zone":"a"}"#;
        let mut host = Host::default();
        host.start(6, 1, &serde_json::from_str(setup).expect("valid setup")).expect("instance starts");
        let instance = host.instances.get_mut(&6).expect("instance exists");
        let server = instance.servers.id_of("10.0.0.1:80");
        for (id, name) in ["r-0", "r-1", "r-2"].into_iter().enumerate() {
            instance.request_ids.insert(name.to_owned(), id as u64);
            instance
                .open
                .insert(id as u64, OpenRequest { name: name.to_owned(), in_flight: 0, closed: false });
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
            write_action(6, instance, &action, &mut reply).expect("action is written");
            assert_eq!(String::from_utf8(reply).expect("UTF-8"), line + "\n");
        }
        assert_eq!(
            instance.request_ids.keys().collect::<Vec<_>>(),
            ["r-0"],
            "answered requests without attempts in flight are removed"
        );
    }
}
