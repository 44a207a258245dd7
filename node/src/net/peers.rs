//! Forwards call-backs between the processes of an upgrade. While one process replaces another on a shared
//! socket, a runner's call-back may reach either: the one that does not know the job forwards it to the admin
//! socket of the other. The registry of admin sockets is one empty file a process under `$TMPDIR`, which both
//! share, with the address in its name. A forwarded call-back is never forwarded again.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Semaphore;

/// The prefix of the names of the registry's files, which both processes of an upgrade must read alike. The
/// admin socket was called the operators' door when it was chosen.
const FILE_PREFIX: &str = "sablerun-door-";

/// The result of forwarding a call-back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Forwarded {
    /// A process that has the job accepted it.
    Accepted,
    /// There is no other process, or none that has the job.
    NoOwner,
    /// Another process is there but did not answer in time: it may have the job.
    Unreachable,
}

/// The registry of admin sockets, with this process's own entry.
pub struct PeerRegistry {
    folder: PathBuf,
    own_address: SocketAddr,
    /// Limits the call-backs forwarded at once: an admin socket serves a limited number of connections.
    permits: Semaphore,
    /// Timeout of one call at an admin socket.
    call_timeout: Duration,
    /// Timeout of all tries to forward a call-back.
    total_timeout: Duration,
}

impl PeerRegistry {
    /// Registers this process's admin socket.
    ///
    /// # Errors
    ///
    /// The folder can't be written.
    pub fn register(
        folder: PathBuf,
        own_address: SocketAddr,
        call_timeout: Duration,
    ) -> io::Result<PeerRegistry> {
        std::fs::write(folder.join(format!("{FILE_PREFIX}{own_address}")), "")?;
        Ok(PeerRegistry {
            folder,
            own_address,
            permits: Semaphore::new(8),
            call_timeout,
            total_timeout: call_timeout * 3,
        })
    }

    /// Returns the addresses of the other registered admin sockets.
    fn others(&self) -> Vec<SocketAddr> {
        let Ok(files) = std::fs::read_dir(&self.folder) else { return Vec::new() };
        let names = files.filter_map(|file| file.ok()?.file_name().into_string().ok());
        let addresses = names.filter_map(|name| name.strip_prefix(FILE_PREFIX)?.parse().ok());
        addresses.filter(|address| *address != self.own_address).collect()
    }

    /// Forwards a call-back to the other process that has its job.
    pub async fn forward(&self, call_back: &[u8]) -> Forwarded {
        let others = self.others();
        if others.is_empty() {
            return Forwarded::NoOwner;
        }
        let Ok(_permit) = self.permits.acquire().await else { return Forwarded::Unreachable };
        // The admin socket takes one line. In JSON a line break is only white space, never within a string.
        let line = String::from_utf8_lossy(call_back).replace(['\r', '\n'], " ");
        let tries = async {
            let mut pending = others;
            loop {
                let mut unanswered = Vec::new();
                for address in pending {
                    match tokio::time::timeout(self.call_timeout, send_call_back(address, &line)).await {
                        Ok(Ok(answer)) if answer.starts_with("OK") => return Forwarded::Accepted,
                        Ok(Ok(answer)) if !answer.starts_with("ERR busy") && !answer.is_empty() => {}
                        // Nothing listens there: a process that was killed could not remove its entry.
                        Ok(Err(e)) if e.kind() == io::ErrorKind::ConnectionRefused => self.remove(address),
                        _ => unanswered.push(address),
                    }
                }
                if unanswered.is_empty() {
                    return Forwarded::NoOwner;
                }
                pending = unanswered;
                tokio::time::sleep(self.call_timeout / 10).await;
            }
        };
        tokio::time::timeout(self.total_timeout, tries).await.unwrap_or(Forwarded::Unreachable)
    }

    /// Removes this process's entry from the registry.
    pub fn unregister(&self) {
        self.remove(self.own_address);
    }

    fn remove(&self, address: SocketAddr) {
        let _ = std::fs::remove_file(self.folder.join(format!("{FILE_PREFIX}{address}")));
    }
}

impl Drop for PeerRegistry {
    fn drop(&mut self) {
        self.unregister();
    }
}

/// Sends a call-back to an admin socket and returns the whole answer.
async fn send_call_back(address: SocketAddr, call_back: &str) -> io::Result<String> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(format!("TOLD {call_back}\n").as_bytes()).await?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await?;
    Ok(answer)
}
