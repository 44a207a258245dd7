//! The benchmark's peers: bad clients, a usual client, a runner and a discovery whose answers a form gives.

use crate::forms::{Form, ID, Target};
use crate::{Play, forms};
use sablerun_stand_ins::http::{call_blocking, read_message};
use sablerun_stand_ins::scripted::{Program, api_request, new_id};
use serde_json::json;
use socket2::{Domain, Socket, Type};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::Ordering::Relaxed;
use std::sync::{Arc, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

/// A bad client is owed an error or a close within this time.
const OWED_WITHIN: Duration = Duration::from_millis(3_000);
/// Pause between two jobs of the usual client.
const PAUSE: Duration = Duration::from_millis(50);
/// Body of a large usual job.
const LARGE_BODY_BYTES: usize = 20_000;
const JOB_TIMEOUT: Duration = Duration::from_millis(5_500);
/// Receive buffer of a client that does not read its answer.
const UNREAD_RECEIVE_BUFFER_BYTES: usize = 2048;
/// The result of the jobs whose clients do not read.
const RESULT_BYTES: usize = 60_000;

/// Sends the text in place, with a new id, in pieces of the form's size.
fn send(stream: &mut TcpStream, form: &Form, text: &[u8]) -> io::Result<()> {
    let mut text = text.to_vec();
    if let Some(at) = text.windows(ID.len()).position(|part| part == ID.as_bytes()) {
        text[at..at + ID.len()].copy_from_slice(new_id().as_bytes());
    }
    stream.set_nodelay(form.piece_bytes < text.len())?;
    text.chunks(form.piece_bytes.min(text.len().max(1))).try_for_each(|piece| {
        thread::sleep(form.pause);
        stream.write_all(piece)
    })
}

/// Connects; where the answer is not to be read, with a receive buffer that does not hold it.
fn connect(form: &Form, address: SocketAddr) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    if form.target == Target::Result {
        socket.set_recv_buffer_size(UNREAD_RECEIVE_BUFFER_BYTES)?;
    }
    socket.connect(&address.into())?;
    Ok(socket.into())
}

/// Plays one bad client: connects, sends, stays, and comes again when it was answered or closed.
pub fn bad_client(play: &Play, form: &Form, address: SocketAddr, text: &[u8]) {
    while !play.stop.load(Relaxed) {
        let Ok(mut stream) = connect(form, address) else {
            thread::sleep(Duration::from_millis(20));
            continue;
        };
        if matches!(form.target, Target::Result) || form.name.ends_with("idle") {
            // Not read, or silent: kept until the end.
            let _ = send(&mut stream, form, text);
            while !play.stop.load(Relaxed) {
                thread::sleep(Duration::from_millis(20));
            }
            return;
        }
        let _ = stream.set_read_timeout(Some(OWED_WITHIN));
        let _ = stream.set_write_timeout(Some(OWED_WITHIN));
        let mut reader = BufReader::with_capacity(256, stream);
        if matches!(form.target, Target::Faktory | Target::PassingWorkers) {
            let mut line = String::new();
            let is_worker = [&b"FETCH"[..], b"ACK"].iter().any(|verb| text.starts_with(verb));
            let wid = if is_worker { new_id() } else { String::new() };
            let hello = if wid.is_empty() { json!({"v": 2}) } else { json!({"v": 2, "wid": wid}) };
            let _ = reader.read_line(&mut line);
            let _ = write!(reader.get_mut(), "HELLO {hello}\r\n");
            line.clear();
            let _ = reader.read_line(&mut line);
        }
        let sent = send(reader.get_mut(), form, text);
        if form.target == Target::PassingWorkers {
            play.ends.closed.fetch_add(1, Relaxed);
            continue;
        }
        let began = Instant::now();
        let mut answer = [0; 16];
        let counter = match (sent, reader.read(&mut answer)) {
            (_, Ok(1..)) => &play.ends.answered,
            (_, _) if began.elapsed() < OWED_WITHIN => &play.ends.closed,
            _ => &play.ends.neither,
        };
        counter.fetch_add(1, Relaxed);
    }
}

