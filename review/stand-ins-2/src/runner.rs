//! A stand-in for the platform's runners. The runners of a hall share a store of keys, and drop the repeat of a
//! keyed job within the window: the repeat gets the first one's result. A runner starts its jobs in order, tells
//! of starts and ends by call-backs, and tries each call-back ten times at most.

use crate::http::{Message, call, read_message, respond};
use crate::record::Record;
use crate::text::running_time;
use std::collections::{HashMap, VecDeque};
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How long the runners of a hall recognise a repeat.
pub const WINDOW: Duration = Duration::from_secs(10);

/// A job that took effect: its key, where, and under which request.
#[derive(Clone, Debug)]
pub struct Effect {
    pub key: String,
    pub hall: String,
    pub runner: String,
    pub id: String,
}

struct Seen {
    at: Instant,
    result: Option<String>,
    /// Repeats that wait for the result: request ids and runners.
    waiting: Vec<(String, Runner)>,
}

/// The keys that the runners of a hall know.
#[derive(Clone, Default)]
pub struct Hall {
    pub name: String,
    seen: Arc<Mutex<HashMap<String, Seen>>>,
}

impl Hall {
    /// A hall without keys.
    pub fn new(name: &str) -> Hall {
        Hall { name: name.to_owned(), ..Hall::default() }
    }
}

struct Queued {
    id: String,
    key: String,
    work: Duration,
}

#[derive(Default)]
struct Work {
    running: usize,
    queue: VecDeque<Queued>,
}

/// A runner.
#[derive(Clone)]
pub struct Runner {
    pub name: String,
    pub address: SocketAddr,
    pub hall: Hall,
    slots: usize,
    dispatcher: SocketAddr,
    work: Arc<Mutex<Work>>,
    effects: Arc<Mutex<Vec<Effect>>>,
    record: Record,
}

impl Runner {
    /// Starts a runner that tells this dispatcher of its jobs.
    pub fn start(
        name: &str,
        hall: &Hall,
        slots: usize,
        dispatcher: SocketAddr,
        effects: &Arc<Mutex<Vec<Effect>>>,
        record: &Record,
    ) -> std::io::Result<Runner> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let runner = Runner {
            name: name.to_owned(),
            address: listener.local_addr()?,
            hall: hall.clone(),
            slots,
            dispatcher,
            work: Arc::default(),
            effects: effects.clone(),
            record: record.clone(),
        };
        let server = runner.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve_connection(stream));
            }
        });
        Ok(runner)
    }

    fn serve_connection(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader)? {
            match (request.word(0), request.word(1)) {
                ("POST", _) => {
                    respond(&mut writer, "202 Accepted", "")?;
                    self.accept(&request);
                }
                ("DELETE", path) => {
                    self.cancel(path.rsplit('/').next().unwrap_or(""));
                    respond(&mut writer, "200 OK", "")?;
                }
                _ => respond(&mut writer, "200 OK", &self.load())?,
            }
        }
        Ok(())
    }

    fn load(&self) -> String {
        let work = self.work.lock().expect("no holder panics");
        let (inflight, free) = (work.running + work.queue.len(), self.slots - work.running);
        format!("{{\"inflight\":{inflight},\"x0\":{free}}}")
    }

    fn accept(&self, request: &Message) {
        let id = request.header("x-request-id").to_owned();
        let key = request.header("idempotency-key").to_owned();
        let name = &self.name;
        let mut seen = self.hall.seen.lock().expect("no holder panics");
        if let Some(first) = seen.get_mut(&key).filter(|first| first.at.elapsed() < WINDOW) {
            self.record.line(format!("runner {name} drops request {id}, a repeat of key {key}"));
            match first.result.clone() {
                Some(result) => drop(thread::spawn({
                    let runner = self.clone();
                    move || runner.tell(&id, "done", Some(&result))
                })),
                None => first.waiting.push((id, self.clone())),
            }
            return;
        }
        if !key.is_empty() {
            let first = Seen { at: Instant::now(), result: None, waiting: Vec::new() };
            seen.insert(key.clone(), first);
        }
        drop(seen);
        self.record.line(format!("runner {name} takes request {id} of key {key}"));
        let work = running_time(&request.body);
        let mut all = self.work.lock().expect("no holder panics");
        all.queue.push_back(Queued { id, key, work });
        drop(all);
        self.start_next();
    }

    /// Drops a job that has not started; a running one goes on.
    fn cancel(&self, id: &str) {
        let mut work = self.work.lock().expect("no holder panics");
        let queued = work.queue.iter().position(|job| job.id == id);
        let dropped = queued.and_then(|index| work.queue.remove(index));
        drop(work);
        self.record.line(format!("runner {} is told to give up {id}", self.name));
        if let Some(job) = dropped {
            self.hall.seen.lock().expect("no holder panics").remove(&job.key);
        }
    }

    fn start_next(&self) {
        let mut work = self.work.lock().expect("no holder panics");
        if work.running == self.slots {
            return;
        }
        let Some(job) = work.queue.pop_front() else { return };
        work.running += 1;
        drop(work);
        let runner = self.clone();
        thread::spawn(move || runner.run(&job));
    }

    fn run(&self, job: &Queued) {
        let Queued { id, key, work } = job;
        let (name, hall) = (&self.name, &self.hall.name);
        self.record.line(format!("runner {name} of {hall} RUNS request {id} of key {key}"));
        let effect = Effect { key: key.clone(), hall: hall.clone(), runner: name.clone(), id: id.clone() };
        self.effects.lock().expect("no holder panics").push(effect);
        self.tell(id, "started", None);
        thread::sleep(*work);
        let result = format!("result of {key} by {name} for {id}");
        let mut waiting = Vec::new();
        if let Some(first) = self.hall.seen.lock().expect("no holder panics").get_mut(key) {
            first.result = Some(result.clone());
            waiting = std::mem::take(&mut first.waiting);
        }
        self.work.lock().expect("no holder panics").running -= 1;
        self.start_next();
        self.tell(id, "done", Some(&result));
        waiting.iter().for_each(|(id, runner)| runner.tell(id, "done", Some(&result)));
    }

    /// Makes a call-back until it is answered, ten times at most.
    fn tell(&self, id: &str, state: &str, result: Option<&str>) {
        let result = result.map_or(String::new(), |text| format!(",\"result\":\"{text}\""));
        let load = format!(",\"load\":{}", self.load());
        let from = &self.name;
        let body = format!("{{\"id\":\"{id}\",\"from\":\"{from}\",\"state\":\"{state}\"{result}{load}}}");
        let length = body.len();
        let request = format!(
            "POST /v1/job-events HTTP/1.1\r\nHost: {}\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n{body}",
            self.dispatcher
        );
        for _ in 0..10 {
            let answer = call(self.dispatcher, &request, Duration::from_secs(2));
            if answer.is_ok_and(|answer| matches!(answer.word(1), "200" | "204")) {
                self.record.line(format!("runner {from} has told that {id} is {state}"));
                return;
            }
            thread::sleep(Duration::from_millis(200));
        }
        self.record.line(format!("runner {from} could not tell that {id} is {state}"));
    }
}
