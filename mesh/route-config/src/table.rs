//! What requests are routed by: an immutable table made of one configuration.

use std::collections::HashMap;

use crate::model::{Config, Edition, Route, SizeLimits};

/// The routes as of one configuration.
#[derive(Debug)]
pub struct Table {
    edition: Edition,
    limits: SizeLimits,
    routes: Vec<Route>,
    /// For each host: which lengths prefixes have, longest first, and the routes by prefix.
    hosts: HashMap<String, Host>,
}

#[derive(Debug, Default)]
struct Host {
    lengths: Vec<usize>,
    by_prefix: HashMap<String, usize>,
}

impl Table {
    /// The table of a configuration.
    pub fn new(config: &Config) -> Table {
        let mut routes = Vec::new();
        let mut hosts: HashMap<String, Host> = HashMap::new();
        for gateway in &config.gateways {
            let host = hosts.entry(gateway.station.to_ascii_lowercase()).or_default();
            for route in &gateway.regulations {
                let prefix = route.sort_by.lane_prefix.clone();
                host.lengths.push(prefix.len());
                host.by_prefix.insert(prefix, routes.len());
                routes.push(route.clone());
            }
        }
        for host in hosts.values_mut() {
            host.lengths.sort_unstable_by(|a, b| b.cmp(a));
            host.lengths.dedup();
        }
        Table { edition: config.edition, limits: config.size_limits, routes, hosts }
    }

    /// The version.
    pub fn edition(&self) -> Edition {
        self.edition
    }

    /// Bounds on what clients send.
    pub fn limits(&self) -> SizeLimits {
        self.limits
    }

    /// All routes.
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }

    /// The number of the route with the longest prefix that begins the path. A port in the host does not count.
    pub fn find(&self, host: &str, path: &str) -> Option<usize> {
        let host = match host.rsplit_once(':') {
            Some((name, port)) if port.bytes().all(|b| b.is_ascii_digit()) => name,
            _ => host,
        };
        let found = self.hosts.get(host).or_else(|| self.hosts.get(&host.to_ascii_lowercase()))?;
        let prefixes = found.lengths.iter().filter_map(|length| path.get(..*length));
        prefixes.filter_map(|prefix| found.by_prefix.get(prefix)).copied().next()
    }
}
