//! A client's connection from its acceptance to its end: which bytes may be read as what, when it counts
//! as under way, and when it may be let go without losing a request. It must never read, write, wait or
//! ask what time it is.

/// Where a connection stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Stage {
    /// Accepted; nothing of a request has been read.
    #[default]
    New,
    /// A head is begun.
    ReadingHead,
    /// A whole head was handed on; what request it is has not been said yet.
    HeadRead,
    /// So many bytes of the request's body are to come; `None` where its own framing ends it.
    ReadingBody(Option<usize>),
    /// The request was read whole and has no answer yet.
    AwaitingResponse,
    /// The answer is being written.
    WritingResponse,
    /// Between two requests.
    Idle,
    /// Nothing is read as a request any more.
    Closed,
}

/// How a connection is asked to leave.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CloseMode {
    /// After what is under way, or may be.
    Graceful,
    /// There is no room: whoever has nothing under way goes now.
    Immediate,
}

/// A head longer than allowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeadTooLong;

/// How far into a head the bytes read so far go.
#[derive(Clone, Copy, Debug, Default)]
struct Scan {
    bytes: usize,
    /// Bytes of the line that is not ended yet.
    line: usize,
    /// A line that is not empty has been read: an empty one ends the head.
    begun: bool,
}

impl Scan {
    /// How many of the bytes belong to the head, and whether it ends with them.
    fn take(&mut self, read: &[u8]) -> (usize, bool) {
        for (place, &byte) in read.iter().enumerate() {
            self.bytes += 1;
            match byte {
                b'\n' if self.begun && self.line == 0 => return (place + 1, true),
                b'\n' => self.line = 0,
                b'\r' => {}
                _ => (self.begun, self.line) = (true, self.line + 1),
            }
        }
        (read.len(), false)
    }
}

/// A connection's life.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lifecycle {
    stage: Stage,
    scan: Scan,
    leave: Option<CloseMode>,
    /// The request under way is the connection's last.
    last: bool,
    /// Asked to go now while its client took nothing of an answer.
    stuck: bool,
}

impl Lifecycle {
    /// Where it stands.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// How it was asked to leave, if it was.
    pub fn close_requested(&self) -> Option<CloseMode> {
        self.leave
    }

    /// Something is being read, awaited by a client, or written.
    pub fn is_active(&self) -> bool {
        !matches!(self.stage, Stage::Idle | Stage::Closed)
    }

    /// How many of these bytes may be parsed now. Never more than one message: what is behind a request
    /// stays where it is until that has its answer.
    ///
    /// # Errors
    ///
    /// The head is longer than `most`.
    pub fn pass_to_parser(&mut self, held: &[u8], most: usize) -> Result<usize, HeadTooLong> {
        match &mut self.stage {
            Stage::New | Stage::ReadingHead | Stage::Idle => {
                let (bytes, done) = self.scan.take(held);
                if self.scan.bytes > most {
                    return Err(HeadTooLong);
                }
                if done {
                    self.stage = Stage::HeadRead;
                } else if self.scan.begun {
                    self.stage = Stage::ReadingHead;
                }
                Ok(bytes)
            }
            Stage::ReadingBody(None) => Ok(held.len()),
            Stage::ReadingBody(Some(rest)) => {
                let bytes = held.len().min(*rest);
                *rest -= bytes;
                if *rest == 0 {
                    self.stage = Stage::AwaitingResponse;
                }
                Ok(bytes)
            }
            Stage::HeadRead | Stage::AwaitingResponse | Stage::WritingResponse | Stage::Closed => Ok(0),
        }
    }

    /// The head handed on was a request's, with so long a body. False for one that is not this connection's
    /// to serve: it was read past the last answer's end.
    pub fn request_started(&mut self, body: Option<usize>) -> bool {
        if self.stage != Stage::HeadRead {
            return false;
        }
        self.stage = if body == Some(0) { Stage::AwaitingResponse } else { Stage::ReadingBody(body) };
        // Where a body ends by its own framing, what is behind it may have been read with it.
        self.last = body.is_none();
        true
    }

    /// More came behind the request than is kept: nothing after it can be read.
    pub fn discarded_input(&mut self) {
        self.last = true;
    }

    /// The request's answer is about to be written, and ends the connection or not; whether it does.
    pub fn response_started(&mut self, close: bool) -> bool {
        // A body that is not read whole stands in the way of what follows.
        self.last |= close || self.leave.is_some() || matches!(self.stage, Stage::ReadingBody(_));
        if self.stage != Stage::Closed {
            self.stage = Stage::WritingResponse;
        }
        self.last
    }

    /// Everything to be written has been.
    pub fn response_flushed(&mut self) {
        if self.stage == Stage::WritingResponse {
            self.scan = Scan::default();
            self.stage = if self.last { Stage::Closed } else { Stage::Idle };
        }
    }

    /// It is to leave.
    pub fn request_close(&mut self, how: CloseMode) {
        self.leave = self.leave.max(Some(how));
        self.stuck |= how == CloseMode::Immediate && self.stage == Stage::WritingResponse;
    }

    /// Whether its answer is not waited for any more.
    pub fn write_stalled(&self) -> bool {
        self.stuck && self.stage == Stage::WritingResponse
    }

    /// Whether it may end now, if there is nothing more to read.
    pub fn may_close(&self) -> bool {
        match self.stage {
            Stage::Idle => self.leave.is_some(),
            Stage::New => self.leave == Some(CloseMode::Immediate),
            _ => false,
        }
    }

    /// Nothing is read as a request from now on.
    pub fn close(&mut self) {
        self.stage = Stage::Closed;
    }
}
