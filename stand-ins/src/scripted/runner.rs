//! Discovery and runners of the platform for one dispatcher, that do as a test says. They own what is answered;
//! they must never do anything that no test has planned.

use super::{EVENT_TIMEOUT, Events, Program, word_of};
use crate::discovery::PlannedReply;
use crate::http::{self, Connection};
use serde_json::{Value, json};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};
use tokio::net::TcpListener;
use tokio::runtime::Runtime;

/// What runs the stand-ins of tests, whose own code blocks.
fn background() -> &'static Runtime {
    static RUNTIME: OnceLock<Runtime> = OnceLock::new();
    RUNTIME.get_or_init(|| Runtime::new().unwrap())
}

/// An entry of discovery's list.
pub fn host(name: &str, dial: SocketAddr, site: &str, health: &str) -> Value {
    json!({"host": name, "dial": dial.to_string(), "site": site, "class": "k4-full", "block": 0,
           "health": health, "share": 1.0, "born_ms": 0})
}

/// Discovery for one dispatcher: tells the whole list first, then the changes that a test makes.
pub struct Discovery {
    pub address: SocketAddr,
    pub request_lines: Events,
    service: crate::discovery::Discovery,
}

impl Discovery {
    pub fn start(hosts: Vec<Value>) -> Discovery {
        Discovery::start_with_replies(hosts, &[])
    }

    /// Its first calls go as planned.
    pub fn start_with_replies(hosts: Vec<Value>, plan: &[PlannedReply]) -> Discovery {
        let service = background()
            .block_on(crate::discovery::Discovery::start_with_replies(vec![hosts], plan))
            .unwrap();
        Discovery { address: service.addresses[0], request_lines: service.request_lines.clone(), service }
    }

    /// Tells every watch of a change.
    pub fn update(&self, hosts: &[Value]) {
        self.service.update(&[hosts.to_vec()]);
    }

    /// Goes on where the plan has it wait for that.
    pub fn resume(&self) {
        self.service.resume();
    }

    /// Begins to count its versions anew, with this list.
    pub fn restart(&self, hosts: Vec<Value>) {
        self.service.restart(vec![hosts]);
    }

    /// Breaks every watch.
    pub fn break_watches(&self) {
        self.service.break_watches();
    }
}

/// A runner of the platform. A job's text says what becomes of it: `serve`, `error`, `away`, `reset`,
/// `hang` (taken, and nothing more), `early` (the call-back comes before the 202), `mute` (no 202),
/// `unusable` (400).
pub struct Runner {
    pub address: SocketAddr,
    /// `POST word id`, `DELETE id`.
    pub events: Events,
    dispatcher: Arc<OnceLock<SocketAddr>>,
}

impl Runner {
    pub fn start(name: &str) -> Runner {
        let listener = background().block_on(TcpListener::bind("127.0.0.1:0")).unwrap();
        let address = listener.local_addr().unwrap();
        let (events, dispatcher) = (Events::default(), Arc::new(OnceLock::new()));
        let (told, to, name) = (events.clone(), dispatcher.clone(), name.to_owned());
        background().spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (told, to, name) = (told.clone(), to.clone(), name.clone());
                tokio::spawn(async move {
                    let _ = Runner::serve(Connection::new(stream), &name, &told, &to).await;
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
        seen: &Events,
        to: &OnceLock<SocketAddr>,
    ) -> io::Result<()> {
        while let Some(request) = connection.read().await? {
            if let Some(id) = request.target.strip_prefix("/jobs/") {
                connection.write("HTTP/1.1 200 OK", b"").await?;
                seen.push(format!("DELETE {id}"));
                continue;
            }
            let id = request.header("x-request-id").to_owned();
            let word = word_of(&request.body);
            seen.push(format!("POST {word} {id} POST {} HTTP/1.1 {}", request.target, request.body));
            let back = async |state: &str, more: Value| {
                let mut body = json!({"id": id, "from": name, "state": state, "result": more});
                body["load"] = json!({"outstanding": 1, "recent_ms": 10.0, "x0": 4, "errors_per_s": 0});
                let head = "POST /v1/job-events HTTP/1.1\r\nHost: t";
                let at = *to.get().unwrap();
                http::call(at, head, body.to_string().as_bytes(), EVENT_TIMEOUT)
                    .await
                    .map(|answer| answer.status)
            };
            match word {
                "mute" => {}
                "reset" => return Ok(()),
                "unusable" => connection.write("HTTP/1.1 400 Bad Request", b"").await?,
                "away" => {
                    connection.write("HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1", b"").await?;
                }
                "hang" => connection.write("HTTP/1.1 202 Accepted", b"").await?,
                "early" => {
                    back("done", json!(format!("by {name}"))).await?;
                    connection.write("HTTP/1.1 202 Accepted", b"").await?;
                }
                _ => {
                    connection.write("HTTP/1.1 202 Accepted", b"").await?;
                    back("started", Value::Null).await?;
                    let state = if word == "error" { "failed" } else { "done" };
                    // A call-back may come more than once.
                    for _ in 0..2 {
                        let answer = back(state, json!(format!("by {name}"))).await?;
                        seen.push(format!("{state} {id} -> {answer}"));
                    }
                }
            }
        }
        seen.push("closed");
        Ok(())
    }
}
