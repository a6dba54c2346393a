//! The control socket of a daemon: one call on each connection, a line of JSON each way.
//!
//! The socket is a file that only its owner may open (mode 0600), and whoever connects must be that user or root; it says
//! nothing over a network. A call and its answer are bounded in length and in time, so that a caller that says nothing holds up
//! nobody. Versions: a call names the form that it is in; one that is not known is refused with the one that is.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::io;
use std::os::unix::fs::FileTypeExt;
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::{mpsc, oneshot};
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::{sleep, timeout};

/// The form of calls and answers.
pub const VERSION: u32 = 1;
/// Connections at once; the one that came first makes room.
const MOST: usize = 16;
/// How long a call may take from its connection to its answer.
const PATIENCE: Duration = Duration::from_secs(6);
/// Pause after a connection could not be taken.
const PAUSE: Duration = Duration::from_millis(20);
/// Longest call, in bytes.
const MOST_CALL: u64 = 64 << 10;
/// Longest answer that a client reads, in bytes.
const MOST_ANSWER: u64 = 64 << 20;

/// What is asked.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb", rename_all = "lowercase", deny_unknown_fields)]
pub enum Verb {
    /// How it stands.
    Status,
    /// Each pool.
    Pools,
    /// The members of a pool, or of all.
    Members {
        /// Only this one.
        pool: Option<String>,
    },
    /// Background work.
    Work,
    /// Operations that were found odd.
    Operations,
    /// Which route a request takes.
    Explain {
        /// `GET`
        method: String,
        /// A path, or an address.
        url: String,
        /// `Name: value`
        headers: Vec<String>,
    },
    /// Nothing new goes to a node.
    Out {
        /// Its name.
        node: String,
        /// Only in this pool.
        pool: Option<String>,
    },
    /// A node that was ordered out takes requests again.
    Back {
        /// Its name.
        node: String,
        /// Only in this pool.
        pool: Option<String>,
    },
    /// What reading the configuration again would change.
    Changes,
}

/// A call as it is sent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Call {
    /// Its form.
    pub version: u32,
    /// What is asked.
    #[serde(flatten)]
    pub verb: Verb,
}

/// The answer: what was asked for, or why not.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Answer {
    /// It was done.
    Done(serde_json::Value),
    /// It was not, and nothing has changed.
    Refused(String),
}

/// A call, and where its answer goes.
pub type Asked = (Verb, oneshot::Sender<Answer>);

/// A socket under way; dropped, its file is gone.
pub struct Socket {
    path: PathBuf,
    task: AbortHandle,
}

impl Drop for Socket {
    fn drop(&mut self) {
        self.task.abort();
        let _ = std::fs::remove_file(&self.path);
    }
}

/// Makes the socket's file: what is left of a process that is no more makes room, one that answers does not.
fn bind(path: &Path) -> Result<UnixListener, String> {
    let named = |why: String| format!("{}: {why}", path.display());
    match std::fs::symlink_metadata(path) {
        Ok(found) if !found.file_type().is_socket() => {
            return Err(named("found something else than a socket".to_owned()));
        }
        Ok(_) if std::os::unix::net::UnixStream::connect(path).is_ok() => {
            return Err(named("another process answers there".to_owned()));
        }
        Ok(_) => std::fs::remove_file(path).map_err(|e| named(e.to_string()))?,
        Err(_) => {}
    }
    // Made so that nobody else can open it at any time; connecting needs the right to write.
    let mask = rustix::process::umask(rustix::fs::Mode::from_raw_mode(0o177));
    let listener = UnixListener::bind(path);
    rustix::process::umask(mask);
    listener.map_err(|e| named(e.to_string()))
}

impl Socket {
    /// Listens at a path; calls go to the channel, one after the other.
    pub fn open(path: &Path, calls: mpsc::Sender<Asked>) -> Result<Socket, String> {
        let listener = bind(path)?;
        let task = spawn_local(serve(listener, calls)).abort_handle();
        Ok(Socket { path: path.to_owned(), task })
    }

    /// Where it is.
    pub fn path(&self) -> &Path {
        &self.path
    }
}

async fn serve(listener: UnixListener, calls: mpsc::Sender<Asked>) {
    let own = rustix::process::geteuid().as_raw();
    let open: RefCell<VecDeque<AbortHandle>> = RefCell::default();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(PAUSE).await;
            continue;
        };
        // The file's mode says so already; this says it again where its folder was copied or its mode was changed.
        if !stream.peer_cred().is_ok_and(|who| [0, own].contains(&who.uid())) {
            continue;
        }
        let mut open = open.borrow_mut();
        open.retain(|task| !task.is_finished());
        if open.len() >= MOST
            && let Some(first) = open.pop_front()
        {
            first.abort();
        }
        let calls = calls.clone();
        let task = spawn_local(async move {
            let _ = timeout(PATIENCE, connection(stream, calls)).await;
        });
        open.push_back(task.abort_handle());
    }
}

