//! From routes of the configuration to what their requests meet: made beside the requests, and taken apart beside them.

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

use finchshift as fs;
use hyper::header::HeaderName;
use sloeline_config::model::{Config, RouteConfig, ValueSource};
use sloeline_http::routed::{DescribedOperation, Pool, RouteClass, RoutePool, Routes, Service, Source};
use sloeline_routing::split::Split;
use sloeline_routing::table::Table;
use sloeline_work::schedule::{Job, Priority};
use tokio::task::spawn_local;

use super::{Daemon, ListenerPlan};
use crate::net::Net;
use crate::observed::Operations;

/// Services that are made or taken apart between two looks at the clock.
pub(super) const BATCH: usize = 64;

fn told_by(source: &ValueSource) -> Result<Source, String> {
    Ok(match source {
        ValueSource::Header(name) => Source::Header(header(name)?),
        ValueSource::Query(name) => Source::Query(name.clone()),
        ValueSource::Segment(at) => Source::Segment(*at),
        ValueSource::Fixed(value) => Source::Fixed(value.clone()),
    })
}

pub(super) fn header(name: &str) -> Result<HeaderName, String> {
    HeaderName::try_from(name).map_err(|e| format!("{name:?}: {e}"))
}

pub(super) type Numbers = BTreeMap<String, HashMap<String, fs::ClassId>>;

/// What a route leads to, but for the pools, which may not run yet.
pub(super) struct Leads {
    split: Option<(Split, Option<Source>)>,
    pools: Vec<String>,
    classes: Vec<RouteClass>,
    class_header: Option<HeaderName>,
    tenant: Option<Source>,
    key: Option<Source>,
    max_body_bytes: usize,
    described: Option<DescribedOperation>,
}

pub(super) fn leads(config: &Config, route: &RouteConfig, operations: &Operations) -> Result<Leads, String> {
    let class = |name: &String| {
        let class = &config.classes.get(name).ok_or_else(|| format!("no class {name:?}"))?.class;
        let deadline = route.deadline.map_or(class.deadline, |d| d.min(class.deadline));
        Ok::<_, String>(RouteClass { name: name.clone(), effect: class.effect, deadline })
    };
    let source = |s: &Option<ValueSource>| s.as_ref().map(told_by).transpose();
    let sides = route.split.iter().map(|(pool, weight)| (pool.as_str(), *weight));
    let narrow = route.operation.as_ref().map(|o| &o.restricted_class);
    let described = route.operation.as_ref().and_then(|o| {
        let operation = operations.get(&o.name)?;
        Some(DescribedOperation { operation, narrowed_class: route.classes.len() })
    });
    Ok(Leads {
        split: (route.split.len() > 1)
            .then(|| Ok::<_, String>((Split::new(sides), source(&route.sticky)?)))
            .transpose()?,
        pools: route.split.iter().map(|(pool, _)| pool.clone()).collect(),
        classes: route.classes.iter().chain(narrow).map(class).collect::<Result<_, _>>()?,
        class_header: route.class_header.as_deref().map(header).transpose()?,
        tenant: source(&route.tenant)?,
        key: source(&route.key)?,
        max_body_bytes: route.body_limit,
        described,
    })
}

/// What becomes of a route's requests: made already where all its pools run.
pub(super) enum Led {
    Made(Rc<Service<Net>>),
    Leads(Box<Leads>),
}

impl Daemon {
    /// What a route leads to, made where all its pools run.
    pub(super) fn led(&self, leads: Leads, numbers: &Numbers) -> Led {
        if leads.pools.iter().all(|pool| self.pools.contains_key(pool)) {
            Led::Made(Rc::new(self.service(leads, numbers)))
        } else {
            Led::Leads(Box::new(leads))
        }
    }

    fn service(&self, leads: Leads, numbers: &Numbers) -> Service<Net> {
        let side = |pool: &String| {
            let of = numbers.get(pool);
            let number = |class: &RouteClass| of.and_then(|n| n.get(&class.name)).copied();
            RoutePool {
                pool: self.pools[pool].pool.clone(),
                classes: leads.classes.iter().map(number).collect(),
            }
        };
        Service {
            route_pools: leads.pools.iter().map(side).collect(),
            split: leads.split,
            classes: leads.classes,
            class_header: leads.class_header,
            tenant: leads.tenant,
            key: leads.key,
            max_body_bytes: leads.max_body_bytes,
            described: leads.described,
        }
    }

    /// Takes back what was made of the routes to a pool: its classes have other numbers than when they were made.
    pub(super) fn unmake(
        &self,
        config: &Config,
        operations: &Operations,
        pool: &str,
        listeners: &mut [ListenerPlan],
    ) -> Result<(), String> {
        for listener in listeners {
            let on = config.routes.iter().filter(|r| r.listeners.contains(&listener.name));
            for (route, led) in on.zip(&mut listener.led) {
                if route.split.iter().any(|(p, _)| p == pool) {
                    *led = Led::Leads(Box::new(leads(config, route, operations)?));
                }
            }
        }
        Ok(())
    }

    pub(super) fn routes(
        &self,
        table: Table,
        led: Vec<Led>,
        deadline_header: Option<HeaderName>,
        numbers: &Numbers,
    ) -> Routes<Net> {
        let made = |led| match led {
            Led::Made(service) => service,
            Led::Leads(leads) => Rc::new(self.service(*leads, numbers)),
        };
        let services: Vec<Rc<Service<Net>>> = led.into_iter().map(made).collect();
        let mut pools: BTreeMap<&str, &Rc<Pool<Net>>> = BTreeMap::new();
        for side in services.iter().flat_map(|s| &s.route_pools) {
            pools.insert(&side.pool.name, &side.pool);
        }
        let pools = pools.into_values().cloned().collect();
        let strangers = self.operations.strangers.clone();
        Routes { table, services, pools, deadline_header, unrouted_requests: strangers }
    }

    /// Takes routes that are no more apart, in turns: thousands are as much work as they were to make.
    pub(super) fn take_apart(&self, before: Routes<Net>) {
        let Routes { table, mut services, pools, .. } = before;
        drop(pools);
        tokio::task::spawn_blocking(move || drop(table));
        let work = self.work.clone();
        spawn_local(async move {
            // Without a place it is done at once.
            let mut turn = work.acquire_turn(Job::new("take apart", 0, Priority::Background)).await.ok();
            while !services.is_empty() {
                services.truncate(services.len().saturating_sub(BATCH));
                if let Some(turn) = &mut turn {
                    turn.yield_if_over().await;
                }
            }
        });
    }
}
