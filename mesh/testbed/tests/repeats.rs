//! Repeats of keyed requests that reach a balancer at the same time.

#[allow(dead_code)]
mod mesh;

use std::collections::BTreeSet;
use std::time::Duration;

use mesh::{Mesh, WITHIN, play, until};
use sloeline_discovery::rendezvous::top_candidates;
use sloeline_testbed::client::{Answer, ask};
use sloeline_testbed::standin::Standin;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Slots of each upstream.
const SLOTS: u32 = 2;

/// Sends a keyed request to the balancer of a machine, as another balancer does.
async fn send(mesh: &Mesh, machine: u8, id: &str, key: &str) -> anyhow::Result<Answer> {
    let upstream = mesh.plan.upstream(machine, "one", SLOTS);
    let incoming = mesh.plan.incoming(machine);
    let headers = [
        ("X-Try-Id", id),
        ("X-Time-Left", "2000"),
        ("X-Addressee", upstream.id.as_str()),
        ("X-Mesh-Keyed", "1"),
        ("X-Operation-Key", key),
    ];
    ask(incoming, "POST", "/key/a", &headers, b"", WITHIN).await
}

/// Guards against a repeat that is told that its key is at work, because another repeat of it is being looked up.
#[test]
fn repeats_that_come_at_once_all_get_the_first_answer() {
    const REPEATS: u32 = 8;
    play(async || {
        let mesh = Mesh::start(61, 1).await;
        let added: Vec<_> = [3, 4]
            .map(|machine| {
                let balancer = mesh.plan.balancer(machine, "one").expect("a balancer");
                let upstream = mesh.plan.standin(machine, "one", &Standin::default(), SLOTS);
                (balancer, upstream.expect("an upstream"))
            })
            .into();
        let mesh = std::rc::Rc::new(mesh);
        // All balancers reach their upstreams and the core, and know each other.
        for machine in [2, 3, 4] {
            let id = format!("warm-{machine}");
            let key = format!("k-{id}");
            let warm = until(|| send(&mesh, machine, &id, &key), |a| mesh::status(a) == 200).await;
            assert_eq!(mesh::status(&warm), 200, "{warm:?}");
        }
        sleep(Duration::from_secs(1)).await;
        // The balancer that gets the repeats is not the one that has a replica of the first answer.
        let replica_holder = top_candidates("m-2", ["m-1", "m-3", "m-4"].into_iter(), 1);
        let asked = if replica_holder == ["m-3"] { 4 } else { 3 };
        for number in 0..10 {
            let key = format!("k-{number}");
            let first = send(&mesh, 2, &format!("first-{number}"), &key).await.expect("an answer");
            assert_eq!(first.status, 200, "{first:?}");
            let repeats: Vec<_> = (0..REPEATS)
                .map(|repeat| {
                    let (mesh, key) = (mesh.clone(), key.clone());
                    spawn_local(
                        async move { send(&mesh, asked, &format!("t-{number}-{repeat}"), &key).await },
                    )
                })
                .collect();
            let mut seen = BTreeSet::new();
            for repeat in repeats {
                let answer = repeat.await.expect("no panic").expect("an answer");
                seen.insert((answer.status, answer.header("x-postmark").map(str::to_owned)));
            }
            let expected = BTreeSet::from([(200, first.header("x-postmark").map(str::to_owned))]);
            assert_eq!(seen, expected, "key {key}");
        }
        drop(added);
    });
}
