//! Reads the sources of a pool's members, the guard against suspicious losses and `[announce]`.

use std::net::SocketAddr;

use finchshift::Micros;

use crate::model::{Announce, Instance, MembershipGuard, MembershipSource, SourceKind};
use crate::read::{Located, Section, TimeSpan};
use crate::sections::positive;

/// One millisecond in microseconds.
const MILLISECOND: Micros = 1_000;
/// One second in microseconds.
const SECOND: Micros = 1_000_000;
/// Default of `fleet_calls`: calls per second that all instances together make to a source after a failure.
const DEFAULT_FLEET_CALL_RATE: f64 = 200.0;
/// Maximum length of a key prefix or a DNS name, in bytes.
const MAX_NAME_BYTES: usize = 253;

/// Reads an optional list of addresses, which must not be empty.
fn endpoints(section: &Section<'_>, key: &'static str) -> Option<Vec<SocketAddr>> {
    let list = section.get::<Vec<SocketAddr>>(key)?;
    if list.value.is_empty() {
        section.report(&list.span, key, "an empty list", "at least one address");
        return None;
    }
    Some(list.value)
}

/// Reads a key prefix in etcd, which must end with a slash. The keys of the members follow the prefix.
fn prefix(section: &Section<'_>) -> Option<String> {
    let prefix = section
        .required::<String>("prefix", "the prefix of the keys in etcd, such as \"/sloeline/checks/\"")?;
    let good = prefix.value.ends_with('/') && prefix.value.len() <= MAX_NAME_BYTES && prefix.value.is_ascii();
    if !good {
        let expected = format!("ASCII of at most {MAX_NAME_BYTES} bytes that ends with a slash");
        section.report(&prefix.span, "prefix", format!("{:?}", prefix.value), expected);
        return None;
    }
    Some(prefix.value)
}

/// Reads `fleet_calls`: calls per second that all instances together may make after a failure.
fn fleet_calls(section: &Section<'_>) -> f64 {
    match section.get::<f64>("fleet_calls") {
        Some(Located { value, span }) if value < 1.0 => {
            section.report(&span, "fleet_calls", value.to_string(), "1 or more calls a second");
            DEFAULT_FLEET_CALL_RATE
        }
        Some(at) => at.value,
        None => DEFAULT_FLEET_CALL_RATE,
    }
}

/// Checks a DNS name (RFC 1035 section 2.3.4). Underscores are allowed, since service names contain them (RFC 2782).
fn dns_name(section: &Section<'_>, key: &'static str, at: Located<String>) -> Option<String> {
    let label = |l: &str| {
        !l.is_empty() && l.len() <= 63 && l.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_".contains(&b))
    };
    let bare = at.value.trim_end_matches('.');
    if bare.len() > MAX_NAME_BYTES || !bare.split('.').all(label) {
        section.report(&at.span, key, format!("{:?}", at.value), "a name of the DNS");
        return None;
    }
    Some(at.value)
}

/// Reads the protocol of a source and its settings. Returns the key that selects the protocol with the settings.
fn source_kind(section: &Section<'_>, instance: &Instance) -> Option<(&'static str, SourceKind)> {
    let kinds = ["etcd", "consul", "xds", "dns", "srv", "file", "registry"];
    let (etcd, consul) = (endpoints(section, "etcd"), endpoints(section, "consul"));
    let xds = endpoints(section, "xds");
    let (dns, srv) = (section.get::<String>("dns"), section.get::<String>("srv"));
    let (file, registry) = (section.get::<String>("file"), section.get::<SocketAddr>("registry"));
    let given = [
        etcd.is_some(),
        consul.is_some(),
        xds.is_some(),
        dns.is_some(),
        srv.is_some(),
        file.is_some(),
        registry.is_some(),
    ];
    let count = given.iter().filter(|g| **g).count();
    if count != 1 {
        let found = format!("{count} kinds of source");
        section.report(&section.span, "source", found, format!("exactly one of {}", kinds.join(", ")));
        return None;
    }
    if let Some(endpoints) = etcd {
        let prefix = prefix(section);
        let check_interval = positive(section, "check", 5 * SECOND);
        let max_watch_lag = positive(section, "patience", SECOND);
        let acceptance_delay = positive(section, "believe_after", 30 * SECOND);
        return Some((
            "etcd",
            SourceKind::Etcd { endpoints, prefix: prefix?, check_interval, max_watch_lag, acceptance_delay },
        ));
    }
    if let Some(endpoints) = consul {
        let service = section.required::<String>("service", "the name of the service");
        let poll_wait = positive(section, "wait", 10 * SECOND);
        let allow_stale = section.get_or("stale", false);
        let max_staleness = positive(section, "most_stale", 5 * SECOND);
        let service = service?.value;
        return Some((
            "consul",
            SourceKind::Consul { endpoints, service, poll_wait, allow_stale, max_staleness },
        ));
    }
    if let Some(endpoints) = xds {
        let cluster = section.required::<String>("cluster", "the name of the cluster");
        let incremental = section.get_or("delta", false);
        let stream_lifetime = positive(section, "renew", 300 * SECOND);
        let acceptance_delay = positive(section, "believe_after", 30 * SECOND);
        let cluster = cluster?.value;
        return Some((
            "xds",
            SourceKind::Xds { endpoints, cluster, incremental, stream_lifetime, acceptance_delay },
        ));
    }
    if let Some((key, at)) = dns.map(|d| ("dns", d)).or(srv.map(|s| ("srv", s))) {
        let port = match (key, section.get::<u64>("port")) {
            ("srv", None) => None,
            ("srv", Some(port)) => {
                section.report(&port.span, "port", "a port", "no port: SRV records contain it");
                None
            }
            (_, Some(port)) if (1..=65535).contains(&port.value) => Some(port.value as u16),
            (_, Some(port)) => {
                section.report(&port.span, "port", port.value.to_string(), "1 to 65535");
                return None;
            }
            (_, None) => {
                section.report(&section.span, "port", "nothing", "the port of all members");
                return None;
            }
        };
        let servers = section.get_or("servers", Vec::new());
        let zone = section.get_or("zone", instance.zone.clone());
        let min_ttl = positive(section, "least_ttl", SECOND);
        let max_ttl = positive(section, "most_ttl", 60 * SECOND);
        let name = dns_name(section, key, at)?;
        return Some((key, SourceKind::Dns { name, port, zone, servers, min_ttl, max_ttl }));
    }
    if let Some(file) = file {
        return Some(("file", SourceKind::File(file.value)));
    }
    registry.map(|registry| ("registry", SourceKind::Registry(registry.value)))
}

