//! A stand-in for discovery: the whole list, and watches on its changes.

use crate::http::{read_message, respond};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

/// One runner on the list.
#[derive(Clone)]
pub struct Host {
    pub name: String,
    pub dial: SocketAddr,
    pub hall: String,
    pub health: &'static str,
}

impl Host {
    fn json(&self) -> String {
        format!(
            "{{\"host\":\"{}\",\"dial\":\"{}\",\"site\":\"{}\",\"class\":\"k4-full\",\"block\":{},\
             \"health\":\"{}\",\"share\":1.0,\"born_ms\":0}}",
            self.name,
            self.dial,
            self.hall,
            self.hall.bytes().last().unwrap_or(0),
            self.health
        )
    }
}

struct List {
    /// The version, and the changed entry of each version from 2 on.
    hosts: Vec<Host>,
    changes: Vec<Host>,
}

/// The stand-in for discovery.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    list: Arc<(Mutex<List>, Condvar)>,
}

impl Discovery {
    /// Serves this list.
    pub fn start(hosts: Vec<Host>) -> std::io::Result<Discovery> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let list = Arc::new((Mutex::new(List { hosts, changes: Vec::new() }), Condvar::new()));
        let discovery = Discovery { address: listener.local_addr()?, list };
        let server = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        Ok(discovery)
    }

    fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader)? {
            if request.word(1).contains("stream=1") {
                return self.watch(&mut writer);
            }
            let (body, _) = self.whole();
            respond(&mut writer, "200 OK", &body)?;
        }
        Ok(())
    }

    /// The whole list, and the number of changes in it.
    fn whole(&self) -> (String, usize) {
        let list = self.list.0.lock().expect("no holder panics");
        let hosts: Vec<_> = list.hosts.iter().map(Host::json).collect();
        let seq = list.changes.len() + 1;
        (format!("{{\"seq\":{seq},\"whole\":true,\"hosts\":[{}]}}\n", hosts.join(",")), list.changes.len())
    }

    fn watch(&self, writer: &mut TcpStream) -> std::io::Result<()> {
        writer.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        let mut chunk =
            |text: &str| writer.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes());
        let (whole, mut known) = self.whole();
        chunk(&whole)?;
        loop {
            let mut lines = String::new();
            let list = self.list.0.lock().expect("no holder panics");
            let wait = Duration::from_secs(2);
            let waited = self.list.1.wait_timeout_while(list, wait, |list| list.changes.len() == known);
            let (list, _) = waited.expect("no holder panics");
            for change in &list.changes[known..] {
                known += 1;
                let seq = known + 1;
                lines += &format!("{{\"seq\":{seq},\"whole\":false,\"hosts\":[{}]}}\n", change.json());
            }
            drop(list);
            chunk(if lines.is_empty() { "\n" } else { &lines })?;
        }
    }
}
