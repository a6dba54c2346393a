//! Core machines on loopback: replaced at new addresses, out of contact, restored from one disk; orders that are repeated.

#[allow(dead_code)]
mod mesh;

use std::time::{Duration, Instant};

use mesh::{Mesh, WITHIN, config, play, status, until};
use sloeline_config_transfer::PieceRequest;
use sloeline_discovery::{Pull, PullResponse};
use sloeline_rpc::link::Link;
use sloeline_rpc::{RpcRequest, RpcResponse};
use sloeline_testbed::client::{Answer, ask};

/// Whoever can't serve an order says so within half a second.
const AT_ONCE: Duration = Duration::from_millis(500);

async fn core_status(mesh: &Mesh, core: u8) -> serde_json::Value {
    let link = Link::new(mesh.plan.core_mesh(core));
    match link.call(&RpcRequest::Status, Duration::from_secs(1)).await {
        Ok(RpcResponse::Status(status)) => serde_json::from_slice(&status).expect("JSON"),
        _ => serde_json::Value::Null,
    }
}

fn voters(status: &serde_json::Value) -> Vec<String> {
    let replicas = status["voter_set"]["replicas"].as_array().cloned().unwrap_or_default();
    replicas.iter().filter_map(|replica| replica["address"].as_str().map(str::to_owned)).collect()
}

async fn votes(mesh: &Mesh, core: u8) {
    let address = mesh.plan.core_mesh(core).to_string();
    let status = until(
        || core_status(mesh, core),
        |status| {
            voters(status).contains(&address) && status["in_contact"] == true && status["established"] == true
        },
    );
    let status = status.await;
    assert!(voters(&status).contains(&address), "{status}");
}

fn read_edition(answer: &anyhow::Result<Answer>) -> String {
    let body = answer.as_ref().map(|a| a.body.clone()).unwrap_or_default();
    let value: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
    value["edition"].as_str().unwrap_or_default().to_owned()
}

#[test]
fn all_three_machines_are_replaced_one_after_the_other() {
    play(async || {
        let mut mesh = Mesh::start(41, 3).await;
        // As the operator's list has them: one may be gone already.
        for (old, new, seeds) in [(0, 3, [0, 1, 2]), (1, 4, [1, 2, 3]), (2, 5, [2, 3, 4])] {
            // Gone for good, and an empty one at another address.
            drop(mesh.cores[old as usize].take());
            mesh.cores.push(Some(mesh.plan.new_core(new, &seeds).expect("a core machine")));
            votes(&mesh, new).await;
            let edition = u32::from(new) + 10;
            let order = config(edition, "2s");
            let put = until(|| mesh.put(new, &order), |a| status(a) == 200).await;
            assert_eq!(status(&put), 200, "{put:?}");
        }
        // None of the founders is left.
        let read = until(|| mesh.read(4), |a| status(a) == 200).await;
        assert_eq!(read_edition(&read), "0000000f");
        let served = until(|| mesh.request("/key/a", "t-1", Some("k-1")), |a| status(a) == 200).await;
        assert_eq!(status(&served), 200, "{served:?}");
        // One that was replaced comes back with its old disk: it learns, and votes in nothing.
        mesh.cores[0] = Some(mesh.plan.new_core(0, &[3, 4, 5]).expect("a core machine"));
        let learns = |status: &serde_json::Value| {
            status["voter"] == false && status["configuration"] == "0000000f" && status["in_contact"] == false
        };
        let returned = until(|| core_status(&mesh, 0), learns).await;
        assert!(learns(&returned), "{returned}");
    });
}

#[test]
fn a_machine_out_of_contact_refuses_at_once_and_hands_out_nothing() {
    play(async || {
        let mut mesh = Mesh::start(42, 3).await;
        drop(mesh.cores[1].take());
        drop(mesh.cores[2].take());
        let out = until(|| core_status(&mesh, 0), |status| status["in_contact"] == false).await;
        assert_eq!(out["in_contact"], false);
        for _ in 0..3 {
            let start = Instant::now();
            let put = mesh.put(0, &config(7, "2s")).await.expect("an answer");
            let (put_after, start) = (start.elapsed(), Instant::now());
            let read = mesh.read(0).await.expect("an answer");
            for (answer, after) in [(put, put_after), (read, start.elapsed())] {
                assert_eq!(answer.status, 503, "{answer:?}");
                assert!(answer.header("retry-after").is_some(), "{answer:?}");
                assert!(after < AT_ONCE, "{after:?} {answer:?}");
            }
        }
        let pull = Pull {
            source: "m-test".to_owned(),
            vector: Default::default(),
            config_version: None,
            offered_version: None,
            core_round: None,
            pushed_records: Vec::new(),
            max_hold_ms: 5_000,
        };
        let link = Link::new(mesh.plan.core_mesh(0));
        let told =
            link.call(&RpcRequest::Pull(pull), Duration::from_secs(1)).await.expect("an answer at once");
        let RpcResponse::Updates(PullResponse {
            offered_version: None,
            core_list: None,
            out_of_contact: true,
            records,
            ..
        }) = told
        else {
            panic!("{told:?}");
        };
        assert!(!records.is_empty(), "who exists is told all the same");
        let request = PieceRequest { base: None, in_progress: None, max_bytes: 1024 };
        let told =
            link.call(&RpcRequest::ConfigPiece(request), Duration::from_secs(1)).await.expect("an answer");
        assert!(matches!(told, RpcResponse::Unavailable(_)), "{told:?}");
        // Balancers keep serving with what they have.
        let served = mesh.request("/safe/a", "t-1", None).await.expect("an answer");
        assert_eq!(served.status, 200, "{served:?}");
        // Nothing of what was refused is in force once there is a majority again.
        mesh.cores[1] = Some(mesh.plan.core(1, false).expect("a core machine"));
        let read = until(|| mesh.read(0), |a| status(a) == 200).await;
        assert_eq!(read_edition(&read), "00000001");
    });
}

