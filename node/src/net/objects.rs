//! JSON objects one after the other out of chunks that end anywhere, however they are indented. It owns
//! the bytes that are not yet a whole object, and no more of them than it is told; it must never know
//! what the objects mean.

use bytes::{Buf, BytesMut};
use serde::de::DeserializeOwned;

/// What has come of a stream of objects and was not taken yet.
pub struct Objects {
    bytes: BytesMut,
    most: usize,
    /// Something has come since the last try that may end an object.
    may_end: bool,
    /// An empty line has come since the last look, outside of any object.
    line: bool,
}

impl Objects {
    /// Holds so many bytes of an unfinished object at the most.
    pub fn new(most: usize) -> Objects {
        Objects { bytes: BytesMut::new(), most, may_end: false, line: false }
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

#[cfg(test)]
mod tests {
    use super::Objects;
    use serde_json::{Value, json};

    /// All objects of a text that comes in chunks of a length, or why one can't be read.
    fn read(text: &str, chunk: usize) -> Result<Vec<Value>, String> {
        let (mut objects, mut all) = (Objects::new(200), Vec::new());
        for part in text.as_bytes().chunks(chunk) {
            objects.extend(part);
            while let Some(object) = objects.next()? {
                all.push(object);
            }
        }
        Ok(all)
    }

    #[test]
    fn objects_come_out_whole_however_they_are_indented_and_cut() {
        let (one, two) = (json!({"seq": 1, "hosts": [{"host": "a}"}]}), json!({"seq": 2, "hosts": []}));
        let pretty = serde_json::to_string_pretty(&one).expect("it is an object");
        let text = format!("\n{pretty}\r\n\n\n{two}\n{one}{two}\n");
        for chunk in 1..text.len() {
            let want = vec![one.clone(), two.clone(), one.clone(), two.clone()];
            assert_eq!(read(&text, chunk), Ok(want), "in chunks of {chunk}");
        }
    }

    #[test]
    fn what_is_no_object_or_too_long_is_named() {
        assert!(read("{\"seq\": nonsense}", 3).unwrap_err().contains("can't be read"));
        assert_eq!(read("503 busy", 100).unwrap_err(), "what comes is no object");
        assert!(read(&format!("{{\"a\": \"{}", "x".repeat(300)), 7).unwrap_err().contains("longer than 200"));
        assert_eq!(read("{\"cut\": [1, 2", 4), Ok(Vec::new()));
    }
}
