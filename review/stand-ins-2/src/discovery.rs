//! A stand-in for discovery: the whole list, and watches on it. The list does not change in these cases.

use crate::http::{read_message, respond};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// One runner on the list.
pub struct Host {
    pub name: String,
    pub dial: SocketAddr,
    pub hall: String,
}

impl Host {
    fn json(&self) -> String {
        let Host { name, dial, hall } = self;
        // No two halls share a number of a cell.
        let cell = hall.bytes().last().unwrap_or(0);
        format!(
            "{{\"host\":\"{name}\",\"dial\":\"{dial}\",\"site\":\"{hall}\",\"class\":\"k4-slow\",\
             \"block\":{cell},\"health\":\"active\",\"share\":1.0,\"born_ms\":0}}"
        )
    }
}

/// The stand-in for discovery.
pub struct Discovery {
    pub address: SocketAddr,
}

impl Discovery {
    /// Serves this list.
    pub fn start(hosts: &[Host]) -> std::io::Result<Discovery> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let hosts: Vec<_> = hosts.iter().map(Host::json).collect();
        let whole = Arc::new(format!("{{\"seq\":1,\"whole\":true,\"hosts\":[{}]}}\n", hosts.join(",")));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let whole = whole.clone();
                thread::spawn(move || serve(stream, &whole));
            }
        });
        Ok(Discovery { address })
    }
}

fn serve(stream: TcpStream, whole: &str) -> std::io::Result<()> {
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_message(&mut reader)? {
        if request.word(1).contains("stream=1") {
            return watch(&mut writer, whole);
        }
        respond(&mut writer, "200 OK", whole)?;
    }
    Ok(())
}

/// Sends the whole list, and then an empty line every 2 s.
fn watch(writer: &mut TcpStream, whole: &str) -> std::io::Result<()> {
    writer.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
    let mut chunk = |text: &str| writer.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes());
    chunk(whole)?;
    loop {
        thread::sleep(Duration::from_secs(2));
        chunk("\n")?;
    }
}
