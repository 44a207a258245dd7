//! One hollow runner: its addresses, its lifetime from a start to the next crash, and the timers of running
//! requests. Which request runs when is decided in `slots`.

use super::callbacks::IdleConnection;
use super::metrics::{Counter, Gauge};
use super::shared::Shared;
use super::slots::{CancelOutcome, Load, Slots, StartedJob};
use super::{RunnerSpec, connections};
use crate::metrics::TrafficSource;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// The maximum length of a listener's accept queue.
const BACKLOG: u32 = 1024;
/// Pause before accepting again after an error, such as running out of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Held by every task of a runner until it crashes: the tasks are notified of the crash, and the crash
/// waits until all are dropped.
pub type Lifetime = watch::Receiver<()>;

enum State {
    Up {
        lifetime: watch::Sender<()>,
        accept_tasks: Vec<JoinHandle<()>>,
    },
    /// The addresses, kept bound by sockets that don't listen.
    Down(Vec<TcpSocket>),
}

/// A hollow runner.
pub struct Runner {
    pub number: usize,
    pub name: String,
    pub region: usize,
    pub shared: Arc<Shared>,
    /// Idle connections for call-backs.
    pub idle_connections: Mutex<Vec<IdleConnection>>,
    addresses: Vec<SocketAddr>,
    slots: Mutex<Slots>,
    state: Mutex<State>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no holder panics")
}

fn bind_socket(at: SocketAddr) -> io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(at)?;
    Ok(socket)
}

impl Runner {
    /// Starts a runner at full speed.
    pub async fn start(number: usize, spec: &RunnerSpec, shared: Arc<Shared>) -> io::Result<Arc<Runner>> {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let sockets = shared.views.iter().map(|_| bind_socket(any)).collect::<io::Result<Vec<_>>>()?;
        let addresses = sockets.iter().map(TcpSocket::local_addr).collect::<io::Result<_>>()?;
        let runner = Arc::new(Runner {
            number,
            name: spec.name.clone(),
            region: spec.region,
            idle_connections: Mutex::default(),
            addresses,
            slots: Mutex::new(Slots::new(spec.slots, shared.profile.slow_start)),
            state: Mutex::new(State::Down(sockets)),
            shared,
        });
        runner.listen()?;
        Ok(runner)
    }

    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// Listens at its addresses; does nothing if it already does.
    fn listen(self: &Arc<Self>) -> io::Result<()> {
        let mut state = lock(&self.state);
        let State::Down(sockets) = &mut *state else { return Ok(()) };
        let listeners = sockets.drain(..).map(|socket| socket.listen(BACKLOG));
        let listeners = listeners.collect::<io::Result<Vec<_>>>()?;
        let lifetime = watch::channel(()).0;
        let accept_tasks = listeners.into_iter().enumerate();
        let accept_tasks = accept_tasks
            .map(|(view, at)| tokio::spawn(self.clone().accept_connections(view, at, lifetime.subscribe())));
        *state = State::Up { accept_tasks: accept_tasks.collect(), lifetime };
        Ok(())
    }

