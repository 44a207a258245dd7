//! State machine of an accepted connection, from accept to close: which bytes may be parsed, whether it
//! counts as active, and when it may close without losing a request. Contains no I/O and no clock.

use crate::net::head_scanner::HeadScanner;
use crate::net::platform::chunk_scanner::ChunkScanner;

/// What is missing of a request's body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyRest {
    /// This many bytes.
    Sized(usize),
    /// The rest of a chunked body.
    Chunked(ChunkScanner),
    /// Everything up to the end of the stream.
    UntilClose,
}

impl BodyRest {
    /// Returns how many of the bytes belong to the body, and whether it ends with them.
    fn pass(&mut self, bytes: &[u8]) -> (usize, bool) {
        match self {
            BodyRest::Sized(missing) => {
                let passed = bytes.len().min(*missing);
                *missing -= passed;
                (passed, *missing == 0)
            }
            BodyRest::Chunked(scanner) => scanner.scan(bytes),
            BodyRest::UntilClose => (bytes.len(), false),
        }
    }
}

/// The stage of a connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Stage {
    /// Accepted; nothing of a request has been read.
    #[default]
    New,
    /// Part of a head has been read.
    ReadingHead,
    /// A whole head was passed to the parser, which has not reported the request yet.
    HeadRead,
    /// The request's body is not complete.
    ReadingBody(BodyRest),
    /// The request was read whole and has no response yet.
    AwaitingResponse,
    /// The response is being written.
    WritingResponse,
    /// Between two requests.
    Idle,
    /// Nothing is parsed as a request any more.
    Closed,
}

/// How a connection is asked to close.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CloseMode {
    /// After the current request, or one that may be on its way.
    Graceful,
    /// Now, to make room for others: a partial head is rejected, and a response that the client does not read
    /// is cut off. Only a request whose whole head was read is still answered.
    Immediate,
}

/// The error for a head longer than allowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeadTooLong;

/// The lifecycle of a connection.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lifecycle {
    stage: Stage,
    scanner: HeadScanner,
    close_requested: Option<CloseMode>,
    /// The current request is the connection's last.
    last_request: bool,
    /// Asked to close immediately while a response was being written.
    evicted_while_writing: bool,
}

impl Lifecycle {
    /// Returns the current stage.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Returns how it was asked to close, if it was.
    pub fn close_requested(&self) -> Option<CloseMode> {
        self.close_requested
    }

    /// Whether something is being read, awaited by a client, or written.
    pub fn is_active(&self) -> bool {
        !matches!(self.stage, Stage::Idle | Stage::Closed)
    }

    /// Returns how many of the buffered bytes may be parsed now. Never more than one message: what follows a
    /// request is held back until its response has been written.
    ///
    /// # Errors
    ///
    /// The head is longer than `max_head_bytes`.
    pub fn pass_to_parser(&mut self, buffered: &[u8], max_head_bytes: usize) -> Result<usize, HeadTooLong> {
        match &mut self.stage {
            Stage::New | Stage::ReadingHead | Stage::Idle => {
                let (bytes, done) = self.scanner.scan(buffered);
                if self.scanner.bytes() > max_head_bytes {
                    return Err(HeadTooLong);
                }
                if done {
                    self.stage = Stage::HeadRead;
                } else if self.scanner.begun() {
                    self.stage = Stage::ReadingHead;
                }
                Ok(bytes)
            }
            Stage::ReadingBody(rest) => {
                let (bytes, complete) = rest.pass(buffered);
                if complete {
                    self.stage = Stage::AwaitingResponse;
                }
                Ok(bytes)
            }
            Stage::HeadRead | Stage::AwaitingResponse | Stage::WritingResponse | Stage::Closed => Ok(0),
        }
    }

    /// Notes that the parsed head began a request with this body. Returns false for a request that must not be
    /// served because it was parsed after the connection's last response.
    pub fn request_started(&mut self, body: BodyRest) -> bool {
        if self.stage != Stage::HeadRead {
            return false;
        }
        let has_body = body != BodyRest::Sized(0);
        self.stage = if has_body { Stage::ReadingBody(body) } else { Stage::AwaitingResponse };
        // A chunked body that the parser understands differently must not hide another request.
        self.last_request = !matches!(body, BodyRest::Sized(_));
        true
    }

    /// Returns the bytes of the current head that were passed to the parser so far.
    pub fn head_bytes(&self) -> usize {
        self.scanner.bytes()
    }

    /// Returns the header lines of the current head that were passed to the parser so far.
    pub fn header_lines(&self) -> usize {
        self.scanner.lines().saturating_sub(1)
    }

    /// Notes that input behind the current request was discarded, so that no later request can be read.
    pub fn discarded_input(&mut self) {
        self.last_request = true;
    }

    /// Notes that the response is about to be written. Returns whether the connection closes after it.
    pub fn response_started(&mut self, close: bool) -> bool {
        // The unread rest of a body would be taken for the next request.
        self.last_request |=
            close || self.close_requested.is_some() || matches!(self.stage, Stage::ReadingBody(_));
        if self.stage != Stage::Closed {
            self.stage = Stage::WritingResponse;
        }
        self.last_request
    }

    /// Notes that everything to be written has been.
    pub fn response_flushed(&mut self) {
        if self.stage == Stage::WritingResponse {
            self.scanner = HeadScanner::default();
            self.stage = if self.last_request { Stage::Closed } else { Stage::Idle };
        }
    }

    /// Asks the connection to close.
    pub fn request_close(&mut self, mode: CloseMode) {
        self.close_requested = self.close_requested.max(Some(mode));
        self.evicted_while_writing |= mode == CloseMode::Immediate && self.stage == Stage::WritingResponse;
    }

    /// Whether to abort the response, which its client does not read while others need the connection's
    /// place.
    pub fn write_stalled(&self) -> bool {
        self.evicted_while_writing && self.stage == Stage::WritingResponse
    }

    /// Whether it may close now, if there is nothing more to read.
    pub fn may_close(&self) -> bool {
        match self.stage {
            Stage::Idle => self.close_requested.is_some(),
            Stage::New => self.close_requested == Some(CloseMode::Immediate),
            _ => false,
        }
    }

    /// Stops parsing: nothing is read as a request from now on.
    pub fn close(&mut self) {
        self.stage = Stage::Closed;
    }
}
