//! Halls of pick nodes: slots, a queue in order, speed, the memory of repeats that the nodes of a hall
//! share, call-backs, and the faults that are injected. They own the truth: which key had its effect how
//! often, and where. A node does what the platform's pages say of one, and knows nothing of dispatchers
//! beyond the address that its calls go to.

use crate::http::{Connection, Message};
use crate::installation::{Class, Faults, Group, Hall};
use serde_json::{Value, json};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::{Notify, Semaphore, watch};

/// Whose key of which class.
pub type Key = (String, String, String);

/// What became of a key in the memory of a hall.
#[derive(Clone, Debug)]
enum Fate {
    Running,
    Done(String),
    /// Its job was withdrawn unstarted: it never ran.
    Withdrawn,
}

/// The memory that nodes share: those of a hall, or all of them.
#[derive(Default)]
struct Memory(Mutex<HashMap<Key, (Instant, watch::Receiver<Fate>)>>);

enum Claim {
    Mine(watch::Sender<Fate>),
    Repeat(watch::Receiver<Fate>),
}

impl Memory {
    /// The first within the window has the key; the rest are repeats, which are dropped.
    fn claim(&self, key: &Key, window: Duration) -> Claim {
        let mut held = self.0.lock().expect("no holder panics");
        if let Some((at, fate)) = held.get(key)
            && at.elapsed() < window
            && !matches!(*fate.borrow(), Fate::Withdrawn)
        {
            return Claim::Repeat(fate.clone());
        }
        let (send, receive) = watch::channel(Fate::Running);
        held.insert(key.clone(), (Instant::now(), receive));
        Claim::Mine(send)
    }
}

/// What truly happened.
#[derive(Default)]
pub struct Truth {
    effects: Mutex<HashMap<Key, Vec<String>>>,
    /// Attempts taken.
    pub attempts: AtomicUsize,
    /// Repeats that a hall's memory dropped.
    pub dropped: AtomicUsize,
    /// Faults injected.
    pub faults: AtomicUsize,
}

impl Truth {
    /// Keys that had their effect more than once.
    pub fn doubles(&self) -> usize {
        self.effects.lock().expect("no holder panics").values().filter(|halls| halls.len() > 1).count()
    }

    /// The same, where the effects were in different halls.
    pub fn doubles_across(&self) -> usize {
        let across = |halls: &&Vec<String>| halls.iter().any(|hall| *hall != halls[0]);
        self.effects.lock().expect("no holder panics").values().filter(across).count()
    }

    /// Keys that had their effect.
    pub fn ran(&self) -> usize {
        self.effects.lock().expect("no holder panics").len()
    }
}

/// All halls of an installation.
pub struct Halls {
    /// What truly happened.
    pub truth: Arc<Truth>,
    /// The entries of discovery's list, for each dispatcher.
    pub hosts: Vec<Vec<Value>>,
}

struct Node {
    name: String,
    hall: String,
    speed: f64,
    slots: usize,
    free: Semaphore,
    classes: HashMap<String, Class>,
    faults: Faults,
    random: Mutex<fastrand::Rng>,
    of_hall: Arc<Memory>,
    of_all: Arc<Memory>,
    truth: Arc<Truth>,
    jobs: Mutex<HashMap<String, Arc<Notify>>>,
    /// Where call-backs go, and connections to there.
    dispatchers: Vec<SocketAddr>,
    idle: Mutex<HashMap<SocketAddr, Vec<Connection>>>,
}

