//! Long answers through the daemon: what passes, what is held, what is cut off.

mod rig;

use std::net::SocketAddr;

use rig::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

const LENGTH: usize = 8 << 20;

/// An upstream whose answer's length is what the path ends with; with `half` in it the answer breaks off in the middle.
async fn upstream() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            spawn_local(async move {
                while let Some(head) = head(&mut stream).await {
                    let path = head.split(' ').nth(1).unwrap_or_default();
                    let length: usize = path.rsplit('/').next().and_then(|n| n.parse().ok()).unwrap_or(0);
                    let says = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
                    let _ = stream.write_all(says.as_bytes()).await;
                    let sent = match () {
                        () if head.starts_with("HEAD") => 0,
                        () if path.contains("half") => length / 2,
                        () => length,
                    };
                    if stream.write_all(&vec![b'x'; sent]).await.is_err() || path.contains("half") {
                        return;
                    }
                }
            });
        }
    });
    address
}

async fn head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    String::from_utf8(head).ok()
}

/// The head of the answer, and how much came of its body until it was whole or broke off.
async fn ask(to: SocketAddr, method: &str, path: &str) -> (String, usize) {
    let mut stream = TcpStream::connect(to).await.expect("it listens");
    let text = format!("{method} {path} HTTP/1.1\r\nHost: b\r\nConnection: close\r\n\r\n");
    stream.write_all(text.as_bytes()).await.expect("it reads");
    let head = head(&mut stream).await.expect("an answer");
    let (mut came, mut piece) = (0, vec![0; 64 * 1024]);
    while let Ok(n @ 1..) = stream.read(&mut piece).await {
        came += n;
    }
    (head, came)
}

#[test]
fn long_answers_pass_through_without_memory_of_their_own() {
    with(async |_record| {
        let at = upstream().await;
        let limit = "answer_limit = \"16MiB\"";
        let pool = format!("[pool.p]\n{limit}\nnodes = [{{ name = \"n\", address = \"{at}\" }}]\n");
        let text = HEAD.replace("512", "512\nmemory = \"8MiB\"") + &pool + &routes("p");
        let daemon = start(&text).await;
        let to = public(&daemon);
        // More at once than all the memory for bodies would hold of one.
        let many: Vec<_> = (0..12)
            .map(|n| spawn_local(async move { ask(to, "GET", &format!("/files/{}", LENGTH + n)).await.1 }))
            .collect();
        for (n, one) in many.into_iter().enumerate() {
            assert_eq!(one.await.expect("a client"), LENGTH + n);
        }
        for (method, path, served, came) in [
            ("GET", "/files/65536", true, 65536),
            ("GET", "/files/65537", true, 65537),
            ("HEAD", "/files/8388608", true, 0),
            // Longer than may be: told at its head, so nothing of it passes.
            ("GET", "/files/16777217", false, 0),
        ] {
            let (head, length) = ask(to, method, path).await;
            assert_eq!(head.contains(" 200 "), served, "{method} {path}: {head}");
            assert!(length == came || !served, "{method} {path}: {length} bytes");
        }
    });
}

#[test]
fn one_that_breaks_off_is_repeated_while_it_is_held_and_seen_to_be_broken_when_it_passes() {
    with(async |_record| {
        let at = upstream().await;
        let limit = "answer_limit = \"16MiB\"";
        let pool = format!("[pool.p]\n{limit}\nnodes = [{{ name = \"half\", address = \"{at}\" }}]\n");
        let route = route("half", "method = \"GET\"\nprefix = \"/half\"\nclass = \"look\"\npool = \"p\"");
        let daemon = start(&(HEAD.to_owned() + &pool + &routes("p") + &route)).await;
        let to = public(&daemon);
        let (head, came) = ask(to, "GET", &format!("/half/{LENGTH}")).await;
        assert!(head.contains(" 200 ") && came < LENGTH, "{head} {came}");
        // Held: it never began for the caller.
        let (head, _) = ask(to, "GET", "/half/40000").await;
        assert!(!head.contains(" 200 "), "{head}");
    });
}
