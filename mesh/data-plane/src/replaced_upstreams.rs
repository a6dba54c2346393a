//! Upstreams that are listed in a record although another upstream has their address by now.
//!
//! A machine that crashes cannot change its record, and its address may be given to another machine. The balancer at the
//! address then tells which upstream it has. An instance name is never used twice, so the listed one is gone for good.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;

use log::info;
use sloeline_discovery::Record;
use sloeline_engine::types::Target;
use tokio::sync::Notify;

/// The replaced upstreams, shared by all services of a balancer.
#[derive(Default)]
pub struct ReplacedUpstreams {
    /// The replaced instances, by the address that they had.
    by_address: RefCell<HashMap<SocketAddr, Vec<Rc<str>>>>,
    /// Notified when an upstream is added.
    added: Notify,
}

impl ReplacedUpstreams {
    /// Records that another upstream has answered at the address of this target.
    pub fn add(&self, target: &Target) {
        let Target { instance, address, .. } = target;
        if self.contains(instance, *address) {
            return;
        }
        self.by_address.borrow_mut().entry(*address).or_default().push(instance.clone());
        info!(target: "upstream", "Upstream {instance} is gone: another one is at {address}.");
        self.added.notify_one();
    }

    /// Whether another upstream has answered at the address of this instance.
    pub fn contains(&self, instance: &str, address: SocketAddr) -> bool {
        let by_address = self.by_address.borrow();
        by_address.get(&address).is_some_and(|replaced| replaced.iter().any(|known| **known == *instance))
    }

    /// Forgets the upstreams that no record lists at their address any more.
    pub fn retain_listed(&self, records: &BTreeMap<String, Rc<Record>>) {
        let mut by_address = self.by_address.borrow_mut();
        if by_address.is_empty() {
            return;
        }
        let listed: HashSet<(&str, SocketAddr)> = records
            .values()
            .filter_map(|record| Some((record.upstream.as_ref()?.id.as_str(), record.incoming_address?)))
            .collect();
        by_address.retain(|address, replaced| {
            replaced.retain(|instance| listed.contains(&(&**instance, *address)));
            !replaced.is_empty()
        });
    }

    /// Waits until an upstream has been added since the last call.
    pub async fn added(&self) {
        self.added.notified().await;
    }
}
