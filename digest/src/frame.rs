//! The frames of a digest and their encoding: a length of two bytes (little-endian), then the frame in
//! postcard encoding, which stores small numbers in one byte each.

use serde::{Deserialize, Serialize};

/// Maximum length of an encoded frame, in bytes; enough for about 4,000 runners with names of ten bytes.
pub const MAX_FRAME_BYTES: usize = 65_535;

/// The load of one runner, as reported by the runner itself. A runner that did not answer reported no values.
#[derive(Clone, Debug, PartialEq)]
pub struct Load {
    /// The name of the runner.
    pub runner: String,
    /// Whether the runner answered that it accepts work.
    pub ok: bool,
    /// Its load values, in the order of [`Frame::fields`]; 0 where it reported none.
    pub values: Vec<f64>,
}

/// A message from the publisher to its followers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Frame {
    /// When the publisher started, in microseconds of Unix time. A later publisher replaces an earlier one.
    pub epoch: u64,
    /// The version of the digest after this frame: the previous version plus one, or any version if `whole`.
    pub version: u64,
    /// Whether this is a full frame, which contains all published loads.
    pub whole: bool,
    /// The names of the load values; only in a full frame.
    pub fields: Vec<String>,
    /// Names of new runners, numbered consecutively after the known ones, or from 0 in a full frame.
    pub names: Vec<String>,
    /// The changed runners. For each: the number of runners skipped since the previous entry (or the start),
    /// a bit mask of the codes that follow (bit 0: `ok` as 0 or 1; bit n: the n-th load value), then these
    /// codes.
    pub body: Vec<u16>,
}

/// Why a frame could not be encoded or decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FrameError(pub &'static str);

impl Frame {
    /// Encodes the frame, preceded by its length.
    ///
    /// # Errors
    ///
    /// The frame is longer than [`MAX_FRAME_BYTES`].
    pub fn to_bytes(&self) -> Result<Vec<u8>, FrameError> {
        let bytes = postcard::to_stdvec(self).map_err(|_| FrameError("can't be encoded"))?;
        let length = u16::try_from(bytes.len()).map_err(|_| FrameError("longer than a frame may be"))?;
        Ok([&length.to_le_bytes()[..], &bytes].concat())
    }
}

/// Decodes frames from a byte stream that arrives in arbitrary pieces.
#[derive(Debug, Default)]
pub struct FrameDecoder(Vec<u8>);

impl FrameDecoder {
    /// Appends received bytes.
    pub fn extend(&mut self, bytes: &[u8]) {
        self.0.extend_from_slice(bytes);
    }

    /// Returns the next frame if it has been received completely.
    ///
    /// # Errors
    ///
    /// The received bytes are not a frame. The rest of the stream cannot be decoded either.
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
