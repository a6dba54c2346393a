//! Handover from a serving process to its successor over a Unix socket: the listener, the orders and the upstream list.
//!
//! The serving process sends one byte with its listener's descriptor (`SCM_RIGHTS`, unix(7)), then a line of JSON, the
//! [`Handover`]. From then on, both sides send lines with a [`PeerMessage`] each. The connection ends when one of the processes
//! ends.
//!
//! The processes may be of different builds, and either may be the newer. A part of the handover that this build cannot read,
//! or a message that it does not know, is ignored and logged. Only the listener and the orders are mandatory.

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

/// Maximum length of a line in bytes, enough for some ten thousand upstreams. Bounds the memory.
const MAX_LINE_BYTES: u64 = 8 << 20;
/// Time limit of a handover, so that a serving process that hangs does not block its successor.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(1500);
/// Maximum length of the path of a Unix socket (unix(7): 108 bytes with the terminating zero).
const MAX_PATH_BYTES: usize = 107;

/// What the serving process hands over in addition to its listener.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
#[serde(bound(deserialize = "L: DeserializeOwned"))]
pub struct Handover<L> {
    /// The orders in force.
    pub orders: Orders,
    /// The upstream list of the serving process. `None` if it has none, or in a form that this build cannot read.
    #[serde(default, deserialize_with = "read_leniently")]
    pub list: Option<L>,
}

/// Deserializes a part whose form may differ in another build. A part that cannot be read gets its default, so that the other
/// parts are still used.
pub fn read_leniently<'de, D: Deserializer<'de>, T: DeserializeOwned + Default>(
    from: D,
) -> Result<T, D::Error> {
    let value = Value::deserialize(from)?;
    Ok(serde_json::from_value(value).unwrap_or_else(|why| {
        emit!(LINK_FAILED, why = %why; "link: a part that another build words otherwise is passed over: {why}");
        T::default()
    }))
}

/// A message between the two processes after the handover.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerMessage {
    /// The sender accepts connections now.
    Serving,
    /// All orders in force, after the sender has changed them.
    Orders(Orders),
    /// Attempts in flight by zone: those of the sender and of the processes behind it.
    InFlight(Vec<(String, f64)>),
    /// Number of processes on the sender's side, including the sender.
    #[serde(rename = "crowd")]
    ProcessCount(u32),
}

/// Path in `folder` of the handover socket for the balancer with this name.
pub fn socket_path(folder: &Path, name: &str) -> Result<PathBuf, String> {
    let path = folder.join(format!("sloeline-{name}.sock"));
    let length = path.as_os_str().len();
    if length > MAX_PATH_BYTES {
        return Err(format!("{}: found {length} bytes, expected {MAX_PATH_BYTES} at most", path.display()));
    }
    Ok(path)
}

/// The connection between the two processes after the handover. It is closed when dropped.
pub struct PeerConnection {
    messages: UnboundedReceiver<PeerMessage>,
    outgoing: UnboundedSender<PeerMessage>,
}

impl PeerConnection {
    fn new(reader: BufReader<OwnedReadHalf>, writer: OwnedWriteHalf) -> PeerConnection {
        let (received, messages) = unbounded_channel();
        let (outgoing, queued) = unbounded_channel();
        spawn_local(read_messages(reader, received));
        spawn_local(write_messages(writer, queued));
        PeerConnection { messages, outgoing }
    }

    /// The next message; `None` when the other process has ended.
    pub async fn next(&mut self) -> Option<PeerMessage> {
        self.messages.recv().await
    }

    /// Returns a handle for sending while the connection is open.
    pub fn sender(&self) -> PeerSender {
        PeerSender(self.outgoing.clone())
    }
}

/// The sending side of a [`PeerConnection`].
#[derive(Clone)]
pub struct PeerSender(UnboundedSender<PeerMessage>);

impl PeerSender {
    /// Sends a message. It is dropped if the other process has ended.
    pub fn send(&self, message: PeerMessage) {
        let _ = self.0.send(message);
    }
}

async fn read_messages(mut reader: BufReader<OwnedReadHalf>, received: UnboundedSender<PeerMessage>) {
    // Logged once: another build may send an unknown message with every change of its attempts in flight.
    let mut logged_unknown = false;
    loop {
        let line = tokio::select! {
            line = read_line::<Value>(&mut reader) => line,
            // The receiver was dropped.
            () = received.closed() => return,
        };
        match line {
            Ok(Some(value)) => match serde_json::from_value(value) {
                Ok(message) => {
                    if received.send(message).is_err() {
                        return;
                    }
                }
                Err(_) if logged_unknown => {}
                Err(why) => {
                    logged_unknown = true;
                    emit!(LINK_FAILED, why = %why; "link: notes of another build are passed over, such as: {why}");
                }
            },
            Ok(None) => return,
            Err(why) => return emit!(LINK_FAILED, why = %why; "link: {why}"),
        }
    }
}