/// Reads the sources of a pool in order of precedence, which is their order in the text. Returns `None` if a source is
/// invalid.
pub fn membership_sources(
    pool: &Section<'_>,
    sections: Vec<Section<'_>>,
    instance: &Instance,
) -> Option<Vec<MembershipSource>> {
    let mut sources: Vec<MembershipSource> = Vec::new();
    let (count, mut valid) = (sections.len(), true);
    for section in sections {
        let span = section.span.clone();
        let found_kind = source_kind(&section, instance);
        let name = section.get::<String>("name");
        // Without a valid kind, it is not known which keys are allowed, so unknown keys are not reported.
        let Some((kind, settings)) = found_kind else {
            valid = false;
            continue;
        };
        let (fleet_calls, answer) = match &settings {
            SourceKind::File(_) | SourceKind::Registry(_) => (DEFAULT_FLEET_CALL_RATE, 3 * SECOND),
            _ => (fleet_calls(&section), positive(&section, "answer", 15 * SECOND)),
        };
        section.finish();
        let name = name.map_or_else(|| kind.to_owned(), |n| n.value);
        if sources.iter().any(|o| o.name == name) {
            pool.report(&span, "source", format!("{name:?} twice"), "a unique name");
        }
        sources.push(MembershipSource {
            name,
            fleet_call_rate: fleet_calls,
            response_timeout: answer,
            kind: settings,
        });
    }
    (valid && sources.len() == count).then_some(sources)
}

/// Reads `[pool.NAME.doubt]`.
pub fn membership_guard(section: Section<'_>) -> MembershipGuard {
    let defaults = MembershipGuard::default();
    let most_lost = section.get::<f64>("most_lost");
    if let Some(wrong) = most_lost.as_ref().filter(|m| m.value > 1.0) {
        section.report(&wrong.span, "most_lost", wrong.value.to_string(), "a share, from 0 to 1");
    }
    let most_members = section.get::<u64>("most_members");
    if let Some(wrong) = most_members.as_ref().filter(|m| !(1..=1_000_000).contains(&m.value)) {
        section.report(&wrong.span, "most_members", wrong.value.to_string(), "1 to 1000000");
    }
    let guard = MembershipGuard {
        max_lost_share: most_lost.map_or(defaults.max_lost_share, |m| m.value),
        window: positive(&section, "window", defaults.window),
        hold_time: positive(&section, "hold", defaults.hold_time),
        accept_losses: section.get_or("accept", defaults.accept_losses),
        max_members: most_members.map_or(defaults.max_members, |m| m.value as usize),
    };
    section.finish();
    guard
}

/// Reads `[announce]`.
pub fn announce(section: Section<'_>, instance: &Instance) -> Option<Announce> {
    let given = endpoints(&section, "etcd");
    if given.is_none() && section.get::<Vec<SocketAddr>>("etcd").is_none() {
        section.report(&section.span, "etcd", "nothing", "a list of addresses");
    }
    let prefix = prefix(&section);
    let address =
        section.required::<SocketAddr>("address", "the address at which callers reach this instance");
    let identity = section.get_or("identity", instance.name.clone());
    let lease = section.get::<TimeSpan>("lease");
    if let Some(wrong) = lease.as_ref().filter(|l| !(2 * SECOND..=3600 * SECOND).contains(&l.value.0)) {
        let found = format!("{} ms", wrong.value.0 / MILLISECOND);
        section.report(&wrong.span, "lease", found, "2 s to 1 h");
    }
    let lease = lease.map_or(10 * SECOND, |l| l.value.0);
    let (fleet_calls, answer) = (fleet_calls(&section), positive(&section, "answer", 2 * SECOND));
    section.finish();
    Some(Announce {
        endpoints: given?,
        prefix: prefix?,
        identity,
        address: address?.value,
        lease,
        fleet_call_rate: fleet_calls,
        response_timeout: answer,
    })
}
