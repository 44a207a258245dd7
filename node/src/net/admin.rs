//! The operators' door: a line protocol on the address that `admin_addr` (or `$NODE_ADMIN_ADDR`) names.
//! One call a connection, one answer that begins with `OK` or `ERR`. It runs on a thread of its own, so
//! that an answer is due within its time however busy the serving thread is: figures are read from
//! counters, and only what changes the dispatcher's state goes to the serving thread, as an input of the
//! core. It owns the listener, the reading of a call within its size and time, and the words of the
//! answers. It must never decide anything itself, nor wait on a caller longer than a call may take.

use crate::metrics::Metrics;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc, oneshot};

/// A call at the door.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Whether this process is ready to serve.
    Ready,
    /// The figures, a line each, then `END`.
    Stats,
    /// Nothing new to this runner, until it is put back.
    Disable(String),
    /// The runner takes work again.
    Enable(String),
    /// A runner's call-back that reached the other process of an upgrade, as JSON.
    CallBack(String),
}

/// Sizes and times of the door.
#[derive(Clone, Copy, Debug)]
pub struct AdminLimits {
    /// Longest call, its newline included, in bytes.
    pub max_line_bytes: usize,
    /// Longest call that hands a call-back on: a body of the protocol and as much again for its escapes.
    pub max_call_back_bytes: usize,
    /// Time for a whole call from the connection's start; then a half call is answered with `ERR`.
    pub read_timeout: Duration,
    /// Time for the serving thread to carry out a call.
    pub execute_timeout: Duration,
    /// Time for an answer to be written.
    pub write_timeout: Duration,
    /// Connections served at once; the others are answered `ERR busy` at once.
    pub max_connections: usize,
}