async fn connection(stream: UnixStream, calls: mpsc::Sender<Asked>) -> io::Result<()> {
    let (reader, mut writer) = stream.into_split();
    let mut line = Vec::new();
    BufReader::new(reader.take(MOST_CALL)).read_until(b'\n', &mut line).await?;
    let answer = match read(&line) {
        Ok(verb) => {
            let (sender, answer) = oneshot::channel();
            match calls.send((verb, sender)).await {
                Ok(()) => answer.await.unwrap_or_else(|_| Answer::Refused("it is stopping".to_owned())),
                Err(_) => Answer::Refused("it is stopping".to_owned()),
            }
        }
        Err(why) => Answer::Refused(why),
    };
    let mut text = serde_json::to_vec(&answer)?;
    text.push(b'\n');
    writer.write_all(&text).await?;
    writer.shutdown().await
}

/// Reads a call; the error says what was found and what was expected.
pub fn read(line: &[u8]) -> Result<Verb, String> {
    #[derive(Deserialize)]
    struct Form {
        version: u32,
    }
    let Some(line) = line.strip_suffix(b"\n") else {
        return Err(format!(
            "found {} bytes without an end, expected a line of less than {MOST_CALL}",
            line.len()
        ));
    };
    let form: Form = serde_json::from_slice(line).map_err(|e| format!("found no call: {e}"))?;
    if form.version != VERSION {
        return Err(format!("found a call of version {}, expected {VERSION}", form.version));
    }
    let mut call: serde_json::Value = serde_json::from_slice(line).map_err(|e| e.to_string())?;
    if let Some(call) = call.as_object_mut() {
        call.remove("version");
    }
    serde_json::from_value(call).map_err(|e| format!("found a call that is not known: {e}"))
}

/// Asks the daemon at a path; the error is one line.
pub async fn ask(path: &Path, verb: Verb, patience: Duration) -> Result<serde_json::Value, String> {
    let named = |why: String| format!("{}: {why}", path.display());
    let asked = async {
        let mut stream = UnixStream::connect(path).await?;
        let mut text = serde_json::to_vec(&Call { version: VERSION, verb })?;
        text.push(b'\n');
        stream.write_all(&text).await?;
        let mut answer = Vec::new();
        stream.take(MOST_ANSWER).read_to_end(&mut answer).await?;
        Ok::<_, io::Error>(answer)
    };
    let answer = timeout(patience, asked).await.map_err(|_| named("no answer in time".to_owned()))?;
    let answer = answer.map_err(|e| named(e.to_string()))?;
    match serde_json::from_slice(&answer).map_err(|e| named(format!("found no answer: {e}")))? {
        Answer::Done(value) => Ok(value),
        Answer::Refused(why) => Err(why),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn calls_are_read_as_they_are_written_and_nothing_else_is_one() {
        let verbs = [
            Verb::Status,
            Verb::Members { pool: Some("p".to_owned()) },
            Verb::Explain {
                method: "GET".to_owned(),
                url: "/a".to_owned(),
                headers: vec!["A: b".to_owned()],
            },
            Verb::Out { node: "n".to_owned(), pool: None },
            Verb::Changes,
        ];
        for verb in verbs {
            let mut text = serde_json::to_vec(&Call { version: VERSION, verb: verb.clone() }).expect("JSON");
            text.push(b'\n');
            assert_eq!(read(&text), Ok(verb), "{}", String::from_utf8_lossy(&text));
            // Cut off anywhere.
            assert!((0..text.len() - 1).all(|at| read(&text[..at]).is_err()));
        }
        for (text, why) in [
            ("\n", "found no call"),
            ("{}\n", "version"),
            ("{\"version\":2,\"verb\":\"status\"}\n", "found a call of version 2, expected 1"),
            ("{\"version\":1,\"verb\":\"stat\"}\n", "unknown variant `stat`"),
            ("{\"version\":1,\"verb\":\"out\"}\n", "missing field `node`"),
            ("{\"version\":1,\"verb\":\"out\",\"node\":\"n\",\"nod\":1}\n", "unknown field `nod`"),
            ("{\"version\":1,\"verb\":\"status\"}", "without an end"),
        ] {
            assert!(
                read(text.as_bytes()).is_err_and(|e| e.contains(why)),
                "{text:?}: {:?}",
                read(text.as_bytes())
            );
        }
        let seed =
            std::env::var("SEED").ok().and_then(|s| s.parse().ok()).unwrap_or_else(|| fastrand::u64(..));
        println!("SEED={seed}");
        let mut rng = fastrand::Rng::with_seed(seed);
        for _ in 0..50_000 {
            let mut text = br#"{"version":1,"verb":"out","node":"n","pool":null}"#.to_vec();
            for _ in 0..rng.usize(1..4) {
                let at = rng.usize(..text.len());
                text[at] = rng.u8(..);
            }
            text.push(b'\n');
            // It ends, with a call or without.
            let _ = read(&text);
        }
    }
}
