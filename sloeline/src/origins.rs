//! From the configuration's words on sources to what membership is told.

use std::path::Path;

use finchshift::Micros;
use sloeline_config::model::{self, Instance, MembershipGuard, Nodes, SourceKind};
use sloeline_membership::doubt::Rules;
use sloeline_membership::follow::Origin;
use sloeline_membership::{announce, consul, dns, etcd, view, xds};

/// Questions to Consul are no closer than this: guards against a service that changes all the time.
const APART: Micros = 100_000;

/// The rules of doubt.
pub fn rules(doubt: &MembershipGuard) -> Rules {
    Rules {
        most_lost: doubt.max_lost_share,
        window: doubt.window,
        hold: doubt.hold_time,
        accept: doubt.accept_losses,
        most_members: doubt.max_members,
    }
}

/// Sources with their names, in the order of their precedence; paths are seen from the folder.
pub fn origins(
    list: &[model::MembershipSource],
    instance: &Instance,
    folder: &Path,
) -> Vec<(String, Origin)> {
    let instances = instance.count;
    let origin = |o: &model::MembershipSource| {
        let (rate, answer) = (o.fleet_call_rate, o.response_timeout);
        let origin = match &o.kind {
            SourceKind::Etcd {
                endpoints,
                prefix,
                check_interval: check,
                max_watch_lag: patience,
                acceptance_delay: believe_after,
            } => {
                let settings = etcd::Settings {
                    prefix: prefix.clone(),
                    endpoints: endpoints.len(),
                    instances,
                    rate,
                    check: *check,
                    patience: *patience,
                    answer,
                    believe_after: *believe_after,
                };
                Origin::Etcd(settings, endpoints.clone())
            }
            SourceKind::Consul {
                endpoints,
                service,
                poll_wait: wait,
                allow_stale: stale,
                max_staleness: most_stale,
            } => {
                let settings = consul::Settings {
                    service: service.clone(),
                    endpoints: endpoints.len(),
                    instances,
                    rate,
                    wait: *wait,
                    answer,
                    apart: APART,
                    most_stale: *most_stale,
                    stale: *stale,
                };
                Origin::Consul(settings, endpoints.clone())
            }
            SourceKind::Xds {
                endpoints,
                cluster,
                incremental: delta,
                stream_lifetime: renew,
                acceptance_delay: believe_after,
            } => {
                let settings = xds::Settings {
                    cluster: cluster.clone(),
                    delta: *delta,
                    node: instance.name.clone(),
                    endpoints: endpoints.len(),
                    instances,
                    rate,
                    answer,
                    renew: *renew,
                    believe_after: *believe_after,
                };
                Origin::Xds(settings, endpoints.clone())
            }
            SourceKind::Dns { name, port, zone, servers, min_ttl: least, max_ttl: most } => {
                let name = match port {
                    Some(port) => dns::Name::Addresses(name.clone(), *port),
                    None => dns::Name::Services(name.clone()),
                };
                let (zone, least, most) = (zone.clone(), *least, *most);
                let settings = dns::Settings { name, zone, instances, rate, least, most, answer };
                Origin::Dns(settings, servers.clone())
            }
            SourceKind::File(path) => Origin::File(folder.join(path)),
            SourceKind::Registry(address) => Origin::List(*address),
        };
        (o.name.clone(), origin)
    };
    list.iter().map(origin).collect()
}

/// The sources of a pool whatever way they are written; none for a list in the configuration.
pub fn all(pool: &model::Pool, instance: &Instance, folder: &Path) -> Vec<(String, Origin)> {
    match &pool.nodes {
        Nodes::Static(_) => Vec::new(),
        Nodes::File(path) => vec![("file".to_owned(), Origin::File(folder.join(path)))],
        Nodes::Registry(address) => vec![("registry".to_owned(), Origin::List(*address))],
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
        rate: wanted.fleet_call_rate,
        answer: wanted.response_timeout,
    }
}