impl Halls {
    /// Starts the nodes of all halls, each with an address for each dispatcher.
    ///
    /// # Errors
    ///
    /// If no address is free.
    pub async fn start(
        halls: &[Hall],
        classes: &[Class],
        faults: &Faults,
        seed: u64,
        dispatchers: &[SocketAddr],
    ) -> std::io::Result<Halls> {
        let truth = Arc::new(Truth::default());
        let of_all = Arc::new(Memory::default());
        let mut hosts = vec![Vec::new(); dispatchers.len()];
        let mut random = fastrand::Rng::with_seed(seed);
        for hall in halls {
            let of_hall = Arc::new(Memory::default());
            for number in 0..hall.nodes {
                let node = Arc::new(Node {
                    name: format!("{}-{number}", hall.name),
                    hall: hall.name.clone(),
                    speed: hall.speed,
                    slots: hall.slots,
                    free: Semaphore::new(hall.slots),
                    classes: classes.iter().map(|class| (class.name.clone(), class.clone())).collect(),
                    faults: faults.clone(),
                    random: Mutex::new(random.fork()),
                    of_hall: of_hall.clone(),
                    of_all: of_all.clone(),
                    truth: truth.clone(),
                    jobs: Mutex::default(),
                    dispatchers: dispatchers.to_vec(),
                    idle: Mutex::default(),
                });
                for (dispatcher, hosts) in hosts.iter_mut().enumerate() {
                    let listener = TcpListener::bind("127.0.0.1:0").await?;
                    let dial = listener.local_addr()?.to_string();
                    hosts
                        .push(json!({"host": node.name, "dial": dial, "site": hall.name, "class": "k4-full",
                                      "block": 0, "health": "active", "share": 1.0, "born_ms": 0}));
                    tokio::spawn(node.clone().listen(dispatcher, listener));
                }
            }
        }
        Ok(Halls { truth, hosts })
    }
}

/// What is done to an attempt.
#[derive(Clone, Copy, PartialEq)]
enum Fault {
    None,
    /// The job runs, but the connection ends before the 202.
    Reset,
    /// The job runs, but nobody is told.
    Silent,
    /// The job runs and fails.
    Error,
    /// Turned away unseen.
    Away,
    /// The job takes longer.
    Slow,
}

