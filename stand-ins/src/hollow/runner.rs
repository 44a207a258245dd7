//! One hollow runner: its addresses, its life from one start to the next loss, and the requests that run. It owns
//! the timers of what runs and the order in which a machine vanishes; it must never decide what runs when, nor
//! read or write a connection.

use super::metrics::{Counter, Gauge};
use super::shared::Shared;
use super::slots::{CancelOutcome, Load, Slots, StartedJob};
use super::telling::Resting;
use super::{RunnerSpec, connections};
use crate::metrics::TrafficSource;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1024;
/// Wait before a listener that ran out of descriptors tries again.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// What everything that a runner does until it is lost holds: it sees the end, and the end waits for it.
pub type Life = watch::Receiver<()>;

enum Standing {
    Up {
        life: watch::Sender<()>,
        accepting: Vec<JoinHandle<()>>,
    },
    /// Its addresses, held by sockets that don't listen.
    Down(Vec<TcpSocket>),
}

/// A runner.
pub struct Runner {
    pub number: usize,
    pub name: String,
    pub region: usize,
    pub shared: Arc<Shared>,
    /// Connections for call-backs that rest.
    pub resting: Mutex<Vec<Resting>>,
    dial: Vec<SocketAddr>,
    slots: Mutex<Slots>,
    standing: Mutex<Standing>,
}

fn held<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no holder panics")
}

fn socket(at: SocketAddr) -> io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(at)?;
    Ok(socket)
}

impl Runner {
    /// Starts one, warm.
    pub async fn start(number: usize, planned: &RunnerSpec, shared: Arc<Shared>) -> io::Result<Arc<Runner>> {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let sockets = shared.views.iter().map(|_| socket(any)).collect::<io::Result<Vec<_>>>()?;
        let dial = sockets.iter().map(TcpSocket::local_addr).collect::<io::Result<_>>()?;
        let runner = Arc::new(Runner {
            number,
            name: planned.name.clone(),
            region: planned.region,
            resting: Mutex::default(),
            dial,
            slots: Mutex::new(Slots::new(planned.slots, shared.manner.slow_start)),
            standing: Mutex::new(Standing::Down(sockets)),
            shared,
        });
        runner.listen()?;
        Ok(runner)
    }

    pub fn dial(&self) -> &[SocketAddr] {
        &self.dial
    }

    /// Listens at its addresses; changes nothing if it does so already.
    fn listen(self: &Arc<Self>) -> io::Result<()> {
        let mut standing = held(&self.standing);
        let Standing::Down(sockets) = &mut *standing else { return Ok(()) };
        let listeners = sockets.drain(..).map(|socket| socket.listen(BACKLOG));
        let listeners = listeners.collect::<io::Result<Vec<_>>>()?;
        let life = watch::channel(()).0;
        let accepting = listeners.into_iter().enumerate();
        let accepting =
            accepting.map(|(view, at)| tokio::spawn(self.clone().accept(view, at, life.subscribe())));
        *standing = Standing::Up { accepting: accepting.collect(), life };
        Ok(())
    }

