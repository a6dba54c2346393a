//! From one process to the one that follows it, over a Unix socket: the listener, the orders and the list.
//!
//! The older process sends one byte with its listener's descriptor (`SCM_RIGHTS`, unix(7)), then a line of JSON, the
//! [`Hello`]. From then on either side sends a [`Note`] a line. The end of the connection tells that the other process
//! has gone.
//!
//! The two may be of different builds, either of them the newer. A part of the hello that this build cannot read, and a
//! note that it does not know, is passed over and told in the log; the listener and the orders are what must pass.

use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::net::TcpListener;
use std::os::fd::{AsFd, OwnedFd};
use std::os::unix::fs::{MetadataExt, PermissionsExt};
use std::path::{Path, PathBuf};
use std::time::Duration;

use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer, SendAncillaryMessage,
    SendFlags, recvmsg, sendmsg,
};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Deserializer, Serialize};
use serde_json::Value;
use sloeline_events::emit;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader, Interest};
use tokio::net::unix::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::spawn_local;
use tokio::time::timeout;

use crate::orders::Orders;

/// Longest line, in bytes: a list of some ten thousand upstreams. Guards the memory.
const MOST_LINE: u64 = 8 << 20;
/// How long the older process may take to say all that it has to. One that hangs must not hold up the newer.
const PATIENCE: Duration = Duration::from_millis(1500);
/// Longest path of a Unix socket (unix(7): 108 bytes with the closing zero).
const MOST_PATH: usize = 107;

/// What the older process hands over beside its listener.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
#[serde(bound(deserialize = "L: DeserializeOwned"))]
pub struct Hello<L> {
    /// The orders that hold.
    pub orders: Orders,
    /// The list of upstreams as it has it; nothing where it has none or words it in a way that this build cannot read.
    #[serde(default, deserialize_with = "readable")]
    pub list: Option<L>,
}

/// Reads a part that another build may word otherwise; where it cannot be read it is as if it had not been told.
/// Guards what stands beside it.
pub fn readable<'de, D: Deserializer<'de>, T: DeserializeOwned + Default>(from: D) -> Result<T, D::Error> {
    let value = Value::deserialize(from)?;
    Ok(serde_json::from_value(value).unwrap_or_else(|why| {
        emit!(LINK_FAILED, why = %why; "link: a part that another build words otherwise is passed over: {why}");
        T::default()
    }))
}

/// What either tells the other later.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Note {
    /// The sender takes connections now.
    Serving,
    /// All orders that hold, as the sender has changed them.
    Orders(Orders),
    /// Attempts that are out on the sender's side, by zone: its own and those of processes beyond it.
    InFlight(Vec<(String, f64)>),
    /// How many processes there are on the sender's side, itself among them.
    Crowd(u32),
}

/// Where the processes of the balancer with this name meet in a folder.
pub fn meeting_place(folder: &Path, name: &str) -> Result<PathBuf, String> {
    let path = folder.join(format!("sloeline-{name}.sock"));
    let length = path.as_os_str().len();
    if length > MOST_PATH {
        return Err(format!("{}: found {length} bytes, expected {MOST_PATH} at most", path.display()));
    }
    Ok(path)
}

/// The connection between the two, when all has been handed over. Dropped, it ends.
pub struct Line {
    notes: UnboundedReceiver<Note>,
    say: UnboundedSender<Note>,
}

impl Line {
    fn new(reader: BufReader<OwnedReadHalf>, writer: OwnedWriteHalf) -> Line {
        let (heard, notes) = unbounded_channel();
        let (say, saying) = unbounded_channel();
        spawn_local(hear(reader, heard));
        spawn_local(write(writer, saying));
        Line { notes, say }
    }

    /// The next note; nothing when the other process has gone.
    pub async fn next(&mut self) -> Option<Note> {
        self.notes.recv().await
    }

    /// Says something, as long as the line stands.
    pub fn mouth(&self) -> Mouth {
        Mouth(self.say.clone())
    }
}

/// The sending side of a [`Line`].
#[derive(Clone)]
pub struct Mouth(UnboundedSender<Note>);

impl Mouth {
    /// Tells the other process, if it is there.
    pub fn say(&self, note: Note) {
        let _ = self.0.send(note);
    }
}

async fn hear(mut reader: BufReader<OwnedReadHalf>, heard: UnboundedSender<Note>) {
    // Told once: another build may say it with every change of what it has out.
    let mut passed_over = false;
    loop {
        let line = tokio::select! {
            line = read_line::<Value>(&mut reader) => line,
            // Whoever listened has left.
            () = heard.closed() => return,
        };
        match line {
            Ok(Some(value)) => match serde_json::from_value(value) {
                Ok(note) => {
                    if heard.send(note).is_err() {
                        return;
                    }
                }
                Err(_) if passed_over => {}
                Err(why) => {
                    passed_over = true;
                    emit!(LINK_FAILED, why = %why; "link: notes of another build are passed over, such as: {why}");
                }
            },
            Ok(None) => return,
            Err(why) => return emit!(LINK_FAILED, why = %why; "link: {why}"),
        }
    }
}

async fn write(mut writer: OwnedWriteHalf, mut saying: UnboundedReceiver<Note>) {
    while let Some(note) = saying.recv().await {
        if write_line(&mut writer, &note).await.is_err() {
            return;
        }
    }
}

