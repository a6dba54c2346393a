//! Route lookup. Precedence does not depend on the order in which routes are configured; routes are compared by
//!
//! 1. the host: an exact name, then the longest matching `*.name`, then `*`;
//! 2. the path, segment by segment from the left: a literal, then a parameter, then the end of a prefix;
//! 3. the methods: a route that lists methods precedes one that allows all;
//! 4. the conditions: a route with more conditions precedes one with fewer.
//!
//! Routes that are still equal are a configuration error, see [`crate::analysis`].
//!
//! A lookup visits the trees of the matching host patterns, each at most as deep as the longest pattern has segments.

use std::collections::{BTreeSet, HashMap};

use crate::pattern::{ConditionSource, HostPattern, Request, Route, Segment};

/// Why no route was found for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NoRoute {
    /// No route matches the host, path and conditions.
    NotFound,
    /// Routes exist for the path, but not for the method. Holds the methods that they allow.
    MethodNotAllowed(Vec<String>),
    /// A header or query parameter that a route tests occurs more than once or is not valid text.
    Ambiguous(ConditionSource),
}

/// A node of a path tree. Each level stands for one path segment.
#[derive(Default)]
struct Node {
    /// Child nodes for literal segments.
    literals: HashMap<Box<str>, Node>,
    /// Child node for a parameter segment.
    parameter: Option<Box<Node>>,
    /// Routes whose pattern ends at this node, in order of precedence.
    exact: Vec<usize>,
    /// Routes whose prefix pattern ends at this node, in order of precedence.
    prefix: Vec<usize>,
}

/// An index of routes by host and path.
pub struct Table {
    /// The routes in the order given.
    routes: Vec<Route>,
    /// Path trees for exact host names.
    exact: HashMap<String, Node>,
    /// Path trees for subdomain patterns, by the parent name.
    subdomains: HashMap<String, Node>,
    /// Path tree for routes that match any host.
    any: Node,
}

/// The outcome of matching one route against a request, for diagnostics.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The route was chosen.
    Chosen,
    /// The route matches, but the chosen route takes precedence.
    Outranked,
    /// The host does not match.
    HostMismatch,
    /// The path does not match.
    PathMismatch,
    /// The method is not allowed.
    MethodMismatch,
    /// The condition with this index does not hold.
    ConditionFailed(usize),
    /// The value that the condition with this index tests is ambiguous.
    ConditionAmbiguous(usize),
}

impl Table {
    /// Builds a table. Lookups return indexes into `routes`.
    pub fn new(routes: Vec<Route>) -> Table {
        let mut table = Table {
            routes: Vec::new(),
            exact: HashMap::new(),
            subdomains: HashMap::new(),
            any: Node::default(),
        };
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
                    HostPattern::Subdomains(name) => table.subdomains.entry(name.clone()).or_default(),
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

    /// The routes in the order given to [`new`](Table::new).
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }

    /// Finds the route of a request and returns its index.
    pub fn find(&self, request: &Request<'_>) -> Result<usize, NoRoute> {
        let mut lookup = Lookup {
            routes: &self.routes,
            request,
            segments: request.target.path.segments().collect(),
            methods: BTreeSet::new(),
        };
        for tree in self.trees(request.host()) {
            match lookup.visit(tree, 0) {
                Ok(Some(route)) => return Ok(route),
                Ok(None) => {}
                Err(source) => return Err(NoRoute::Ambiguous(source)),
            }
        }
        let methods = lookup.methods;
        Err(if methods.is_empty() {
            NoRoute::NotFound
        } else {
            NoRoute::MethodNotAllowed(methods.into_iter().map(str::to_owned).collect())
        })
    }

    /// The path trees whose host pattern matches, in order of precedence.
    fn trees<'a>(&'a self, host: Option<&'a str>) -> impl Iterator<Item = &'a Node> {
        let exact = host.and_then(|h| self.exact.get(h));
        let mut rest = host.filter(|_| !self.subdomains.is_empty());
        let subdomains = std::iter::from_fn(move || {
            while let Some((_, name)) = rest.and_then(|r| r.split_once('.')) {
                rest = Some(name);
                if let Some(tree) = self.subdomains.get(name) {
                    return Some(tree);
                }
            }
            None
        });
        exact.into_iter().chain(subdomains).chain(std::iter::once(&self.any))
    }

    /// The verdict on each route for a request, in the order in which the routes were given.
    pub fn explain(&self, request: &Request<'_>) -> Vec<Verdict> {
        let chosen = self.find(request).ok();
        self.routes
            .iter()
            .enumerate()
            .map(|(at, route)| verdict(route, request, chosen == Some(at)))
            .collect()
    }
}

/// Matches a single route against a request; `chosen` says whether the lookup returned this route.
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

/// The state of one lookup.
struct Lookup<'a> {
    /// All routes of the table.
    routes: &'a [Route],
    /// The request to match.
    request: &'a Request<'a>,
    /// The path segments of the request.
    segments: Vec<&'a str>,
    /// Methods allowed by routes that match the path but not the method of the request.
    methods: BTreeSet<&'a str>,
}

impl<'a> Lookup<'a> {
    /// Searches the subtree of a node for a route; `at` is the index of the next path segment.
    fn visit(&mut self, node: &'a Node, at: usize) -> Result<Option<usize>, ConditionSource> {
        match self.segments.get(at).copied() {
            None => {
                if let Some(found) = self.first_match(&node.exact)? {
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
        self.first_match(&node.prefix)
    }

    /// Returns the first route of a list whose method and conditions match. An ambiguous condition ends the search
    /// with an error, so that a request cannot be routed as a safe operation here and executed as an unsafe one by
    /// the upstream.
    fn first_match(&mut self, list: &'a [usize]) -> Result<Option<usize>, ConditionSource> {
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
