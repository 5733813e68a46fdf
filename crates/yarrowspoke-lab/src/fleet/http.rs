//! Just enough HTTP/1.1 for stand-ins, relays and clients: heads as lines, bodies by their stated length.

use futures_lite::{AsyncRead, AsyncReadExt};
use std::io;

/// Most bytes of a message that any of them takes.
const MOST: usize = 8 * 1024 * 1024;

/// A message as it was read.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// First line and fields.
    pub lines: Vec<String>,
    /// Body.
    pub body: Vec<u8>,
}

impl Message {
    /// The words of the first line.
    pub fn word(&self, n: usize) -> &str {
        self.lines.first().and_then(|l| l.split(' ').nth(n)).unwrap_or("")
    }

    /// The first field of this name.
    pub fn field(&self, name: &str) -> Option<&str> {
        let fields = self.lines.iter().skip(1).filter_map(|l| l.split_once(':'));
        fields.filter(|f| f.0.eq_ignore_ascii_case(name)).map(|f| f.1.trim()).next()
    }

    /// As it goes over a socket.
    pub fn bytes(&self) -> Vec<u8> {
        let mut out = self.lines.join("\r\n").into_bytes();
        out.extend_from_slice(b"\r\n\r\n");
        out.extend_from_slice(&self.body);
        out
    }

    /// An answer.
    pub fn answer(status: &str, body: impl Into<Vec<u8>>) -> Self {
        let body = body.into();
        let lines = vec![format!("HTTP/1.1 {status}"), format!("Content-Length: {}", body.len())];
        Self { lines, body }
    }
}

/// Reads one message; `rest` holds what came behind the last one. `None` once the connection has ended.
pub async fn read_message(
    stream: &mut (impl AsyncRead + Unpin),
    rest: &mut Vec<u8>,
) -> io::Result<Option<Message>> {
    let mut chunk = vec![0; 16 * 1024];
    loop {
        if let Some(end) = rest.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&rest[..end]).into_owned();
            let mut message =
                Message { lines: head.split("\r\n").map(str::to_owned).collect(), body: vec![] };
            let length = message.field("content-length").and_then(|n| n.parse().ok()).unwrap_or(0);
            if rest.len() >= end + 4 + length {
                message.body = rest[end + 4..end + 4 + length].to_vec();
                rest.drain(..end + 4 + length);
                return Ok(Some(message));
            }
        }
        if rest.len() > MOST {
            return Err(io::ErrorKind::InvalidData.into());
        }
        match stream.read(&mut chunk).await? {
            0 => return Ok(None),
            n => rest.extend_from_slice(&chunk[..n]),
        }
    }
}
