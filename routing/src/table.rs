//! Finds a request's route. The order of precedence does not depend on the order in which routes are given:
//!
//! 1. the host: an exact name, then the longest `*.name`, then any;
//! 2. the path, segment by segment from the left: text, then a parameter, then the end of a prefix;
//! 3. a route that names methods before one that takes all;
//! 4. the route with more conditions.
//!
//! What is left equal is an error of the configuration, see [`crate::analysis`].
//!
//! A walk visits at most the nodes of one host's tree, and as many levels as the longest pattern has segments.

use std::collections::{BTreeSet, HashMap};

use crate::pattern::{ConditionSource, HostPattern, Request, Route, Segment};

/// Why a request has no route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NoRoute {
    /// No route for this host and path.
    NotFound,
    /// There are routes for the path, for these methods.
    MethodNotAllowed(Vec<String>),
    /// A header or parameter on which a route depends stands twice or is no text.
    Ambiguous(ConditionSource),
}

#[derive(Default)]
struct Node {
    literals: HashMap<Box<str>, Node>,
    parameter: Option<Box<Node>>,
    /// Routes that end here, the first in precedence first.
    exact: Vec<usize>,
    /// Routes for what begins so, the same.
    prefix: Vec<usize>,
}

/// Routes, made ready for look-ups.
pub struct Table {
    routes: Vec<Route>,
    exact: HashMap<String, Node>,
    below: HashMap<String, Node>,
    any: Node,
}

/// Why a route was not chosen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It was.
    Chosen,
    /// It would have matched, but the one chosen goes first.
    Outranked,
    /// Another host.
    HostMismatch,
    /// Another path.
    PathMismatch,
    /// Another method.
    MethodMismatch,
    /// The condition with this number does not hold.
    ConditionFailed(usize),
    /// It cannot be told whether the condition with this number holds.
    ConditionAmbiguous(usize),
}

impl Table {
    /// A table of these routes; numbers in its answers are places in the list.
    pub fn new(routes: Vec<Route>) -> Table {
        let mut table =
            Table { routes: Vec::new(), exact: HashMap::new(), below: HashMap::new(), any: Node::default() };
        let mut order: Vec<usize> = (0..routes.len()).collect();
        order.sort_by(|&a, &b| {
            let (a, b) = (&routes[a], &routes[b]);
            b.specificity().cmp(&a.specificity()).then_with(|| a.name.cmp(&b.name))
        });
        for at in order {
            let route = &routes[at];
            for host in &route.hosts {
                let tree = match host {
                    HostPattern::Any => &mut table.any,
                    HostPattern::Subdomains(name) => table.below.entry(name.clone()).or_default(),
                    HostPattern::Exact(name) => table.exact.entry(name.clone()).or_default(),
                };
                let mut node = tree;
                for segment in &route.path.segments {
                    node = match segment {
                        Segment::Literal(text) => node.literals.entry(text.as_str().into()).or_default(),
                        Segment::Parameter(_) => node.parameter.get_or_insert_default(),
                    };
                }
                let list = if route.path.prefix { &mut node.prefix } else { &mut node.exact };
                if !list.contains(&at) {
                    list.push(at);
                }
            }
        }
        table.routes = routes;
        table
    }

    /// The routes.
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }

    /// The route of a request.
    pub fn find(&self, request: &Request<'_>) -> Result<usize, NoRoute> {
        let mut walk = Walk {
            routes: &self.routes,
            request,
            segments: request.target.path.segments().collect(),
            methods: BTreeSet::new(),
        };
        for tree in self.trees(request.host()) {
            match walk.visit(tree, 0) {
                Ok(Some(route)) => return Ok(route),
                Ok(None) => {}
                Err(place) => return Err(NoRoute::Ambiguous(place)),
            }
        }
        let methods = walk.methods;
        Err(if methods.is_empty() {
            NoRoute::NotFound
        } else {
            NoRoute::MethodNotAllowed(methods.into_iter().map(str::to_owned).collect())
        })
    }

    /// The trees that a host may be found in, in their order.
    fn trees<'a>(&'a self, host: Option<&'a str>) -> impl Iterator<Item = &'a Node> {
        let exact = host.and_then(|h| self.exact.get(h));
        let mut rest = host.filter(|_| !self.below.is_empty());
        let below = std::iter::from_fn(move || {
            while let Some((_, name)) = rest.and_then(|r| r.split_once('.')) {
                rest = Some(name);
                if let Some(tree) = self.below.get(name) {
                    return Some(tree);
                }
            }
            None
        });
        exact.into_iter().chain(below).chain(std::iter::once(&self.any))
    }

    /// What each route has to say of a request, in the order in which they were given.
    pub fn explain(&self, request: &Request<'_>) -> Vec<Verdict> {
        let chosen = self.find(request).ok();
        self.routes
            .iter()
            .enumerate()
            .map(|(at, route)| verdict(route, request, chosen == Some(at)))
            .collect()
    }
}

fn verdict(route: &Route, request: &Request<'_>, chosen: bool) -> Verdict {
    if chosen {
        return Verdict::Chosen;
    }
    if !route.hosts.iter().any(|h| h.matches(request.host())) {
        return Verdict::HostMismatch;
    }
    if !route.path.matches(&request.target.path) {
        return Verdict::PathMismatch;
    }
    if !route.allows_method(request.method) {
        return Verdict::MethodMismatch;
    }
    for (at, condition) in route.conditions.iter().enumerate() {
        match condition.matches(request) {
            Some(true) => {}
            Some(false) => return Verdict::ConditionFailed(at),
            None => return Verdict::ConditionAmbiguous(at),
        }
    }
    Verdict::Outranked
}

struct Walk<'a> {
    routes: &'a [Route],
    request: &'a Request<'a>,
    segments: Vec<&'a str>,
    /// Methods of routes that would have matched but for theirs.
    methods: BTreeSet<&'a str>,
}

impl<'a> Walk<'a> {
    fn visit(&mut self, node: &'a Node, at: usize) -> Result<Option<usize>, ConditionSource> {
        match self.segments.get(at).copied() {
            None => {
                if let Some(found) = self.first(&node.exact)? {
                    return Ok(Some(found));
                }
            }
            Some(segment) => {
                let children = node.literals.get(segment).into_iter().chain(node.parameter.as_deref());
                for child in children {
                    if let Some(found) = self.visit(child, at + 1)? {
                        return Ok(Some(found));
                    }
                }
            }
        }
        self.first(&node.prefix)
    }

    /// The first route of a list whose method and conditions fit. A condition that cannot be told ends the search:
    /// guards against a request that one reader takes for the safe operation and another for the unsafe one.
    fn first(&mut self, list: &'a [usize]) -> Result<Option<usize>, ConditionSource> {
        for &at in list {
            let route = &self.routes[at];
            if !route.allows_method(self.request.method) {
                self.methods.extend(route.methods.iter().map(String::as_str));
                continue;
            }
            let mut holds = true;
            for condition in &route.conditions {
                holds &= condition.matches(self.request).ok_or_else(|| condition.source.clone())?;
            }
            if holds {
                return Ok(Some(at));
            }
        }
        Ok(None)
    }
}