    async fn accept_connections(self: Arc<Self>, view: usize, listener: TcpListener, lifetime: Lifetime) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    tokio::spawn(connections::serve(self.clone(), view, stream, lifetime.clone()));
                }
                Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
            }
        }
    }

    /// Restarts a crashed runner with an empty queue and a cold start.
    pub fn restart(self: &Arc<Self>) -> io::Result<()> {
        if matches!(*lock(&self.state), State::Down(_)) {
            lock(&self.slots).start_cold(self.shared.now_us());
        }
        self.listen()
    }

    /// Crashes the machine. Returns once all connections and jobs are gone.
    pub async fn crash(&self) -> io::Result<()> {
        let previous = {
            let mut state = lock(&self.state);
            if matches!(*state, State::Down(_)) {
                return Ok(());
            }
            std::mem::replace(&mut *state, State::Down(Vec::new()))
        };
        let State::Up { lifetime, accept_tasks } = previous else { return Ok(()) };
        for task in accept_tasks {
            task.abort();
            let _ = task.await;
        }
        // Binds the ports again at once, so that no outgoing connection is given one of them as its local
        // port.
        let sockets = self.addresses.iter().map(|at| bind_socket(*at)).collect::<io::Result<Vec<_>>>()?;
        lifetime.send_replace(());
        lifetime.closed().await;
        let shared = &self.shared;
        for idle in lock(&self.idle_connections).drain(..) {
            shared.metrics.decrement(shared.source(idle.dispatcher), Gauge::IdleCallBackConnections);
            idle.connection.reset();
        }
        for (id, was_running) in lock(&self.slots).drop_all() {
            if let Some(dispatcher) = shared.dispatcher_of(&id) {
                let source = shared.source(dispatcher);
                shared.metrics.add(source, Counter::Lost, 1);
                shared.metrics.decrement(source, if was_running { Gauge::Running } else { Gauge::Queued });
            }
        }
        *lock(&self.state) = State::Down(sockets);
        Ok(())
    }

    /// Accepts a request from a dispatcher and returns its job number.
    pub fn accept_request(self: &Arc<Self>, source: TrafficSource, id: &str, work_us: u64) -> u64 {
        self.shared.metrics.increment(source, Gauge::Queued);
        let (job, started) = lock(&self.slots).accept(self.shared.now_us(), id, work_us);
        self.start_job(started);
        job
    }

    /// Cancels a request by its id or, before it was answered, by its job number.
    pub fn cancel(&self, source: TrafficSource, id: &str, job: Option<u64>) {
        let outcome = match job {
            Some(job) => lock(&self.slots).cancel(job),
            None => lock(&self.slots).cancel_newest(id),
        };
        match outcome {
            CancelOutcome::Queued => {
                self.shared.metrics.decrement(source, Gauge::Queued);
                self.shared.metrics.add(source, Counter::CancelledQueued, 1);
            }
            CancelOutcome::Running => self.shared.metrics.add(source, Counter::CancelledRunning, 1),
            CancelOutcome::Unknown => {}
        }
    }

    /// Whether the newest request of this id is queued or running and not cancelled.
    pub fn is_wanted(&self, id: &str) -> bool {
        lock(&self.slots).is_wanted(id)
    }

    pub fn load(&self) -> Load {
        lock(&self.slots).load()
    }

    fn start_job(self: &Arc<Self>, started: Option<StartedJob>) {
        let Some(job) = started else { return };
        let Some(dispatcher) = self.shared.dispatcher_of(&job.id) else { return };
        let (source, metrics) = (self.shared.source(dispatcher), &self.shared.metrics);
        metrics.decrement(source, Gauge::Queued);
        metrics.increment(source, Gauge::Running);
        // A runner that has just crashed starts nothing; the request is lost with the others.
        let State::Up { lifetime, .. } = &*lock(&self.state) else { return };
        metrics.add(source, Counter::Started, 1);
        (self.shared.on_start)(&job.id, self.number);
        let mut lifetime = lifetime.subscribe();
        let runner = self.clone();
        tokio::spawn(async move {
            tokio::select! {
                biased;
                _ = lifetime.changed() => {}
                () = runner.run_job(dispatcher, job) => {}
            }
        });
    }

    async fn run_job(self: &Arc<Self>, dispatcher: usize, job: StartedJob) {
        let (source, metrics) = (self.shared.source(dispatcher), &self.shared.metrics);
        // The slot becomes free when the work ends, even if the dispatcher does not answer call-backs.
        let work = async {
            tokio::time::sleep_until(self.shared.epoch + Duration::from_micros(job.ends_us)).await;
            let ended = lock(&self.slots).finish(self.shared.now_us(), job.number);
            metrics.decrement(source, Gauge::Running);
            metrics.add(source, Counter::Ended, 1);
            ended.is_some_and(|ended| {
                self.start_job(ended.next_started);
                ended.wanted
            })
        };
        let start_callback = async {
            if self.shared.profile.reports_start {
                self.call_back(dispatcher, &job.id, "started").await;
            }
        };
        let (wanted, ()) = tokio::join!(work, start_callback);
        if wanted {
            self.call_back(dispatcher, &job.id, "done").await;
        }
    }
}
