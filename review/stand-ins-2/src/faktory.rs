//! Clients and workers of the Faktory work protocol.

use crate::text::string_field;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A connection after HELLO.
pub struct Connection {
    reader: BufReader<TcpStream>,
}

impl Connection {
    /// Connects as a client, or as a worker with this wid.
    pub fn open(address: SocketAddr, wid: Option<&str>) -> io::Result<Connection> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(20)))?;
        let mut connection = Connection { reader: BufReader::new(stream) };
        connection.read_line()?;
        let hello = match wid {
            Some(wid) => {
                format!("HELLO {{\"v\":2,\"wid\":\"{wid}\",\"hostname\":\"{wid}\",\"pid\":1,\"labels\":[]}}")
            }
            None => "HELLO {\"v\":2}".to_owned(),
        };
        let reply = connection.command(&hello)?;
        if reply != "+OK" {
            return Err(io::Error::other(reply));
        }
        Ok(connection)
    }

    /// Another handle of its socket.
    pub fn socket(&self) -> io::Result<TcpStream> {
        self.reader.get_ref().try_clone()
    }

    fn read_line(&mut self) -> io::Result<String> {
        let mut line = String::new();
        match self.reader.read_line(&mut line)? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            _ => Ok(line.trim_end().to_owned()),
        }
    }

    /// Sends a command and returns the first line of its reply.
    pub fn command(&mut self, line: &str) -> io::Result<String> {
        self.reader.get_mut().write_all(format!("{line}\r\n").as_bytes())?;
        self.read_line()
    }

    /// Fetches a job; `None` if there was none within the wait.
    pub fn fetch(&mut self, queues: &str) -> io::Result<Option<String>> {
        let reply = self.command(&format!("FETCH {queues}"))?;
        let length = reply.strip_prefix('$').and_then(|length| length.parse::<i64>().ok());
        let Some(length) = length else { return Err(io::Error::other(reply)) };
        let Ok(length) = usize::try_from(length) else { return Ok(None) };
        let mut frame = vec![0; length + 2];
        self.reader.read_exact(&mut frame)?;
        frame.truncate(length);
        String::from_utf8(frame).map(Some).map_err(io::Error::other)
    }

    /// Acknowledges a job.
    pub fn ack(&mut self, jid: &str) -> io::Result<String> {
        self.command(&format!("ACK {{\"jid\":\"{jid}\"}}"))
    }
}

/// A job as a client pushes it.
pub struct Push<'a> {
    pub jid: &'a str,
    pub queue: &'a str,
    pub member: &'a str,
    pub key: Option<&'a str>,
    pub retry: bool,
    pub work_ms: u64,
    pub timeout_ms: u64,
}

impl Push<'_> {
    /// The command that pushes it.
    pub fn command(&self) -> String {
        let Push { jid, queue, member, work_ms, timeout_ms, .. } = self;
        let key = self.key.map_or(String::new(), |key| format!(",\"key\":\"{key}\""));
        let retry = if self.retry { ",\"retry\":true" } else { "" };
        let cost_us = work_ms * 1000;
        format!(
            "PUSH {{\"jid\":\"{jid}\",\"queue\":\"{queue}\",\"jobtype\":\"Pick\",\"args\":[\"work_ms={work_ms}\"],\
             \"custom\":{{\"member\":\"{member}\",\"timeout_ms\":{timeout_ms},\"cost_us\":{cost_us}{key}{retry}}}}}"
        )
    }
}

/// The key of a job: `custom.key`, or its jid.
pub fn key_of(frame: &str) -> String {
    let key = frame.split_once("\"custom\"").and_then(|(_, custom)| string_field(custom, "key"));
    key.or_else(|| string_field(frame, "jid")).unwrap_or_default()
}
