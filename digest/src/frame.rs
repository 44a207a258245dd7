//! A digest's frames and their bytes: a length of two bytes, then the frame as postcard writes it, small numbers
//! in one byte each. It owns that form; it must never decide what is told.

use serde::{Deserialize, Serialize};

/// The longest frame, in bytes: some 4,000 runners with names of ten bytes.
pub const MAX_FRAME_BYTES: usize = 65_535;

/// What a runner said of itself, by the names of [`Frame::fields`]; none when it did not answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Load {
    /// Its name.
    pub runner: String,
    /// Whether it answered that it takes work.
    pub ok: bool,
    /// Its figures, in the order of the fields; 0 where it told none.
    pub values: Vec<f64>,
}

/// One message of a digest.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame {
    /// When the publisher began, in microseconds of Unix time: a later one replaces an earlier one.
    pub epoch: u64,
    /// The version that a follower has with it: one more than the frame before, or any if `whole`.
    pub version: u64,
    /// Whether it tells everything.
    pub whole: bool,
    /// The names of the figures; told when whole.
    pub fields: Vec<String>,
    /// Names of runners not named before: numbered on from those that were, or from 0 if whole.
    pub names: Vec<String>,
    /// The runners that it tells of: for each the distance of its number from the one before (from -1), then
    /// which figures follow by bits (bit 0: whether it takes work, told by 0 or 1), then their codes.
    pub body: Vec<u16>,
}

/// Bytes that are no frame.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FrameError(pub &'static str);

impl Frame {
    /// Its bytes, with their length before them.
    ///
    /// # Errors
    ///
    /// It is longer than [`MAX_FRAME_BYTES`].
    pub fn to_bytes(&self) -> Result<Vec<u8>, FrameError> {
        let bytes = postcard::to_stdvec(self).map_err(|_| FrameError("can't be worded"))?;
        let length = u16::try_from(bytes.len()).map_err(|_| FrameError("longer than a frame may be"))?;
        Ok([&length.to_le_bytes()[..], &bytes].concat())
    }
}

/// Frames out of a stream of bytes that comes in any pieces.
#[derive(Debug, Default)]
pub struct FrameDecoder(Vec<u8>);

impl FrameDecoder {
    /// More bytes have come.
    pub fn extend(&mut self, bytes: &[u8]) {
        self.0.extend_from_slice(bytes);
    }

    /// The next whole frame, if it is there.
    ///
    /// # Errors
    ///
    /// What came is no frame: nothing after it can be read either.
    pub fn next_frame(&mut self) -> Result<Option<Frame>, FrameError> {
        let Some(length) = self.0.first_chunk().map(|length| usize::from(u16::from_le_bytes(*length))) else {
            return Ok(None);
        };
        let Some(bytes) = self.0.get(2..2 + length) else { return Ok(None) };
        let frame = postcard::from_bytes(bytes).map_err(|_| FrameError("not a frame"))?;
        self.0.drain(..2 + length);
        Ok(Some(frame))
    }
}
