//! Calls about operation keys while the core does not answer: there are few of them, they end in time, and uncertain claims
//! are released afterwards. Time is paused and advances whenever all tasks wait.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use sloeline_data_plane::keys::KeyClient;
use sloeline_idempotency::{ClaimOutcome, ClaimUpdate};
use sloeline_rpc::serve::serve;
use sloeline_rpc::{RpcRequest, RpcResponse};
use tokio::net::TcpListener;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{sleep, timeout};

/// Runs a test on a single-threaded runtime with paused time.
fn run_paused(test: impl AsyncFnOnce()) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, test());
}

/// How the simulated core machines answer.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Behavior {
    /// Grants every claim and release.
    Grant,
    /// Answers that the core is unavailable.
    Refuse,
    /// Never answers.
    NoAnswer,
}

/// Simulated core machines that count the calls they receive.
struct Core {
    /// How all machines answer now.
    behavior: Cell<Behavior>,
    /// Number of calls received.
    calls: Cell<u64>,
    /// Keys whose claims were released.
    released: RefCell<Vec<Bytes>>,
}

impl Core {
    /// Creates a core without machines.
    fn new(behavior: Behavior) -> Rc<Core> {
        Rc::new(Core { behavior: Cell::new(behavior), calls: Cell::new(0), released: RefCell::default() })
    }

    /// Starts one more machine; returns its address.
    async fn start_machine(self: &Rc<Self>) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let address = listener.local_addr().expect("its address");
        let core = self.clone();
        spawn_local(serve(listener, move |request| core.clone().answer(request)));
        address
    }

    /// Counts a call and answers it according to the present behavior.
    async fn answer(self: Rc<Self>, request: RpcRequest) -> Option<RpcResponse> {
        self.calls.set(self.calls.get() + 1);
        match (self.behavior.get(), request) {
            (Behavior::Grant, RpcRequest::Operation(ClaimUpdate::Release { key, .. })) => {
                self.released.borrow_mut().push(key);
                Some(RpcResponse::Operation(ClaimOutcome::Granted))
            }
            (Behavior::Grant, _) => Some(RpcResponse::Operation(ClaimOutcome::Granted)),
            (Behavior::Refuse, _) => Some(RpcResponse::Unavailable("out of contact".to_owned())),
            (Behavior::NoAnswer, _) => std::future::pending().await,
        }
    }
}

/// The key client of a balancer, connected to three machines of this core.
async fn connect(core: &Rc<Core>) -> Rc<KeyClient> {
    let keys = KeyClient::new("m-1".to_owned());
    let mut machines = Vec::new();
    for _ in 0..3 {
        machines.push(core.start_machine().await);
    }
    keys.set_core_machines(&machines);
    keys
}

/// Claims keys for 200 requests, one every 25 ms for five seconds, and checks that every claim ends in time.
async fn claim_keys(keys: &Rc<KeyClient>) {
    for number in 0_u64..200 {
        let keys = keys.clone();
        spawn_local(async move {
            let key = Bytes::from(format!("k-{number}"));
            let claim = keys.claim(&key, number + 1, Duration::from_secs(1));
            assert!(timeout(Duration::from_millis(1500), claim).await.is_ok(), "a claim takes too long");
        });
        sleep(Duration::from_millis(25)).await;
    }
}

/// Maximum rate of calls by a balancer while no core machine answers.
const MAX_CALLS_PER_SECOND: u64 = 20;

/// Checks the number of calls while the core behaves like this, and that all claims are released afterwards.
async fn check_call_rate(behavior: Behavior) {
    let core = Core::new(behavior);
    let keys = connect(&core).await;
    claim_keys(&keys).await;
    sleep(Duration::from_secs(15)).await;
    let calls = core.calls.get();
    assert!(calls < 20 * MAX_CALLS_PER_SECOND, "{calls} calls in 20 s");
    // Every claim with an unknown outcome is released once the core answers again.
    core.behavior.set(Behavior::Grant);
    sleep(Duration::from_secs(20)).await;
    let mut released = core.released.borrow().clone();
    released.sort();
    released.dedup();
    assert_eq!(released.len(), 200, "of 200 claims");
}

#[test]
fn the_call_rate_is_limited_while_core_machines_refuse() {
    run_paused(async || check_call_rate(Behavior::Refuse).await);
}

#[test]
fn the_call_rate_is_limited_while_core_machines_do_not_answer() {
    run_paused(async || check_call_rate(Behavior::NoAnswer).await);
}

#[test]
fn waiting_claims_are_granted_once_the_core_answers_again() {
    run_paused(async || {
        let core = Core::new(Behavior::Refuse);
        let keys = connect(&core).await;
        let waiting: Vec<_> = (0_u64..50)
            .map(|number| {
                let keys = keys.clone();
                let key = Bytes::from(format!("k-{number}"));
                spawn_local(async move { keys.claim(&key, 1, Duration::from_millis(1200)).await })
            })
            .collect();
        sleep(Duration::from_millis(600)).await;
        core.behavior.set(Behavior::Grant);
        for claim in waiting {
            assert_eq!(claim.await.expect("the claim ends").expect("granted"), ClaimOutcome::Granted);
        }
    });
}