#[test]
fn a_machine_that_stands_by_sends_orders_on_to_one_in_contact() {
    play(async || {
        let mesh = Mesh::start(47, 3).await;
        let _spare = mesh.plan.new_core(3, &[0, 1, 2]).expect("a core machine");
        let target = "/-/rpc?call=config.replace";
        let (to, order) = (mesh.plan.operator(3), config(6, "2s"));
        let put = || ask(to, "POST", target, &[], order.as_bytes(), WITHIN);
        let sent_on = until(put, |a| status(a) == 307).await.expect("an answer");
        let location = sent_on.header("location").expect("where to").to_owned();
        let there = (0..3).any(|core| location == format!("http://{}{target}", mesh.plan.operator(core)));
        assert!(there, "{sent_on:?}");
        // Whoever follows it is acknowledged.
        let put = until(|| mesh.put(3, &order), |a| status(a) == 200).await;
        assert_eq!(status(&put), 200, "{put:?}");
    });
}

#[test]
fn the_same_order_is_acknowledged_again_everywhere_and_another_content_is_not() {
    play(async || {
        let mut mesh = Mesh::start(43, 3).await;
        let order = config(5, "2s");
        assert_eq!(status(&mesh.put(0, &order).await), 200);
        for core in 0..3 {
            assert_eq!(status(&mesh.put(core, &order).await), 200, "the same again at {core}");
            let other = mesh.put(core, &config(5, "3s")).await.expect("an answer");
            assert_eq!(other.status, 409, "{other:?}");
            assert!(String::from_utf8_lossy(&other.body).contains("00000005"), "{other:?}");
        }
        // After a view change and a restart too.
        drop(mesh.cores[0].take());
        let again = until(|| mesh.put(1, &order), |a| status(a) == 200).await;
        assert_eq!(status(&again), 200, "{again:?}");
        mesh.cores[0] = Some(mesh.plan.core(0, false).expect("a core machine"));
        let again = until(|| mesh.put(0, &order), |a| status(a) == 200).await;
        assert_eq!(status(&again), 200, "{again:?}");
        // Eight at once: all are acknowledged, and the highest holds.
        let orders: Vec<String> = (6..14).map(|edition| config(edition, "2s")).collect();
        let puts = futures_of(&mesh, &orders).await;
        assert!(puts.iter().all(|put| *put == 200), "{puts:?}");
        let read = until(|| mesh.read(2), |a| status(a) == 200).await;
        assert_eq!(read_edition(&read), "0000000d");
        assert_eq!(status(&mesh.put(1, &config(9, "1s")).await), 200, "a lower one changes nothing");
        assert_eq!(read_edition(&mesh.read(0).await), "0000000d");
    });
}

async fn futures_of(mesh: &Mesh, orders: &[String]) -> Vec<u16> {
    let (a, b, c, d, e, f, g, h) = tokio::join!(
        mesh.put(0, &orders[0]),
        mesh.put(1, &orders[1]),
        mesh.put(2, &orders[2]),
        mesh.put(0, &orders[3]),
        mesh.put(1, &orders[4]),
        mesh.put(2, &orders[5]),
        mesh.put(0, &orders[6]),
        mesh.put(1, &orders[7])
    );
    [a, b, c, d, e, f, g, h].iter().map(status).collect()
}

#[test]
fn a_core_that_has_lost_two_disks_is_restored_from_the_third() {
    play(async || {
        let mut mesh = Mesh::start(44, 3).await;
        // It is restored from one that was of the chain.
        votes(&mesh, 2).await;
        assert_eq!(status(&mesh.put(0, &config(8, "2s")).await), 200);
        mesh.cores.iter_mut().for_each(|core| drop(core.take()));
        for lost in [0, 1] {
            std::fs::remove_dir_all(mesh.folder.0.join(format!("core-{lost}"))).expect("its disk");
        }
        let settings = mesh.folder.0.join("core-2.toml");
        std::fs::write(&settings, mesh.plan.core_settings(2, false).expect("settings")).expect("a file");
        // The stopped process lets go of its file a moment later.
        let restore =
            until(async || sloeline_control_plane::commands::restore_from_disk(&settings), Result::is_ok)
                .await;
        assert!(restore.is_ok(), "{restore:?}");
        for core in [2, 0, 1] {
            mesh.cores[usize::from(core)] = Some(mesh.plan.core(core, false).expect("a core machine"));
        }
        let read = until(|| mesh.read(2), |a| status(a) == 200).await;
        assert_eq!(read_edition(&read), "00000008");
        for core in 0..3 {
            votes(&mesh, core).await;
        }
        // The third may be lost now.
        drop(mesh.cores[2].take());
        let order = config(9, "2s");
        let put = until(|| mesh.put(0, &order), |a| status(a) == 200).await;
        assert_eq!(status(&put), 200, "{put:?}");
        let text = sloeline_control_plane::commands::format_status(&core_status(&mesh, 0).await);
        assert!(text.contains("voters         set") && text.contains("configuration  00000009"), "{text}");
    });
}
