//! The frames of a Faktory connection: reads the peer's lines and writes the replies, within their limits of
//! size, time and memory.

use crate::limits::Limits;
use crate::memory::{MemoryBudget, ReceiveBuffer};
use bytes::Bytes;
use std::io;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// Bytes that are read at once when they are dropped.
const DISCARD_BYTES: usize = 4 * 1024;

/// Why a session ends: the connection is closed, with or without an error reply first.
pub enum Disconnect {
    Closed,
    WithError(String),
}

impl From<io::Error> for Disconnect {
    fn from(_: io::Error) -> Disconnect {
        Disconnect::Closed
    }
}

impl Disconnect {
    fn with_error(text: impl Into<String>) -> Disconnect {
        Disconnect::WithError(text.into())
    }

    fn out_of_memory(memory_timeout: Duration) -> Disconnect {
        Disconnect::with_error(format!(
            "REFUSED no memory for the frame, retry_after={:.3}",
            memory_timeout.as_secs_f64()
        ))
    }
}

/// Reads the lines and writes the replies of a connection.
pub struct Transport<S> {
    stream: S,
    input: ReceiveBuffer,
    /// Input that arrived behind a command was dropped for want of memory, so that no later command can be read.
    input_lost: bool,
    max_frame_bytes: usize,
    /// Time for a frame to arrive, from its first byte on.
    frame_timeout: Duration,
    /// Time to wait for memory.
    memory_timeout: Duration,
    /// Time for the peer to take a reply.
    write_timeout: Duration,
}

impl<S: AsyncRead + AsyncWrite + Unpin> Transport<S> {
    /// Creates the transport of an accepted connection.
    pub fn new(stream: S, limits: &Limits, memory: &MemoryBudget) -> Transport<S> {
        Transport {
            stream,
            input: ReceiveBuffer::new(memory),
            input_lost: false,
            max_frame_bytes: limits.max_frame_bytes,
            frame_timeout: limits.body_timeout,
            memory_timeout: limits.memory_timeout,
            write_timeout: limits.write_timeout,
        }
    }

    fn too_long(&self) -> Disconnect {
        Disconnect::with_error(format!("MALFORMED a frame is longer than {} bytes", self.max_frame_bytes))
    }

    /// The largest capacity of the input: a frame, its line ending and one byte by which it is too long.
    fn max_input_bytes(&self) -> usize {
        self.max_frame_bytes + 2
    }

    /// Reads once into the room that has been made. Returns false if the input is to be given up.
    async fn read_input(&mut self) -> Result<bool, Disconnect> {
        let evicted = self.input.eviction();
        tokio::select! {
            biased;
            read = self.input.read_from(&mut self.stream) => match read? {
                0 => Err(Disconnect::Closed),
                _ => Ok(true),
            },
            () = evicted => Ok(false),
        }
    }

    /// Reads more of a frame, for which memory is waited for up to `memory_timeout`. The end of the stream, more
    /// bytes than a frame may have, or a lack of memory ends the session.
    async fn fill(&mut self, memory_timeout: Duration) -> Result<(), Disconnect> {
        if self.input.len() > self.max_frame_bytes {
            return Err(self.too_long());
        }
        let has_room = self.input.make_room(self.max_input_bytes(), memory_timeout).await.is_ok();
        match has_room && self.read_input().await? {
            true => Ok(()),
            false => Err(Disconnect::out_of_memory(self.memory_timeout)),
        }
    }

    /// Reads more while a command waits for its reply, to notice the peer's close. Input for which there is no
    /// memory is dropped: the command keeps its reply, after which the session ends.
    pub async fn fill_behind_command(&mut self) -> Result<(), Disconnect> {
        if !self.input_lost && self.input.len() > self.max_frame_bytes {
            return Err(self.too_long());
        }
        if self.input_lost || self.input.try_make_room_low_priority(self.max_input_bytes()).is_err() {
            self.input_lost = true;
            self.input.clear();
            let mut scratch = [0; DISCARD_BYTES];
            return match self.stream.read(&mut scratch).await? {
                0 => Err(Disconnect::Closed),
                _ => Ok(()),
            };
        }
        self.input_lost = !self.read_input().await?;
        Ok(())
    }

    /// Returns the next frame. A peer may pause between two frames, but not within one.
    pub async fn read_line(&mut self) -> Result<Bytes, Disconnect> {
        if self.input_lost {
            return Err(Disconnect::with_error("REFUSED no memory for the input behind the last command"));
        }
        // While memory is waited for, the peer's close is not noticed. A peer that did not wait for its last reply
        // gets none by waiting: it may have left, and a worker that has left must not count as present.
        let memory_timeout = if self.input.is_empty() { self.memory_timeout } else { Duration::ZERO };
        if self.input.is_empty() {
            self.fill(memory_timeout).await?;
        }
        let too_slow = Disconnect::with_error("MALFORMED a frame is too slow");
        let frame_timeout = self.frame_timeout;
        let reading = self.read_rest_of_line(memory_timeout);
        tokio::time::timeout(frame_timeout, reading).await.unwrap_or(Err(too_slow))
    }

    async fn read_rest_of_line(&mut self, memory_timeout: Duration) -> Result<Bytes, Disconnect> {
        let mut searched = 0;
        loop {
            if let Some(newline) = self.input.as_slice()[searched..].iter().position(|&b| b == b'\n') {
                if searched + newline > self.max_frame_bytes {
                    return Err(self.too_long());
                }
                return Ok(self.input.split_to(searched + newline + 1));
            }
            searched = self.input.len();
            self.fill(memory_timeout).await?;
        }
    }

    /// Shuts down the writing side and reads on until the peer closes.
    pub async fn linger(&mut self) -> io::Result<()> {
        self.input.clear();
        self.stream.shutdown().await?;
        let mut scratch = [0; DISCARD_BYTES];
        while self.stream.read(&mut scratch).await? > 0 {}
        Ok(())
    }

    /// Writes one part after the other, each as a whole. A peer that does not take them in time is closed.
    async fn write_all(&mut self, parts: &[&[u8]]) -> io::Result<()> {
        let writing = async {
            for part in parts {
                self.stream.write_all(part).await?;
            }
            self.stream.flush().await
        };
        let too_slow = Err(io::ErrorKind::TimedOut.into());
        tokio::time::timeout(self.write_timeout, writing).await.unwrap_or(too_slow)
    }

    /// Writes a text, for example a reply with its line ending.
    pub async fn send(&mut self, text: &str) -> io::Result<()> {
        self.write_all(&[text.as_bytes()]).await
    }

    /// Writes a bulk string. A long one is not copied.
    pub async fn send_bulk(&mut self, bytes: &[u8]) -> io::Result<()> {
        let length = format!("${}\r\n", bytes.len());
        if bytes.len() > ReceiveBuffer::PREPAID_BYTES {
            return self.write_all(&[length.as_bytes(), bytes, b"\r\n"]).await;
        }
        self.write_all(&[&[length.as_bytes(), bytes, b"\r\n"].concat()]).await
    }
}
