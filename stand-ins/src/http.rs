//! Minimal HTTP/1.1 with bodies of stated length, as the platform uses it. Never resends a message.

use std::collections::HashMap;
use std::io::{self, BufRead, Write};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// The maximum size of a message that is read.
const MAX_MESSAGE_BYTES: usize = 1 << 20;
/// The buffer space reserved before each read.
const READ_RESERVE_BYTES: usize = 1 << 10;

/// A received message.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The method of a request; empty for a response.
    pub method: String,
    /// The target of a request; empty for a response.
    pub target: String,
    /// The status of a response.
    pub status: u16,
    /// Headers, by lower-case name.
    pub headers: HashMap<String, String>,
    /// The body; invalid UTF-8 is replaced.
    pub body: String,
    /// The size of the message on the wire.
    pub wire_bytes: usize,
}

impl Message {
    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        self.status
    }

    /// Returns the value of a header by its lower-case name, or an empty string.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

/// A connection, with the bytes received after the last message.
pub struct Connection {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    /// Wraps an accepted or opened stream.
    pub fn new(stream: TcpStream) -> Connection {
        let _ = stream.set_nodelay(true);
        Connection { stream, buffer: Vec::new() }
    }

    /// Opens a connection within a timeout.
    pub async fn open(to: SocketAddr, timeout: Duration) -> io::Result<Connection> {
        let stream = tokio::time::timeout(timeout, TcpStream::connect(to)).await;
        let stream = stream.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        // On loopback, a connection to a port without a listener may be given that same port as its local
        // port and connect to itself: what is written to it would be read back as an answer.
        if stream.local_addr()? == stream.peer_addr()? {
            return Err(io::ErrorKind::ConnectionRefused.into());
        }
        Ok(Connection::new(stream))
    }

    /// Reads the next message; `None` if the stream ends between two messages.
    pub async fn read(&mut self) -> io::Result<Option<Message>> {
        loop {
            if let Some((message, length)) = parse(&self.buffer)? {
                self.buffer.drain(..length);
                return Ok(Some(message));
            }
            // Without spare capacity, each read would return only a few bytes.
            self.buffer.reserve(READ_RESERVE_BYTES);
            if self.stream.read_buf(&mut self.buffer).await? == 0 {
                return if self.buffer.is_empty() {
                    Ok(None)
                } else {
                    Err(io::ErrorKind::UnexpectedEof.into())
                };
            }
            if self.buffer.len() > MAX_MESSAGE_BYTES {
                return Err(io::ErrorKind::InvalidData.into());
            }
        }
    }

    /// Whether the peer has closed the connection. Bytes received before that are kept for the next
    /// [`Self::read`].
    pub fn is_closed(&mut self) -> bool {
        loop {
            self.buffer.reserve(READ_RESERVE_BYTES);
            match self.stream.try_read_buf(&mut self.buffer) {
                Ok(0) => return true,
                Ok(_) => {}
                Err(e) => return e.kind() != io::ErrorKind::WouldBlock,
            }
        }
    }

    /// Returns once the peer has closed the connection.
    pub async fn closed(&mut self) {
        while self.stream.readable().await.is_ok() && !self.is_closed() {}
    }

    /// Closes the connection by a TCP reset, as a machine that crashes does.
    pub fn reset(self) {
        let _ = self.stream.set_zero_linger();
    }

    /// Reads the next line of a chunked stream, without its line ending. Chunk headers are lines too.
    pub async fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                return Ok(String::from_utf8_lossy(&line).trim_end().to_owned());
            }
            self.buffer.reserve(READ_RESERVE_BYTES);
            if self.stream.read_buf(&mut self.buffer).await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Writes a message with a `Content-Length`.
    pub async fn write(&mut self, head: &str, body: &[u8]) -> io::Result<()> {
        let mut bytes = format!("{head}\r\nContent-Length: {}\r\n\r\n", body.len()).into_bytes();
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes).await
    }

    /// Writes bytes unchanged.
    pub async fn write_raw(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }
}

/// Makes one exchange on a new connection within a timeout.
pub async fn call(to: SocketAddr, head: &str, body: &[u8], timeout: Duration) -> io::Result<Message> {
    let exchange = async {
        let mut connection = Connection::open(to, timeout).await?;
        connection.write(head, body).await?;
        connection.read().await?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    };
    tokio::time::timeout(timeout, exchange).await.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
}

/// Reads a message from a blocking stream without consuming bytes beyond it; `None` if there is no whole
/// message.
pub fn read_message(from: &mut impl BufRead) -> Option<Message> {
    let mut buffer = Vec::new();
    loop {
        let buffered = buffer.len();
        let chunk = match from.fill_buf() {
            Ok(chunk) => chunk,
            // A read with a timeout is not restarted after a signal, for example when a child process
            // stops.
            Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
            Err(_) => return None,
        };
        let read = chunk.len();
        buffer.extend_from_slice(chunk);
        match parse(&buffer).ok()? {
            Some((message, length)) => {
                from.consume(length - buffered);
                return Some(message);
            }
            None if read == 0 => return None,
            None => from.consume(read),
        }
    }
}

/// Makes one blocking exchange on a new connection; `None` if there was no whole answer.
pub fn call_blocking(to: SocketAddr, head: &str, body: &str) -> Option<Message> {
    let mut stream = std::net::TcpStream::connect(to).ok()?;
    write!(stream, "{head}\r\nHost: t\r\nContent-Length: {}\r\n\r\n{body}", body.len()).ok()?;
    read_message(&mut io::BufReader::new(stream))
}

/// Parses the message at the start of the bytes. Returns it with its length once it is complete.
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
