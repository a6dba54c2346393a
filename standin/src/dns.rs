//! A DNS server on loopback: A and SRV records that a test sets, over UDP (RFC 1035, RFC 2782).

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;

use tokio::net::UdpSocket;
use tokio::task::{AbortHandle, spawn_local};

/// A record's data.
#[derive(Clone, Debug)]
pub enum Data {
    /// An address.
    A(Ipv4Addr),
    /// Priority, weight, port and target.
    Srv(u16, u16, u16, String),
}

type Zone = Rc<RefCell<BTreeMap<String, (u32, Vec<Data>)>>>;

/// A server that listens; dropped, it is gone.
pub struct Dns {
    /// Where it listens.
    pub address: SocketAddr,
    zone: Zone,
    task: AbortHandle,
}

impl Drop for Dns {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Dns {
    /// Listens on any port, with no names.
    pub async fn start() -> std::io::Result<Dns> {
        let socket = UdpSocket::bind("127.0.0.1:0").await?;
        let (address, zone) = (socket.local_addr()?, Zone::default());
        let task = spawn_local(serve(socket, zone.clone())).abort_handle();
        Ok(Dns { address, zone, task })
    }

    /// A name's records and how many seconds they live; none for no such name.
    pub fn set(&self, name: &str, ttl: u32, records: Vec<Data>) {
        let mut zone = self.zone.borrow_mut();
        if records.is_empty() {
            zone.remove(name);
        } else {
            zone.insert(name.to_owned(), (ttl, records));
        }
    }
}

async fn serve(socket: UdpSocket, zone: Zone) {
    let mut buffer = [0; 1500];
    while let Ok((length, from)) = socket.recv_from(&mut buffer).await {
        let answer = answer(&buffer[..length], &zone.borrow());
        if let Some(answer) = answer {
            let _ = socket.send_to(&answer, from).await;
        }
    }
}

fn labels(name: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    for label in name.split('.').filter(|l| !l.is_empty()) {
        bytes.push(label.len() as u8);
        bytes.extend_from_slice(label.as_bytes());
    }
    bytes.push(0);
    bytes
}

fn answer(question: &[u8], zone: &BTreeMap<String, (u32, Vec<Data>)>) -> Option<Vec<u8>> {
    let (mut at, mut name) = (12, Vec::new());
    loop {
        let length = usize::from(*question.get(at)?);
        at += 1;
        if length == 0 {
            break;
        }
        name.push(String::from_utf8_lossy(question.get(at..at + length)?).to_lowercase());
        at += length;
    }
    let kind = u16::from_be_bytes([*question.get(at)?, *question.get(at + 1)?]);
    let found = zone.get(&name.join("."));
    let of_kind = |d: &&Data| matches!((d, kind), (Data::A(_), 1) | (Data::Srv(..), 33));
    let records: Vec<&Data> = found.iter().flat_map(|(_, all)| all).filter(of_kind).collect();
    let mut answer = question.get(..2)?.to_vec();
    // An answer with recursion; NXDOMAIN where there is no such name.
    answer.extend([0x85, if found.is_some() { 0x80 } else { 0x83 }, 0, 1]);
    answer.extend((records.len() as u16).to_be_bytes());
    answer.extend([0, 0, 0, 0]);
    answer.extend_from_slice(question.get(12..at + 4)?);
    for record in records {
        let data = match record {
            Data::A(ip) => ip.octets().to_vec(),
            Data::Srv(priority, weight, port, target) => {
                let numbers = [priority, weight, port];
                let mut data: Vec<u8> = numbers.iter().flat_map(|n| n.to_be_bytes()).collect();
                data.extend(labels(target));
                data
            }
        };
        answer.extend([0xc0, 12]);
        answer.extend(kind.to_be_bytes());
        answer.extend([0, 1]);
        answer.extend(found.map_or(0, |(ttl, _)| *ttl).to_be_bytes());
        answer.extend((data.len() as u16).to_be_bytes());
        answer.extend(data);
    }
    Some(answer)
}
