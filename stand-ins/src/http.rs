//! HTTP/1.1 as the platform's parties speak it: a head, and a body whose length is stated. It owns one
//! connection's reading and writing; it must never repeat a message by itself.

use std::collections::HashMap;
use std::io::{self, BufRead, Write};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Largest message that is read.
const MOST: usize = 1 << 20;
/// Room for the next bytes.
const ROOM: usize = 1 << 10;

/// A message as it came.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Method and target of a request; empty for an answer.
    pub method: String,
    /// The target of a request.
    pub target: String,
    /// The status of an answer.
    pub status: u16,
    /// Headers, by their names in lower case.
    pub headers: HashMap<String, String>,
    /// The body; what is no UTF-8 in it is replaced.
    pub body: String,
    /// The bytes that it took on the wire.
    pub wire_bytes: usize,
}

impl Message {
    /// The status of an answer.
    pub fn status(&self) -> u16 {
        self.status
    }

    /// A header's value, by its name in lower case; empty if there is none.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

/// One connection, with what was read beyond the last message.
pub struct Connection {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    /// An accepted or opened stream.
    pub fn new(stream: TcpStream) -> Connection {
        let _ = stream.set_nodelay(true);
        Connection { stream, buffer: Vec::new() }
    }

    /// Opens one, for so long at the most.
    pub async fn open(to: SocketAddr, wait: Duration) -> io::Result<Connection> {
        let stream = tokio::time::timeout(wait, TcpStream::connect(to)).await;
        let stream = stream.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        // On loopback a connection to a port that nobody listens on may be given that very port as its own
        // and meet itself: what is written on it is then read back as an answer.
        if stream.local_addr()? == stream.peer_addr()? {
            return Err(io::ErrorKind::ConnectionRefused.into());
        }
        Ok(Connection::new(stream))
    }

    /// The next message; `None` where the stream ends between two.
    pub async fn read(&mut self) -> io::Result<Option<Message>> {
        loop {
            if let Some((message, used)) = parse(&self.buffer)? {
                self.buffer.drain(..used);
                return Ok(Some(message));
            }
            // A full buffer would be read into a few bytes at a time.
            self.buffer.reserve(ROOM);
            if self.stream.read_buf(&mut self.buffer).await? == 0 {
                return if self.buffer.is_empty() {
                    Ok(None)
                } else {
                    Err(io::ErrorKind::UnexpectedEof.into())
                };
            }
            if self.buffer.len() > MOST {
                return Err(io::ErrorKind::InvalidData.into());
            }
        }
    }

    /// Whether the other side has ended it. What it has written before is kept for the next [`Self::read`].
    pub fn is_closed(&mut self) -> bool {
        loop {
            self.buffer.reserve(ROOM);
            match self.stream.try_read_buf(&mut self.buffer) {
                Ok(0) => return true,
                Ok(_) => {}
                Err(e) => return e.kind() != io::ErrorKind::WouldBlock,
            }
        }
    }

    /// Returns once the other side has ended it.
    pub async fn closed(&mut self) {
        while self.stream.readable().await.is_ok() && !self.is_closed() {}
    }

    /// Ends it as a machine does that vanishes: by a reset.
    pub fn reset(self) {
        let _ = self.stream.set_zero_linger();
    }

    /// The next line of a stream in chunks, without its end. Heads of chunks are lines too.
    pub async fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                return Ok(String::from_utf8_lossy(&line).trim_end().to_owned());
            }
            self.buffer.reserve(ROOM);
            if self.stream.read_buf(&mut self.buffer).await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Writes a message whole.
    pub async fn write(&mut self, head: &str, body: &[u8]) -> io::Result<()> {
        let mut bytes = format!("{head}\r\nContent-Length: {}\r\n\r\n", body.len()).into_bytes();
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes).await
    }

    /// Writes bytes as they are.
    pub async fn write_raw(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }
}

/// One exchange on a connection of its own, for so long at the most.
pub async fn call(to: SocketAddr, head: &str, body: &[u8], wait: Duration) -> io::Result<Message> {
    let exchange = async {
        let mut connection = Connection::open(to, wait).await?;
        connection.write(head, body).await?;
        connection.read().await?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    };
    tokio::time::timeout(wait, exchange).await.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
}

/// Reads a message from a blocking stream, and not a byte beyond it; `None` where there is none.
pub fn read_message(from: &mut impl BufRead) -> Option<Message> {
    let mut seen = Vec::new();
    loop {
        let before = seen.len();
        let chunk = match from.fill_buf() {
            Ok(chunk) => chunk,
            // A read with a time limit is not begun anew after a signal: a child that stops, for one.
            Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
            Err(_) => return None,
        };
        let read = chunk.len();
        seen.extend_from_slice(chunk);
        match parse(&seen).ok()? {
            Some((message, used)) => {
                from.consume(used - before);
                return Some(message);
            }
            None if read == 0 => return None,
            None => from.consume(read),
        }
    }
}

/// One blocking exchange on a connection of its own; `None` if there was no whole answer.
pub fn call_blocking(to: SocketAddr, head: &str, body: &str) -> Option<Message> {
    let mut stream = std::net::TcpStream::connect(to).ok()?;
    write!(stream, "{head}\r\nHost: t\r\nContent-Length: {}\r\n\r\n{body}", body.len()).ok()?;
    read_message(&mut io::BufReader::new(stream))
}

/// A message at the start of these bytes and its length, once it is there whole.
fn parse(bytes: &[u8]) -> io::Result<Option<(Message, usize)>> {
    let bad = |_| io::Error::from(io::ErrorKind::InvalidData);
    let mut headers = [httparse::EMPTY_HEADER; 64];
    let mut message = Message::default();
    let (head, headers) = if bytes.starts_with(b"HTTP/") {
        let mut response = httparse::Response::new(&mut headers);
        let httparse::Status::Complete(head) = response.parse(bytes).map_err(bad)? else { return Ok(None) };
        message.status = response.code.unwrap_or(0);
        (head, response.headers)
    } else {
        let mut request = httparse::Request::new(&mut headers);
        let httparse::Status::Complete(head) = request.parse(bytes).map_err(bad)? else { return Ok(None) };
        message.method = request.method.unwrap_or("").to_owned();
        message.target = request.path.unwrap_or("").to_owned();
        (head, request.headers)
    };
    let text = |value: &[u8]| String::from_utf8_lossy(value).into_owned();
    message.headers = headers.iter().map(|h| (h.name.to_ascii_lowercase(), text(h.value))).collect();
    let length: usize = message.header("content-length").parse().unwrap_or(0);
    let Some(body) = bytes.get(head..head + length) else { return Ok(None) };
    message.body = text(body);
    message.wire_bytes = head + length;
    Ok(Some((message, head + length)))
}
