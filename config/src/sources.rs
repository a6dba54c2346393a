//! Reads where members are listed and announced: sources, rules of doubt, `[announce]`.

use std::net::SocketAddr;

use finchshift::Micros;

use crate::model::{Announce, Instance, MembershipGuard, MembershipSource, SourceKind};
use crate::read::{At, Section, Time};
use crate::sections::positive;

const MILLISECOND: Micros = 1_000;
const SECOND: Micros = 1_000_000;
/// Calls a second of the whole fleet at a registry that comes back.
const FLEET_CALLS: f64 = 200.0;
/// Longest prefix or name.
const MOST_TEXT: usize = 253;

/// A list of addresses with at least one in it.
fn endpoints(section: &Section<'_>, key: &'static str) -> Option<Vec<SocketAddr>> {
    let list = section.get::<Vec<SocketAddr>>(key)?;
    if list.value.is_empty() {
        section.wrong(&list.span, key, "an empty list", "at least one address");
        return None;
    }
    Some(list.value)
}

/// A prefix of keys: it ends with a slash, and what comes after it is another's.
fn prefix(section: &Section<'_>) -> Option<String> {
    let prefix = section.need::<String>("prefix", "the prefix of its keys, such as \"/sloeline/checks/\"")?;
    let good = prefix.value.ends_with('/') && prefix.value.len() <= MOST_TEXT && prefix.value.is_ascii();
    if !good {
        let expected = format!("ASCII of at most {MOST_TEXT} bytes that ends with a slash");
        section.wrong(&prefix.span, "prefix", format!("{:?}", prefix.value), expected);
        return None;
    }
    Some(prefix.value)
}

fn fleet_calls(section: &Section<'_>) -> f64 {
    match section.get::<f64>("fleet_calls") {
        Some(At { value, span }) if value < 1.0 => {
            section.wrong(&span, "fleet_calls", value.to_string(), "1 or more calls a second");
            FLEET_CALLS
        }
        Some(at) => at.value,
        None => FLEET_CALLS,
    }
}

/// A name of the DNS (RFC 1035 section 2.3.4); underscores stand in service names (RFC 2782).
fn name(section: &Section<'_>, key: &'static str, at: At<String>) -> Option<String> {
    let label = |l: &str| {
        !l.is_empty() && l.len() <= 63 && l.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_".contains(&b))
    };
    let bare = at.value.trim_end_matches('.');
    if bare.len() > MOST_TEXT || !bare.split('.').all(label) {
        section.wrong(&at.span, key, format!("{:?}", at.value), "a name of the DNS");
        return None;
    }
    Some(at.value)
}

fn place(section: &Section<'_>, instance: &Instance) -> Option<(&'static str, SourceKind)> {
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
        let found = format!("{count} of them");
        section.wrong(&section.span, "source", found, format!("exactly one of {}", kinds.join(", ")));
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
        let service = section.need::<String>("service", "the name of the service");
        let poll_wait = positive(section, "wait", 10 * SECOND);
        let allow_stale = section.or("stale", false);
        let max_staleness = positive(section, "most_stale", 5 * SECOND);
        let service = service?.value;
        return Some((
            "consul",
            SourceKind::Consul { endpoints, service, poll_wait, allow_stale, max_staleness },
        ));
    }
    if let Some(endpoints) = xds {
        let cluster = section.need::<String>("cluster", "the name of the cluster");
        let incremental = section.or("delta", false);
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
                section.wrong(&port.span, "port", "a port", "none: SRV records tell it");
                None
            }
            (_, Some(port)) if (1..=65535).contains(&port.value) => Some(port.value as u16),
            (_, Some(port)) => {
                section.wrong(&port.span, "port", port.value.to_string(), "1 to 65535");
                return None;
            }
            (_, None) => {
                section.wrong(&section.span, "port", "nothing", "the port of all its members");
                return None;
            }
        };
        let servers = section.or("servers", Vec::new());
        let zone = section.or("zone", instance.zone.clone());
        let min_ttl = positive(section, "least_ttl", SECOND);
        let max_ttl = positive(section, "most_ttl", 60 * SECOND);
        let name = name(section, key, at)?;
        return Some((key, SourceKind::Dns { name, port, zone, servers, min_ttl, max_ttl }));
    }
    if let Some(file) = file {
        return Some(("file", SourceKind::File(file.value)));
    }
    registry.map(|registry| ("registry", SourceKind::Registry(registry.value)))
}

