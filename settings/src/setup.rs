//! The settings of an instance: the `Setup` object of the wire's first message, and how the module's settings
//! follow from it. The adapter and the real balancer both read it here.

use std::collections::{BTreeMap, HashMap};

use finchshift as fs;
use serde::Deserialize;

/// Names numbered in the order of their first mention.
#[derive(Default)]
pub struct NameTable {
    numbers: HashMap<String, u32>,
    /// The names by number.
    pub names: Vec<String>,
}

impl NameTable {
    /// The name's number, a new one if it was never mentioned.
    pub fn id_of(&mut self, name: &str) -> u32 {
        if let Some(&n) = self.numbers.get(name) {
            return n;
        }
        let n = self.names.len() as u32;
        self.numbers.insert(name.to_owned(), n);
        self.names.push(name.to_owned());
        n
    }
}

/// Milliseconds of the wire as the module's microseconds.
pub fn ms_to_micros(ms: f64) -> fs::Micros {
    (ms * 1000.0).round().max(0.0) as fs::Micros
}

/// The module's microseconds as milliseconds of the wire.
pub fn micros_to_ms(micros: fs::Micros) -> f64 {
    micros as f64 / 1000.0
}

/// FNV-1a of a server's name.
pub fn ring_hash(address: &str) -> u64 {
    address.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3))
}

/// What a number is where the setup leaves it out.
pub fn default_one() -> f64 {
    1.0
}

/// The settings of an instance; unknown keys are passed over.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
#[allow(missing_docs)]
pub struct Setup {
    pub areas: Vec<String>,
    #[serde(default)]
    pub me: u32,
    pub balancers: u32,
    #[serde(rename = "Categories")]
    pub classes: Vec<Category>,
    #[serde(default)]
    pub client_habits: ClientHabits,
    pub discovery: Discovery,
    #[serde(default)]
    pub extra: Extra,
    #[serde(default)]
    pub goal: Goal,
    pub granularity_ms: f64,
    pub limits: Limits,
    #[serde(default = "default_one")]
    pub over_share_worth: f64,
    #[serde(rename = "Realms", default)]
    pub tenants: Vec<Realm>,
    pub rules: Rules,
    #[serde(default)]
    pub stage: u32,
    #[serde(default)]
    pub stats: Stats,
    #[serde(default)]
    pub tariffs: BTreeMap<String, f64>,
    #[serde(default)]
    pub tiers: Vec<String>,
    #[serde(default)]
    pub weights: String,
    #[serde(default)]
    pub worth_by: String,
    pub zone: String,
}

/// A class of requests.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
#[allow(missing_docs)]
pub struct Category {
    pub name: String,
    pub target_ms: f64,
    pub deadline_ms: f64,
    pub effect: Effect,
    #[serde(default)]
    pub group: Option<String>,
    #[serde(default)]
    pub dedup_window_ms: f64,
    #[serde(default)]
    pub late_worth: f64,
    #[serde(default)]
    pub aim_stretch: f64,
    #[serde(default)]
    pub streaming: bool,
    #[serde(default = "default_one")]
    pub value: f64,
}

/// What may be repeated.
#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
#[allow(missing_docs)]
pub enum Effect {
    Retryable,
    Dedup,
    Fragile,
}

/// How the list of servers arrives.
#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
#[allow(missing_docs)]
pub enum Discovery {
    Automatic,
    Subscribe,
}

/// Facts about the kind of service.
#[derive(Default, Deserialize)]
#[serde(rename_all = "PascalCase")]
#[allow(missing_docs)]
pub struct Extra {
    #[serde(default)]
    pub passes_deadline: bool,
}

/// How the clients behave.
#[derive(Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
#[allow(missing_docs)]
pub struct ClientHabits {
    pub marks_retry: bool,
}

/// A tenant.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
#[allow(missing_docs)]
pub struct Realm {
    pub name: String,
    #[serde(default)]
    pub quota_rps: f64,
    #[serde(default)]
    pub share: f64,
}

