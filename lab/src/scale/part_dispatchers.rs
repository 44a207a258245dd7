//! The part of the scale run that plays the hollow dispatchers: many in one process, on a few threads. It owns the
//! threads and what is told to which; it must never play a dispatcher itself.

use super::herd::{Figures, Herd, Order};
use super::part;
use super::records::{Acts, Answers};
use super::words::{Begin, Command, Counts, Ready, now_us};
use sablerun_node::{cli::LogFormat, logging};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, oneshot};

/// Threads that share the dispatchers.
const THREADS: usize = 3;

/// Plays the part until standard input ends.
///
/// # Errors
///
/// If it could not begin.
pub fn run() -> Result<(), String> {
    logging::start(LogFormat::Text);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| e.to_string())?;
    runtime.block_on(part::run(Dispatchers::begin, async |dispatchers, command| {
        dispatchers.carry_out(command).await
    }))
}

/// An order, and who is told what came of it.
type Asked = (Order, oneshot::Sender<Result<Figures, String>>);

/// All threads.
pub struct Dispatchers {
    threads: Vec<mpsc::UnboundedSender<Asked>>,
    answers: Answers,
    acts: Acts,
}

impl Dispatchers {
    /// Starts all hollow dispatchers.
    ///
    /// # Errors
    ///
    /// Names the dispatcher that could not start, and why.
    pub async fn begin(begin: Begin) -> Result<(Dispatchers, Ready), String> {
        let (folder, deadline) = (&begin.layout.folder, begin.layout.stream.deadline_s);
        let answers = Answers::create(folder, "requests.csv", Duration::from_secs_f64(deadline))?;
        let acts = Acts::create(folder, "acts.csv")?;
        let hollow = begin.layout.dispatchers.iter().enumerate().filter(|(_, d)| d.hollow);
        let numbers: Vec<usize> = hollow.map(|(number, _)| number).collect();
        let (begin, mut threads, mut started) = (Arc::new(begin), Vec::new(), Vec::new());
        for thread in 0..THREADS {
            // Dealt out in turn, so that each thread has its part of every zone.
            let own: Vec<_> = numbers.iter().skip(thread).step_by(THREADS).copied().collect();
            let ((ask, asked), (tell, told)) = (mpsc::unbounded_channel(), oneshot::channel());
            let (begin, answers, acts) = (begin.clone(), answers.clone(), acts.clone());
            std::thread::spawn(move || {
                actix_rt::System::new().block_on(async move {
                    serve(Herd::start(begin, own, answers, acts).await, tell, asked).await;
                });
            });
            threads.push(ask);
            started.push(told);
        }
        for told in started {
            told.await.unwrap_or_else(|_| Err("a thread of the dispatchers has ended".to_owned()))?;
        }
        Ok((Dispatchers { threads, answers, acts }, Ready::default()))
    }

    /// Carries out a command; what is not for dispatchers only counts.
    ///
    /// # Errors
    ///
    /// Names the dispatcher that could not, and why.
    pub async fn carry_out(&mut self, command: Command) -> Result<Counts, String> {
        let order = match command {
            Command::Play => Order::Play(Instant::now()),
            Command::DispatchersDown { dispatchers } => Order::Down(dispatchers),
            Command::DispatchersUp { dispatchers } => Order::Up(dispatchers),
            Command::Settings { settings, version } => Order::Settings(settings, version),
            Command::End => {
                self.answers.over();
                Order::End
            }
            _ => Order::Count,
        };
        let asked = self.threads.iter().map(|thread| {
            let (tell, told) = oneshot::channel();
            let _ = thread.send((order.clone(), tell));
            told
        });
        let (mut all, mut failed) = (Figures::default(), None);
        for told in asked.collect::<Vec<_>>() {
            match told.await.unwrap_or_else(|_| Err("a thread of the dispatchers has ended".to_owned())) {
                Ok(figures) => all.add(&figures),
                Err(e) => failed = Some(e),
            }
        }
        let at_us = now_us();
        self.answers.flush()?;
        self.acts.flush()?;
        if let Some(e) = failed {
            return Err(e);
        }
        all.values.extend(self.answers.counts());
        all.values.extend(all.steps.figures());
        Ok(Counts { at_us, values: all.values, ..Counts::default() })
    }
}

/// Tells whether the thread's dispatchers are up, and then carries out what is asked of them.
async fn serve(
    started: Result<Herd, String>,
    tell: oneshot::Sender<Result<(), String>>,
    mut asked: mpsc::UnboundedReceiver<Asked>,
) {
    let mut herd = match started {
        Ok(herd) => herd,
        Err(e) => {
            let _ = tell.send(Err(e));
            return;
        }
    };
    let _ = tell.send(Ok(()));
    while let Some((order, tell)) = asked.recv().await {
        let _ = tell.send(herd.carry_out(order).await);
    }
}
