//! Scripted discovery and runners for one dispatcher.

use super::{EVENT_TIMEOUT, Events, Program, behaviour_of};
use crate::discovery::PlannedReply;
use crate::http::{self, Connection};
use serde_json::{Value, json};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};
use tokio::net::TcpListener;
use tokio::runtime::Runtime;

/// The runtime of the stand-ins; the tests themselves are blocking code.
fn background() -> &'static Runtime {
    static RUNTIME: OnceLock<Runtime> = OnceLock::new();
    RUNTIME.get_or_init(|| Runtime::new().unwrap())
}

/// Returns an entry of the runner list.
pub fn host(name: &str, dial: SocketAddr, site: &str, health: &str) -> Value {
    json!({"host": name, "dial": dial.to_string(), "site": site, "class": "k4-full", "block": 0,
           "health": health, "share": 1.0, "born_ms": 0})
}

/// Discovery for one dispatcher: sends the whole list first, then the changes that a test makes.
pub struct Discovery {
    pub address: SocketAddr,
    pub request_lines: Events,
    service: crate::discovery::Discovery,
}

impl Discovery {
    pub fn start(hosts: Vec<Value>) -> Discovery {
        Discovery::start_with_replies(hosts, &[])
    }

    /// Starts with scripted replies to the first calls.
    pub fn start_with_replies(hosts: Vec<Value>, replies: &[PlannedReply]) -> Discovery {
        let service = background()
            .block_on(crate::discovery::Discovery::start_with_replies(vec![hosts], replies))
            .unwrap();
        Discovery { address: service.addresses[0], request_lines: service.request_lines.clone(), service }
    }

    /// Sends a change to every watch.
    pub fn update(&self, hosts: &[Value]) {
        self.service.update(&[hosts.to_vec()]);
    }

    /// Lets replies continue that wait for this call.
    pub fn resume(&self) {
        self.service.resume();
    }

    /// Simulates a restart: versions start again, with this list.
    pub fn restart(&self, hosts: Vec<Value>) {
        self.service.restart(vec![hosts]);
    }

    /// Closes every watch.
    pub fn break_watches(&self) {
        self.service.break_watches();
    }
}

/// A runner. A job's text selects its behaviour: `serve`, `error`, `away`, `reset`, `hang` (accepted, but
/// never finished), `early` (the call-back precedes the 202), `mute` (no 202), `unusable` (400).
pub struct Runner {
    pub address: SocketAddr,
    /// `POST behaviour id ...` and `DELETE id`, among others.
    pub events: Events,
    dispatcher: Arc<OnceLock<SocketAddr>>,
}

impl Runner {
    pub fn start(name: &str) -> Runner {
        let listener = background().block_on(TcpListener::bind("127.0.0.1:0")).unwrap();
        let address = listener.local_addr().unwrap();
        let (events, dispatcher) = (Events::default(), Arc::new(OnceLock::new()));
        let (seen, target, name) = (events.clone(), dispatcher.clone(), name.to_owned());
        background().spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (seen, target, name) = (seen.clone(), target.clone(), name.clone());
                tokio::spawn(async move {
                    let _ = Runner::serve(Connection::new(stream), &name, &seen, &target).await;
                });
            }
        });
        Runner { address, events, dispatcher }
    }

    pub fn call_back_to(&self, program: &Program) {
        self.dispatcher.set(program.address).unwrap();
    }

    async fn serve(
        mut connection: Connection,
        name: &str,
        events: &Events,
        dispatcher: &OnceLock<SocketAddr>,
    ) -> io::Result<()> {
        while let Some(request) = connection.read().await? {
            if let Some(id) = request.target.strip_prefix("/jobs/") {
                connection.write("HTTP/1.1 200 OK", b"").await?;
                events.push(format!("DELETE {id}"));
                continue;
            }
            let id = request.header("x-request-id").to_owned();
            let behaviour = behaviour_of(&request.body);
            events.push(format!("POST {behaviour} {id} POST {} HTTP/1.1 {}", request.target, request.body));
            let call_back = async |state: &str, result: Value| {
                let mut body = json!({"id": id, "from": name, "state": state, "result": result});
                body["load"] = json!({"outstanding": 1, "recent_ms": 10.0, "x0": 4, "errors_per_s": 0});
                let head = "POST /v1/job-events HTTP/1.1\r\nHost: t";
                let address = *dispatcher.get().unwrap();
                http::call(address, head, body.to_string().as_bytes(), EVENT_TIMEOUT)
                    .await
                    .map(|answer| answer.status)
            };
            match behaviour {
                "mute" => {}
                "reset" => return Ok(()),
                "unusable" => connection.write("HTTP/1.1 400 Bad Request", b"").await?,
                "away" => {
                    connection.write("HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1", b"").await?;
                }
                "hang" => connection.write("HTTP/1.1 202 Accepted", b"").await?,
                "early" => {
                    call_back("done", json!(format!("by {name}"))).await?;
                    connection.write("HTTP/1.1 202 Accepted", b"").await?;
                }
                _ => {
                    connection.write("HTTP/1.1 202 Accepted", b"").await?;
                    call_back("started", Value::Null).await?;
                    let state = if behaviour == "error" { "failed" } else { "done" };
                    // A call-back may be sent more than once.
                    for _ in 0..2 {
                        let answer = call_back(state, json!(format!("by {name}"))).await?;
                        events.push(format!("{state} {id} -> {answer}"));
                    }
                }
            }
        }
        events.push("closed");
        Ok(())
    }
}
