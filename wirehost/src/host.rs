//! Hosts the instances: one `Balancer` each, with its own table of ids.

use std::collections::{BTreeMap, HashMap};

use finchshift as fs;

use crate::wire::{self, Message, Reply};

/// Names numbered in the order of their first mention.
#[derive(Default)]
struct Names {
    numbers: HashMap<String, u32>,
    names: Vec<String>,
}

impl Names {
    fn number(&mut self, name: &str) -> u32 {
        if let Some(&n) = self.numbers.get(name) {
            return n;
        }
        let n = self.names.len() as u32;
        self.numbers.insert(name.to_owned(), n);
        self.names.push(name.to_owned());
        n
    }
}

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
    zones: Names,
    kinds: Names,
    servers: Names,
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

fn micros(ms: f64) -> fs::Micros {
    (ms * 1000.0).round().max(0.0) as fs::Micros
}

fn millis(micros: fs::Micros) -> f64 {
    micros as f64 / 1000.0
}

/// FNV-1a of an address.
fn ring(address: &str) -> u64 {
    address.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3))
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
        latency: l.recent_ms.map(micros),
        errors: l.errors_per_s,
    }
}

fn class(c: &wire::Category) -> Result<fs::Class, String> {
    let effect = match c.effect {
        wire::Effect::Retryable => fs::Effect::Safe,
        wire::Effect::Fragile => fs::Effect::Unsafe,
        wire::Effect::Dedup => {
            let group = match c.group.as_deref() {
                Some("zone") => fs::Group::Zone,
                Some("cell") => fs::Group::Cell,
                None | Some("all") => fs::Group::All,
                Some(other) => return Err(format!("unknown group {other:?}")),
            };
            fs::Effect::Keyed { group, window: micros(c.dedup_window_ms) }
        }
    };
    Ok(fs::Class {
        effect,
        aim: micros(c.target_ms),
        aim_stretch: c.aim_stretch,
        deadline: micros(c.deadline_ms),
        worth: c.value,
        late_worth: c.late_worth,
        stream: c.streaming,
    })
}

