//! Calls about keyed operations while the core does not answer: they stay few, end in time, and are made good afterwards. Time
//! is paused: it moves on whenever nothing else is left to do.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use sloeline_data_plane::keys::Keys;
use sloeline_idempotency::{ClaimOutcome, ClaimUpdate};
use sloeline_rpc::serve::serve;
use sloeline_rpc::{RpcRequest, RpcResponse};
use tokio::net::TcpListener;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{sleep, timeout};

fn play(test: impl AsyncFnOnce()) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, test());
}

/// How the stand-in machines answer.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Manner {
    Grants,
    Refuses,
    Silent,
}

/// Core machines that count what they are asked.
struct Core {
    manner: Cell<Manner>,
    calls: Cell<u64>,
    released: RefCell<Vec<Bytes>>,
}

impl Core {
    fn new(manner: Manner) -> Rc<Core> {
        Rc::new(Core { manner: Cell::new(manner), calls: Cell::new(0), released: RefCell::default() })
    }

    async fn machine(self: &Rc<Self>) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let address = listener.local_addr().expect("its address");
        let core = self.clone();
        spawn_local(serve(listener, move |ask| core.clone().answer(ask)));
        address
    }

    async fn answer(self: Rc<Self>, ask: RpcRequest) -> Option<RpcResponse> {
        self.calls.set(self.calls.get() + 1);
        match (self.manner.get(), ask) {
            (Manner::Grants, RpcRequest::Operation(ClaimUpdate::Release { key, .. })) => {
                self.released.borrow_mut().push(key);
                Some(RpcResponse::Operation(ClaimOutcome::Granted))
            }
            (Manner::Grants, _) => Some(RpcResponse::Operation(ClaimOutcome::Granted)),
            (Manner::Refuses, _) => Some(RpcResponse::Unavailable("out of contact".to_owned())),
            (Manner::Silent, _) => std::future::pending().await,
        }
    }
}

/// A balancer's way to a core of three machines that behave so.
async fn keys_of(core: &Rc<Core>) -> Rc<Keys> {
    let keys = Keys::new("m-1".to_owned());
    let mut machines = Vec::new();
    for _ in 0..3 {
        machines.push(core.machine().await);
    }
    keys.set_core(&machines);
    keys
}

/// Keyed requests that come while the core is so, forty a second for five seconds; all end in time.
async fn requests(keys: &Rc<Keys>) {
    for number in 0_u64..200 {
        let keys = keys.clone();
        spawn_local(async move {
            let key = Bytes::from(format!("k-{number}"));
            let claim = keys.claim(&key, number + 1, Duration::from_secs(1));
            assert!(timeout(Duration::from_millis(1500), claim).await.is_ok(), "a claim hangs");
        });
        sleep(Duration::from_millis(25)).await;
    }
}

/// Calls a second that a balancer makes while no core machine can answer, at the most.
const MOST_CALLS_A_SECOND: u64 = 20;

async fn calls_stay_few(manner: Manner) {
    let core = Core::new(manner);
    let keys = keys_of(&core).await;
    requests(&keys).await;
    sleep(Duration::from_secs(15)).await;
    let calls = core.calls.get();
    assert!(calls < 20 * MOST_CALLS_A_SECOND, "{calls} calls in 20 s");
    // Every claim whose fate is unknown is taken back once the core is there again.
    core.manner.set(Manner::Grants);
    sleep(Duration::from_secs(20)).await;
    let mut released = core.released.borrow().clone();
    released.sort();
    released.dedup();
    assert_eq!(released.len(), 200, "of 200 claims");
}

#[test]
fn calls_about_keys_stay_few_while_core_machines_refuse() {
    play(async || calls_stay_few(Manner::Refuses).await);
}

#[test]
fn calls_about_keys_stay_few_while_core_machines_are_silent() {
    play(async || calls_stay_few(Manner::Silent).await);
}

#[test]
fn a_claim_is_granted_as_soon_as_the_core_answers_again() {
    play(async || {
        let core = Core::new(Manner::Refuses);
        let keys = keys_of(&core).await;
        let waiting: Vec<_> = (0_u64..50)
            .map(|number| {
                let keys = keys.clone();
                let key = Bytes::from(format!("k-{number}"));
                spawn_local(async move { keys.claim(&key, 1, Duration::from_millis(1200)).await })
            })
            .collect();
        sleep(Duration::from_millis(600)).await;
        core.manner.set(Manner::Grants);
        for claim in waiting {
            assert_eq!(claim.await.expect("it ends").expect("granted"), ClaimOutcome::Granted);
        }
    });
}