impl Node {
    async fn listen(self: Arc<Self>, dispatcher: usize, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let node = self.clone();
            tokio::spawn(async move {
                let _ = node.serve(dispatcher, Connection::new(stream)).await;
            });
        }
    }

    async fn serve(self: Arc<Self>, dispatcher: usize, mut connection: Connection) -> std::io::Result<()> {
        while let Some(request) = connection.read().await? {
            match request.method.as_str() {
                "DELETE" => {
                    let id = request.target.rsplit('/').next().unwrap_or("");
                    if let Some(job) = self.jobs.lock().expect("no holder panics").get(id) {
                        job.notify_one();
                    }
                    connection.write("HTTP/1.1 200 OK", b"").await?;
                }
                "POST" if request.header("x-request-id").is_empty() => {
                    connection.write("HTTP/1.1 404 Not Found", b"").await?;
                }
                "POST" => {
                    self.truth.attempts.fetch_add(1, Relaxed);
                    let fault = self.fault();
                    if fault == Fault::Away || !self.classes.contains_key(request.header("x-priority-class"))
                    {
                        let head = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1";
                        connection.write(head, b"").await?;
                        continue;
                    }
                    // Before its first await, so that a repeat behind it finds the key taken.
                    tokio::spawn(self.clone().job(dispatcher, request, fault));
                    if fault == Fault::Reset {
                        return Ok(());
                    }
                    connection.write("HTTP/1.1 202 Accepted", b"").await?;
                }
                _ => {
                    let load = json!({"outstanding": self.inflight(), "x0": self.free.available_permits()});
                    connection.write("HTTP/1.1 200 OK", load.to_string().as_bytes()).await?;
                }
            }
        }
        Ok(())
    }

    fn inflight(&self) -> usize {
        self.jobs.lock().expect("no holder panics").len()
    }

    fn fault(&self) -> Fault {
        let f = &self.faults;
        let mut point = self.random.lock().expect("no holder panics").f64();
        for (share, fault) in [
            (f.reset, Fault::Reset),
            (f.silent, Fault::Silent),
            (f.error, Fault::Error),
            (f.away, Fault::Away),
            (f.slow, Fault::Slow),
        ] {
            if point < share {
                self.truth.faults.fetch_add(1, Relaxed);
                return fault;
            }
            point -= share;
        }
        Fault::None
    }

    async fn job(self: Arc<Self>, dispatcher: usize, request: Message, fault: Fault) {
        let id = request.header("x-request-id").to_owned();
        let class = &self.classes[request.header("x-priority-class")];
        let given_up = Arc::new(Notify::new());
        self.jobs.lock().expect("no holder panics").insert(id.clone(), given_up.clone());
        let told = self.run(dispatcher, &id, class, &request, fault, &given_up).await;
        self.jobs.lock().expect("no holder panics").remove(&id);
        if let Some((state, result)) = told.filter(|_| fault != Fault::Silent) {
            self.call_back(dispatcher, &id, state, &result).await;
        }
    }

    /// Runs a job, or drops it for a repeat; what is to be told, if anybody still wants to hear it.
    async fn run(
        &self,
        dispatcher: usize,
        id: &str,
        class: &Class,
        request: &Message,
        fault: Fault,
        given_up: &Notify,
    ) -> Option<(&'static str, String)> {
        let key = match request.header("idempotency-key") {
            "" => None,
            key => Some((request.header("x-tenant-id").to_owned(), class.name.clone(), key.to_owned())),
        };
        let memory = match class.group {
            Some(Group::Zone) => Some(&self.of_hall),
            Some(Group::All) => Some(&self.of_all),
            None => None,
        };
        let mut claim = None;
        if let (Some(memory), Some(key)) = (memory, &key) {
            loop {
                match memory.claim(key, Duration::from_millis(class.window_ms)) {
                    Claim::Mine(fate) => {
                        claim = Some(fate);
                        break;
                    }
                    Claim::Repeat(mut fate) => {
                        self.truth.dropped.fetch_add(1, Relaxed);
                        let ended = async {
                            fate.wait_for(|fate| !matches!(fate, Fate::Running)).await.ok().map(|f| f.clone())
                        };
                        tokio::select! {
                            fate = ended => match fate {
                                Some(Fate::Done(result)) => return Some(("done", result)),
                                _ => continue,
                            },
                            () = given_up.notified() => return None,
                        }
                    }
                }
            }
        }
        let slots = u32::try_from(class.slots.min(self.slots)).unwrap_or(1);
        let permit = tokio::select! {
            permit = self.free.acquire_many(slots) => permit.ok()?,
            () = given_up.notified() => {
                if let Some(fate) = claim {
                    fate.send_replace(Fate::Withdrawn);
                }
                return None;
            }
        };
        if fault != Fault::Silent {
            self.call_back(dispatcher, id, "started", "").await;
        }
        let work = serde_json::from_str::<Value>(&request.body).ok().and_then(|b| b["work_ms"].as_f64());
        let slower = if fault == Fault::Slow { self.faults.slow_by } else { 1.0 };
        let time = Duration::from_secs_f64(work.unwrap_or(1.0) / 1e3 / self.speed * slower);
        // Work that runs goes on to its end, whoever gives it up.
        tokio::time::sleep(time).await;
        drop(permit);
        let result = format!("{} by {}", key.as_ref().map_or(id, |key| &key.2), self.name);
        if let Some(key) = key {
            let mut effects = self.truth.effects.lock().expect("no holder panics");
            effects.entry(key).or_default().push(self.hall.clone());
        }
        if let Some(fate) = claim {
            fate.send_replace(Fate::Done(result.clone()));
        }
        Some((if fault == Fault::Error { "failed" } else { "done" }, result))
    }

    /// Tells the dispatcher, again until it answers, ten times at most.
    async fn call_back(&self, dispatcher: usize, id: &str, state: &str, result: &str) {
        let at = self.dispatchers[dispatcher];
        let free = self.free.available_permits();
        let body = json!({"id": id, "from": self.name, "state": state, "result": result,
            "load": {"inflight": self.inflight(), "latency_ms": 20.0 / self.speed, "x0": free, "eps": 0}});
        let (head, body) = ("POST /v1/job-events HTTP/1.1\r\nHost: t", body.to_string());
        for _ in 0..10 {
            let idle = self.idle.lock().expect("no holder panics").get_mut(&at).and_then(Vec::pop);
            let exchange = async {
                let mut connection = match idle {
                    Some(connection) => connection,
                    None => Connection::open(at, Duration::from_millis(250)).await.ok()?,
                };
                connection.write(head, body.as_bytes()).await.ok()?;
                let answer = connection.read().await.ok()??;
                let kept = answer.header("connection") != "close";
                if kept {
                    self.idle.lock().expect("no holder panics").entry(at).or_default().push(connection);
                }
                Some(())
            };
            if let Ok(Some(())) = tokio::time::timeout(Duration::from_secs(1), exchange).await {
                return;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
}