async fn read_line<T: DeserializeOwned>(reader: &mut BufReader<OwnedReadHalf>) -> Result<Option<T>, String> {
    let mut line = Vec::new();
    let read = reader.take(MOST_LINE).read_until(b'\n', &mut line).await.map_err(|e| e.to_string())?;
    if read == 0 {
        return Ok(None);
    }
    if line.last() != Some(&b'\n') {
        return Err(format!("found {read} bytes without an end of line"));
    }
    serde_json::from_slice(&line).map(Some).map_err(|e| e.to_string())
}

async fn write_line(writer: &mut OwnedWriteHalf, value: &impl Serialize) -> io::Result<()> {
    let mut line = serde_json::to_vec(value)?;
    line.push(b'\n');
    writer.write_all(&line).await
}

/// What the older process gave.
pub struct Inherited<L> {
    /// Its listener: both accept from one queue.
    pub listener: TcpListener,
    /// What it knows.
    pub hello: Hello<L>,
    /// Where the two go on talking.
    pub line: Line,
}

/// Asks the process that serves, if there is one. The error tells why one that is there did not answer.
pub async fn find<L: DeserializeOwned>(place: &Path) -> Result<Option<Inherited<L>>, String> {
    let Ok(stream) = UnixStream::connect(place).await else { return Ok(None) };
    let asked = async {
        let listener = take_descriptor(&stream).await.map_err(|e| e.to_string())?;
        let listener = TcpListener::from(listener);
        // Guards against a descriptor that is no listener of ours.
        listener.local_addr().map_err(|e| e.to_string())?;
        let (reader, writer) = stream.into_split();
        let mut reader = BufReader::new(reader);
        let hello = read_line(&mut reader).await?.ok_or("it left without a word")?;
        Ok(Some(Inherited { listener, hello, line: Line::new(reader, writer) }))
    };
    timeout(PATIENCE, asked).await.unwrap_or_else(|_| Err("it is silent".to_owned()))
}

/// Which socket stands at a meeting place: that of one process and no other.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Mark(u64, u64);

impl Mark {
    /// What stands there now; nothing where nothing does.
    pub fn of(place: &Path) -> Option<Mark> {
        std::fs::symlink_metadata(place).ok().map(|file| Mark(file.dev(), file.ino()))
    }
}

/// Whether a process holds a place; it finds a guest that has left.
pub async fn occupied(place: &Path) -> bool {
    UnixStream::connect(place).await.is_ok()
}

/// The meeting place as the process that serves holds it.
pub struct Seat {
    socket: UnixListener,
}

impl Seat {
    /// Takes the place; whoever had it is found there no more.
    pub fn take(place: &Path) -> Result<Seat, String> {
        let bind = || {
            match std::fs::remove_file(place) {
                Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
                _ => {}
            }
            let socket = UnixListener::bind(place)?;
            // Whoever can connect gets the listener.
            std::fs::set_permissions(place, std::fs::Permissions::from_mode(0o600))?;
            Ok(Seat { socket })
        };
        bind().map_err(|e| format!("{}: {e}", place.display()))
    }

    /// Waits for a process that is to follow.
    pub async fn next(&self) -> io::Result<Guest> {
        let (stream, _) = self.socket.accept().await?;
        Ok(Guest { stream })
    }
}

/// A process that has asked.
pub struct Guest {
    stream: UnixStream,
}

impl Guest {
    /// Hands everything over: the listener and a [`Hello`].
    pub async fn welcome(self, listener: &impl AsFd, hello: &impl Serialize) -> Result<Line, String> {
        let Guest { stream } = self;
        let given = async {
            give_descriptor(&stream, listener).await?;
            let (reader, mut writer) = stream.into_split();
            write_line(&mut writer, hello).await?;
            Ok(Line::new(BufReader::new(reader), writer))
        };
        let given: Result<io::Result<Line>, _> = timeout(PATIENCE, given).await;
        given.map_err(|_| "it does not read".to_owned())?.map_err(|e| e.to_string())
    }
}

async fn give_descriptor(stream: &UnixStream, what: &impl AsFd) -> io::Result<()> {
    let give = || {
        let descriptors = [what.as_fd()];
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut ancillary = SendAncillaryBuffer::new(&mut space);
        if !ancillary.push(SendAncillaryMessage::ScmRights(&descriptors)) {
            return Err(io::Error::other("no room for a descriptor"));
        }
        sendmsg(stream, &[IoSlice::new(b"L")], &mut ancillary, SendFlags::empty())?;
        Ok(())
    };
    stream.async_io(Interest::WRITABLE, give).await
}

async fn take_descriptor(stream: &UnixStream) -> io::Result<OwnedFd> {
    let take = || {
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut ancillary = RecvAncillaryBuffer::new(&mut space);
        let mut byte = [0];
        recvmsg(stream, &mut [IoSliceMut::new(&mut byte)], &mut ancillary, RecvFlags::CMSG_CLOEXEC)?;
        let mut descriptors = ancillary.drain().filter_map(|message| match message {
            RecvAncillaryMessage::ScmRights(descriptors) => Some(descriptors),
            _ => None,
        });
        let first = descriptors.next().and_then(|mut all| all.next());
        first.ok_or_else(|| io::Error::other("no descriptor came"))
    };
    stream.async_io(Interest::READABLE, take).await
}