fn settings(s: &wire::Setup, zones: &mut Names) -> Result<fs::Settings, String> {
    let price = |name: &str| s.tariffs.get(name).copied().unwrap_or(0.0);
    Ok(fs::Settings {
        me: s.me,
        balancers: s.balancers,
        zone: zones.number(&s.zone),
        zones: s.areas.len() as u32,
        tier: s.stage,
        tiers: (s.tiers.len() as u32).max(1),
        passes_deadline: s.extra.passes_deadline,
        classes: s.categories.iter().map(class).collect::<Result<_, _>>()?,
        worth_by_work: s.worth_by == "work",
        tenants: s.realms.iter().map(|r| fs::Tenant { share: r.share, quota: r.quota_rps }).collect(),
        over_share_worth: s.over_share_worth,
        marks_retry: s.client_habits.marks_retry,
        weights: match s.weights.as_str() {
            "nominal" => fs::Weights::Nominal,
            "rough" => fs::Weights::Rough,
            "live" => fs::Weights::Live,
            _ => fs::Weights::None,
        },
        discovery: match s.discovery {
            wire::Discovery::Automatic => fs::Discovery::Push,
            wire::Discovery::Subscribe => fs::Discovery::Ask,
        },
        report: match s.stats.how.as_str() {
            "answers" => fs::ReportMode::Answers,
            "probe" => fs::ReportMode::Probe,
            _ => fs::ReportMode::None,
        },
        limits: fs::Limits {
            cancel: s.limits.cancel,
            probes: s.limits.probing,
            second_copies: s.limits.second_copies,
            retry_after: s.limits.retry_after,
            max_retry_after: micros(s.limits.max_retry_after_ms),
            max_attempts: s.limits.most_tries,
            max_open: s.limits.max_open,
            max_streams: s.limits.max_streams,
            idle_close: micros(s.limits.idle_close_ms),
            connect_timeout: micros(s.limits.connect_timeout_ms),
            cpu_per_second: s.limits.cpu_us_per_s.max(0.0) as fs::Micros,
            cpu_per_request: s.limits.cpu_us_per_request,
        },
        rules: fs::Rules {
            cold_from: s.rules.cold_from,
            warm_after: micros(s.rules.warm_after_ms),
            overload_factor: s.rules.overload_factor,
            tip_after: micros(s.rules.tip_after_ms),
            ask_within: micros(s.rules.ask_within_ms),
            drain_grace: micros(s.rules.drain_grace_ms),
            answer_grace: micros(s.rules.grace_to_answer_ms),
        },
        prices: fs::Prices {
            cross_zone: price("CrossZone"),
            probe: price("Probe"),
            late_fail: price("LateFail"),
            waste: price("Waste"),
            connection: price("Connection"),
            handshake: price("Handshake"),
            discovery: price("Discovery"),
        },
        goal: fs::Goal {
            whole: s.goal.whole,
            worst_window: s.goal.worst_window,
            worst_class: s.goal.worst_class,
            worst_tenant: s.goal.worst_tenant,
            tail: s.goal.tail_part,
            tail_miss: s.goal.tail_miss,
        },
        tick: micros(s.granularity_ms),
    })
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
            self.now = Some(micros(now));
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
                let (time_left, work) = (micros(time_left_ms), expected_ms.map(micros));
                let event = fs::Event::Request { id, class, time_left, tenant, work, retry };
                self.tell(now, balancer_id, event, reply)?;
            }
            Message::Echo { balancer_id, upstream, disposition, time_taken_ms, load: l } => {
                let Some(instance) = self.instances.get_mut(&balancer_id) else { return Ok(false) };
                let server = instance.servers.number(&upstream);
                let (outcome, latency, load) = (outcome(disposition), micros(time_taken_ms), l.map(load));
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
                    server: instance.servers.number(&upstream),
                    outcome: outcome(disposition),
                    latency: micros(time_taken_ms),
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
                    self.tell(now, balancer_id, fs::Event::Gone { request }, reply)?;
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

    fn start(&mut self, id: u64, seed: u64, setup: &wire::Setup) -> Result<(), String> {
        let mut zones = Names::default();
        let settings = settings(setup, &mut zones)?;
        let instance = Instance {
            balancer: fs::Balancer::new(settings, seed).map_err(|e| e.to_string())?,
            classes: setup.categories.iter().map(|c| c.name.clone()).collect(),
            tenants: setup.realms.iter().map(|r| r.name.clone()).collect(),
            zones,
            kinds: Names::default(),
            servers: Names::default(),
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
                id: instance.servers.number(&e.upstream),
                zone: instance.zones.number(&e.locality),
                kind: instance.kinds.number(&e.machine),
                cell: e.group,
                ring: ring(&e.upstream),
                state: match e.condition {
                    wire::Condition::On => fs::ServerState::Ready,
                    wire::Condition::Fading => fs::ServerState::Draining,
                    wire::Condition::Off => fs::ServerState::Gone,
                },
                weight: e.weight,
                started: (e.last_start_ms > 0.0).then(|| micros(e.last_start_ms)),
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
            write(reply, &Reply::CallOut { balancer_id, rid, limit_ms: millis(*limit), upstream })?;
            if let Some(open) = instance.open.get_mut(request) {
                open.out += 1;
            }
        }
        fs::Action::Refuse { request, retry_after } => {
            let wait_ms = millis(*retry_after);
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
            write(reply, &Reply::Schedule { balancer_id, offset_ms: millis(*delay), ctx: *token })?;
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
        let server = instance.servers.number("10.0.0.1:80");
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

    #[test]
    fn every_setting_is_carried() {
        let setup = r#"{"Areas":["a","b"],"Balancers":5,"Me":3,"Categories":[{"AimStretch":0.5,"DeadlineMs":9.0,
            "DedupWindowMs":7.0,"Effect":"dedup","Group":"cell","LateWorth":0.2,"Name":"c","Streaming":true,
            "TargetMs":8.0,"Value":2.0}],"ClientHabits":{"MarksRetry":true},"Discovery":"subscribe",
            "Extra":{"PassesDeadline":true},"Goal":{"TailMiss":0.01,"TailPart":0.1,"Whole":0.2,"WorstClass":0.3,
            "WorstTenant":0.4,"WorstWindow":0.5},"GranularityMs":5.0,"Limits":{"Cancel":true,
            "ConnectTimeoutMs":250.0,"CpuUsPerRequest":10.5,"CpuUsPerS":29691,"IdleCloseMs":30.0,"MaxOpen":39,
            "MaxRetryAfterMs":2.0,"MaxStreams":1,"MostTries":3,"Probing":true,"RetryAfter":true,
            "SecondCopies":true},"OverShareWorth":0.05,"Realms":[{"Name":"t","QuotaRps":74.0,"Share":0.4}],
            "Rules":{"AskWithinMs":10.0,"ColdFrom":0.13,"DrainGraceMs":1.0,"GraceToAnswerMs":20.0,
            "OverloadFactor":3.0,"TipAfterMs":4.0,"WarmAfterMs":24.0},"Stage":1,"Stats":{"How":"probe"},
            "Tariffs":{"Connection":1.0,"CrossZone":2.0,"Discovery":3.0,"Handshake":4.0,"LateFail":5.0,
            "Probe":6.0,"Waste":7.0},"Tiers":["x","y"],"Weights":"live","WorthBy":"work","Zone":"b"}"#;
        let setup = serde_json::from_str(setup).expect("a setup");
        let expected = fs::Settings {
            me: 3,
            balancers: 5,
            zone: 0,
            zones: 2,
            tier: 1,
            tiers: 2,
            passes_deadline: true,
            classes: vec![fs::Class {
                effect: fs::Effect::Keyed { group: fs::Group::Cell, window: 7_000 },
                aim: 8_000,
                aim_stretch: 0.5,
                deadline: 9_000,
                worth: 2.0,
                late_worth: 0.2,
                stream: true,
            }],
            worth_by_work: true,
            tenants: vec![fs::Tenant { share: 0.4, quota: 74.0 }],
            over_share_worth: 0.05,
            marks_retry: true,
            weights: fs::Weights::Live,
            discovery: fs::Discovery::Ask,
            report: fs::ReportMode::Probe,
            limits: fs::Limits {
                cancel: true,
                probes: true,
                second_copies: true,
                retry_after: true,
                max_retry_after: 2_000,
                max_attempts: 3,
                max_open: 39,
                max_streams: 1,
                idle_close: 30_000,
                connect_timeout: 250_000,
                cpu_per_second: 29_691,
                cpu_per_request: 10.5,
            },
            rules: fs::Rules {
                cold_from: 0.13,
                warm_after: 24_000,
                overload_factor: 3.0,
                tip_after: 4_000,
                ask_within: 10_000,
                drain_grace: 1_000,
                answer_grace: 20_000,
            },
            prices: fs::Prices {
                cross_zone: 2.0,
                probe: 6.0,
                late_fail: 5.0,
                waste: 7.0,
                connection: 1.0,
                handshake: 4.0,
                discovery: 3.0,
            },
            goal: fs::Goal {
                whole: 0.2,
                worst_window: 0.5,
                worst_class: 0.3,
                worst_tenant: 0.4,
                tail: 0.1,
                tail_miss: 0.01,
            },
            tick: 5_000,
        };
        assert_eq!(settings(&setup, &mut Names::default()), Ok(expected));
    }
}
