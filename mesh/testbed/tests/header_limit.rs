//! The size of a request's head is bounded by what the operator says.

#[allow(dead_code)]
mod mesh;

use std::fmt::Write;

use mesh::{Mesh, play, until};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// The configuration with this version, whose heads may have so many bytes.
fn config(edition: u32, header_bytes: usize) -> String {
    let limits = format!(
        r#"{{"size_limits":{{"header_bytes":{header_bytes},"body_bytes":67108864,"header":"3000ms","idle":"15000ms"}},"#
    );
    mesh::config(edition, "2s").replacen('{', &limits, 1)
}

/// A request whose head has so many bytes.
fn request(head_bytes: usize) -> String {
    let mut head =
        "GET /safe/a HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\nX-Try-Id: t-1\r\nX-Time-Left: 1500\r\n".to_owned();
    let end = "\r\n\r\n";
    let mut number = 0;
    while head.len() + end.len() < head_bytes {
        let name = format!("x-fill-{number}: ");
        let left = head_bytes - end.len() - head.len() - name.len();
        // Whatever is left after a header has room for another one.
        let value = if left < 4_000 { left } else { 3_000 };
        write!(head, "{name}{}", "f".repeat(value)).expect("text");
        if left >= 4_000 {
            head.push_str("\r\n");
        }
        number += 1;
    }
    head.push_str(end);
    assert_eq!(head.len(), head_bytes);
    head
}

/// The status of the answer to a request with a head of so many bytes.
async fn status(mesh: &Mesh, head_bytes: usize) -> u16 {
    let mut stream = TcpStream::connect(mesh.plan.outgoing(1)).await.expect("a connection");
    let _ = stream.write_all(request(head_bytes).as_bytes()).await;
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
}

/// Guards against a limit of the program's own in place of the operator's `size_limits.header_bytes`.
#[test]
fn a_head_may_have_as_many_bytes_as_the_configuration_says() {
    play(async || {
        let mesh = Mesh::start(62, 1).await;
        for (edition, header_bytes) in [(2, 100_000), (3, 33_000), (4, 9_000)] {
            assert_eq!(mesh::status(&mesh.put(0, &config(edition, header_bytes)).await), 200);
            // A head that was just too large, or just small enough, shows that the version is in force.
            let over = until(|| status(&mesh, header_bytes + 1), |status| *status == 431).await;
            let at = until(|| status(&mesh, header_bytes), |status| *status == 200).await;
            assert_eq!((at, over), (200, 431), "{header_bytes} bytes allowed");
            assert_eq!(status(&mesh, header_bytes + 1).await, 431, "{header_bytes} bytes allowed");
        }
    });
}
