//! A stand-in of a client that speaks the Faktory work protocol: it pushes one job after another on a
//! connection, and waits for each job's answer.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A connection after HELLO.
pub struct Connection {
    reader: BufReader<TcpStream>,
}

impl Connection {
    pub fn open(address: SocketAddr) -> io::Result<Connection> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(8)))?;
        let mut connection = Connection { reader: BufReader::new(stream) };
        connection.read_line()?;
        match connection.command("HELLO {\"v\":2}")?.as_str() {
            "+OK" => Ok(connection),
            other => Err(io::Error::other(format!("HELLO: {other}"))),
        }
    }

    /// Sends a command and reads its reply, a single line.
    pub fn command(&mut self, command: &str) -> io::Result<String> {
        self.reader.get_mut().write_all(format!("{command}\r\n").as_bytes())?;
        self.read_line()
    }

    fn read_line(&mut self) -> io::Result<String> {
        let mut line = String::new();
        match self.reader.read_line(&mut line)? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            _ => Ok(line.trim_end().to_owned()),
        }
    }
}
