//! Static analysis of a route configuration: finds overlapping, contradictory and unreachable routes.

use std::collections::{BTreeMap, BTreeSet};

use crate::pattern::{Condition, HostPattern, Predicate, Route, Segment};

/// A problem in a list of routes. Routes are identified by their index in the list.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Finding {
    /// A request can match both routes, and neither takes precedence. Holds the lower index first.
    Overlap(usize, usize),
    /// No request can meet two conditions of a route at once. Holds the route and the indexes of the conditions.
    Contradiction(usize, usize, usize),
    /// Every request that matches the route goes to one of the other routes, so the route is never chosen.
    Shadowed(usize, BTreeSet<usize>),
}

/// Returns all findings, sorted and without duplicates.
pub fn analyze(routes: &[Route]) -> Vec<Finding> {
    let mut found = BTreeSet::new();
    for (at, route) in routes.iter().enumerate() {
        let conditions = &route.conditions;
        for (i, a) in conditions.iter().enumerate() {
            for (j, b) in conditions.iter().enumerate().skip(i + 1) {
                if a.excludes(b) {
                    found.insert(Finding::Contradiction(at, i, j));
                }
            }
        }
    }
    // Only routes with the same host pattern and path shape can have equal precedence or shadow each other.
    let mut groups: BTreeMap<(&HostPattern, String), Vec<usize>> = BTreeMap::new();
    for (at, route) in routes.iter().enumerate() {
        for host in route.hosts.iter().collect::<BTreeSet<_>>() {
            groups.entry((host, shape_key(route))).or_default().push(at);
        }
    }
    let mut reachable = BTreeSet::new();
    let mut shadowed: BTreeMap<usize, BTreeSet<usize>> = BTreeMap::new();
    for group in groups.values() {
        for (i, &a) in group.iter().enumerate() {
            for &b in &group[i + 1..] {
                if routes[a].specificity() == routes[b].specificity()
                    && can_both_match(&routes[a], &routes[b])
                {
                    found.insert(Finding::Overlap(a.min(b), a.max(b)));
                }
            }
            match shadowing_routes(routes, a, group) {
                Some(by) => shadowed.entry(a).or_default().extend(by),
                None => {
                    reachable.insert(a);
                }
            }
        }
    }
    found.extend(
        shadowed
            .into_iter()
            .filter(|(at, _)| !reachable.contains(at))
            .map(|(at, by)| Finding::Shadowed(at, by)),
    );
    found.into_iter().collect()
}

/// A key that is equal for path patterns that differ only in parameter names.
fn shape_key(route: &Route) -> String {
    let mut key = String::new();
    for segment in &route.path.segments {
        key.push('/');
        // A normalized literal contains no braces, so the keys cannot collide.
        key.push_str(match segment {
            Segment::Literal(text) => text,
            Segment::Parameter(_) => "{}",
        });
    }
    if route.path.prefix {
        key.push_str("/{**}");
    }
    key
}

/// Whether a request can match both routes, given that their hosts and paths are the same.
fn can_both_match(a: &Route, b: &Route) -> bool {
    let methods_overlap =
        a.methods.is_empty() || b.methods.is_empty() || a.methods.iter().any(|m| b.allows_method(m));
    methods_overlap && !a.conditions.iter().any(|x| b.conditions.iter().any(|y| x.excludes(y)))
}

/// Finds routes of the group that take precedence over the route and together match every request that it matches.
fn shadowing_routes(routes: &[Route], at: usize, group: &[usize]) -> Option<BTreeSet<usize>> {
    let route = &routes[at];
    // Each route with higher precedence, and its conditions that this route does not imply.
    let mut preceding: Vec<(usize, Vec<&Condition>)> = Vec::new();
    for &other in group {
        let candidate = &routes[other];
        let methods_covered = candidate.methods.is_empty()
            || !route.methods.is_empty() && route.methods.iter().all(|m| candidate.allows_method(m));
        if other == at
            || candidate.specificity() <= route.specificity()
            || !methods_covered
            || !can_both_match(route, candidate)
        {
            continue;
        }
        let extra = candidate
            .conditions
            .iter()
            .filter(|c| !route.conditions.iter().any(|own| implies(own, c)))
            .collect();
        preceding.push((other, extra));
    }
    if let Some((other, _)) = preceding.iter().find(|(_, extra)| extra.is_empty()) {
        return Some(BTreeSet::from([*other]));
    }
    // A route that requires a field and one that requires its absence together match every request.
    let single_extra = |predicate: &Predicate| {
        let predicate = predicate.clone();
        preceding.iter().filter(move |(_, extra)| extra.len() == 1 && extra[0].predicate == predicate)
    };
    for (a, extra) in single_extra(&Predicate::Present) {
        if let Some((b, _)) =
            single_extra(&Predicate::Absent).find(|(_, other)| other[0].source == extra[0].source)
        {
            return Some(BTreeSet::from([*a, *b]));
        }
    }
    None
}

