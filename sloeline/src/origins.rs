//! Converts the configured membership sources to the settings of the membership package.

use std::path::Path;

use finchshift::Micros;
use sloeline_config::model::{self, Instance, MembershipGuard, Nodes, SourceKind};
use sloeline_membership::follow::SourceConfig;
use sloeline_membership::plausibility::PlausibilityRules;
use sloeline_membership::{announce, consul, dns, etcd, view, xds};

/// Minimum time between two queries to Consul, so that a service that changes all the time does not cause a query each time.
const MIN_POLL_INTERVAL: Micros = 100_000;

/// The plausibility rules of a pool.
pub fn rules(doubt: &MembershipGuard) -> PlausibilityRules {
    PlausibilityRules {
        max_lost_share: doubt.max_lost_share,
        window: doubt.window,
        hold_time: doubt.hold_time,
        accept_losses: doubt.accept_losses,
        max_members: doubt.max_members,
    }
}

/// Sources with their names, in the order of their precedence; paths are seen from the folder.
pub fn origins(
    list: &[model::MembershipSource],
    instance: &Instance,
    folder: &Path,
) -> Vec<(String, SourceConfig)> {
    let instances = instance.count;
    let origin = |o: &model::MembershipSource| {
        let (fleet_call_rate, response_timeout) = (o.fleet_call_rate, o.response_timeout);
        let origin = match &o.kind {
            SourceKind::Etcd { endpoints, prefix, check_interval, max_watch_lag, acceptance_delay } => {
                let settings = etcd::Settings {
                    prefix: prefix.clone(),
                    endpoints: endpoints.len(),
                    instances,
                    fleet_call_rate,
                    check_interval: *check_interval,
                    max_watch_lag: *max_watch_lag,
                    response_timeout,
                    acceptance_delay: *acceptance_delay,
                };
                SourceConfig::Etcd(settings, endpoints.clone())
            }
            SourceKind::Consul { endpoints, service, poll_wait, allow_stale, max_staleness } => {
                let settings = consul::Settings {
                    service: service.clone(),
                    endpoints: endpoints.len(),
                    instances,
                    fleet_call_rate,
                    poll_wait: *poll_wait,
                    response_timeout,
                    min_poll_interval: MIN_POLL_INTERVAL,
                    max_staleness: *max_staleness,
                    allow_stale: *allow_stale,
                };
                SourceConfig::Consul(settings, endpoints.clone())
            }
            SourceKind::Xds { endpoints, cluster, incremental, stream_lifetime, acceptance_delay } => {
                let settings = xds::Settings {
                    cluster: cluster.clone(),
                    incremental: *incremental,
                    node: instance.name.clone(),
                    endpoints: endpoints.len(),
                    instances,
                    fleet_call_rate,
                    response_timeout,
                    stream_lifetime: *stream_lifetime,
                    acceptance_delay: *acceptance_delay,
                };
                SourceConfig::Xds(settings, endpoints.clone())
            }
            SourceKind::Dns { name, port, zone, servers, min_ttl, max_ttl } => {
                let name = match port {
                    Some(port) => dns::Name::Addresses(name.clone(), *port),
                    None => dns::Name::Services(name.clone()),
                };
                let (zone, min_ttl, max_ttl) = (zone.clone(), *min_ttl, *max_ttl);
                let settings = dns::Settings {
                    name,
                    zone,
                    instances,
                    fleet_call_rate,
                    min_ttl,
                    max_ttl,
                    response_timeout,
                };
                SourceConfig::Dns(settings, servers.clone())
            }
            SourceKind::File(path) => SourceConfig::File(folder.join(path)),
            SourceKind::Registry(address) => SourceConfig::List(*address),
        };
        (o.name.clone(), origin)
    };
    list.iter().map(origin).collect()
}

/// The sources of a pool whatever way they are written; none for a list in the configuration.
pub fn all(pool: &model::Pool, instance: &Instance, folder: &Path) -> Vec<(String, SourceConfig)> {
    match &pool.nodes {
        Nodes::Static(_) => Vec::new(),
        Nodes::File(path) => vec![("file".to_owned(), SourceConfig::File(folder.join(path)))],
        Nodes::Registry(address) => vec![("registry".to_owned(), SourceConfig::List(*address))],
        Nodes::Sources(list, _) => origins(list, instance, folder),
    }
}

/// This instance as it announces itself, started at `started` in Unix time.
pub fn announce(config: &model::Config, wanted: &model::Announce, started: Micros) -> announce::Settings {
    announce::Settings {
        prefix: wanted.prefix.clone(),
        node: view::Node {
            identity: wanted.identity.clone(),
            address: wanted.address,
            zone: config.instance.zone.clone(),
            kind: "sloeline".to_owned(),
            cell: 0,
            weight: 1.0,
            started: Some(started),
        },
        lease: wanted.lease,
        endpoints: wanted.endpoints.len(),
        instances: config.instance.count,
        fleet_call_rate: wanted.fleet_call_rate,
        response_timeout: wanted.response_timeout,
    }
}
