//! The routing table: an immutable index of the routes of one configuration.

use std::collections::HashMap;

use crate::model::{Config, Edition, Route, SizeLimits};

/// The routes of one configuration, indexed by host and path prefix.
#[derive(Debug)]
pub struct Table {
    /// Version of the configuration.
    edition: Edition,
    /// Limits on the size and timing of client requests.
    limits: SizeLimits,
    /// All routes, in the order of the configuration.
    routes: Vec<Route>,
    /// The routes of each host, by host name in lower case.
    hosts: HashMap<String, Host>,
}

/// The routes of one host.
#[derive(Debug, Default)]
struct Host {
    /// Lengths of all path prefixes, longest first, without duplicates.
    lengths: Vec<usize>,
    /// Index of a route in [`Table::routes`], by path prefix.
    by_prefix: HashMap<String, usize>,
}

impl Table {
    /// Builds the table of a configuration.
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

    /// Version of the configuration that the table was built from.
    pub fn edition(&self) -> Edition {
        self.edition
    }

    /// Limits on the size and timing of client requests.
    pub fn limits(&self) -> SizeLimits {
        self.limits
    }

    /// All routes, in the order of the configuration.
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }

    /// Returns the index in [`Table::routes`] of the route whose prefix is the longest that `path` starts with. A port in
    /// `host` is ignored.
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
