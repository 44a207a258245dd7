//! HTTP/1.1 messages over plain TCP, as far as the stand-ins need them.

use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request or a response.
#[derive(Debug, Default)]
pub struct Message {
    /// The first line.
    pub start: String,
    /// Headers by their name in lower case.
    pub headers: HashMap<String, String>,
    pub body: String,
}

impl Message {
    /// A header's value, or an empty text.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// The word of the first line at this index.
    pub fn word(&self, index: usize) -> &str {
        self.start.split(' ').nth(index).unwrap_or("")
    }
}

/// Reads a message with a sized body; `None` at the end of the stream.
pub fn read_message(stream: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() && message.start.is_empty() {
            continue;
        }
        if line.is_empty() {
            break;
        }
        if message.start.is_empty() {
            line.clone_into(&mut message.start);
        } else if let Some((name, value)) = line.split_once(':') {
            message.headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
    let length = message.header("content-length").parse().unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body)?;
    message.body = String::from_utf8_lossy(&body).into_owned();
    Ok(Some(message))
}

/// Writes a response in one piece.
pub fn respond(stream: &mut impl Write, status: &str, body: &str) -> io::Result<()> {
    let text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    stream.write_all(text.as_bytes())
}

/// Sends a request on a new connection and reads its response.
pub fn call(address: SocketAddr, request: &str, timeout: Duration) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.write_all(request.as_bytes())?;
    let message = read_message(&mut BufReader::new(stream))?;
    message.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}
