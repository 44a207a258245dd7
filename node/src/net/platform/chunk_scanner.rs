//! Finds the end of a chunked body in bytes that arrive in pieces. Checks nothing: the parser, which gets the
//! same bytes, rejects an invalid one. Performs no I/O.

/// The position within a chunked body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Position {
    /// In the line of a chunk's size; the digits read so far.
    Size(u64),
    /// Behind the digits of that line.
    Extension(u64),
    /// This many bytes of the chunk and its line ending are missing.
    Data(u64),
    /// At the start of a line behind the last chunk; the body ends with an empty one.
    TrailerStart,
    Trailer,
    End,
}

/// Length of the line ending behind a chunk.
const LINE_END_BYTES: u64 = 2;

/// Scans a chunked body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChunkScanner(Position);

impl Default for ChunkScanner {
    fn default() -> ChunkScanner {
        ChunkScanner(Position::Size(0))
    }
}

impl ChunkScanner {
    /// Returns how many of the bytes belong to the body, and whether it ends with them.
    pub fn scan(&mut self, bytes: &[u8]) -> (usize, bool) {
        let mut index = 0;
        while index < bytes.len() && self.0 != Position::End {
            let (next, used) = self.step(&bytes[index..]);
            self.0 = next;
            index += used;
        }
        (index, self.0 == Position::End)
    }

    /// Returns the next position, and the number of bytes that lead to it.
    fn step(&self, bytes: &[u8]) -> (Position, usize) {
        let byte = bytes[0];
        let position = match self.0 {
            Position::Data(missing) => {
                let used = missing.min(bytes.len() as u64);
                let position =
                    if used == missing { Position::Size(0) } else { Position::Data(missing - used) };
                return (position, used as usize);
            }
            Position::Size(size) | Position::Extension(size) if byte == b'\n' => match size {
                0 => Position::TrailerStart,
                _ => Position::Data(size.saturating_add(LINE_END_BYTES)),
            },
            Position::Size(size) => match char::from(byte).to_digit(16) {
                Some(digit) => Position::Size(size.saturating_mul(16).saturating_add(digit.into())),
                None => Position::Extension(size),
            },
            Position::Extension(size) => Position::Extension(size),
            Position::TrailerStart if byte == b'\n' => Position::End,
            Position::TrailerStart if byte == b'\r' => Position::TrailerStart,
            Position::Trailer if byte == b'\n' => Position::TrailerStart,
            Position::TrailerStart | Position::Trailer => Position::Trailer,
            Position::End => Position::End,
        };
        (position, 1)
    }
}
