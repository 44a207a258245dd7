//! JSON objects one after the other out of chunks that end anywhere, however they are indented. It owns
//! the bytes that are not yet a whole object, and no more of them than it is told; it must never know
//! what the objects mean.

use bytes::{Buf, BytesMut};
use serde::de::DeserializeOwned;

/// What has come of a stream of objects and was not taken yet.
pub struct JsonStream {
    bytes: BytesMut,
    most: usize,
    /// Something has come since the last try that may end an object.
    may_end: bool,
    /// An empty line has come since the last look, outside of any object.
    line: bool,
}

impl JsonStream {
    /// Holds so many bytes of an unfinished object at the most.
    pub fn new(most: usize) -> JsonStream {
        JsonStream { bytes: BytesMut::new(), most, may_end: false, line: false }
    }

    /// Takes the next bytes.
    pub fn extend(&mut self, chunk: &[u8]) {
        // Only a bracket ends an object: what comes without one is not worth a look at all that is held.
        self.may_end |= chunk.contains(&b'}');
        self.bytes.extend_from_slice(chunk);
    }

    /// The next whole object, if there is one.
    ///
    /// # Errors
    ///
    /// What comes is no object of this kind, or is longer than may be held.
    pub fn next<T: DeserializeOwned>(&mut self) -> Result<Option<T>, String> {
        if self.may_end {
            let mut values = serde_json::Deserializer::from_slice(&self.bytes).into_iter::<T>();
            match values.next() {
                Some(Ok(value)) => {
                    let read = values.byte_offset();
                    self.bytes.advance(read);
                    return Ok(Some(value));
                }
                Some(Err(e)) if !e.is_eof() => return Err(format!("an object can't be read: {e}")),
                Some(Err(_)) | None => self.may_end = false,
            }
        }
        let blank = self.bytes.iter().take_while(|byte| byte.is_ascii_whitespace()).count();
        self.line |= self.bytes[..blank].contains(&b'\n');
        self.bytes.advance(blank);
        if self.bytes.first().is_some_and(|byte| *byte != b'{') {
            return Err("what comes is no object".to_owned());
        }
        if self.bytes.len() > self.most {
            return Err(format!("an object is longer than {} bytes", self.most));
        }
        Ok(None)
    }

    /// Whether a line has ended outside of any object since this was last asked.
    pub fn line(&mut self) -> bool {
        std::mem::take(&mut self.line)
    }
}
