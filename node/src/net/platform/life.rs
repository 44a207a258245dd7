//! A client's connection from its acceptance to its end: which bytes may be read as what, when it counts
//! as under way, and when it may be let go without losing a request. It must never read, write, wait or
//! ask what time it is.

/// Where a connection stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Stage {
    /// Accepted; nothing of a request has been read.
    #[default]
    Fresh,
    /// A head is begun.
    Head,
    /// A whole head was handed on; what request it is has not been said yet.
    Given,
    /// So many bytes of the request's body are to come; `None` where its own framing ends it.
    Body(Option<usize>),
    /// The request was read whole and has no answer yet.
    Busy,
    /// The answer is being written.
    Flushing,
    /// Between two requests.
    Resting,
    /// Nothing is read as a request any more.
    Shut,
}

/// How a connection is asked to leave.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Leave {
    /// After what is under way, or may be.
    Soon,
    /// There is no room: whoever has nothing under way goes now.
    Now,
}

/// A head longer than allowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooLong;

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
pub struct Life {
    stage: Stage,
    scan: Scan,
    leave: Option<Leave>,
    /// The request under way is the connection's last.
    last: bool,
    /// Asked to go now while its client took nothing of an answer.
    stuck: bool,
}

impl Life {
    /// Where it stands.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// How it was asked to leave, if it was.
    pub fn leave(&self) -> Option<Leave> {
        self.leave
    }

    /// Something is being read, awaited by a client, or written.
    pub fn under_way(&self) -> bool {
        !matches!(self.stage, Stage::Resting | Stage::Shut)
    }

    /// How many of these bytes may be parsed now. Never more than one message: what is behind a request
    /// stays where it is until that has its answer.
    ///
    /// # Errors
    ///
    /// The head is longer than `most`.
    pub fn pass(&mut self, held: &[u8], most: usize) -> Result<usize, TooLong> {
        match &mut self.stage {
            Stage::Fresh | Stage::Head | Stage::Resting => {
                let (bytes, done) = self.scan.take(held);
                if self.scan.bytes > most {
                    return Err(TooLong);
                }
                if done {
                    self.stage = Stage::Given;
                } else if self.scan.begun {
                    self.stage = Stage::Head;
                }
                Ok(bytes)
            }
            Stage::Body(None) => Ok(held.len()),
            Stage::Body(Some(rest)) => {
                let bytes = held.len().min(*rest);
                *rest -= bytes;
                if *rest == 0 {
                    self.stage = Stage::Busy;
                }
                Ok(bytes)
            }
            Stage::Given | Stage::Busy | Stage::Flushing | Stage::Shut => Ok(0),
        }
    }

    /// The head handed on was a request's, with so long a body. False for one that is not this connection's
    /// to serve: it was read past the last answer's end.
    pub fn begun(&mut self, body: Option<usize>) -> bool {
        if self.stage != Stage::Given {
            return false;
        }
        self.stage = if body == Some(0) { Stage::Busy } else { Stage::Body(body) };
        // Where a body ends by its own framing, what is behind it may have been read with it.
        self.last = body.is_none();
        true
    }

    /// More came behind the request than is kept: nothing after it can be read.
    pub fn spilt(&mut self) {
        self.last = true;
    }

    /// The request's answer is about to be written, and ends the connection or not; whether it does.
    pub fn answered(&mut self, close: bool) -> bool {
        // A body that is not read whole stands in the way of what follows.
        self.last |= close || self.leave.is_some() || matches!(self.stage, Stage::Body(_));
        if self.stage != Stage::Shut {
            self.stage = Stage::Flushing;
        }
        self.last
    }

    /// Everything to be written has been.
    pub fn flushed(&mut self) {
        if self.stage == Stage::Flushing {
            self.scan = Scan::default();
            self.stage = if self.last { Stage::Shut } else { Stage::Resting };
        }
    }

    /// It is to leave.
    pub fn ask(&mut self, how: Leave) {
        self.leave = self.leave.max(Some(how));
        self.stuck |= how == Leave::Now && self.stage == Stage::Flushing;
    }

    /// Whether its answer is not waited for any more.
    pub fn stuck(&self) -> bool {
        self.stuck && self.stage == Stage::Flushing
    }

    /// Whether it may end now, if there is nothing more to read.
    pub fn may_end(&self) -> bool {
        match self.stage {
            Stage::Resting => self.leave.is_some(),
            Stage::Fresh => self.leave == Some(Leave::Now),
            _ => false,
        }
    }

    /// Nothing is read as a request from now on.
    pub fn shut(&mut self) {
        self.stage = Stage::Shut;
    }
}
