//! The settings of an instance: the `Setup` object of the platform's first message, and its conversion into the
//! settings of the balancer module. The adapter and the real balancer both read it here.

use std::collections::{BTreeMap, HashMap};

use finchshift as fs;
use serde::Deserialize;

/// Assigns consecutive ids to names, in the order in which the names first occur.
#[derive(Default)]
pub struct NameTable {
    ids: HashMap<String, u32>,
    /// The names, indexed by id.
    pub names: Vec<String>,
}

impl NameTable {
    /// Returns the id of a name; a new name gets the next id.
    pub fn id_of(&mut self, name: &str) -> u32 {
        if let Some(&id) = self.ids.get(name) {
            return id;
        }
        let id = self.names.len() as u32;
        self.ids.insert(name.to_owned(), id);
        self.names.push(name.to_owned());
        id
    }
}

/// Converts milliseconds, the unit of the wire, to the module's microseconds; a negative time becomes 0.
pub fn ms_to_micros(ms: f64) -> fs::Micros {
    (ms * 1000.0).round().max(0.0) as fs::Micros
}

/// Converts the module's microseconds to milliseconds, the unit of the wire.
pub fn micros_to_ms(micros: fs::Micros) -> f64 {
    micros as f64 / 1000.0
}

/// Hashes a server's address with 64-bit FNV-1a: its position on the hash ring of servers.
pub fn ring_hash(address: &str) -> u64 {
    address.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3))
}

/// Returns 1, the default of weights and values that a message leaves out.
pub fn default_one() -> f64 {
    1.0
}

/// The settings of an instance, as the platform sends them; unknown keys are ignored.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Setup {
    /// Names of all zones.
    #[serde(rename = "Areas")]
    pub zones: Vec<String>,
    /// Index of this balancer among those of its tier, from 0.
    #[serde(rename = "Me", default)]
    pub balancer_index: u32,
    /// Number of balancers that send to the tier.
    pub balancers: u32,
    /// The request classes.
    #[serde(rename = "Categories")]
    pub classes: Vec<ClassSetup>,
    /// Behavior of the clients.
    #[serde(rename = "ClientHabits", default)]
    pub clients: ClientSetup,
    /// How the list of servers arrives.
    pub discovery: Discovery,
    /// Properties of the kind of service.
    #[serde(rename = "Extra", default)]
    pub service: ServiceSetup,
    /// Weights of the parts of the result.
    #[serde(default)]
    pub goal: Goal,
    /// Resolution of the clock.
    pub granularity_ms: f64,
    /// Limits and permissions of the site.
    pub limits: Limits,
    /// Value of a request beyond its tenant's quota, as a ratio of its class's value.
    #[serde(rename = "OverShareWorth", default = "default_one")]
    pub over_quota_value_ratio: f64,
    /// The tenants of the service; empty if it is not shared.
    #[serde(rename = "Realms", default)]
    pub tenants: Vec<TenantSetup>,
    /// Parameters of the rules for draining servers, cold servers and discovery.
    pub rules: Rules,
    /// Index of the tier that the balancer sends to, from 0.
    #[serde(rename = "Stage", default)]
    pub tier: u32,
    /// How servers report their load.
    #[serde(rename = "Stats", default)]
    pub load_reports: LoadReportSetup,
    /// Prices by name, such as `CrossZone`; a missing price is 0.
    #[serde(rename = "Tariffs", default)]
    pub prices: BTreeMap<String, f64>,
    /// Names of all tiers.
    #[serde(default)]
    pub tiers: Vec<String>,
    /// Meaning of server weights: `nominal`, `rough`, `live`, or anything else for none.
    #[serde(default)]
    pub weights: String,
    /// What the value of a class counts for: `work` for a unit of work, anything else for a request.
    #[serde(rename = "WorthBy", default)]
    pub value_unit: String,
    /// Name of the balancer's own zone.
    pub zone: String,
}

/// A class of requests.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct ClassSetup {
    /// Name of the class.
    pub name: String,
    /// Latency target: an answer within this time earns the full value.
    pub target_ms: f64,
    /// Total time that a client waits for an answer.
    pub deadline_ms: f64,
    /// Whether a request may be repeated.
    pub effect: Effect,
    /// The servers that deduplicate keyed requests among themselves: `all` (the default), `zone` or `cell`.
    #[serde(default)]
    pub group: Option<String>,
    /// How long these servers remember a request.
    #[serde(default)]
    pub dedup_window_ms: f64,
    /// Share of the value that an answer after the latency target still earns.
    #[serde(rename = "LateWorth", default)]
    pub late_value_ratio: f64,
    /// Extra latency target as a multiple of the request's own work.
    #[serde(rename = "AimStretch", default)]
    pub target_per_work: f64,
    /// Answers are streamed.
    #[serde(default)]
    pub streaming: bool,
    /// Value of one request, or of one unit of its work.
    #[serde(default = "default_one")]
    pub value: f64,
}

