//! The admin socket: a line protocol on the address that `admin_addr` (or `$NODE_ADMIN_ADDR`) names, with
//! one command a connection and one answer that begins with `OK` or `ERR`. Runs on a thread of its own, so
//! that it answers in time however busy the serving thread is: metrics are read from counters, and only
//! commands that change the dispatcher's state go to the serving thread. Decides nothing itself, and waits
//! for no caller longer than [`AdminLimits`] allow.

use crate::memory::{MemoryBudget, OutOfMemory, ReceiveBuffer};
use crate::metrics::Metrics;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc, oneshot};

/// How the line of a forwarded call-back begins.
const CALL_BACK_PREFIX: &[u8] = b"TOLD ";

/// A command on the admin socket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Whether this process is ready to serve.
    Ready,
    /// The metrics, one a line, then `END`.
    Stats,
    /// Sends no new work to this runner until it is enabled again.
    Disable(String),
    /// Sends work to this runner again.
    Enable(String),
    /// `TOLD`: a runner's call-back in JSON, forwarded by the other process of an upgrade.
    CallBack(String),
}

/// Sizes and times of the admin socket.
#[derive(Clone, Copy, Debug)]
pub struct AdminLimits {
    /// Longest command line with its newline, in bytes.
    pub max_line_bytes: usize,
    /// Longest line with a forwarded call-back: the largest body and as much again for escapes, in bytes.
    pub max_call_back_bytes: usize,
    /// Time for a whole command from the connection's start; an incomplete one is answered with `ERR` then.
    pub read_timeout: Duration,
    /// Time for the serving thread to execute a command.
    pub execute_timeout: Duration,
    /// Time for the answer to be written.
    pub write_timeout: Duration,
    /// Connections served at once; others are answered `ERR busy` immediately.
    pub max_connections: usize,
}

impl Default for AdminLimits {
    fn default() -> AdminLimits {
        // Every answer is due within 1 s of the command: a command gets 0.9 s to arrive whole, and a state
        // change 0.8 s on the serving thread.
        AdminLimits {
            max_line_bytes: 256,
            max_call_back_bytes: 128 * 1024,
            read_timeout: Duration::from_millis(900),
            execute_timeout: Duration::from_millis(800),
            write_timeout: Duration::from_secs(1),
            max_connections: 32,
        }
    }
}

/// A state change for the serving thread to execute.
#[derive(Debug)]
pub enum Operation {
    /// Disables or enables a runner.
    SetDisabled { runner: String, disabled: bool },
    /// Applies a runner's call-back about a job of this process.
    CallBack(String),
}

/// An operation and the channel for its result.
pub struct OperationRequest {
    pub operation: Operation,
    pub reply: oneshot::Sender<Result<(), String>>,
}

/// Parses a command line.
///
/// # Errors
///
/// The text of the `ERR` answer.
pub fn parse(line: &[u8]) -> Result<Command, String> {
    let line = std::str::from_utf8(line).map_err(|_| "the call is not UTF-8".to_owned())?;
    if let Some(call_back) = line.strip_prefix("TOLD ") {
        return Ok(Command::CallBack(call_back.trim_end().to_owned()));
    }
    let mut words = line.split_ascii_whitespace();
    let verb = words.next().ok_or("empty call: say READY, STATS, DISABLE ID or ENABLE ID")?;
    let id = words.next();
    if words.next().is_some() {
        return Err(format!("{verb}: too many words"));
    }
    let with_runner = |command: fn(String) -> Command| match id {
        Some(id) => Ok(command(id.to_owned())),
        None => Err(format!("{verb}: which runner? say {verb} ID")),
    };
    match (verb.to_ascii_uppercase().as_str(), id) {
        ("READY", None) => Ok(Command::Ready),
        ("STATS", None) => Ok(Command::Stats),
        ("READY" | "STATS", Some(_)) => Err(format!("{verb} takes no argument")),
        ("DISABLE", _) => with_runner(Command::Disable),
        ("ENABLE", _) => with_runner(Command::Enable),
        _ => Err(format!("unknown call {verb:?}: say READY, STATS, DISABLE ID or ENABLE ID")),
    }
}

/// Binds the admin socket's address. Called before anything serves, so that a wrong address stops the start.
pub fn bind(address: SocketAddr) -> io::Result<std::net::TcpListener> {
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

/// Serves the admin socket on a thread of its own, until the process ends.
pub fn start(
    listener: std::net::TcpListener,
    metrics: Arc<Metrics>,
    operations: mpsc::UnboundedSender<OperationRequest>,
    limits: AdminLimits,
    memory: MemoryBudget,
) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_io().enable_time().build()?;
    std::thread::Builder::new().name("door".to_owned()).spawn(move || {
        runtime.block_on(async move {
            let Ok(listener) = TcpListener::from_std(listener) else { return };
            let permits = Arc::new(Semaphore::new(limits.max_connections));
            loop {
                let Ok((stream, _)) = listener.accept().await else {
                    // Most likely out of descriptors: try again when one may be free.
                    tokio::time::sleep(Duration::from_millis(20)).await;
                    continue;
                };
                let (metrics, operations, permits) = (metrics.clone(), operations.clone(), permits.clone());
                let memory = memory.clone();
                tokio::spawn(async move {
                    let Ok(_permit) = permits.try_acquire() else {
                        return answer(stream, "ERR busy: too many calls at once, call again\n", limits)
                            .await;
                    };
                    let reply = match read_command(&stream, limits, &memory).await {
                        Ok(command) => execute(command, &metrics, &operations, limits).await,
                        Err(reason) => format!("ERR {reason}\n"),
                    };
                    answer(stream, &reply, limits).await;
                });
            }
        });
    })?;
    Ok(())
}

