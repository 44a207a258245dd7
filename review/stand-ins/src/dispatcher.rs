//! A real dispatcher as a process of its own, started with the command of the deploy file.

use crate::http::read_message;
use crate::record::Record;
use crate::settings::Configuration;
use std::fs::{self, File};
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// How long a start may take.
const START_TIMEOUT: Duration = Duration::from_secs(15);

/// A dispatcher; ended when dropped.
pub struct Dispatcher {
    pub configuration: Configuration,
    /// Where its files are: the configuration, the operator's file, its log and `$TMPDIR`.
    folder: PathBuf,
    child: Option<Child>,
    starts: u64,
    record: Arc<Record>,
}

/// Returns an address below the range from which the system takes ports for connections, so that it stays
/// free while its dispatcher is down.
pub fn free_address(spread: u16) -> io::Result<SocketAddr> {
    let first = u32::from(std::process::id() as u16).wrapping_mul(31) + u32::from(spread) * 397;
    for attempt in 0..200 {
        let port = 18_000 + ((first + attempt * 7) % 10_000) as u16;
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return listener.local_addr();
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}

impl Dispatcher {
    /// Prepares a dispatcher with this operator's file, or none.
    pub fn new(
        folder: &Path,
        configuration: Configuration,
        operator: &str,
        record: &Arc<Record>,
    ) -> io::Result<Dispatcher> {
        let folder = folder.join(&configuration.name);
        fs::create_dir_all(folder.join("tmp"))?;
        if !operator.is_empty() {
            let operator = operator.replace("@FOLDER@", &folder.display().to_string());
            fs::write(folder.join("operator.toml"), operator)?;
        }
        Ok(Dispatcher { configuration, folder, child: None, starts: 0, record: record.clone() })
    }

    /// Writes `$NODE_CONFIG` whole, by a rename.
    pub fn write_configuration(&self) -> io::Result<()> {
        let draft = self.folder.join("config.draft");
        fs::write(&draft, self.configuration.text())?;
        fs::rename(draft, self.folder.join("config.json"))
    }

    /// Starts the process with `run` of the deploy file, and waits until the front would admit it.
    pub fn start(&mut self) -> io::Result<()> {
        self.starts += 1;
        self.configuration.seed = seed() * 10_000 + self.configuration.number as u64 * 100 + self.starts;
        self.write_configuration()?;
        let run = std::env::var("RUN").map_err(|_| io::Error::other("RUN is not set"))?;
        let Configuration { name, listen, discovery, .. } = self.configuration.clone();
        let log = File::options().create(true).append(true).open(self.folder.join("log"))?;
        let operator = self.folder.join("operator.toml");
        let command = match operator.is_file() {
            true => format!("{run} run --config {}", operator.display()),
            false => run,
        };
        let child = Command::new("/bin/sh")
            .args(["-c", &command])
            .env("NODE_NAME", &name)
            .env("NODE_LISTEN", listen.to_string())
            .env("NODE_DISCOVERY", discovery.to_string())
            .env("NODE_CONFIG", self.folder.join("config.json"))
            .env("TMPDIR", self.folder.join("tmp"))
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.note_process(child.id())?;
        self.child = Some(child);
        let until = Instant::now() + START_TIMEOUT;
        while !is_up(listen) {
            if Instant::now() > until || self.ended()?.is_some() {
                return Err(io::Error::other(format!("{name} does not start: see its log")));
            }
            thread::sleep(Duration::from_millis(10));
        }
        self.record.line(format!("{name} is ready on {listen}"));
        Ok(())
    }

    /// Notes the process in the run's file of processes, from which the script ends what is left.
    fn note_process(&self, process: u32) -> io::Result<()> {
        let file = self.folder.with_file_name("processes");
        writeln!(File::options().create(true).append(true).open(file)?, "{process}")
    }

    /// Sends a signal, such as `TERM`.
    pub fn signal(&self, signal: &str) -> io::Result<()> {
        let Some(child) = &self.child else { return Ok(()) };
        self.record.line(format!("SIG{signal} to {}", self.configuration.name));
        let command = format!("kill -{signal} {}", child.id());
        let sent = Command::new("/bin/sh").args(["-c", &command]).status()?;
        if sent.success() { Ok(()) } else { Err(io::Error::other(format!("{command}: {sent}"))) }
    }

    /// Kills the process outright.
    pub fn kill(&mut self) -> io::Result<()> {
        if let Some(mut child) = self.child.take() {
            self.record.line(format!("SIGKILL to {}", self.configuration.name));
            child.kill()?;
            child.wait()?;
        }
        Ok(())
    }

    /// Returns the memory that the process has in use, in kB.
    pub fn resident_kb(&self) -> io::Result<u64> {
        let Some(child) = &self.child else { return Ok(0) };
        let status = fs::read_to_string(format!("/proc/{}/status", child.id()))?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let number = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
        number.ok_or_else(|| io::Error::other("the dispatcher's memory can't be read"))
    }

    /// Returns the process's exit status, once it has ended by itself.
    pub fn ended(&mut self) -> io::Result<Option<ExitStatus>> {
        self.child.as_mut().map_or(Ok(None), Child::try_wait)
    }
}

impl Drop for Dispatcher {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Returns the seed of the run, from which the dispatchers' seeds are made.
fn seed() -> u64 {
    std::env::var("SEED").ok().and_then(|seed| seed.parse().ok()).unwrap_or(1)
}

/// Whether a dispatcher answers `GET /up` with 200.
pub fn is_up(address: SocketAddr) -> bool {
    let ask = || -> io::Result<u16> {
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(500))?;
        stream.set_read_timeout(Some(Duration::from_millis(500)))?;
        write!(stream, "GET /up HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n")?;
        let answer = read_message(&mut BufReader::new(stream))?;
        Ok(answer.map_or(0, |answer| answer.status()))
    };
    ask().is_ok_and(|status| status == 200)
}
