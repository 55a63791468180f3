//! Minimal HTTP/1.1 client and messages, as the users' protocol needs them.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, SocketAddrV4, TcpStream};
use std::time::Duration;

/// Longest wait for the next bytes of a message.
const READ_TIMEOUT: Duration = Duration::from_secs(20);
/// Longest time to open a connection, as the protocol states it for requesters.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Head of a request or response: first line and headers.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// Reads a head. Returns `None` if the connection ended before it was complete.
    pub fn read(reader: &mut impl BufRead) -> Option<Self> {
        let mut lines = Vec::new();
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).ok()? == 0 || !line.ends_with('\n') {
                return None;
            }
            let line = line.trim_end().to_owned();
            if line.is_empty() {
                break;
            }
            lines.push(line);
        }
        let mut lines = lines.into_iter();
        let line = lines.next()?;
        let headers = lines.filter_map(|line| {
            let (name, value) = line.split_once(':')?;
            Some((name.to_lowercase(), value.trim().to_owned()))
        });
        Some(Self { line, headers: headers.collect() })
    }

    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(found, _)| found == name).map(|(_, value)| value.as_str())
    }

    fn length(&self) -> Option<usize> {
        self.get("content-length")?.parse().ok()
    }
}

/// Response as a requester sees it.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub body: Vec<u8>,
    /// Whether the body arrived in full, by its length or its last chunk.
    pub complete: bool,
}

/// Sends a request on a new connection and reads its response. Returns `None` if the connection ended
/// without a response head.
pub fn call(
    address: SocketAddrV4,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Option<Answer> {
    let mut stream = TcpStream::connect_timeout(&SocketAddr::V4(address), CONNECT_TIMEOUT).ok()?;
    stream.set_read_timeout(Some(READ_TIMEOUT)).ok()?;
    let mut request = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("host")) {
        request.push_str("Host: node\r\n");
    }
    for (name, value) in headers {
        request.push_str(&format!("{name}: {value}\r\n"));
    }
    request.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    stream.write_all(&[request.as_bytes(), body].concat()).ok()?;
    read_answer(&mut BufReader::new(stream))
}

fn read_answer(reader: &mut impl BufRead) -> Option<Answer> {
    let head = Head::read(reader)?;
    let status = head.line.split(' ').nth(1)?.parse().ok()?;
    let (mut body, mut complete) = (Vec::new(), false);
    if let Some(length) = head.length() {
        let read = reader.take(length as u64).read_to_end(&mut body);
        complete = read.is_ok() && body.len() == length;
    } else if head.get("transfer-encoding").is_some() {
        complete = read_chunks(reader, &mut body).is_some();
    } else {
        complete |= reader.read_to_end(&mut body).is_ok();
    }
    Some(Answer { status, body, complete })
}

/// Reads chunks up to the last one. Returns `None` if the connection ends before it.
fn read_chunks(reader: &mut impl BufRead, body: &mut Vec<u8>) -> Option<()> {
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let length = usize::from_str_radix(line.trim(), 16).ok()?;
        let mut chunk = vec![0; length + 2];
        reader.read_exact(&mut chunk).ok()?;
        if length == 0 {
            return Some(());
        }
        body.extend_from_slice(&chunk[..length]);
    }
}

/// Reads a request with its body. Returns `None` if the connection ended.
pub fn read_request(reader: &mut impl BufRead) -> Option<(Head, Vec<u8>)> {
    let head = Head::read(reader)?;
    let mut body = vec![0; head.length().unwrap_or(0)];
    reader.read_exact(&mut body).ok()?;
    Some((head, body))
}

/// Encodes a chunk of a body.
pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}