/// Whether every request that meets condition `a` also meets condition `b`.
fn implies(a: &Condition, b: &Condition) -> bool {
    a == b
        || a.source == b.source
            && matches!((&a.predicate, &b.predicate), (Predicate::Equals(_), Predicate::Present))
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::pattern::{ConditionSource, PathPattern};

    /// A route for any host, with conditions on headers.
    fn route(methods: &[&str], path: &str, conditions: &[(&str, Predicate)]) -> Route {
        let conditions = conditions.iter().map(|(name, predicate)| {
            let source = ConditionSource::Header((*name).to_owned());
            Condition { source, predicate: predicate.clone() }
        });
        Route {
            name: path.to_owned(),
            hosts: vec![HostPattern::Any],
            methods: methods.iter().map(|m| (*m).to_owned()).collect(),
            path: PathPattern::parse(path, false).expect("a pattern"),
            conditions: conditions.collect(),
        }
    }

    /// The condition that a header has a value.
    fn equals(value: &str) -> Predicate {
        Predicate::Equals(value.to_owned())
    }

    #[test]
    fn overlaps_between_routes_of_equal_precedence_are_reported() {
        let get = route(&["GET", "HEAD"], "/a/{x}", &[]);
        assert_eq!(analyze(&[get.clone(), route(&["HEAD"], "/a/{y}", &[])]), [Finding::Overlap(0, 1)]);
        for other in [
            route(&["POST"], "/a/{y}", &[]),
            route(&[], "/a/{y}", &[]),
            route(&["GET"], "/a/b", &[]),
            route(&["GET"], "/{y}/b", &[]),
            route(&["GET"], "/a/{y}", &[("h", Predicate::Present)]),
        ] {
            assert_eq!(analyze(&[get.clone(), other.clone()]), [], "{other:?}");
        }
        let with_condition = |name, predicate| route(&["GET"], "/a", &[(name, predicate)]);
        assert_eq!(analyze(&[with_condition("h", equals("1")), with_condition("h", equals("2"))]), []);
        assert_eq!(analyze(&[with_condition("h", equals("1")), with_condition("h", Predicate::Absent)]), []);
        assert_eq!(
            analyze(&[with_condition("h", equals("1")), with_condition("i", equals("1"))]),
            [Finding::Overlap(0, 1)]
        );
        assert_eq!(
            analyze(&[with_condition("h", equals("1")), with_condition("h", Predicate::Present)]),
            [Finding::Overlap(0, 1)]
        );
        let mut other_host = get.clone();
        other_host.hosts = vec![HostPattern::Exact("a".into())];
        assert_eq!(analyze(&[get, other_host]), []);
    }

    #[test]
    fn contradictory_and_shadowed_routes_are_reported() {
        let contradictory = route(&["GET"], "/a", &[("h", equals("1")), ("h", Predicate::Absent)]);
        assert_eq!(analyze(&[contradictory]), [Finding::Contradiction(0, 0, 1)]);
        let unconditional = route(&["GET"], "/a", &[]);
        let present = route(&["GET", "PUT"], "/a", &[("h", Predicate::Present)]);
        let absent = route(&["GET"], "/a", &[("h", Predicate::Absent)]);
        assert_eq!(
            analyze(&[unconditional.clone(), present.clone(), absent]),
            [Finding::Shadowed(0, BTreeSet::from([1, 2]))]
        );
        assert_eq!(analyze(&[unconditional.clone(), present.clone()]), []);
        // A condition on the value implies that the header is present.
        let value = route(&["GET"], "/a", &[("h", equals("1"))]);
        let both = route(&["GET"], "/a", &[("h", Predicate::Present), ("h", equals("1"))]);
        assert_eq!(analyze(&[value, both]), [Finding::Shadowed(0, BTreeSet::from([1]))]);
    }
}
