//! A mesh on loopback for tests: core machines, two balancers, and one upstream beside the second.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use sloeline_testbed::client::{Answer, ask};
use sloeline_testbed::machine::{Machine, Plan};
use sloeline_testbed::standin::{Manner, Standin};
use tokio::task::LocalSet;

pub const WITHIN: Duration = Duration::from_secs(10);
/// How often callers follow a 307.
const MOST_REDIRECTS: usize = 2;

/// A folder that goes with its owner.
pub struct Folder(pub PathBuf);

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A mesh with one upstream, which is beside balancer 2; clients call at balancer 1.
pub struct Mesh {
    pub plan: Plan,
    pub standin: Standin,
    pub cores: Vec<Option<Machine>>,
    _machines: Vec<Machine>,
    pub folder: Folder,
}

pub fn config(edition: u32, timeout: &str) -> String {
    format!(
        r#"{{"edition":"{edition:08x}","gateways":[{{"station":"h.example","regulations":[
        {{"name":"s","route_kind":"safe","target":"300ms","precedence":2,"sort_by":{{"lane_prefix":"/safe/"}},
          "dispatch":{{"line":"one","timeout":"{timeout}","tries":2}}}},
        {{"name":"u","route_kind":"unsafe","target":"300ms","precedence":2,"sort_by":{{"lane_prefix":"/once/"}},
          "dispatch":{{"line":"one","timeout":"{timeout}","tries":2}}}},
        {{"name":"k","route_kind":"tracked","target":"300ms","precedence":1,"sort_by":{{"lane_prefix":"/key/"}},
          "dispatch":{{"line":"one","timeout":"{timeout}","tries":2}}}}]}}],
        "depots":[{{"name":"one"}}]}}"#
    )
}

/// Asks until it is as wanted; what it was last, where it never is.
pub async fn until<T, F: Future<Output = T>>(ask: impl Fn() -> F, wanted: impl Fn(&T) -> bool) -> T {
    let start = Instant::now();
    loop {
        let got = ask().await;
        if wanted(&got) || start.elapsed() > WITHIN {
            return got;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

pub fn status(answer: &anyhow::Result<Answer>) -> u16 {
    answer.as_ref().map_or(0, |a| a.status)
}

impl Mesh {
    pub async fn start(net: u8, cores: u8) -> Mesh {
        Mesh::with(net, cores, true).await
    }

    /// One whose clients find no upstream yet.
    pub async fn without_upstream(net: u8, cores: u8) -> Mesh {
        Mesh::with(net, cores, false).await
    }

    async fn with(net: u8, cores: u8, upstream: bool) -> Mesh {
        let folder = std::env::temp_dir().join(format!("sloeline-loopback-{}-{net}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        let plan = Plan::new(net, cores, folder.clone());
        let cores = (0..cores).map(|c| Some(plan.core(c, true).expect("a core machine"))).collect();
        let standin = Standin::default();
        standin.book().works = Duration::from_millis(5);
        let mut machines = vec![plan.balancer(1, "front").expect("a balancer")];
        if upstream {
            machines.push(plan.balancer(2, "one").expect("a balancer"));
            machines.push(plan.standin(2, "one", &standin, 2).expect("an upstream"));
        }
        let mesh = Mesh { plan, standin, cores, _machines: machines, folder: Folder(folder) };
        let first = config(1, "2s");
        let put = until(|| mesh.put(0, &first), |a| status(a) == 200).await;
        assert_eq!(status(&put), 200, "{put:?}");
        if !upstream {
            return mesh;
        }
        let ready = mesh.plan.readiness(1);
        let ready = until(|| ask(ready, "GET", "/-/ready", &[], b"", WITHIN), |a| status(a) == 200).await;
        assert_eq!(status(&ready), 200, "{ready:?}");
        mesh
    }

    /// Sends an order, and follows where it is sent on to, as operators' callers do.
    pub async fn put(&self, core: u8, config: &str) -> anyhow::Result<Answer> {
        let mut to = self.plan.operator(core);
        let target = "/-/rpc?call=config.replace";
        for _ in 0..MOST_REDIRECTS {
            let answer = ask(to, "POST", target, &[], config.as_bytes(), Duration::from_secs(5)).await?;
            let location = answer.header("location").filter(|_| answer.status == 307);
            let Some(next) =
                location.and_then(|l| l.strip_prefix("http://")?.split('/').next()?.parse().ok())
            else {
                return Ok(answer);
            };
            to = next;
        }
        ask(to, "POST", target, &[], config.as_bytes(), Duration::from_secs(5)).await
    }

    pub async fn read(&self, core: u8) -> anyhow::Result<Answer> {
        let to = self.plan.operator(core);
        ask(to, "POST", "/-/rpc?call=config.read", &[], b"", Duration::from_secs(5)).await
    }

    /// A request of a client at balancer 1.
    pub async fn request(&self, path: &str, id: &str, key: Option<&str>) -> anyhow::Result<Answer> {
        self.request_with(path, id, key, 1500).await
    }

    /// One of a client that still waits for so many milliseconds.
    pub async fn request_with(
        &self,
        path: &str,
        id: &str,
        key: Option<&str>,
        left: u64,
    ) -> anyhow::Result<Answer> {
        let left = left.to_string();
        let mut headers = vec![("Host", "h.example"), ("X-Try-Id", id), ("X-Time-Left", left.as_str())];
        // What clients say of themselves here is not believed.
        headers.extend([("X-Sender", "somebody"), ("X-Addressee", "i-other"), ("X-Mesh-Keyed", "1")]);
        headers.extend(key.map(|k| ("X-Operation-Key", k)));
        let method = if path.starts_with("/safe") { "GET" } else { "POST" };
        ask(self.plan.outgoing(1), method, path, &headers, b"", WITHIN).await
    }

    pub fn set(&self, manner: Manner) {
        self.standin.book().manner = manner;
    }
}

pub fn play(test: impl AsyncFnOnce()) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let ended = tokio::time::timeout(Duration::from_secs(60), test()).await;
        assert!(ended.is_ok(), "it waits for what never comes");
    });
}