async fn write_messages(mut writer: OwnedWriteHalf, mut queued: UnboundedReceiver<PeerMessage>) {
    while let Some(message) = queued.recv().await {
        if write_line(&mut writer, &message).await.is_err() {
            return;
        }
    }
}

async fn read_line<T: DeserializeOwned>(reader: &mut BufReader<OwnedReadHalf>) -> Result<Option<T>, String> {
    let mut line = Vec::new();
    let read = reader.take(MAX_LINE_BYTES).read_until(b'\n', &mut line).await.map_err(|e| e.to_string())?;
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

/// What the successor has received.
pub struct ReceivedHandover<L> {
    /// The listener of the serving process. Both processes accept connections from the same queue.
    pub listener: TcpListener,
    /// The orders and the upstream list.
    pub handover: Handover<L>,
    /// The connection for further messages.
    pub line: PeerConnection,
}

/// Requests the handover from the serving process; `None` if there is none. The error is the reason why an existing process did
/// not answer.
pub async fn request_handover<L: DeserializeOwned>(
    path: &Path,
) -> Result<Option<ReceivedHandover<L>>, String> {
    let Ok(stream) = UnixStream::connect(path).await else { return Ok(None) };
    let asked = async {
        let listener = receive_descriptor(&stream).await.map_err(|e| e.to_string())?;
        let listener = TcpListener::from(listener);
        // Rejects a descriptor that is not a TCP listener.
        listener.local_addr().map_err(|e| e.to_string())?;
        let (reader, writer) = stream.into_split();
        let mut reader = BufReader::new(reader);
        let handover = read_line(&mut reader).await?.ok_or("it left without a word")?;
        Ok(Some(ReceivedHandover { listener, handover, line: PeerConnection::new(reader, writer) }))
    };
    timeout(HANDOVER_TIMEOUT, asked).await.unwrap_or_else(|_| Err("it is silent".to_owned()))
}

/// Identifies the socket file at a path, and so the process that has created it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SocketId(u64, u64);

impl SocketId {
    /// Identifies the file at this path; `None` if there is none.
    pub fn of(path: &Path) -> Option<SocketId> {
        std::fs::symlink_metadata(path).ok().map(|file| SocketId(file.dev(), file.ino()))
    }
}

/// Whether a process listens at this path. That process sees a connection that ends at once.
pub async fn is_held(path: &Path) -> bool {
    UnixStream::connect(path).await.is_ok()
}

/// The handover socket of the serving process.
pub struct HandoverSocket {
    socket: UnixListener,
}

impl HandoverSocket {
    /// Binds the socket and replaces the file of an earlier process.
    pub fn bind(path: &Path) -> Result<HandoverSocket, String> {
        let bind_socket = || {
            match std::fs::remove_file(path) {
                Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
                _ => {}
            }
            let socket = UnixListener::bind(path)?;
            // Any process that can connect gets the listener.
            std::fs::set_permissions(path, std::fs::Permissions::from_mode(0o600))?;
            Ok(HandoverSocket { socket })
        };
        bind_socket().map_err(|e| format!("{}: {e}", path.display()))
    }

    /// Waits for a successor to connect.
    pub async fn next(&self) -> io::Result<Successor> {
        let (stream, _) = self.socket.accept().await?;
        Ok(Successor { stream })
    }
}

/// A process that has requested the handover.
pub struct Successor {
    stream: UnixStream,
}

impl Successor {
    /// Sends the listener and the [`Handover`].
    pub async fn hand_over(
        self,
        listener: &impl AsFd,
        handover: &impl Serialize,
    ) -> Result<PeerConnection, String> {
        let Successor { stream } = self;
        let given = async {
            send_descriptor(&stream, listener).await?;
            let (reader, mut writer) = stream.into_split();
            write_line(&mut writer, handover).await?;
            Ok(PeerConnection::new(BufReader::new(reader), writer))
        };
        let given: Result<io::Result<PeerConnection>, _> = timeout(HANDOVER_TIMEOUT, given).await;
        given.map_err(|_| "it does not read".to_owned())?.map_err(|e| e.to_string())
    }
}

async fn send_descriptor(stream: &UnixStream, what: &impl AsFd) -> io::Result<()> {
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

async fn receive_descriptor(stream: &UnixStream) -> io::Result<OwnedFd> {
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