/// Hands in jobs with small or large bodies at a steady rate, each on a new connection.
pub fn usual_client(play: &Play, address: SocketAddr, large: bool) {
    let jobs = if large { &play.ends.large } else { &play.ends.small };
    let body = if large { format!("usual{}", " ".repeat(LARGE_BODY_BYTES)) } else { "usual".to_owned() };
    while !play.stop.load(Relaxed) {
        let began = Instant::now();
        let head = format!("{}\r\nConnection: close", api_request("short-pick", &new_id(), "5000m", ""));
        let served = call_blocking(address, &head, &body).is_some_and(|answer| answer.status() == 200);
        let took = began.elapsed();
        let counter = if served { &jobs.served } else { &jobs.not_served };
        counter.fetch_add(1, Relaxed);
        if served || took > JOB_TIMEOUT {
            jobs.slowest_ms.fetch_max(took.as_millis() as u64, Relaxed);
        }
        thread::sleep(PAUSE);
    }
}

/// A runner that serves usual jobs, and answers others as the form says.
pub struct Runner {
    pub address: SocketAddr,
    dispatcher: Arc<OnceLock<SocketAddr>>,
}

impl Runner {
    pub fn start(form: &Form) -> Runner {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound above");
        let dispatcher = Arc::new(OnceLock::new());
        let (form, target) = (form.clone(), dispatcher.clone());
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (form, target) = (form.clone(), target.clone());
                let serve = move || serve_runner(stream, &form, &target);
                let _ = thread::Builder::new().stack_size(256 * 1024).spawn(serve);
            }
        });
        Runner { address, dispatcher }
    }

    /// Names the process that call-backs go to.
    pub fn serve(&self, program: &Program) {
        let _ = self.dispatcher.set(program.address);
    }
}

fn serve_runner(stream: TcpStream, form: &Form, dispatcher: &OnceLock<SocketAddr>) {
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_message(&mut reader) {
        let id = request.header("x-request-id").to_owned();
        let result = match request.body.trim_end() {
            "usual" => "done".to_owned(),
            "result" => "r".repeat(RESULT_BYTES),
            _ if form.target == Target::Runner => {
                let _ = reader.get_mut().write_all(&form.text);
                let _ = reader.read(&mut [0; 64]);
                return;
            }
            _ => {
                let _ = reader.get_mut().write_all(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
        };
        let _ = reader.get_mut().write_all(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n");
        let call_back = json!({"id": id, "from": "s-0", "state": "done", "result": result}).to_string();
        let head = "POST /v1/job-events HTTP/1.1\r\nConnection: close";
        // A call-back that is not acknowledged is repeated.
        for _ in 0..20 {
            let Some(address) = dispatcher.get() else { break };
            if call_blocking(*address, head, &call_back).is_some_and(|answer| answer.status() == 200) {
                break;
            }
            thread::sleep(Duration::from_millis(50));
        }
    }
}

/// Starts a discovery whose first watch names one runner, and which then sends the form's text on every watch.
pub fn start_discovery(form: &Form, runner: SocketAddr) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound above");
    let form: forms::Form = form.clone();
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let form = form.clone();
            thread::spawn(move || {
                let mut reader = BufReader::new(stream);
                let _ = read_message(&mut reader);
                let host = sablerun_stand_ins::scripted::host("s-0", runner, "hall-a", "active");
                let list = json!({"seq": 1, "whole": true, "hosts": [host]}).to_string() + "\n";
                let stream = reader.get_mut();
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                for text in [list.as_bytes(), &form.text] {
                    let _ = write!(stream, "{:x}\r\n", text.len());
                    let _ = stream.write_all(text);
                    let _ = stream.write_all(b"\r\n");
                }
                let _ = stream.read(&mut [0; 64]);
            });
        }
    });
    address
}