/// Reads one command within its limits of size and time. A newline or the end of the stream ends the command.
async fn read_command(
    stream: &TcpStream,
    limits: AdminLimits,
    memory: &MemoryBudget,
) -> Result<Command, String> {
    let out_of_memory = || "busy: no memory for the call, call again".to_owned();
    let mut line = ReceiveBuffer::new(memory);
    let deadline = tokio::time::Instant::now() + limits.read_timeout;
    loop {
        let mut chunk = [0u8; 4096];
        let read = tokio::time::timeout_at(deadline, async {
            tokio::select! {
                readable = stream.readable() => readable?,
                () = line.eviction() => return Err(io::ErrorKind::OutOfMemory.into()),
            }
            match stream.try_read(&mut chunk) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => Ok(None),
                other => other.map(Some),
            }
        });
        let got = match read.await {
            Err(_) if line.is_empty() => {
                return Err(format!("no call within {} ms", limits.read_timeout.as_millis()));
            }
            Err(_) => {
                return Err(format!(
                    "the call was not ended by a newline within {} ms",
                    limits.read_timeout.as_millis()
                ));
            }
            Ok(Err(e)) if e.kind() == io::ErrorKind::OutOfMemory => return Err(out_of_memory()),
            Ok(Err(e)) => return Err(format!("the call could not be read: {e}")),
            Ok(Ok(None)) => continue,
            Ok(Ok(Some(got))) => got,
        };
        let end_of_stream = got == 0;
        let chunk = &chunk[..got];
        let newline = chunk.iter().position(|b| *b == b'\n');
        let chunk = &chunk[..newline.map_or(chunk.len(), |index| index + 1)];
        let is_call_back =
            line.as_slice().iter().chain(chunk).take(CALL_BACK_PREFIX.len()).eq(CALL_BACK_PREFIX);
        let max_bytes = if is_call_back { limits.max_call_back_bytes } else { limits.max_line_bytes };
        if line.len() + chunk.len() > max_bytes {
            return Err(format!("the call is longer than {max_bytes} bytes"));
        }
        line.try_extend(chunk, max_bytes).map_err(|OutOfMemory| out_of_memory())?;
        if newline.is_some() || end_of_stream {
            return parse(line.as_slice());
        }
    }
}

/// Executes a command and returns its whole answer.
pub async fn execute(
    command: Command,
    metrics: &Metrics,
    operations: &mpsc::UnboundedSender<OperationRequest>,
    limits: AdminLimits,
) -> String {
    let operation = match command {
        Command::Ready if metrics.ready.load(Relaxed) => return "OK ready\n".to_owned(),
        Command::Ready => return "ERR not ready: starting or ending\n".to_owned(),
        Command::Stats => return format!("OK\n{}END\n", metrics.render()),
        Command::Disable(runner) => Operation::SetDisabled { runner, disabled: true },
        Command::Enable(runner) => Operation::SetDisabled { runner, disabled: false },
        Command::CallBack(call_back) => Operation::CallBack(call_back),
    };
    let (reply, result) = oneshot::channel();
    if operations.send(OperationRequest { operation, reply }).is_err() {
        return "ERR the dispatcher is ending\n".to_owned();
    }
    match tokio::time::timeout(limits.execute_timeout, result).await {
        Ok(Ok(Ok(()))) => "OK\n".to_owned(),
        Ok(Ok(Err(reason))) => format!("ERR {reason}\n"),
        Ok(Err(_)) => "ERR the dispatcher is ending\n".to_owned(),
        Err(_) => {
            format!("ERR not carried out within {} ms: call again\n", limits.execute_timeout.as_millis())
        }
    }
}

/// Writes the answer and closes the connection, also if the caller does not read the answer in time.
async fn answer(mut stream: TcpStream, reply: &str, limits: AdminLimits) {
    let written = tokio::time::timeout(limits.write_timeout, async {
        stream.write_all(reply.as_bytes()).await?;
        stream.shutdown().await
    });
    let _ = written.await;
    // What the caller sent after its command is dropped unread; a reset after this wait does no harm.
    let _ = tokio::time::timeout(Duration::from_millis(50), stream.read(&mut [0u8; 64])).await;
}