/// Weights of the result.
#[derive(Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
#[allow(missing_docs)]
pub struct Goal {
    pub tail_miss: f64,
    pub tail_part: f64,
    pub whole: f64,
    pub worst_class: f64,
    pub worst_tenant: f64,
    pub worst_window: f64,
}

/// What the site permits.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
#[allow(missing_docs)]
pub struct Limits {
    #[serde(default)]
    pub cancel: bool,
    #[serde(default)]
    pub probing: bool,
    #[serde(default)]
    pub second_copies: bool,
    #[serde(default)]
    pub retry_after: bool,
    #[serde(default)]
    pub max_retry_after_ms: f64,
    pub most_tries: u32,
    #[serde(default)]
    pub connect_timeout_ms: f64,
    #[serde(default)]
    pub cpu_us_per_request: f64,
    #[serde(default)]
    pub cpu_us_per_s: f64,
    #[serde(default)]
    pub idle_close_ms: f64,
    #[serde(default)]
    pub max_open: u32,
    #[serde(default)]
    pub max_streams: u32,
}

/// Figures of the rules.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
#[allow(missing_docs)]
pub struct Rules {
    pub cold_from: f64,
    pub warm_after_ms: f64,
    pub overload_factor: f64,
    pub tip_after_ms: f64,
    #[serde(default)]
    pub ask_within_ms: f64,
    #[serde(default)]
    pub drain_grace_ms: f64,
    #[serde(default)]
    pub grace_to_answer_ms: f64,
}

/// How load is reported.
#[derive(Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
#[allow(missing_docs)]
pub struct Stats {
    pub how: String,
}

fn class(c: &Category) -> Result<fs::Class, String> {
    let effect = match c.effect {
        Effect::Retryable => fs::Effect::Safe,
        Effect::Fragile => fs::Effect::Unsafe,
        Effect::Dedup => {
            let group = match c.group.as_deref() {
                Some("zone") => fs::DedupGroup::Zone,
                Some("cell") => fs::DedupGroup::Cell,
                None | Some("all") => fs::DedupGroup::All,
                Some(other) => return Err(format!("unknown group {other:?}")),
            };
            fs::Effect::Keyed { group, window: ms_to_micros(c.dedup_window_ms) }
        }
    };
    Ok(fs::Class {
        effect,
        latency_target: ms_to_micros(c.target_ms),
        target_per_work: c.aim_stretch,
        deadline: ms_to_micros(c.deadline_ms),
        value: c.value,
        late_value_ratio: c.late_worth,
        stream: c.streaming,
    })
}

