//! A stand-in of discovery: a list of runners that does not change, as a whole and as a watch.

use crate::http::read_message;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// An entry of the list.
pub struct Host {
    pub name: String,
    pub dial: SocketAddr,
    pub hall: &'static str,
    /// The nodes of a hall are one cell.
    pub cell: usize,
}

/// Serves this list and returns the address.
pub fn serve(hosts: &[Host]) -> io::Result<SocketAddr> {
    let entries: Vec<_> = hosts
        .iter()
        .map(|host| {
            format!(
                "{{\"host\":\"{}\",\"dial\":\"{}\",\"site\":\"{}\",\"class\":\"k4-full\",\"block\":{},\
                 \"health\":\"active\",\"share\":1.0,\"born_ms\":0}}",
                host.name, host.dial, host.hall, host.cell
            )
        })
        .collect();
    let list = Arc::new(format!("{{\"seq\":1,\"whole\":true,\"hosts\":[{}]}}\n", entries.join(",")));
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let list = list.clone();
            thread::spawn(move || answer(stream, &list));
        }
    });
    Ok(address)
}

fn answer(stream: TcpStream, list: &str) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut stream = stream;
    while let Some(request) = read_message(&mut reader)? {
        let (_, target) = request.request();
        if !target.contains("stream=1") {
            write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len())?;
            continue;
        }
        write!(stream, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        // The first object holds what changed after the version asked for, or else the whole list.
        write!(stream, "{:x}\r\n{list}\r\n", list.len())?;
        loop {
            thread::sleep(Duration::from_secs(2));
            write!(stream, "1\r\n\n\r\n")?;
        }
    }
    Ok(())
}
