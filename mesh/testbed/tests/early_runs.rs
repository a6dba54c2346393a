//! Upstreams that begin with a request before they have read its body: what they may have run is not sent again, and what
//! surely never ran is.

#[allow(dead_code)]
mod mesh;

use std::time::Duration;

use mesh::{Mesh, WITHIN, play, status, until};
use sloeline_testbed::client::{Answer, ask};
use sloeline_testbed::machine::Machine;
use sloeline_testbed::standin::Manner;

/// A body that is longer than what the sockets between a balancer and its upstream hold.
const LONG_BODY_BYTES: usize = 8 << 20;

/// A second balancer with an upstream of service `one`, which has the same book as the first.
fn second_upstream(mesh: &Mesh) -> [Machine; 2] {
    [
        mesh.plan.balancer(3, "one").expect("a balancer"),
        mesh.plan.standin(3, "one", &mesh.standin, 2).expect("an upstream"),
    ]
}

/// Sends a request with a long body.
async fn send_long(mesh: &Mesh, path: &str, id: &str, key: Option<&str>) -> anyhow::Result<Answer> {
    let mut headers = vec![("Host", "h.example"), ("X-Try-Id", id), ("X-Time-Left", "1900")];
    headers.extend(key.map(|key| ("X-Operation-Key", key)));
    ask(mesh.plan.outgoing(1), "POST", path, &headers, &vec![b'b'; LONG_BODY_BYTES], WITHIN).await
}

/// Waits until both upstreams have got a request.
async fn both_serve(mesh: &Mesh) {
    for round in 0..8 {
        let id = format!("well-{round}");
        let well = until(|| mesh.request("/once/a", &id, None), |a| status(a) == 200).await;
        assert_eq!(status(&well), 200, "{well:?}");
    }
}

/// Guards against a request with a long body that a second upstream runs, after the first one began with it, lost its
/// answer and had not read the body.
#[test]
fn a_long_request_whose_answer_is_lost_early_runs_once() {
    play(async || {
        let mesh = Mesh::start(60, 1).await;
        let _second = second_upstream(&mesh);
        both_serve(&mesh).await;
        for (path, key) in [("/once/a", None), ("/key/a", Some("k-1"))] {
            {
                let mut book = mesh.standin.book();
                (book.begins_early, book.manner) = (true, Manner::CutDuring);
                book.works = Duration::from_millis(60);
            }
            let id = format!("lost{}", path.replace('/', "-"));
            let lost = send_long(&mesh, path, &id, key).await;
            assert_eq!(mesh.standin.book().runs.get(&id), Some(&1), "{path}: {lost:?}");
            assert!([502, 504].contains(&status(&lost)), "{path}: {lost:?}");
            mesh.set(Manner::Well);
            if key.is_some() {
                // The claim stays: nobody knows whether the first run was completed.
                let again = send_long(&mesh, path, "again", key).await;
                assert_eq!(status(&again), 502, "{again:?}");
                assert_eq!(mesh.standin.book().runs.get("again"), None);
            }
            both_serve(&mesh).await;
        }
    });
}

/// Guards against early answers that get lost, and against refusals that count as runs because the body was unfinished.
#[test]
fn answers_that_precede_the_end_of_the_body_count_as_they_are() {
    play(async || {
        let mesh = Mesh::start(61, 1).await;
        mesh.standin.book().begins_early = true;
        for path in ["/once/a", "/key/a"] {
            mesh.set(Manner::Well);
            let key = path.starts_with("/key").then_some("k-1");
            let id = format!("well{}", path.replace('/', "-"));
            let answered = send_long(&mesh, path, &id, key).await;
            assert_eq!(status(&answered), 200, "{path}: {answered:?}");
            assert_eq!(mesh.standin.book().runs.get(&id), Some(&1));
            mesh.set(Manner::Sheds);
            let key = path.starts_with("/key").then_some("k-2");
            let refused = send_long(&mesh, path, "refused", key).await;
            assert_eq!(status(&refused), 503, "{path}: {refused:?}");
            mesh.set(Manner::Well);
            // A refusal gives the key back.
            let send = || mesh.request(path, "after-refusal", key);
            let after = until(send, |a| status(a) == 200).await;
            assert_eq!(status(&after), 200, "{path}: {after:?}");
        }
    });
}