/// The module's settings, as the setup tells them; its zones get their numbers.
pub fn balancer_settings(s: &Setup, zones: &mut NameTable) -> Result<fs::Settings, String> {
    let price = |name: &str| s.tariffs.get(name).copied().unwrap_or(0.0);
    Ok(fs::Settings {
        balancer_index: s.me,
        balancers: s.balancers,
        zone: zones.id_of(&s.zone),
        zones: s.areas.len() as u32,
        tier: s.stage,
        tiers: (s.tiers.len() as u32).max(1),
        propagates_deadline: s.extra.passes_deadline,
        classes: s.classes.iter().map(class).collect::<Result<_, _>>()?,
        value_per_work: s.worth_by == "work",
        tenants: s.tenants.iter().map(|r| fs::Tenant { share: r.share, quota: r.quota_rps }).collect(),
        over_quota_value_ratio: s.over_share_worth,
        clients_mark_retries: s.client_habits.marks_retry,
        weights: match s.weights.as_str() {
            "nominal" => fs::WeightMeaning::Nominal,
            "rough" => fs::WeightMeaning::Rough,
            "live" => fs::WeightMeaning::Live,
            _ => fs::WeightMeaning::None,
        },
        discovery: match s.discovery {
            Discovery::Automatic => fs::DiscoveryMode::Push,
            Discovery::Subscribe => fs::DiscoveryMode::Pull,
        },
        report: match s.stats.how.as_str() {
            "answers" => fs::ReportMode::Answers,
            "probe" => fs::ReportMode::Probe,
            _ => fs::ReportMode::None,
        },
        limits: fs::Limits {
            cancel: s.limits.cancel,
            probes: s.limits.probing,
            concurrent_attempts: s.limits.second_copies,
            retry_after: s.limits.retry_after,
            max_retry_after: ms_to_micros(s.limits.max_retry_after_ms),
            max_attempts: s.limits.most_tries,
            max_open: s.limits.max_open,
            max_streams: s.limits.max_streams,
            idle_close: ms_to_micros(s.limits.idle_close_ms),
            connect_timeout: ms_to_micros(s.limits.connect_timeout_ms),
            cpu_per_second: s.limits.cpu_us_per_s.max(0.0) as fs::Micros,
            cpu_per_request: s.limits.cpu_us_per_request,
        },
        rules: fs::Rules {
            initial_capacity_share: s.rules.cold_from,
            warm_up_time: ms_to_micros(s.rules.warm_after_ms),
            overload_factor: s.rules.overload_factor,
            overload_time: ms_to_micros(s.rules.tip_after_ms),
            discovery_interval: ms_to_micros(s.rules.ask_within_ms),
            drain_grace: ms_to_micros(s.rules.drain_grace_ms),
            answer_grace: ms_to_micros(s.rules.grace_to_answer_ms),
        },
        prices: fs::Prices {
            cross_zone: price("CrossZone"),
            probe: price("Probe"),
            late_failure: price("LateFail"),
            waste: price("Waste"),
            connection: price("Connection"),
            handshake: price("Handshake"),
            discovery: price("Discovery"),
        },
        goal: fs::Goal {
            overall: s.goal.whole,
            worst_window: s.goal.worst_window,
            worst_class: s.goal.worst_class,
            worst_tenant: s.goal.worst_tenant,
            tail_latency: s.goal.tail_part,
            tail_miss_share: s.goal.tail_miss,
        },
        tick: ms_to_micros(s.granularity_ms),
    })
}

#[cfg(test)]
mod tests {
    use super::*;

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
            balancer_index: 3,
            balancers: 5,
            zone: 0,
            zones: 2,
            tier: 1,
            tiers: 2,
            propagates_deadline: true,
            classes: vec![fs::Class {
                effect: fs::Effect::Keyed { group: fs::DedupGroup::Cell, window: 7_000 },
                latency_target: 8_000,
                target_per_work: 0.5,
                deadline: 9_000,
                value: 2.0,
                late_value_ratio: 0.2,
                stream: true,
            }],
            value_per_work: true,
            tenants: vec![fs::Tenant { share: 0.4, quota: 74.0 }],
            over_quota_value_ratio: 0.05,
            clients_mark_retries: true,
            weights: fs::WeightMeaning::Live,
            discovery: fs::DiscoveryMode::Pull,
            report: fs::ReportMode::Probe,
            limits: fs::Limits {
                cancel: true,
                probes: true,
                concurrent_attempts: true,
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
                initial_capacity_share: 0.13,
                warm_up_time: 24_000,
                overload_factor: 3.0,
                overload_time: 4_000,
                discovery_interval: 10_000,
                drain_grace: 1_000,
                answer_grace: 20_000,
            },
            prices: fs::Prices {
                cross_zone: 2.0,
                probe: 6.0,
                late_failure: 5.0,
                waste: 7.0,
                connection: 1.0,
                handshake: 4.0,
                discovery: 3.0,
            },
            goal: fs::Goal {
                overall: 0.2,
                worst_window: 0.5,
                worst_class: 0.3,
                worst_tenant: 0.4,
                tail_latency: 0.1,
                tail_miss_share: 0.01,
            },
            tick: 5_000,
        };
        assert_eq!(balancer_settings(&setup, &mut NameTable::default()), Ok(expected));
    }
}