    async fn accept(self: Arc<Self>, view: usize, listener: TcpListener, life: Life) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    tokio::spawn(connections::serve(self.clone(), view, stream, life.clone()));
                }
                Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
            }
        }
    }

    /// It starts again, cold and empty.
    pub fn up(self: &Arc<Self>) -> io::Result<()> {
        if matches!(*held(&self.standing), Standing::Down(_)) {
            held(&self.slots).start_cold(self.shared.now_us());
        }
        self.listen()
    }

    /// Its machine vanishes. Returns once nothing of it is left.
    pub async fn down(&self) -> io::Result<()> {
        let before = {
            let mut standing = held(&self.standing);
            if matches!(*standing, Standing::Down(_)) {
                return Ok(());
            }
            std::mem::replace(&mut *standing, Standing::Down(Vec::new()))
        };
        let Standing::Up { life, accepting } = before else { return Ok(()) };
        for task in accepting {
            task.abort();
            let _ = task.await;
        }
        // At once, so that nobody who connects anywhere is given one of these ports as its own.
        let sockets = self.dial.iter().map(|at| socket(*at)).collect::<io::Result<Vec<_>>>()?;
        life.send_replace(());
        life.closed().await;
        let shared = &self.shared;
        for resting in held(&self.resting).drain(..) {
            shared.tally.decrement(shared.side(resting.dispatcher), Gauge::Resting);
            resting.connection.reset();
        }
        for (id, ran) in held(&self.slots).drop_all() {
            if let Some(dispatcher) = shared.dispatcher(&id) {
                let side = shared.side(dispatcher);
                shared.tally.add(side, Counter::Lost, 1);
                shared.tally.decrement(side, if ran { Gauge::Running } else { Gauge::Queued });
            }
        }
        *held(&self.standing) = Standing::Down(sockets);
        Ok(())
    }

    /// Takes a request of a dispatcher on this side: the number that it has here.
    pub fn take(self: &Arc<Self>, side: TrafficSource, id: &str, work_us: u64) -> u64 {
        self.shared.tally.increment(side, Gauge::Queued);
        let (job, start) = held(&self.slots).accept(self.shared.now_us(), id, work_us);
        self.begin(start);
        job
    }

    /// A request is given up, by its id or, before it was answered, by its number here.
    pub fn give_up(&self, side: TrafficSource, id: &str, job: Option<u64>) {
        let given_up = match job {
            Some(job) => held(&self.slots).cancel(job),
            None => held(&self.slots).cancel_newest(id),
        };
        match given_up {
            CancelOutcome::Queued => {
                self.shared.tally.decrement(side, Gauge::Queued);
                self.shared.tally.add(side, Counter::GivenUpWaiting, 1);
            }
            CancelOutcome::Running => self.shared.tally.add(side, Counter::GivenUpRunning, 1),
            CancelOutcome::Unknown => {}
        }
    }

    /// Whether a request of this id is here and wanted.
    pub fn holds(&self, id: &str) -> bool {
        held(&self.slots).is_wanted(id)
    }

    pub fn load(&self) -> Load {
        held(&self.slots).load()
    }

    fn begin(self: &Arc<Self>, start: Option<StartedJob>) {
        let Some(start) = start else { return };
        let Some(dispatcher) = self.shared.dispatcher(&start.id) else { return };
        let (side, tally) = (self.shared.side(dispatcher), &self.shared.tally);
        tally.decrement(side, Gauge::Queued);
        tally.increment(side, Gauge::Running);
        // One that just vanished begins nothing: it is lost with the rest.
        let Standing::Up { life, .. } = &*held(&self.standing) else { return };
        tally.add(side, Counter::Started, 1);
        (self.shared.began)(&start.id, self.number);
        let mut life = life.subscribe();
        let runner = self.clone();
        tokio::spawn(async move {
            tokio::select! {
                biased;
                _ = life.changed() => {}
                () = runner.run(dispatcher, start) => {}
            }
        });
    }

    async fn run(self: &Arc<Self>, dispatcher: usize, start: StartedJob) {
        let (side, tally) = (self.shared.side(dispatcher), &self.shared.tally);
        // Its slot is free at its end, however long its dispatcher is deaf.
        let work = async {
            tokio::time::sleep_until(self.shared.epoch + Duration::from_micros(start.ends_us)).await;
            let ended = held(&self.slots).finish(self.shared.now_us(), start.job);
            tally.decrement(side, Gauge::Running);
            tally.add(side, Counter::Ended, 1);
            ended.is_some_and(|ended| {
                self.begin(ended.next);
                ended.wanted
            })
        };
        let told = async {
            if self.shared.manner.reports_start {
                self.tell(dispatcher, &start.id, "started").await;
            }
        };
        let (wanted, ()) = tokio::join!(work, told);
        if wanted {
            self.tell(dispatcher, &start.id, "done").await;
        }
    }
}
