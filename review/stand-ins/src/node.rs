//! A stand-in of a pick node, as PROTOCOL-sablerun.md describes it: it takes a job with 202, starts it when a
//! slot is free, and tells the dispatcher of its start and its end. The job's body holds its running time in
//! milliseconds.

use crate::hall::{Effects, Hall};
use crate::http::{Message, read_message};
use crate::record::Record;
use std::collections::{HashMap, HashSet};
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A call-back is tried until it is answered, ten times at most.
const CALL_BACK_TRIES: usize = 10;
/// The pause between two tries.
const CALL_BACK_PAUSE: Duration = Duration::from_millis(250);

#[derive(Default)]
struct State {
    busy: usize,
    waiting: usize,
    cancelled: HashSet<String>,
}

/// A pick node.
pub struct Node {
    pub name: String,
    pub hall: Arc<Hall>,
    slots: usize,
    /// How long a job may wait for a slot before it is handed back unstarted.
    patience: Duration,
    state: Mutex<State>,
    changed: Condvar,
    call_backs: Mutex<HashMap<SocketAddr, BufReader<TcpStream>>>,
    effects: Arc<Effects>,
    record: Arc<Record>,
}

impl Node {
    pub fn new(
        name: &str,
        hall: &Arc<Hall>,
        (slots, patience): (usize, Duration),
        effects: &Arc<Effects>,
        record: &Arc<Record>,
    ) -> Arc<Node> {
        Arc::new(Node {
            name: name.to_owned(),
            hall: hall.clone(),
            slots,
            patience,
            state: Mutex::default(),
            changed: Condvar::new(),
            call_backs: Mutex::default(),
            effects: effects.clone(),
            record: record.clone(),
        })
    }

