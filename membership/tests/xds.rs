//! An xDS source: which responses are acknowledged or rejected, and which may revoke an earlier one on a new stream.

use finchshift::{Micros, ServerState};
use sloeline_membership::merge::Members;
use sloeline_membership::plausibility::PlausibilityRules;
use sloeline_membership::source::SourceProtocol;
use sloeline_membership::xds::messages::*;
use sloeline_membership::xds::{Command, Reply, Settings, Xds};

const SECOND: Micros = 1_000_000;
const MINUTE: Micros = 60 * SECOND;

/// A locality with endpoints: port, health status, weight.
fn group(priority: u32, endpoints: &[(u32, i32, u32)]) -> LocalityLbEndpoints {
    let endpoint = |(port, health_status, weight): &(u32, i32, u32)| {
        let socket_address = Some(SocketAddress { address: "10.0.0.1".to_owned(), port_value: *port });
        let endpoint = Some(Endpoint { address: Some(Address { socket_address }) });
        LbEndpoint {
            endpoint,
            health_status: *health_status,
            load_balancing_weight: Some(UInt32Value { value: *weight }),
        }
    };
    let locality = Some(Locality { region: "r".to_owned(), zone: "z".to_owned() });
    LocalityLbEndpoints { locality, lb_endpoints: endpoints.iter().map(endpoint).collect(), priority }
}

fn assignment(endpoints: Vec<LocalityLbEndpoints>) -> ClusterLoadAssignment {
    ClusterLoadAssignment { cluster_name: "checks".to_owned(), endpoints }
}

struct World {
    now: Micros,
    xds: Xds,
    members: Members,
    /// Number and endpoint of the open stream.
    stream: Option<(u64, usize)>,
    answers: Vec<Command>,
    nonce: u32,
}

impl World {
    fn new(rules: &PlausibilityRules) -> World {
        let settings = Settings {
            cluster: "checks".to_owned(),
            incremental: false,
            node: "edge".to_owned(),
            endpoints: 2,
            instances: 1,
            fleet_call_rate: 100.0,
            response_timeout: 5 * SECOND,
            stream_lifetime: 4 * MINUTE,
            acceptance_delay: MINUTE,
        };
        let members = Members::new(&["xds".to_owned()], rules);
        let (xds, answers) = (Xds::new(SECOND, settings, 1), Vec::new());
        let mut world = World { now: SECOND, xds, members, stream: None, answers, nonce: 0 };
        world.pass(0);
        world
    }

    fn settle(&mut self) {
        while let Some(command) = self.xds.next_command() {
            match command {
                Command::Open { call, endpoint } => self.stream = Some((call, endpoint)),
                Command::Leave { .. } => self.stream = None,
                answer => self.answers.push(answer),
            }
        }
        while let Some(update) = self.xds.next_update() {
            self.members.apply(self.now, 0, update).expect("newer");
        }
    }

    fn pass(&mut self, span: Micros) {
        let end = self.now + span;
        while self.xds.due() <= end {
            self.now = self.xds.due().max(self.now);
            self.xds.tick(self.now);
            self.settle();
        }
        self.now = end;
    }

    fn respond(&mut self, version: &str, assignment: Result<Option<ClusterLoadAssignment>, String>) {
        self.nonce += 1;
        let (call, _) = self.stream.expect("a stream");
        let (version, nonce) = (version.to_owned(), self.nonce.to_string());
        self.xds.handle_reply(self.now, Reply::Response { call, version, nonce, assignment });
        self.settle();
    }

    /// The version in the last acknowledgement, and whether it is a rejection.
    fn answered(&self) -> (&str, bool) {
        match self.answers.last() {
            Some(Command::Answer { version, refused, nonce, .. }) => {
                assert_eq!(*nonce, self.nonce.to_string());
                (version, refused.is_some())
            }
            other => panic!("{other:?}"),
        }
    }

    fn serving(&self) -> Vec<(u16, f64)> {
        let all = self.members.all().into_iter().filter(|v| v.listed.state == ServerState::Ready);
        all.map(|v| (v.listed.address.port(), v.listed.weight)).collect()
    }

    /// Breaks the stream and waits for the next one.
    fn again(&mut self) {
        let (call, _) = self.stream.take().expect("a stream");
        self.xds.handle_reply(self.now, Reply::Failed { call, why: "broken".to_owned() });
        self.up();
    }

    fn up(&mut self) {
        while self.stream.is_none() {
            self.pass(SECOND / 10);
        }
    }
}

fn accepting() -> PlausibilityRules {
    PlausibilityRules { accept_losses: true, ..PlausibilityRules::default() }
}

