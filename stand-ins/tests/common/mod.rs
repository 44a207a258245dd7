//! The dispatchers' side for tests of hollow runners and discovery: listeners for call-backs, and
//! connections to the stand-ins. Waits for events, never for a fixed time.

#![allow(dead_code, reason = "each test uses a part of this module")]

use sablerun_stand_ins::hollow::profile::Profile;
use sablerun_stand_ins::hollow::{Dispatcher, RunnerSpec, Runners, View};
use sablerun_stand_ins::http::{Connection, Message};
use sablerun_stand_ins::metrics::TrafficSource;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

/// The maximum time that a test waits for an event.
pub const EVENT_TIMEOUT: Duration = Duration::from_secs(20);
/// Work that does not end within a test.
pub const ENDLESS_WORK_US: u64 = 3_600_000_000;

/// Returns the next event.
pub async fn next<T>(from: &mut UnboundedReceiver<T>) -> T {
    tokio::time::timeout(EVENT_TIMEOUT, from.recv())
        .await
        .expect("no event in time")
        .expect("the sender of events is gone")
}

/// Two regions, with real and hollow dispatchers in each.
pub fn views() -> Vec<View> {
    let view = |region, source| View { region, source };
    vec![
        view(0, TrafficSource::Real),
        view(0, TrafficSource::Hollow),
        view(1, TrafficSource::Real),
        view(1, TrafficSource::Hollow),
    ]
}

/// The status with which a [`CallbackListener`] answers a call-back; `None` closes the connection.
pub type Reply = Box<dyn FnMut(&Value) -> Option<u16> + Send>;

/// A dispatcher's listener for call-backs.
pub struct CallbackListener {
    pub address: SocketAddr,
    pub received: UnboundedReceiver<(Message, Value)>,
}

impl CallbackListener {
    pub async fn open(mut reply: Reply) -> CallbackListener {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (calls, mut called) = unbounded_channel::<(Message, UnboundedSender<Option<u16>>)>();
        let (sender, received) = unbounded_channel();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let calls = calls.clone();
                tokio::spawn(async move {
                    let mut connection = Connection::new(stream);
                    while let Ok(Some(message)) = connection.read().await {
                        let (answer, mut answered) = unbounded_channel();
                        calls.send((message, answer)).unwrap();
                        let Some(Some(status)) = answered.recv().await else { return };
                        let _ = connection.write(&format!("HTTP/1.1 {status} x"), b"").await;
                    }
                });
            }
        });
        tokio::spawn(async move {
            while let Some((message, answer)) = called.recv().await {
                let body: Value = serde_json::from_str(&message.body).unwrap();
                let _ = answer.send(reply(&body));
                let _ = sender.send((message, body));
            }
        });
        CallbackListener { address, received }
    }

    /// Returns the id and the state of the next call-back.
    pub async fn next(&mut self) -> (String, String) {
        let body = next(&mut self.received).await.1;
        (body["id"].as_str().unwrap().to_owned(), body["state"].as_str().unwrap().to_owned())
    }
}

/// Runners with these slots, all in region 0, and a listener for each of four dispatchers, one for each
/// view.
pub struct Fixture {
    pub runners: Runners,
    pub addresses: Vec<Vec<SocketAddr>>,
    pub listeners: Vec<CallbackListener>,
    pub started: UnboundedReceiver<(String, usize)>,
}

pub fn settings() -> Value {
    json!({
        "limits": {"connIdle": 60_000_000_000u64, "connectTimeout": 20_000_000_000u64, "probing": true},
        "rules": {"coldFrom": 0.5, "warmAfter": 8_000_000_000u64},
        "reporting": {"fields": ["errors_per_s", "recent_ms", "outstanding", "x0"], "how": "piggyback"},
        "extra": {"tellsStart": true},
    })
}

impl Fixture {
    pub async fn start(slots: &[u32], settings: Value) -> Fixture {
        let replies = (0..4).map(|_| Box::new(|_: &Value| Some(200u16)) as Reply).collect();
        Fixture::start_with_replies(slots, settings, replies).await
    }

    pub async fn start_with_replies(slots: &[u32], settings: Value, replies: Vec<Reply>) -> Fixture {
        let mut listeners = Vec::new();
        for reply in replies {
            listeners.push(CallbackListener::open(reply).await);
        }
        let specs = slots.iter().enumerate();
        let specs: Vec<_> =
            specs.map(|(n, slots)| RunnerSpec { name: format!("r-{n}"), region: 0, slots: *slots }).collect();
        let dispatchers: Vec<_> = listeners
            .iter()
            .enumerate()
            .map(|(view, listener)| Dispatcher { callback_address: listener.address, view })
            .collect();
        let (sender, started) = unbounded_channel();
        let record = Box::new(move |id: &str, runner: usize| sender.send((id.to_owned(), runner)).unwrap());
        let mut profile = Profile::from_settings(&settings);
        // A long timeout, so that a busy machine does not look like an unresponsive dispatcher.
        profile.callback_timeout = EVENT_TIMEOUT;
        let runners = Runners::start(&specs, &views(), &dispatchers, profile, record).await.unwrap();
        Fixture { addresses: runners.addresses(), runners, listeners, started }
    }

    pub fn value(&self, name: &str) -> u64 {
        *self.runners.metrics().values().get(name).unwrap_or_else(|| panic!("no metric {name}")) as u64
    }
}

/// Returns a request id of a dispatcher.
pub fn request_id(dispatcher: usize, number: usize) -> String {
    format!("{dispatcher:04x}{number:012x}")
}

/// Opens a connection to a stand-in.
pub async fn connect(address: SocketAddr) -> Connection {
    Connection::open(address, EVENT_TIMEOUT).await.unwrap()
}

/// Writes a request and returns its length.
pub async fn send_request(connection: &mut Connection, id: &str, work_us: u64) -> usize {
    let body = json!({"work_us": work_us}).to_string();
    let head = format!("POST /api?sid=7f3a HTTP/1.1\r\nHost: r\r\nX-Request-ID: {id}");
    let bytes = format!("{head}\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    connection.write_raw(bytes.as_bytes()).await.unwrap();
    bytes.len()
}

/// Reads the answer on a connection.
pub async fn read_answer(connection: &mut Connection) -> Message {
    let read = tokio::time::timeout(EVENT_TIMEOUT, connection.read()).await.expect("no answer in time");
    read.expect("the connection failed").expect("the connection closed without an answer")
}

/// Makes a call without a body.
pub async fn call(connection: &mut Connection, line: &str) -> Message {
    connection.write(&format!("{line} HTTP/1.1\r\nHost: r"), b"").await.unwrap();
    read_answer(connection).await
}