/// Whether a request may be repeated.
#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    /// Idempotent: may be repeated on any server.
    Retryable,
    /// Carries an idempotency key: servers discard repeats within a window.
    Dedup,
    /// Not idempotent: must never run twice.
    Fragile,
}

/// How the list of servers arrives.
#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Discovery {
    /// Changes are pushed without a request.
    Automatic,
    /// Nothing arrives until the balancer subscribes or queries.
    Subscribe,
}

/// Properties of the kind of service.
#[derive(Default, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct ServiceSetup {
    /// A call from the tier above carries the caller's remaining time, not the full deadline of its class.
    #[serde(rename = "PassesDeadline", default)]
    pub propagates_deadline: bool,
}

/// Behavior of the clients.
#[derive(Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub struct ClientSetup {
    /// Clients mark their retries.
    #[serde(rename = "MarksRetry")]
    pub mark_retries: bool,
}

/// A tenant of a shared service.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct TenantSetup {
    /// Name of the tenant.
    pub name: String,
    /// Requests per second within the tenant's share, over all balancers.
    #[serde(default)]
    pub quota_rps: f64,
    /// The tenant's share of the service's capacity.
    #[serde(default)]
    pub share: f64,
}

/// Weights of the parts of the result.
#[derive(Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub struct Goal {
    /// Share of requests that may miss their latency target for the tail part.
    #[serde(rename = "TailMiss")]
    pub tail_miss_share: f64,
    /// Weight of a part that counts in full only while few requests miss their latency target.
    #[serde(rename = "TailPart")]
    pub tail_latency: f64,
    /// Weight of all requests together.
    #[serde(rename = "Whole")]
    pub overall: f64,
    /// Weight of the class with the worst result.
    pub worst_class: f64,
    /// Weight of the tenant with the worst result.
    pub worst_tenant: f64,
    /// Weight of the time window with the worst result.
    pub worst_window: f64,
}

/// Limits and permissions of the site.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Limits {
    /// Attempts may be cancelled.
    #[serde(default)]
    pub cancel: bool,
    /// Servers may be probed.
    #[serde(rename = "Probing", default)]
    pub probes: bool,
    /// Two attempts of one request may be in flight at once (hedging).
    #[serde(rename = "SecondCopies", default)]
    pub concurrent_attempts: bool,
    /// Clients receive the delay of a refusal.
    #[serde(default)]
    pub retry_after: bool,
    /// The longest delay that a client observes.
    #[serde(default)]
    pub max_retry_after_ms: f64,
    /// Maximum number of attempts per request, including the first.
    #[serde(rename = "MostTries")]
    pub max_attempts: u32,
    /// A connection not established within this time has failed; 0 if unknown.
    #[serde(default)]
    pub connect_timeout_ms: f64,
    /// CPU time in microseconds for one request and its outcomes; 0 for no limit.
    #[serde(default)]
    pub cpu_us_per_request: f64,
    /// CPU time in microseconds per second that the balancer may use; 0 for no limit.
    #[serde(default)]
    pub cpu_us_per_s: f64,
    /// An idle connection is closed after this time; 0 if unknown.
    #[serde(default)]
    pub idle_close_ms: f64,
    /// Maximum number of open requests in the balancer; 0 for no limit.
    #[serde(default)]
    pub max_open: u32,
    /// Maximum number of concurrent attempts on one connection; 0 if unknown.
    #[serde(default)]
    pub max_streams: u32,
}

/// Parameters of the rules for draining servers, cold servers and discovery.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Rules {
    /// Share of its full capacity that a server has right after its start.
    #[serde(rename = "ColdFrom")]
    pub initial_capacity_share: f64,
    /// Time after its start at which a server has its full capacity.
    #[serde(rename = "WarmAfterMs")]
    pub warm_up_time_ms: f64,
    /// A cold server is overloaded by more than this multiple of its present capacity.
    pub overload_factor: f64,
    /// A cold server that is overloaded for this long collapses.
    #[serde(rename = "TipAfterMs")]
    pub overload_time_ms: f64,
    /// Maximum time between two requests for the list of servers without a subscription.
    #[serde(rename = "AskWithinMs", default)]
    pub discovery_interval_ms: f64,
    /// Nothing new may be sent to a server later than this after the news that it drains or is gone.
    #[serde(default)]
    pub drain_grace_ms: f64,
    /// A final answer still counts if it is at most this late after the client's deadline.
    #[serde(rename = "GraceToAnswerMs", default)]
    pub answer_grace_ms: f64,
}