#[test]
fn assignments_are_acknowledged_or_rejected_with_the_reason() {
    let mut world = World::new(&accepting());
    let good = assignment(vec![
        group(1, &[(80, 1, 1), (81, 0, 7), (82, 2, 1), (83, 3, 1), (84, 4, 1), (85, 5, 1)]),
        group(0, &[]),
        group(2, &[(90, 1, 1)]),
    ]);
    world.respond("v1", Ok(Some(good)));
    assert_eq!(world.answered(), ("v1", false));
    assert_eq!(world.serving(), [(80, 1.0), (81, 7.0), (85, 1.0)], "the first priority that has any");
    assert_eq!(world.members.all().len(), 6);
    let mut nameless = group(0, &[(80, 1, 1)]);
    nameless.lb_endpoints[0].endpoint = None;
    let mut far = group(0, &[(80, 1, 1)]);
    if let Some(address) = far.lb_endpoints[0].endpoint.as_mut().and_then(|e| e.address.as_mut()) {
        address.socket_address = Some(SocketAddress { address: "a.example".to_owned(), port_value: 80 });
    }
    let other = ClusterLoadAssignment { cluster_name: "other".to_owned(), endpoints: Vec::new() };
    let bad: Vec<(Result<Option<ClusterLoadAssignment>, String>, &str)> = vec![
        (Err("not a message".to_owned()), "not a message"),
        (Ok(Some(other)), "expected \"checks\""),
        (Ok(Some(assignment(vec![nameless]))), "without a socket address"),
        (Ok(Some(assignment(vec![far]))), "expected an IP address"),
        (Ok(Some(assignment(vec![group(0, &[(0, 1, 1)])]))), "expected a port"),
        (Ok(Some(assignment(vec![group(0, &[(70_000, 1, 1)])]))), "expected a port"),
        (Ok(Some(assignment(vec![group(0, &[(80, 1, 0)])]))), "found weight 0"),
        (Ok(Some(assignment(vec![group(0, &[(80, 1, 1), (80, 1, 1)])]))), "twice"),
    ];
    for (told, why) in bad {
        world.respond("v2", told);
        assert_eq!(world.answered(), ("v1", true), "{why}: with the last version that was taken");
        assert!(world.xds.take_problem().is_some_and(|p| p.contains(why)), "{why}");
        assert_eq!(world.serving().len(), 3, "{why}: what was known holds");
    }
    world.respond("v3", Ok(Some(assignment(vec![group(0, &[(80, 3, 1), (81, 1, 1)])]))));
    assert_eq!((world.answered(), world.serving()), (("v3", false), vec![(81, 1.0)]));
}

#[test]
fn the_removal_of_a_cluster_does_not_empty_a_pool() {
    let mut world = World::new(&PlausibilityRules::default());
    world.respond("v1", Ok(Some(assignment(vec![group(0, &[(80, 1, 1), (81, 1, 1)])]))));
    world.respond("v2", Ok(None));
    assert_eq!((world.answered(), world.serving().len()), (("v2", false), 2));
}

#[test]
fn a_replaced_version_is_rejected_on_a_new_stream_and_accepted_on_the_same_one() {
    let full = || Ok(Some(assignment(vec![group(0, &[(80, 1, 1), (81, 1, 1)])])));
    let drained = || Ok(Some(assignment(vec![group(0, &[(80, 3, 1), (81, 1, 1)])])));
    let mut world = World::new(&accepting());
    world.respond("v1", full());
    world.respond("v2", drained());
    assert_eq!(world.serving().len(), 1);
    // Another server that is behind: the stream is closed each time.
    for _ in 0..5 {
        world.again();
        world.respond("v1", full());
        assert_eq!((world.serving().len(), world.stream), (1, None));
        world.up();
    }
    assert!(world.xds.health().refused == 5);
    // A server that is not behind has the same version or a newer one.
    world.respond("v2", drained());
    assert_eq!((world.serving().len(), world.xds.health().trouble.clone()), (1, None));
    // On one stream the order of responses counts: the server has revoked the drain.
    world.respond("v1", full());
    assert_eq!(world.serving().len(), 2);
    // After the acceptance delay the older version begins another epoch, in which orders remain.
    world.respond("v3", drained());
    world.pass(MINUTE);
    world.again();
    world.respond("v1", full());
    let epoch = world.members.sources().next().and_then(|s| s.2).map(|r| r.epoch);
    assert_eq!((world.answered(), epoch, world.serving().len()), (("v1", false), Some(1), 1));
}

#[test]
fn a_stream_is_replaced_after_its_lifetime_or_without_a_response() {
    let mut world = World::new(&accepting());
    let first = world.stream;
    world.pass(5 * SECOND + SECOND);
    assert!(world.stream.is_some() && world.stream != first, "no response in time");
    world.respond("v1", Ok(Some(assignment(vec![group(0, &[(80, 1, 1)])]))));
    let (begin, before) = (world.now, world.stream.expect("a stream"));
    while world.stream == Some(before) {
        world.pass(SECOND);
    }
    let after = world.now - begin;
    assert!((210 * SECOND..=271 * SECOND).contains(&after), "{after}");
    assert_ne!(world.stream.map(|s| s.1), Some(before.1), "another server's word");
}