    /// Opens the node's address for a dispatcher; call-backs of its jobs go to `dispatcher`.
    pub fn serve(self: &Arc<Node>, dispatcher: SocketAddr) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let node = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let node = node.clone();
                thread::spawn(move || node.answer(stream, dispatcher));
            }
        });
        Ok(address)
    }

    fn answer(self: Arc<Node>, stream: TcpStream, dispatcher: SocketAddr) -> io::Result<()> {
        stream.set_nodelay(true)?;
        // An idle connection is closed after the settings' 10 s.
        stream.set_read_timeout(Some(Duration::from_secs(10)))?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut stream = stream;
        let mut reply = |status: &str, body: &str| {
            write!(stream, "HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len())
        };
        while let Some(request) = read_message(&mut reader)? {
            match request.request() {
                ("POST", _) if request.header("x-request-id").is_none() => reply("404 Not Found", "")?,
                ("POST", _) => {
                    let node = self.clone();
                    let id = request.header("x-request-id").unwrap_or_default().to_owned();
                    node.state.lock().unwrap().cancelled.remove(&id);
                    node.record.line(format!("{} takes request {id}", node.name));
                    node.effects.take(&id);
                    reply("202 Accepted", "")?;
                    thread::spawn(move || node.run(&id, &request, dispatcher));
                }
                ("DELETE", target) => {
                    let id = target.rsplit('/').next().unwrap_or_default().to_owned();
                    self.record.line(format!("{} is to give up {id}", self.name));
                    self.state.lock().unwrap().cancelled.insert(id);
                    self.changed.notify_all();
                    reply("200 OK", "")?;
                }
                ("GET", "/alive" | "/metrics/load") => reply("200 OK", &self.load())?,
                _ => reply("404 Not Found", "")?,
            }
        }
        Ok(())
    }

    fn load(&self) -> String {
        let state = self.state.lock().unwrap();
        let (inflight, free) = (state.busy + state.waiting, self.slots - state.busy);
        format!("{{\"eps\":0,\"latency_ms\":100,\"inflight\":{inflight},\"x0\":{free}}}")
    }

    fn run(&self, id: &str, request: &Message, dispatcher: SocketAddr) {
        let key = request.header("idempotency-key").map(str::to_owned);
        let body = String::from_utf8_lossy(&request.body);
        let digits: String = body.chars().filter(char::is_ascii_digit).collect();
        let run_time = Duration::from_millis(digits.parse().unwrap_or(0));
        let tell = |what: &str| self.tell(id, what, dispatcher);
        if let Some(result) = key.as_deref().and_then(|key| self.hall.claim(key)) {
            self.record.line(format!("{} drops the repeat {id}", self.name));
            tell(&format!("\"state\":\"done\",\"result\":\"{result}\",\"load\":{}", self.load()));
            return;
        }
        if let Err(reason) = self.wait_for_slot(id) {
            if let Some(key) = &key {
                self.hall.free(key);
            }
            self.record.line(format!("{} does not start {id}: {reason}", self.name));
            if reason == "handed back" {
                tell(&format!("\"state\":\"returned\",\"load\":{}", self.load()));
            }
            return;
        }
        let subject = key.as_deref().unwrap_or(id);
        let place = format!("{} in {} as {id}", self.name, self.hall.name);
        self.record.line(format!("{} starts {id} ({subject})", self.name));
        tell("\"state\":\"started\"");
        thread::sleep(run_time);
        self.effects.add(subject, &place);
        self.record.line(format!("{} has run {id} ({subject})", self.name));
        let result = format!("{subject} run by {place}");
        if let Some(key) = &key {
            self.hall.finish(key, &result);
        }
        self.state.lock().unwrap().busy -= 1;
        self.changed.notify_all();
        tell(&format!("\"state\":\"done\",\"result\":\"{result}\",\"load\":{}", self.load()));
    }

    /// Waits for a slot; the error says why the job never starts.
    fn wait_for_slot(&self, id: &str) -> Result<(), &'static str> {
        let until = Instant::now() + self.patience;
        let mut state = self.state.lock().unwrap();
        state.waiting += 1;
        let result = loop {
            if state.cancelled.contains(id) {
                break Err("given up by the dispatcher");
            }
            if state.busy < self.slots {
                state.busy += 1;
                break Ok(());
            }
            let Some(left) = until.checked_duration_since(Instant::now()).filter(|left| !left.is_zero())
            else {
                break Err("handed back");
            };
            state = self.changed.wait_timeout(state, left).unwrap().0;
        };
        state.waiting -= 1;
        result
    }

    /// Makes a call-back, and repeats it until it is answered.
    fn tell(&self, id: &str, what: &str, dispatcher: SocketAddr) {
        let body = format!("{{\"id\":\"{id}\",\"from\":\"{}\",{what}}}", self.name);
        for _ in 0..CALL_BACK_TRIES {
            match self.call_back(&body, dispatcher) {
                Ok(200 | 204) => return,
                _ => thread::sleep(CALL_BACK_PAUSE),
            }
        }
        self.record.line(format!("{}: nobody answers the call-back {body}", self.name));
    }

    /// Makes one try of a call-back, on the connection kept from an earlier one if it is still good.
    fn call_back(&self, body: &str, dispatcher: SocketAddr) -> io::Result<u16> {
        let mut kept = self.call_backs.lock().unwrap();
        let text = format!(
            "POST /v1/job-events HTTP/1.1\r\nHost: {dispatcher}\r\nContent-Type: application/json\r\n\
             Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        if let Some(mut connection) = kept.remove(&dispatcher)
            && connection.get_mut().write_all(text.as_bytes()).is_ok()
            && let Ok(Some(answer)) = read_message(&mut connection)
        {
            if answer.header("connection") != Some("close") {
                kept.insert(dispatcher, connection);
            }
            return Ok(answer.status());
        }
        let stream = TcpStream::connect_timeout(&dispatcher, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(2)))?;
        let mut connection = BufReader::new(stream);
        connection.get_mut().write_all(text.as_bytes())?;
        let answer = read_message(&mut connection)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        if answer.header("connection") != Some("close") {
            kept.insert(dispatcher, connection);
        }
        Ok(answer.status())
    }
}
