//! A relay in front of one process of the mesh: it passes bytes on, or is told to hold, cut, slow or halve them.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use anyhow::{Context, Result};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Bytes that are passed on at once.
const PACKET: usize = 4 << 10;

/// What a relay does to what passes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    #[default]
    None,
    /// Nothing passes either way, and nobody is told.
    Hold,
    /// Requests pass and answers don't.
    HoldAnswers,
    /// Connections are closed as they come.
    Reset,
    /// So many bytes a second pass each way on each connection.
    Slow(u32),
}

/// A relay to one process.
pub struct Relay {
    fault: watch::Sender<Fault>,
    connections: Cell<u64>,
}

impl Relay {
    /// Begins to relay from one address to another.
    pub async fn start(from: SocketAddr, to: SocketAddr) -> Result<Rc<Relay>> {
        let listener = TcpListener::bind(from).await.with_context(|| format!("relay at {from}"))?;
        let relay = Rc::new(Relay { fault: watch::Sender::new(Fault::None), connections: Cell::new(0) });
        let accepting = relay.clone();
        spawn_local(async move {
            while let Ok((near, _)) = listener.accept().await {
                accepting.connections.set(accepting.connections.get() + 1);
                spawn_local(connection(near, to, accepting.fault.subscribe()));
            }
        });
        Ok(relay)
    }

    /// Does this from now on.
    pub fn set(&self, fault: Fault) {
        self.fault.send_replace(fault);
    }
}

async fn connection(near: TcpStream, to: SocketAddr, mut fault: watch::Receiver<Fault>) {
    if fault.wait_for(|fault| *fault != Fault::Hold).await.is_err_and(|_| true) {
        return;
    }
    let Ok(far) = TcpStream::connect(to).await else { return };
    let (near_in, near_out) = near.into_split();
    let (far_in, far_out) = far.into_split();
    let held_requests = |fault: &Fault| *fault == Fault::Hold;
    let held_answers = |fault: &Fault| matches!(fault, Fault::Hold | Fault::HoldAnswers);
    let mut resets = fault.clone();
    tokio::select! {
        () = pass(near_in, far_out, fault.clone(), held_requests) => {}
        () = pass(far_in, near_out, fault, held_answers) => {}
        _ = resets.wait_for(|fault| *fault == Fault::Reset) => {}
    }
}

async fn pass(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut fault: watch::Receiver<Fault>,
    held: impl Fn(&Fault) -> bool,
) {
    let mut packet = vec![0; PACKET];
    loop {
        let Ok(bytes @ 1..) = from.read(&mut packet).await else { return };
        if fault.wait_for(|fault| !held(fault)).await.is_err_and(|_| true) {
            return;
        }
        let rate = match *fault.borrow() {
            Fault::Slow(rate) => Some(rate),
            _ => None,
        };
        if let Some(rate) = rate {
            sleep(Duration::from_secs_f64(bytes as f64 / f64::from(rate.max(1)))).await;
        }
        if to.write_all(&packet[..bytes]).await.is_err() {
            return;
        }
    }
}
