//! The end of a connection whose last response has been written.

use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Largest read, in bytes.
const CHUNK_BYTES: usize = 8 * 1024;

/// Shuts down the writing side, and reads and drops for a while what the peer still sends: closing a socket
/// over unread bytes resets the connection, which may destroy the last response.
pub(super) async fn lingering_close(mut stream: TcpStream, linger: Duration) {
    let closing = async {
        if stream.shutdown().await.is_ok() {
            while stream.readable().await.is_ok() && discard(&mut stream).await {}
        }
    };
    let _ = tokio::time::timeout(linger, closing).await;
}

/// Reads once and drops what was read; returns whether there may be more. The buffer lives only during the read.
async fn discard(stream: &mut TcpStream) -> bool {
    let mut scratch = [0; CHUNK_BYTES];
    match stream.try_read(&mut scratch) {
        Ok(count) => count > 0,
        Err(e) => e.kind() == std::io::ErrorKind::WouldBlock,
    }
}
