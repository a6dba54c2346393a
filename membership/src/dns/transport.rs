//! Queries to DNS servers through `hickory-resolver`. Its cache is disabled, because the protocol keeps the times to live.

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

use super::{Command, Name, Record, Reply};
use crate::source::Transport;

/// Maximum number of targets of an SRV response that are looked up.
const MAX_TARGETS: usize = 1000;

/// Runs one query at a time.
pub struct DnsTransport {
    resolver: TokioResolver,
    under_way: Option<(u64, AbortHandle)>,
    sender: mpsc::Sender<Reply>,
    replies: mpsc::Receiver<Reply>,
}

impl DnsTransport {
    /// Creates a transport that queries these servers, or those of the system if none are given.
    pub fn new(servers: &[SocketAddr]) -> Result<DnsTransport, String> {
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
        let (sender, replies) = mpsc::channel(2);
        Ok(DnsTransport { resolver, under_way: None, sender, replies })
    }
}

impl Drop for DnsTransport {
    fn drop(&mut self) {
        if let Some((_, task)) = &self.under_way {
            task.abort();
        }
    }
}

/// Looks up records and their time to live; none if the name does not exist.
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

/// Looks up both kinds of addresses. If one kind fails, the lookup fails, because half of the members would be missing.
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

async fn query(resolver: &TokioResolver, call: u64, name: Name) -> Result<Reply, String> {
    let live = |ttl: Option<u32>| Micros::from(ttl.unwrap_or(0)) * 1_000_000;
    match name {
        Name::Addresses(name, port) => {
            let (ips, ttl) = addresses(resolver, &name).await?;
            let record =
                |ip| Record { target: None, address: SocketAddr::new(ip, port), priority: 0, weight: 1 };
            Ok(Reply::Answer { call, records: ips.into_iter().map(record).collect(), ttl: live(ttl) })
        }
        Name::Services(name) => {
            let (services, mut ttl) = records(resolver, &name, RecordType::SRV).await?;
            let mut found = Vec::new();
            if services.len() > MAX_TARGETS {
                let n = services.len();
                return Err(format!("{name}: found {n} targets, expected at most {MAX_TARGETS}"));
            }
            for service in services {
                let RData::SRV(srv) = service else { continue };
                let target = srv.target.to_string();
                // "." means that the service is not available (RFC 2782).
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
            Ok(Reply::Answer { call, records: found, ttl: live(ttl) })
        }
    }
}

impl Transport for DnsTransport {
    type Command = Command;
    type Reply = Reply;

    fn execute(&mut self, command: Command) {
        let before = self.under_way.take();
        if let Some((_, task)) = before {
            task.abort();
        }
        let (call, Some(name)) = (command.call, command.name) else { return };
        let (resolver, sender) = (self.resolver.clone(), self.sender.clone());
        let task = spawn_local(async move {
            let reply = query(&resolver, call, name).await;
            let _ = sender.send(reply.unwrap_or_else(|why| Reply::Failed { call, why })).await;
        });
        self.under_way = Some((call, task.abort_handle()));
    }

    async fn next_reply(&mut self) -> Reply {
        match self.replies.recv().await {
            Some(reply) => reply,
            // Never the case: this value holds a sender.
            None => std::future::pending().await,
        }
    }
}
