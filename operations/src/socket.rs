//! The control socket of a daemon: one call on each connection, lines of JSON each way.
//!
//! The socket is a file that only its owner may open (mode 0600), and whoever connects must be that user or root; it says
//! nothing over a network. A call and its answer are bounded in length and in time, so that a caller that says nothing holds
//! up nobody. Versions: a call names the form that it is in; one that is not known is refused with the one that is.

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

use crate::crowd::{Crowd, PAUSE};
use crate::verbs::{Answer, Asked, Call, MOST_ANSWER, MOST_CALL, Replies, VERSION, Verb, read};

/// Connections at once.
const MOST: usize = 16;
/// How long a call may take from its connection to its answer, and a line of an answer to be taken.
pub(crate) const PATIENCE: Duration = Duration::from_secs(6);

/// A socket under way; dropped, its file is gone.
pub struct Socket {
    path: PathBuf,
    /// Which file it made: another process may have put its own there since.
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
        Ok(Socket { path: path.to_owned(), inode: inode(path), task })
    }

    /// Where it is.
    pub fn path(&self) -> &Path {
        &self.path
    }
}

async fn serve(listener: UnixListener, calls: mpsc::Sender<Asked>) {
    let own = rustix::process::geteuid().as_raw();
    let crowd = Crowd::new(MOST);
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(PAUSE).await;
            continue;
        };
        // The file's mode says so already; this says it again where its folder was copied or its mode was changed.
        let Some(uid) = stream.peer_cred().ok().map(|who| who.uid()).filter(|uid| [0, own].contains(uid))
        else {
            continue;
        };
        let calls = calls.clone();
        crowd.take(async move {
            // Whoever called has left.
            let _: io::Result<()> = connection(stream, uid, calls).await;
        });
    }
}

async fn connection(stream: UnixStream, uid: u32, calls: mpsc::Sender<Asked>) -> io::Result<()> {
    let (reader, mut writer) = stream.into_split();
    let mut reader = BufReader::new(reader.take(MOST_CALL));
    let mut line = Vec::new();
    timeout(PATIENCE, reader.read_until(b'\n', &mut line)).await??;
    let (to, mut answers) = Replies::new();
    let mut lasts = false;
    match read(&line) {
        Ok((who, verb)) => {
            lasts = verb.lasts();
            let who = who.map_or_else(|| format!("uid {uid}"), |who| format!("{who} (uid {uid})"));
            // Where nobody hears it, the caller is told so below.
            let _ = timeout(PATIENCE, calls.send(Asked { verb, who, to })).await;
        }
        Err(why) => to.end(Err(why)),
    }
    loop {
        let answer = next(&mut answers, lasts);
        let answer = if lasts {
            // Nothing more comes from a caller but that it leaves.
            tokio::select! {
                answer = answer => answer,
                _ = reader.read_u8() => return Ok(()),
            }
        } else {
            answer.await
        };
        let mut text = answer.written();
        text.push(b'\n');
        timeout(PATIENCE, writer.write_all(&text)).await??;
        if !matches!(answer, Answer::More(_)) {
            return timeout(PATIENCE, writer.shutdown()).await?;
        }
    }
}

/// The next line of an answer, within its time.
pub(crate) async fn next(answers: &mut mpsc::Receiver<Answer>, lasts: bool) -> Answer {
    let stopping = || Answer::Refused("it is stopping".to_owned());
    if lasts {
        return answers.recv().await.unwrap_or_else(stopping);
    }
    match timeout(PATIENCE, answers.recv()).await {
        Ok(answer) => answer.unwrap_or_else(stopping),
        Err(_) => {
            Answer::Refused(format!("no answer within {} s; it may be done all the same", PATIENCE.as_secs()))
        }
    }
}

/// Asks the daemon at a path; each line of an answer that goes on is given to `more`. The error is one line.
pub async fn ask(
    path: &Path,
    who: Option<String>,
    verb: Verb,
    patience: Duration,
    mut more: impl FnMut(Value),
) -> Result<Value, String> {
    let named = |why: String| format!("{}: {why}", path.display());
    let lasts = verb.lasts();
    let text = Call { version: VERSION, who, verb }.written()?;
    let asked = async {
        let mut stream = UnixStream::connect(path).await?;
        stream.write_all(&text).await?;
        Ok::<_, io::Error>(stream)
    };
    let in_time = || named("no answer in time".to_owned());
    let stream = timeout(patience, asked).await.map_err(|_| in_time())?.map_err(|e| named(e.to_string()))?;
    let mut reader = BufReader::new(stream);
    loop {
        let mut line = Vec::new();
        let mut bounded = (&mut reader).take(MOST_ANSWER);
        let read = bounded.read_until(b'\n', &mut line);
        let read = if lasts { read.await } else { timeout(patience, read).await.map_err(|_| in_time())? };
        read.map_err(|e| named(e.to_string()))?;
        match serde_json::from_slice(&line).map_err(|e| named(format!("found no answer: {e}")))? {
            Answer::More(value) => more(value),
            Answer::Done(value) => return Ok(value),
            Answer::Refused(why) => return Err(why),
        }
    }
}