/// How servers report their load.
#[derive(Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub struct LoadReportSetup {
    /// `answers` for outcomes and probe answers, `probe` for probe answers only, anything else for no reports.
    #[serde(rename = "How")]
    pub mode: String,
}

fn class_settings(c: &ClassSetup) -> Result<fs::Class, String> {
    let effect = match c.effect {
        Effect::Retryable => fs::Effect::Safe,
        Effect::Fragile => fs::Effect::Unsafe,
        Effect::Dedup => {
            let group = match c.group.as_deref() {
                Some("zone") => fs::DedupGroup::Zone,
                Some("cell") => fs::DedupGroup::Cell,
                None | Some("all") => fs::DedupGroup::All,
                Some(other) => {
                    return Err(format!("unknown deduplication group {other:?}, expected all, zone or cell"));
                }
            };
            fs::Effect::Keyed { group, window: ms_to_micros(c.dedup_window_ms) }
        }
    };
    Ok(fs::Class {
        effect,
        max_runs: u32::MAX,
        latency_target: ms_to_micros(c.target_ms),
        target_per_work: c.target_per_work,
        deadline: ms_to_micros(c.deadline_ms),
        value: c.value,
        late_value_ratio: c.late_value_ratio,
        stream: c.streaming,
    })
}

/// Converts a setup into the settings of the module. Its zone gets an id in `zones`. Fails if a class names an
/// unknown deduplication group.
pub fn balancer_settings(s: &Setup, zones: &mut NameTable) -> Result<fs::Settings, String> {
    let price = |name: &str| s.prices.get(name).copied().unwrap_or(0.0);
    Ok(fs::Settings {
        balancer_index: s.balancer_index,
        balancers: s.balancers,
        zone: zones.id_of(&s.zone),
        zones: s.zones.len() as u32,
        tier: s.tier,
        tiers: (s.tiers.len() as u32).max(1),
        propagates_deadline: s.service.propagates_deadline,
        classes: s.classes.iter().map(class_settings).collect::<Result<_, _>>()?,
        value_per_work: s.value_unit == "work",
        tenants: s.tenants.iter().map(|r| fs::Tenant { share: r.share, quota: r.quota_rps }).collect(),
        over_quota_value_ratio: s.over_quota_value_ratio,
        clients_mark_retries: s.clients.mark_retries,
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
        report: match s.load_reports.mode.as_str() {
            "answers" => fs::ReportMode::Answers,
            "probe" => fs::ReportMode::Probe,
            _ => fs::ReportMode::None,
        },
        limits: fs::Limits {
            cancel: s.limits.cancel,
            probes: s.limits.probes,
            concurrent_attempts: s.limits.concurrent_attempts,
            retry_after: s.limits.retry_after,
            max_retry_after: ms_to_micros(s.limits.max_retry_after_ms),
            max_attempts: s.limits.max_attempts,
            max_open: s.limits.max_open,
            max_streams: s.limits.max_streams,
            idle_close: ms_to_micros(s.limits.idle_close_ms),
            connect_timeout: ms_to_micros(s.limits.connect_timeout_ms),
            cpu_per_second: s.limits.cpu_us_per_s.max(0.0) as fs::Micros,
            cpu_per_request: s.limits.cpu_us_per_request,
        },
        rules: fs::Rules {
            initial_capacity_share: s.rules.initial_capacity_share,
            warm_up_time: ms_to_micros(s.rules.warm_up_time_ms),
            overload_factor: s.rules.overload_factor,
            overload_time: ms_to_micros(s.rules.overload_time_ms),
            discovery_interval: ms_to_micros(s.rules.discovery_interval_ms),
            drain_grace: ms_to_micros(s.rules.drain_grace_ms),
            answer_grace: ms_to_micros(s.rules.answer_grace_ms),
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
            overall: s.goal.overall,
            worst_window: s.goal.worst_window,
            worst_class: s.goal.worst_class,
            worst_tenant: s.goal.worst_tenant,
            tail_latency: s.goal.tail_latency,
            tail_miss_share: s.goal.tail_miss_share,
        },
        tick: ms_to_micros(s.granularity_ms),
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn converts_every_setting() {
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
        let setup = serde_json::from_str(setup).expect("valid setup");
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
                max_runs: u32::MAX,
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