impl Default for AdminLimits {
    fn default() -> AdminLimits {
        // Every answer is due within 1 s of the call: a call gets 0.9 s to arrive whole, and a change
        // 0.8 s on the serving thread.
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

/// What the serving thread is asked to do.
#[derive(Debug)]
pub enum Operation {
    /// Take a runner out (`out`) or put it back.
    SetDisabled { runner: String, disabled: bool },
    /// Take a runner's call-back on a job of this process.
    CallBack(String),
}

/// A call for the serving thread, and where its result goes.
pub struct OperationRequest {
    pub operation: Operation,
    pub reply: oneshot::Sender<Result<(), String>>,
}

/// Reads a call.
///
/// # Errors
///
/// The words of an `ERR` answer that say what is wrong with it.
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
    let runner = |make: fn(String) -> Command| match id {
        Some(id) => Ok(make(id.to_owned())),
        None => Err(format!("{verb}: which runner? say {verb} ID")),
    };
    match (verb.to_ascii_uppercase().as_str(), id) {
        ("READY", None) => Ok(Command::Ready),
        ("STATS", None) => Ok(Command::Stats),
        ("READY" | "STATS", Some(_)) => Err(format!("{verb} takes no argument")),
        ("DISABLE", _) => runner(Command::Disable),
        ("ENABLE", _) => runner(Command::Enable),
        _ => Err(format!("unknown call {verb:?}: say READY, STATS, DISABLE ID or ENABLE ID")),
    }
}

/// Binds the door's address; before anything serves, so that a wrong address stops the start.
pub fn bind(at: SocketAddr) -> io::Result<std::net::TcpListener> {
    let listener = std::net::TcpListener::bind(at)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

/// Serves the door on a thread of its own, until the process ends.
pub fn start(
    listener: std::net::TcpListener,
    figures: Arc<Metrics>,
    asks: mpsc::UnboundedSender<OperationRequest>,
    limits: AdminLimits,
) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_io().enable_time().build()?;
    std::thread::Builder::new().name("door".to_owned()).spawn(move || {
        runtime.block_on(async move {
            let Ok(listener) = TcpListener::from_std(listener) else { return };
            let room = Arc::new(Semaphore::new(limits.max_connections));
            loop {
                let Ok((stream, _)) = listener.accept().await else {
                    // Out of descriptors, most likely: later there may be one.
                    tokio::time::sleep(Duration::from_millis(20)).await;
                    continue;
                };
                let (figures, asks, room) = (figures.clone(), asks.clone(), room.clone());
                tokio::spawn(async move {
                    let Ok(_seat) = room.try_acquire() else {
                        return answer(stream, "ERR busy: too many calls at once, call again\n", limits)
                            .await;
                    };
                    let reply = match read_call(&stream, limits).await {
                        Ok(call) => execute(call, &figures, &asks, limits).await,
                        Err(why) => format!("ERR {why}\n"),
                    };
                    answer(stream, &reply, limits).await;
                });
            }
        });
    })?;
    Ok(())
}

/// Reads one line, within the size and the time of a call. A caller that ends its side after a call
/// without a newline has said it whole.
async fn read_call(stream: &TcpStream, limits: AdminLimits) -> Result<Command, String> {
    let mut line = Vec::with_capacity(64);
    let deadline = tokio::time::Instant::now() + limits.read_timeout;
    loop {
        let mut chunk = [0u8; 4096];
        let read = tokio::time::timeout_at(deadline, async {
            stream.readable().await?;
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
            Ok(Err(e)) => return Err(format!("the call could not be read: {e}")),
            Ok(Ok(None)) => continue,
            Ok(Ok(Some(got))) => got,
        };
        let ended = got == 0;
        let chunk = &chunk[..got];
        let end = chunk.iter().position(|b| *b == b'\n');
        line.extend_from_slice(&chunk[..end.map_or(chunk.len(), |at| at + 1)]);
        let most =
            if line.starts_with(b"TOLD ") { limits.max_call_back_bytes } else { limits.max_line_bytes };
        if line.len() > most {
            return Err(format!("the call is longer than {most} bytes"));
        }
        if end.is_some() || ended {
            return parse(&line);
        }
    }
}

pub async fn execute(
    call: Command,
    figures: &Metrics,
    asks: &mpsc::UnboundedSender<OperationRequest>,
    limits: AdminLimits,
) -> String {
    let operation = match call {
        Command::Ready if figures.ready.load(Relaxed) => return "OK ready\n".to_owned(),
        Command::Ready => return "ERR not ready: starting or ending\n".to_owned(),
        Command::Stats => return format!("OK\n{}END\n", figures.render()),
        Command::Disable(runner) => Operation::SetDisabled { runner, disabled: true },
        Command::Enable(runner) => Operation::SetDisabled { runner, disabled: false },
        Command::CallBack(call_back) => Operation::CallBack(call_back),
    };
    let (reply, told) = oneshot::channel();
    if asks.send(OperationRequest { operation, reply }).is_err() {
        return "ERR the dispatcher is ending\n".to_owned();
    }
    match tokio::time::timeout(limits.execute_timeout, told).await {
        Ok(Ok(Ok(()))) => "OK\n".to_owned(),
        Ok(Ok(Err(why))) => format!("ERR {why}\n"),
        Ok(Err(_)) => "ERR the dispatcher is ending\n".to_owned(),
        Err(_) => {
            format!("ERR not carried out within {} ms: call again\n", limits.execute_timeout.as_millis())
        }
    }
}

/// Writes the answer and closes; a caller that does not read it in time is let go.
async fn answer(mut stream: TcpStream, reply: &str, limits: AdminLimits) {
    let written = tokio::time::timeout(limits.write_timeout, async {
        stream.write_all(reply.as_bytes()).await?;
        stream.shutdown().await
    });
    let _ = written.await;
    // What the caller sent beyond its call is dropped unread; a reset then is no loss.
    let _ = tokio::time::timeout(Duration::from_millis(50), stream.read(&mut [0u8; 64])).await;
}
