//! The part of the scale run that plays the hollow dispatchers: many in one process, on a few threads.
//! Distributes the dispatchers and the run's commands over the threads.

use super::hollow_group::{GroupCommand, HollowGroup, ThreadFigures};
use super::part;
use super::protocol::{Command, Counts, Ready, Setup, now_us};
use super::record_writers::{AdoptionLog, RequestLog};
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
/// If it could not start.
pub fn run() -> Result<(), String> {
    logging::start(LogFormat::Text);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| e.to_string())?;
    runtime.block_on(part::run(Dispatchers::start, async |dispatchers, command| {
        dispatchers.execute(command).await
    }))
}

/// A command and the channel for its result.
type CommandWithReply = (GroupCommand, oneshot::Sender<Result<ThreadFigures, String>>);

/// All hollow dispatchers, by thread.
pub struct Dispatchers {
    threads: Vec<mpsc::UnboundedSender<CommandWithReply>>,
    request_log: RequestLog,
    adoption_log: AdoptionLog,
}

impl Dispatchers {
    /// Starts all hollow dispatchers.
    ///
    /// # Errors
    ///
    /// Names the dispatcher that could not start, and why.
    pub async fn start(setup: Setup) -> Result<(Dispatchers, Ready), String> {
        let (folder, deadline) = (&setup.layout.folder, setup.layout.stream.deadline_s);
        let request_log = RequestLog::create(folder, "requests.csv", Duration::from_secs_f64(deadline))?;
        let adoption_log = AdoptionLog::create(folder, "acts.csv")?;
        let hollow = setup.layout.dispatchers.iter().enumerate().filter(|(_, d)| d.hollow);
        let numbers: Vec<usize> = hollow.map(|(number, _)| number).collect();
        let (setup, mut threads, mut started) = (Arc::new(setup), Vec::new(), Vec::new());
        for thread in 0..THREADS {
            // Distributed round-robin, so that each thread has its share of every zone.
            let thread_numbers: Vec<_> = numbers.iter().skip(thread).step_by(THREADS).copied().collect();
            let ((sender, commands), (reply, result)) = (mpsc::unbounded_channel(), oneshot::channel());
            let (setup, request_log, adoption_log) =
                (setup.clone(), request_log.clone(), adoption_log.clone());
            std::thread::spawn(move || {
                actix_rt::System::new().block_on(async move {
                    serve(
                        HollowGroup::start(setup, thread_numbers, request_log, adoption_log).await,
                        reply,
                        commands,
                    )
                    .await;
                });
            });
            threads.push(sender);
            started.push(result);
        }
        for result in started {
            result.await.unwrap_or_else(|_| Err("a thread of the dispatchers has ended".to_owned()))?;
        }
        Ok((Dispatchers { threads, request_log, adoption_log }, Ready::default()))
    }

    /// Executes a command; a command for other roles only returns the counts.
    ///
    /// # Errors
    ///
    /// Names the dispatcher that failed, and why.
    pub async fn execute(&mut self, command: Command) -> Result<Counts, String> {
        let command = match command {
            Command::Play => GroupCommand::Play(Instant::now()),
            Command::DispatchersDown { dispatchers } => GroupCommand::Down(dispatchers),
            Command::DispatchersUp { dispatchers } => GroupCommand::Up(dispatchers),
            Command::Settings { settings, version } => GroupCommand::Settings(settings, version),
            Command::End => {
                self.request_log.end_stream();
                GroupCommand::End
            }
            _ => GroupCommand::Count,
        };
        let results = self.threads.iter().map(|thread| {
            let (reply, result) = oneshot::channel();
            let _ = thread.send((command.clone(), reply));
            result
        });
        let (mut all, mut error) = (ThreadFigures::default(), None);
        for result in results.collect::<Vec<_>>() {
            match result.await.unwrap_or_else(|_| Err("a thread of the dispatchers has ended".to_owned())) {
                Ok(figures) => all.add(&figures),
                Err(e) => error = Some(e),
            }
        }
        let at_us = now_us();
        self.request_log.flush()?;
        self.adoption_log.flush()?;
        if let Some(e) = error {
            return Err(e);
        }
        all.values.extend(self.request_log.counts());
        all.values.extend(all.steps.figures());
        Ok(Counts { at_us, values: all.values, ..Counts::default() })
    }
}

/// Reports whether the thread's dispatchers have started, then executes commands for them.
async fn serve(
    started: Result<HollowGroup, String>,
    reply: oneshot::Sender<Result<(), String>>,
    mut commands: mpsc::UnboundedReceiver<CommandWithReply>,
) {
    let mut group = match started {
        Ok(group) => group,
        Err(e) => {
            let _ = reply.send(Err(e));
            return;
        }
    };
    let _ = reply.send(Ok(()));
    while let Some((command, reply)) = commands.recv().await {
        let _ = reply.send(group.execute(command).await);
    }
}
