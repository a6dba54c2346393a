//! Which routes contradict each other, seen from the routes alone.

use std::collections::{BTreeMap, BTreeSet};

use crate::pattern::{Condition, HostPattern, Predicate, Route, Segment};

/// What is wrong with routes; numbers are places in the list.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Finding {
    /// Some request fits both, and neither goes first.
    Overlap(usize, usize),
    /// No request can meet these two conditions of the route at once.
    Contradiction(usize, usize, usize),
    /// Every request that fits the first goes to one of the others.
    Shadowed(usize, BTreeSet<usize>),
}

/// All findings, each once, in the order of the routes.
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
    // Only routes of one host and one shape of path can be equal in rank, or cover each other.
    let mut groups: BTreeMap<(&HostPattern, String), Vec<usize>> = BTreeMap::new();
    for (at, route) in routes.iter().enumerate() {
        for host in route.hosts.iter().collect::<BTreeSet<_>>() {
            groups.entry((host, shape(route))).or_default().push(at);
        }
    }
    let mut alive = BTreeSet::new();
    let mut covers: BTreeMap<usize, BTreeSet<usize>> = BTreeMap::new();
    for group in groups.values() {
        for (i, &a) in group.iter().enumerate() {
            for &b in &group[i + 1..] {
                if routes[a].specificity() == routes[b].specificity() && meet(&routes[a], &routes[b]) {
                    found.insert(Finding::Overlap(a.min(b), a.max(b)));
                }
            }
            match cover(routes, a, group) {
                Some(by) => covers.entry(a).or_default().extend(by),
                None => {
                    alive.insert(a);
                }
            }
        }
    }
    found.extend(
        covers.into_iter().filter(|(at, _)| !alive.contains(at)).map(|(at, by)| Finding::Shadowed(at, by)),
    );
    found.into_iter().collect()
}

/// A key that is the same for patterns of one shape.
fn shape(route: &Route) -> String {
    let mut key = String::new();
    for segment in &route.path.segments {
        key.push('/');
        // No text in normal form holds a brace.
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

/// Some request may fit both, host and path being the same.
fn meet(a: &Route, b: &Route) -> bool {
    let methods =
        a.methods.is_empty() || b.methods.is_empty() || a.methods.iter().any(|m| b.allows_method(m));
    methods && !a.conditions.iter().any(|x| b.conditions.iter().any(|y| x.excludes(y)))
}

/// The routes of the group that together take all that fits the route, if there are such.
fn cover(routes: &[Route], at: usize, group: &[usize]) -> Option<BTreeSet<usize>> {
    let route = &routes[at];
    // What each route that goes first asks for beyond what this one does.
    let mut beyond: Vec<(usize, Vec<&Condition>)> = Vec::new();
    for &other in group {
        let first = &routes[other];
        let methods = first.methods.is_empty()
            || !route.methods.is_empty() && route.methods.iter().all(|m| first.allows_method(m));
        if other == at || first.specificity() <= route.specificity() || !methods || !meet(route, first) {
            continue;
        }
        let more =
            first.conditions.iter().filter(|c| !route.conditions.iter().any(|own| implies(own, c))).collect();
        beyond.push((other, more));
    }
    if let Some((other, _)) = beyond.iter().find(|(_, more)| more.is_empty()) {
        return Some(BTreeSet::from([*other]));
    }
    // Present on one side and absent on the other is everything.
    let single = |test: &Predicate| {
        let test = test.clone();
        beyond.iter().filter(move |(_, more)| more.len() == 1 && more[0].predicate == test)
    };
    for (a, more) in single(&Predicate::Present) {
        if let Some((b, _)) = single(&Predicate::Absent).find(|(_, other)| other[0].source == more[0].source)
        {
            return Some(BTreeSet::from([*a, *b]));
        }
    }
    None
}

/// Whatever meets the first meets the second.
fn implies(a: &Condition, b: &Condition) -> bool {
    a == b
        || a.source == b.source
            && matches!((&a.predicate, &b.predicate), (Predicate::Equals(_), Predicate::Present))
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::pattern::{ConditionSource, PathPattern};

    fn route(methods: &[&str], path: &str, conditions: &[(&str, Predicate)]) -> Route {
        let conditions = conditions.iter().map(|(name, test)| {
            let place = ConditionSource::Header((*name).to_owned());
            Condition { source: place, predicate: test.clone() }
        });
        Route {
            name: path.to_owned(),
            hosts: vec![HostPattern::Any],
            methods: methods.iter().map(|m| (*m).to_owned()).collect(),
            path: PathPattern::parse(path, false).expect("a pattern"),
            conditions: conditions.collect(),
        }
    }

    fn is(value: &str) -> Predicate {
        Predicate::Equals(value.to_owned())
    }

    #[test]
    fn equals_in_rank_that_one_request_may_fit_are_found_and_no_others() {
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
        let one = |name, test| route(&["GET"], "/a", &[(name, test)]);
        assert_eq!(analyze(&[one("h", is("1")), one("h", is("2"))]), []);
        assert_eq!(analyze(&[one("h", is("1")), one("h", Predicate::Absent)]), []);
        assert_eq!(analyze(&[one("h", is("1")), one("i", is("1"))]), [Finding::Overlap(0, 1)]);
        assert_eq!(analyze(&[one("h", is("1")), one("h", Predicate::Present)]), [Finding::Overlap(0, 1)]);
        let mut elsewhere = get.clone();
        elsewhere.hosts = vec![HostPattern::Exact("a".into())];
        assert_eq!(analyze(&[get, elsewhere]), []);
    }

    #[test]
    fn routes_that_no_request_reaches_are_found() {
        let torn = route(&["GET"], "/a", &[("h", is("1")), ("h", Predicate::Absent)]);
        assert_eq!(analyze(&[torn]), [Finding::Contradiction(0, 0, 1)]);
        let rest = route(&["GET"], "/a", &[]);
        let with = route(&["GET", "PUT"], "/a", &[("h", Predicate::Present)]);
        let without = route(&["GET"], "/a", &[("h", Predicate::Absent)]);
        assert_eq!(
            analyze(&[rest.clone(), with.clone(), without]),
            [Finding::Shadowed(0, BTreeSet::from([1, 2]))]
        );
        assert_eq!(analyze(&[rest.clone(), with.clone()]), []);
        // What asks for a value asks for the header.
        let value = route(&["GET"], "/a", &[("h", is("1"))]);
        let both = route(&["GET"], "/a", &[("h", Predicate::Present), ("h", is("1"))]);
        assert_eq!(analyze(&[value, both]), [Finding::Shadowed(0, BTreeSet::from([1]))]);
    }
}
