//! Questions to DNS servers, through `hickory-resolver`, whose own cache is off: the machine keeps the times.

use std::net::SocketAddr;

use finchshift::Micros;
use hickory_resolver::TokioResolver;
use hickory_resolver::config::{ConnectionConfig, NameServerConfig, ResolveHosts, ResolverConfig};
use hickory_resolver::net::runtime::TokioRuntimeProvider;
use hickory_resolver::net::{DnsError, NetError};
use hickory_resolver::proto::op::ResponseCode;
use hickory_resolver::proto::rr::{RData, RecordType};
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, spawn_local};

use super::{Ask, Name, Record, Told};
use crate::source::Line;

/// Most targets of an SRV answer that are looked up.
const MOST_TARGETS: usize = 1000;

/// The question under way.
pub struct Questions {
    resolver: TokioResolver,
    under_way: Option<(u64, AbortHandle)>,
    sender: mpsc::Sender<Told>,
    told: mpsc::Receiver<Told>,
}

impl Questions {
    /// Asks these servers, or those of the system where none are given.
    pub fn new(servers: &[SocketAddr]) -> Result<Questions, String> {
        let provider = TokioRuntimeProvider::default();
        let mut builder = if servers.is_empty() {
            TokioResolver::builder(provider).map_err(|e| e.to_string())?
        } else {
            let server = |address: &SocketAddr| {
                let mut server = NameServerConfig::udp_and_tcp(address.ip());
                server.connections.iter_mut().for_each(|c: &mut ConnectionConfig| c.port = address.port());
                server
            };
            let config = ResolverConfig::from_name_servers(servers.iter().map(server).collect());
            TokioResolver::builder_with_config(config, provider)
        };
        let options = builder.options_mut();
        options.cache_size = 0;
        options.use_hosts_file = ResolveHosts::Never;
        let resolver = builder.build().map_err(|e| e.to_string())?;
        let (sender, told) = mpsc::channel(2);
        Ok(Questions { resolver, under_way: None, sender, told })
    }
}

impl Drop for Questions {
    fn drop(&mut self) {
        if let Some((_, task)) = &self.under_way {
            task.abort();
        }
    }
}

/// Records and how long they live; none where there is no such name.
async fn records(
    resolver: &TokioResolver,
    name: &str,
    kind: RecordType,
) -> Result<(Vec<RData>, Option<u32>), String> {
    match resolver.lookup(name, kind).await {
        Ok(lookup) => {
            let of_kind = lookup.answers().iter().filter(|r| r.record_type() == kind);
            let ttl = lookup.answers().iter().map(|r| r.ttl).min();
            Ok((of_kind.map(|r| r.data.clone()).collect(), ttl))
        }
        Err(NetError::Dns(DnsError::NoRecordsFound(none)))
            if matches!(none.response_code, ResponseCode::NXDomain | ResponseCode::NoError) =>
        {
            Ok((Vec::new(), none.negative_ttl))
        }
        Err(why) => Err(format!("{name}: {why}")),
    }
}

/// Both kinds of addresses. One kind that fails is a failure: half of the members would go.
async fn addresses(
    resolver: &TokioResolver,
    name: &str,
) -> Result<(Vec<std::net::IpAddr>, Option<u32>), String> {
    let (four, six) =
        tokio::join!(records(resolver, name, RecordType::A), records(resolver, name, RecordType::AAAA));
    let (four, six) = (four?, six?);
    let ip = |data: RData| match data {
        RData::A(a) => Some(a.0.into()),
        RData::AAAA(a) => Some(a.0.into()),
        _ => None,
    };
    let ttl = match (four.0.is_empty(), six.0.is_empty()) {
        (false, true) => four.1,
        (true, false) => six.1,
        _ => four.1.into_iter().chain(six.1).min(),
    };
    Ok((four.0.into_iter().chain(six.0).filter_map(ip).collect(), ttl))
}

async fn question(resolver: &TokioResolver, call: u64, name: Name) -> Result<Told, String> {
    let live = |ttl: Option<u32>| Micros::from(ttl.unwrap_or(0)) * 1_000_000;
    match name {
        Name::Addresses(name, port) => {
            let (ips, ttl) = addresses(resolver, &name).await?;
            let record =
                |ip| Record { target: None, address: SocketAddr::new(ip, port), priority: 0, weight: 1 };
            Ok(Told::Answer { call, records: ips.into_iter().map(record).collect(), ttl: live(ttl) })
        }
        Name::Services(name) => {
            let (services, mut ttl) = records(resolver, &name, RecordType::SRV).await?;
            let mut found = Vec::new();
            if services.len() > MOST_TARGETS {
                let n = services.len();
                return Err(format!("{name}: found {n} targets, expected at most {MOST_TARGETS}"));
            }
            for service in services {
                let RData::SRV(srv) = service else { continue };
                let target = srv.target.to_string();
                // "." says that the service is decidedly not there (RFC 2782).
                if target == "." {
                    continue;
                }
                let (ips, lives) = addresses(resolver, &target).await?;
                ttl = ttl.into_iter().chain(lives).min();
                found.extend(ips.into_iter().map(|ip| Record {
                    target: Some(target.trim_end_matches('.').to_ascii_lowercase()),
                    address: SocketAddr::new(ip, srv.port),
                    priority: srv.priority,
                    weight: srv.weight,
                }));
            }
            Ok(Told::Answer { call, records: found, ttl: live(ttl) })
        }
    }
}

impl Line for Questions {
    type Ask = Ask;
    type Told = Told;

    fn make(&mut self, ask: Ask) {
        let before = self.under_way.take();
        if let Some((_, task)) = before {
            task.abort();
        }
        let (call, Some(name)) = (ask.call, ask.name) else { return };
        let (resolver, sender) = (self.resolver.clone(), self.sender.clone());
        let task = spawn_local(async move {
            let told = question(&resolver, call, name).await;
            let _ = sender.send(told.unwrap_or_else(|why| Told::Failed { call, why })).await;
        });
        self.under_way = Some((call, task.abort_handle()));
    }

    async fn next(&mut self) -> Told {
        match self.told.recv().await {
            Some(told) => told,
            // The sender is held here.
            None => std::future::pending().await,
        }
    }
}
