//! What tests of hollow parts stand between: the dispatchers' end of call-backs, and connections as a dispatcher
//! has them. It waits for events, never for a time to pass.

#![allow(dead_code, reason = "each test uses its part")]

use sablerun_stand_ins::hollow::profile::Profile;
use sablerun_stand_ins::hollow::{Dispatcher, RunnerSpec, Runners, View};
use sablerun_stand_ins::http::{Connection, Message};
use sablerun_stand_ins::metrics::TrafficSource;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

/// Longest that an event may take before the test fails.
pub const EVENT_TIMEOUT: Duration = Duration::from_secs(20);
/// Work that never ends in a test.
pub const LONG: u64 = 3_600_000_000;

/// The next of some events.
pub async fn next<T>(from: &mut UnboundedReceiver<T>) -> T {
    tokio::time::timeout(EVENT_TIMEOUT, from.recv()).await.expect("an event in time").expect("an event")
}

/// Two regions, real and hollow dispatchers in each.
pub fn views() -> Vec<View> {
    let view = |region, source| View { region, source };
    vec![
        view(0, TrafficSource::Real),
        view(0, TrafficSource::Hollow),
        view(1, TrafficSource::Real),
        view(1, TrafficSource::Hollow),
    ]
}

/// What an [`Ear`] answers a call-back with; `None` ends the connection.
pub type Reply = Box<dyn FnMut(&Value) -> Option<u16> + Send>;

/// Where a dispatcher hears call-backs.
pub struct Ear {
    pub at: SocketAddr,
    pub heard: UnboundedReceiver<(Message, Value)>,
}

impl Ear {
    pub async fn open(mut reply: Reply) -> Ear {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let at = listener.local_addr().unwrap();
        let (calls, mut called) = unbounded_channel::<(Message, UnboundedSender<Option<u16>>)>();
        let (tell, heard) = unbounded_channel();
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
                let _ = tell.send((message, body));
            }
        });
        Ear { at, heard }
    }

    /// The next call-back: id and state.
    pub async fn next(&mut self) -> (String, String) {
        let body = next(&mut self.heard).await.1;
        (body["id"].as_str().unwrap().to_owned(), body["state"].as_str().unwrap().to_owned())
    }
}

/// Runners of these slots, all in region 0, between an ear for each of four dispatchers, one for each view.
pub struct Stage {
    pub runners: Runners,
    pub dial: Vec<Vec<SocketAddr>>,
    pub ears: Vec<Ear>,
    pub began: UnboundedReceiver<(String, usize)>,
}

pub fn settings() -> Value {
    json!({
        "limits": {"connIdle": 60_000_000_000u64, "connectTimeout": 20_000_000_000u64, "probing": true},
        "rules": {"coldFrom": 0.5, "warmAfter": 8_000_000_000u64},
        "reporting": {"fields": ["errors_per_s", "recent_ms", "outstanding", "x0"], "how": "piggyback"},
        "extra": {"tellsStart": true},
    })
}

impl Stage {
    pub async fn set(slots: &[u32], settings: Value) -> Stage {
        let replies = (0..4).map(|_| Box::new(|_: &Value| Some(200u16)) as Reply).collect();
        Stage::with(slots, settings, replies).await
    }

    pub async fn with(slots: &[u32], settings: Value, replies: Vec<Reply>) -> Stage {
        let mut ears = Vec::new();
        for reply in replies {
            ears.push(Ear::open(reply).await);
        }
        let planned = slots.iter().enumerate();
        let planned: Vec<_> = planned
            .map(|(n, slots)| RunnerSpec { name: format!("r-{n}"), region: 0, slots: *slots })
            .collect();
        let dispatchers: Vec<_> = ears
            .iter()
            .enumerate()
            .map(|(view, ear)| Dispatcher { callback_address: ear.at, view })
            .collect();
        let (tell, began) = unbounded_channel();
        let record = Box::new(move |id: &str, runner: usize| tell.send((id.to_owned(), runner)).unwrap());
        let mut manner = Profile::from_settings(&settings);
        // Patient: a busy machine must not look like a deaf dispatcher.
        manner.callback_timeout = EVENT_TIMEOUT;
        let runners = Runners::start(&planned, &views(), &dispatchers, manner, record).await.unwrap();
        Stage { dial: runners.addresses(), runners, ears, began }
    }

    pub fn value(&self, name: &str) -> u64 {
        *self.runners.metrics().values().get(name).unwrap_or_else(|| panic!("no {name}")) as u64
    }
}

/// An id of a dispatcher's request.
pub fn id(dispatcher: usize, number: usize) -> String {
    format!("{dispatcher:04x}{number:012x}")
}

/// One side of a connection to a runner.
pub async fn dial(at: SocketAddr) -> Connection {
    Connection::open(at, EVENT_TIMEOUT).await.unwrap()
}

/// Writes a request, and returns how long it is.
pub async fn send(connection: &mut Connection, id: &str, work_us: u64) -> usize {
    let body = json!({"work_us": work_us}).to_string();
    let head = format!("POST /api?sid=7f3a HTTP/1.1\r\nHost: r\r\nX-Request-ID: {id}");
    let bytes = format!("{head}\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    connection.write_raw(bytes.as_bytes()).await.unwrap();
    bytes.len()
}

/// The answer on a connection.
pub async fn answer(connection: &mut Connection) -> Message {
    let read = tokio::time::timeout(EVENT_TIMEOUT, connection.read()).await.expect("an answer in time");
    read.expect("a connection that stands").expect("an answer")
}

/// A call without a body.
pub async fn call(connection: &mut Connection, line: &str) -> Message {
    connection.write(&format!("{line} HTTP/1.1\r\nHost: r"), b"").await.unwrap();
    answer(connection).await
}