/// The sources of a pool, in the order of the text, which is that of their precedence.
pub fn origins(
    pool: &Section<'_>,
    sections: Vec<Section<'_>>,
    instance: &Instance,
) -> Option<Vec<MembershipSource>> {
    let mut origins: Vec<MembershipSource> = Vec::new();
    let (all, mut whole) = (sections.len(), true);
    for section in sections {
        let span = section.span.clone();
        let place = place(&section, instance);
        let name = section.get::<String>("name");
        // A source of which only the kind is wrong: its other keys are not known.
        let Some((kind, place)) = place else {
            whole = false;
            continue;
        };
        let (fleet_calls, answer) = match &place {
            SourceKind::File(_) | SourceKind::Registry(_) => (FLEET_CALLS, 3 * SECOND),
            _ => (fleet_calls(&section), positive(&section, "answer", 15 * SECOND)),
        };
        section.end();
        let name = name.map_or_else(|| kind.to_owned(), |n| n.value);
        if origins.iter().any(|o| o.name == name) {
            pool.wrong(&span, "source", format!("{name:?} twice"), "names that stand once");
        }
        origins.push(MembershipSource {
            name,
            fleet_call_rate: fleet_calls,
            response_timeout: answer,
            kind: place,
        });
    }
    (whole && origins.len() == all).then_some(origins)
}

/// The rules of doubt.
pub fn doubt(section: Section<'_>) -> MembershipGuard {
    let or = MembershipGuard::default();
    let most_lost = section.get::<f64>("most_lost");
    if let Some(wrong) = most_lost.as_ref().filter(|m| m.value > 1.0) {
        section.wrong(&wrong.span, "most_lost", wrong.value.to_string(), "a part, from 0 to 1");
    }
    let most_members = section.get::<u64>("most_members");
    if let Some(wrong) = most_members.as_ref().filter(|m| !(1..=1_000_000).contains(&m.value)) {
        section.wrong(&wrong.span, "most_members", wrong.value.to_string(), "1 to 1000000");
    }
    let doubt = MembershipGuard {
        max_lost_share: most_lost.map_or(or.max_lost_share, |m| m.value),
        window: positive(&section, "window", or.window),
        hold_time: positive(&section, "hold", or.hold_time),
        accept_losses: section.or("accept", or.accept_losses),
        max_members: most_members.map_or(or.max_members, |m| m.value as usize),
    };
    section.end();
    doubt
}

/// Where this instance is announced.
pub fn announce(section: Section<'_>, instance: &Instance) -> Option<Announce> {
    let given = endpoints(&section, "etcd");
    if given.is_none() && section.get::<Vec<SocketAddr>>("etcd").is_none() {
        section.wrong(&section.span, "etcd", "nothing", "a list of addresses");
    }
    let prefix = prefix(&section);
    let address = section.need::<SocketAddr>("address", "where callers reach this instance");
    let identity = section.or("identity", instance.name.clone());
    let lease = section.get::<Time>("lease");
    if let Some(wrong) = lease.as_ref().filter(|l| !(2 * SECOND..=3600 * SECOND).contains(&l.value.0)) {
        let found = format!("{} ms", wrong.value.0 / MILLISECOND);
        section.wrong(&wrong.span, "lease", found, "2 s to 1 h");
    }
    let lease = lease.map_or(10 * SECOND, |l| l.value.0);
    let (fleet_calls, answer) = (fleet_calls(&section), positive(&section, "answer", 2 * SECOND));
    section.end();
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
