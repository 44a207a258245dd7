//! The other process of an upgrade. While one process replaces another on a shared socket, a runner's
//! call-back may reach either: whichever does not know the job hands the call-back on to the other's door.
//! It owns the register of doors, one empty file a process under `$TMPDIR` (which both share) with the
//! door's address in its name, and the call at a door. It must never decide what a call-back means, nor
//! hand on what was handed on to it.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Semaphore;

/// What the names of the register's files begin with.
const PREFIX: &str = "sablerun-door-";

/// What became of a call-back that was handed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Forwarded {
    /// A process that has the job took it.
    Accepted,
    /// There is no other process, or none that has the job.
    NoOwner,
    /// Another process is there but did not answer in time: it may have the job.
    Unreachable,
}

/// The register, with this process's own entry.
pub struct PeerRegistry {
    folder: PathBuf,
    own: SocketAddr,
    /// Call-backs being handed on at once: a door serves only so many callers.
    seats: Semaphore,
    /// Time for a call at a door, and for all tries.
    call: Duration,
    most: Duration,
}

impl PeerRegistry {
    /// Enters this process's door.
    ///
    /// # Errors
    ///
    /// The folder can't be written.
    pub fn register(folder: PathBuf, own: SocketAddr, call: Duration) -> io::Result<PeerRegistry> {
        std::fs::write(folder.join(format!("{PREFIX}{own}")), "")?;
        Ok(PeerRegistry { folder, own, seats: Semaphore::new(8), call, most: call * 3 })
    }

    /// The other doors, as the register names them.
    fn others(&self) -> Vec<SocketAddr> {
        let Ok(files) = std::fs::read_dir(&self.folder) else { return Vec::new() };
        let names = files.filter_map(|file| file.ok()?.file_name().into_string().ok());
        let doors = names.filter_map(|name| name.strip_prefix(PREFIX)?.parse().ok());
        doors.filter(|door| *door != self.own).collect()
    }

    /// Hands a call-back on to whichever other process has its job.
    pub async fn forward(&self, call_back: &str) -> Forwarded {
        let others = self.others();
        if others.is_empty() {
            return Forwarded::NoOwner;
        }
        let Ok(_seat) = self.seats.acquire().await else { return Forwarded::Unreachable };
        let tries = async {
            let mut waiting = others;
            loop {
                let mut left = Vec::new();
                for door in waiting {
                    match tokio::time::timeout(self.call, told(door, call_back)).await {
                        Ok(Ok(answer)) if answer.starts_with("OK") => return Forwarded::Accepted,
                        Ok(Ok(answer)) if !answer.starts_with("ERR busy") && !answer.is_empty() => {}
                        // Nobody listens there: a process that was killed could not take itself off.
                        Ok(Err(e)) if e.kind() == io::ErrorKind::ConnectionRefused => self.strike(door),
                        _ => left.push(door),
                    }
                }
                if left.is_empty() {
                    return Forwarded::NoOwner;
                }
                waiting = left;
                tokio::time::sleep(self.call / 10).await;
            }
        };
        tokio::time::timeout(self.most, tries).await.unwrap_or(Forwarded::Unreachable)
    }

    /// Takes this process's door off the register.
    pub fn unregister(&self) {
        self.strike(self.own);
    }

    fn strike(&self, door: SocketAddr) {
        let _ = std::fs::remove_file(self.folder.join(format!("{PREFIX}{door}")));
    }
}

impl Drop for PeerRegistry {
    fn drop(&mut self) {
        self.unregister();
    }
}

/// One call at a door: its whole answer.
async fn told(door: SocketAddr, call_back: &str) -> io::Result<String> {
    let mut stream = TcpStream::connect(door).await?;
    stream.write_all(format!("TOLD {call_back}\n").as_bytes()).await?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await?;
    Ok(answer)
}
