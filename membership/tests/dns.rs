//! A DNS source: the meaning of responses, and when it queries again.

use finchshift::{Micros, ServerState};
use sloeline_membership::dns::{Dns, Name, Record, Reply, Settings};
use sloeline_membership::merge::Members;
use sloeline_membership::plausibility::PlausibilityRules;
use sloeline_membership::source::SourceProtocol;

const SECOND: Micros = 1_000_000;

struct World {
    now: Micros,
    dns: Dns,
    members: Members,
}

impl World {
    fn new() -> World {
        let settings = Settings {
            name: Name::Services("_checks._tcp.internal".to_owned()),
            zone: "z".to_owned(),
            instances: 1,
            fleet_call_rate: 100.0,
            min_ttl: SECOND,
            max_ttl: 60 * SECOND,
            response_timeout: 5 * SECOND,
        };
        let members = Members::new(&["dns".to_owned()], &PlausibilityRules::default());
        World { now: SECOND, dns: Dns::new(SECOND, settings, 1), members }
    }

    /// Executes the next query with this reply. Returns the pause before the query.
    fn round(&mut self, reply: impl FnOnce(u64) -> Reply) -> Micros {
        let waited = self.dns.due() - self.now;
        self.now = self.dns.due();
        self.dns.tick(self.now);
        let command = self.dns.next_command().expect("a question");
        assert!(command.name.is_some());
        self.dns.handle_reply(self.now, reply(command.call));
        while let Some(update) = self.dns.next_update() {
            self.members.apply(self.now, 0, update).expect("newer");
        }
        waited
    }

    fn serving(&self) -> Vec<(String, u16, f64)> {
        let all = self.members.all();
        let ready = all.into_iter().filter(|v| v.listed.state == ServerState::Ready);
        ready.map(|v| (v.listed.instance, v.listed.address.port(), v.listed.weight)).collect()
    }
}

fn srv(target: &str, last: u8, port: u16, priority: u16, weight: u16) -> Record {
    Record { target: Some(target.to_owned()), address: ([10, 0, 0, last], port).into(), priority, weight }
}

fn answer(records: Vec<Record>, seconds: u64) -> impl FnOnce(u64) -> Reply {
    move |call| Reply::Answer { call, records, ttl: seconds * SECOND }
}

fn failed(call: u64) -> Reply {
    Reply::Failed { call, why: "SERVFAIL".to_owned() }
}

#[test]
fn records_become_members() {
    let mut world = World::new();
    let records = vec![
        srv("a", 1, 80, 1, 10),
        srv("b", 2, 81, 1, 0),
        // Not used while there are records of a lower priority number.
        srv("c", 3, 82, 2, 10),
        // A target with two addresses is two members.
        srv("d", 4, 83, 1, 5),
        srv("d", 5, 83, 1, 5),
    ];
    world.round(answer(records, 30));
    let expected = [
        ("a:80".to_owned(), 80, 10.0),
        ("b:81".to_owned(), 81, 1.0),
        ("d:83/10.0.0.4".to_owned(), 83, 5.0),
        ("d:83/10.0.0.5".to_owned(), 83, 5.0),
    ];
    assert_eq!(world.serving(), expected);
    // A target whose address changes remains the same member.
    world.round(answer(vec![srv("a", 9, 80, 1, 10)], 30));
    let address = world.members.resolve("a:80").map(|v| v.listed.address);
    assert_eq!(address, Some(([10, 0, 0, 9], 80).into()));
    let plain = Record { target: None, address: ([10, 0, 0, 7], 90).into(), priority: 0, weight: 1 };
    let mut world = World::new();
    world.round(answer(vec![plain], 30));
    assert_eq!(world.serving(), [("10.0.0.7:90".to_owned(), 90, 1.0)]);
}

#[test]
fn times_to_live_are_kept_within_bounds_and_failures_are_spread() {
    let mut world = World::new();
    world.round(answer(vec![srv("a", 1, 80, 1, 1)], 30));
    for (said, least, most) in [(30, 30, 33), (0, 1, 2), (86_400, 60, 66), (u64::MAX / SECOND, 60, 66)] {
        world.round(answer(vec![srv("a", 1, 80, 1, 1)], said));
        let waited = world.round(answer(vec![srv("a", 1, 80, 1, 1)], 30));
        assert!((least * SECOND..=most * SECOND).contains(&waited), "{said}: {waited}");
    }
    world.round(failed);
    let waits: Vec<Micros> = (0..50).map(|_| world.round(failed)).collect();
    assert!(waits.iter().all(|w| (SECOND / 2..=4 * SECOND).contains(w)), "{waits:?}");
    assert_eq!(world.serving().len(), 1, "servers that fail take nothing away");
    // Nor does a query without a response.
    world.now = world.dns.due();
    world.dns.tick(world.now);
    world.dns.next_command();
    assert_eq!(world.dns.due(), world.now + 5 * SECOND);
    world.dns.tick(world.now + 5 * SECOND);
    assert_eq!(world.dns.next_command().map(|command| command.name), Some(None), "the question is left");
}

#[test]
fn a_member_is_removed_after_two_responses_without_it_and_no_response_empties_the_pool() {
    let mut world = World::new();
    let full = || (1..=4).map(|n| srv(&format!("n{n}"), n, 80, 1, 1)).collect::<Vec<_>>();
    world.round(answer(full(), 5));
    // Incomplete responses that lack another member each time: no member is removed.
    for n in 0..8 {
        let mut part = full();
        part.remove(n % 4);
        world.round(answer(part, 5));
        assert_eq!(world.serving().len(), 4);
    }
    // A member that two responses in a row lack is removed.
    world.round(answer(full()[..3].to_vec(), 5));
    world.round(answer(full()[..3].to_vec(), 5));
    assert_eq!(world.serving().len(), 3);
    // A name that does not exist: the members are retained while there are no others.
    for _ in 0..200 {
        world.round(answer(Vec::new(), 5));
        world.members.tick(world.now);
    }
    assert_eq!(world.serving().len(), 3);
    world.round(answer(vec![srv("new", 9, 80, 1, 1)], 5));
    world.members.tick(world.now + 400 * SECOND);
    assert_eq!(world.serving(), [("new:80".to_owned(), 80, 1.0)]);
}
