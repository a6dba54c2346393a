//! The control socket of a daemon. Each connection carries one call; both directions use lines of JSON.
//!
//! The socket is a file that only its owner may open (mode 0600), and the peer must be that user or root. Calls and answers are
//! bounded in length and time, so that a silent caller blocks nobody. A call names the version of its format; the error for an
//! unknown version names the known one.

use std::io;
use std::os::unix::fs::{FileTypeExt, MetadataExt};
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde_json::Value;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::{sleep, timeout};

use crate::command::{
    Answer, Call, Command, MAX_ANSWER_BYTES, MAX_CALL_BYTES, PendingCall, ReplySender, VERSION, read,
};
use crate::connection_set::{ACCEPT_RETRY_DELAY, ConnectionSet};

/// Maximum number of open connections.
const MAX_CONNECTIONS: usize = 16;
/// Time limit from the connection to the answer, and for the caller to read a line of an answer.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_secs(6);

/// An open control socket. Its file is removed when it is dropped.
pub struct Socket {
    path: PathBuf,
    /// Identifies the file that was created: another process may have replaced it since.
    inode: Option<u64>,
    task: AbortHandle,
}

impl Drop for Socket {
    fn drop(&mut self) {
        self.task.abort();
        if inode(&self.path).is_some_and(|found| Some(found) == self.inode) {
            let _ = std::fs::remove_file(&self.path);
        }
    }
}

fn inode(path: &Path) -> Option<u64> {
    std::fs::symlink_metadata(path).ok().map(|found| found.ino())
}

/// Creates the socket file. Replaces the file of a process that has ended, but not that of a process that still answers.
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
    // Nobody else can open the file at any moment: connecting requires write permission.
    let mask = rustix::process::umask(rustix::fs::Mode::from_raw_mode(0o177));
    let listener = UnixListener::bind(path);
    rustix::process::umask(mask);
    listener.map_err(|e| named(e.to_string()))
}

impl Socket {
    /// Listens at a path and sends the calls to the channel.
    pub fn open(path: &Path, calls: mpsc::Sender<PendingCall>) -> Result<Socket, String> {
        let listener = bind(path)?;
        let task = spawn_local(serve(listener, calls)).abort_handle();
        Ok(Socket { path: path.to_owned(), inode: inode(path), task })
    }

    /// Path of the socket file.
    pub fn path(&self) -> &Path {
        &self.path
    }
}

async fn serve(listener: UnixListener, calls: mpsc::Sender<PendingCall>) {
    let own = rustix::process::geteuid().as_raw();
    let connections = ConnectionSet::new(MAX_CONNECTIONS);
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        // The file mode ensures this as well, unless it was changed or the folder was copied.
        let Some(uid) = stream.peer_cred().ok().map(|who| who.uid()).filter(|uid| [0, own].contains(uid))
        else {
            continue;
        };
        let calls = calls.clone();
        connections.spawn(async move {
            // An error means that the caller has disconnected.
            let _: io::Result<()> = connection(stream, uid, calls).await;
        });
    }
}

async fn connection(stream: UnixStream, uid: u32, calls: mpsc::Sender<PendingCall>) -> io::Result<()> {
    let (reader, mut writer) = stream.into_split();
    let mut reader = BufReader::new(reader.take(MAX_CALL_BYTES));
    let mut line = Vec::new();
    timeout(CALL_TIMEOUT, reader.read_until(b'\n', &mut line)).await??;
    let (to, mut answers) = ReplySender::new();
    let mut streaming = false;
    match read(&line) {
        Ok((who, verb)) => {
            streaming = verb.is_streaming();
            let who = who.map_or_else(|| format!("uid {uid}"), |who| format!("{who} (uid {uid})"));
            // If nobody receives the call, the caller gets an error below.
            let _ = timeout(CALL_TIMEOUT, calls.send(PendingCall { verb, who, to })).await;
        }
        Err(why) => to.end(Err(why)),
    }
    loop {
        let answer = next(&mut answers, streaming);
        let answer = if streaming {
            // A caller sends nothing more; a read ends when it disconnects.
            tokio::select! {
                answer = answer => answer,
                _ = reader.read_u8() => return Ok(()),
            }
        } else {
            answer.await
        };
        let mut text = answer.written();
        text.push(b'\n');
        timeout(CALL_TIMEOUT, writer.write_all(&text)).await??;
        if !matches!(answer, Answer::More(_)) {
            return timeout(CALL_TIMEOUT, writer.shutdown()).await?;
        }
    }
}

/// Waits for the next line of an answer, up to its time limit.
pub(crate) async fn next(answers: &mut mpsc::Receiver<Answer>, streaming: bool) -> Answer {
    let stopping = || Answer::Refused("it is stopping".to_owned());
    if streaming {
        return answers.recv().await.unwrap_or_else(stopping);
    }
    match timeout(CALL_TIMEOUT, answers.recv()).await {
        Ok(answer) => answer.unwrap_or_else(stopping),
        Err(_) => Answer::Refused(format!(
            "no answer within {} s; it may be done all the same",
            CALL_TIMEOUT.as_secs()
        )),
    }
}

/// Sends a command to the daemon at a path. The lines of a streamed answer are passed to `more`. The error is one line.
pub async fn ask(
    path: &Path,
    who: Option<String>,
    verb: Command,
    time_limit: Duration,
    mut more: impl FnMut(Value),
) -> Result<Value, String> {
    let named = |why: String| format!("{}: {why}", path.display());
    let streaming = verb.is_streaming();
    let text = Call { version: VERSION, who, verb }.written()?;
    let asked = async {
        let mut stream = UnixStream::connect(path).await?;
        stream.write_all(&text).await?;
        Ok::<_, io::Error>(stream)
    };
    let in_time = || named("no answer in time".to_owned());
    let stream =
        timeout(time_limit, asked).await.map_err(|_| in_time())?.map_err(|e| named(e.to_string()))?;
    let mut reader = BufReader::new(stream);
    loop {
        let mut line = Vec::new();
        let mut bounded = (&mut reader).take(MAX_ANSWER_BYTES);
        let read = bounded.read_until(b'\n', &mut line);
        let read =
            if streaming { read.await } else { timeout(time_limit, read).await.map_err(|_| in_time())? };
        read.map_err(|e| named(e.to_string()))?;
        match serde_json::from_slice(&line).map_err(|e| named(format!("found no answer: {e}")))? {
            Answer::More(value) => more(value),
            Answer::Done(value) => return Ok(value),
            Answer::Refused(why) => return Err(why),
        }
    }
}
