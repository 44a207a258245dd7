//! Finds the end of the head of an HTTP message in bytes that arrive in pieces. Performs no I/O.

/// Finds the end of a head in the bytes read so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct HeadScanner {
    bytes: usize,
    /// Lines that are not empty and have ended: the first line and the headers.
    lines: usize,
    /// Bytes of the current line.
    line_bytes: usize,
    /// A line that is not empty has been read, so that an empty one ends the head.
    begun: bool,
}

impl HeadScanner {
    /// Returns the bytes of the head read so far.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the complete lines of the head read so far, the first line included.
    pub fn lines(&self) -> usize {
        self.lines
    }

    /// Whether a line that is not empty has been read.
    pub fn begun(&self) -> bool {
        self.begun
    }

    /// Returns how many of the bytes belong to the head, and whether it ends with them.
    pub fn scan(&mut self, bytes: &[u8]) -> (usize, bool) {
        for (index, &byte) in bytes.iter().enumerate() {
            self.bytes += 1;
            match byte {
                b'\n' if self.begun && self.line_bytes == 0 => return (index + 1, true),
                b'\n' => {
                    self.lines += usize::from(self.line_bytes > 0);
                    self.line_bytes = 0;
                }
                b'\r' => {}
                _ => (self.begun, self.line_bytes) = (true, self.line_bytes + 1),
            }
        }
        (bytes.len(), false)
    }
}
