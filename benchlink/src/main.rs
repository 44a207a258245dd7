//! Runs dispatchers for the simulator: reads a batch of events per line from standard input and writes a
//! reply per line to standard output. Only translates; all decisions are in the library.

mod host;
mod wire;

use std::io::{self, BufRead, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    match serve() {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("sablerun-benchlink: {message}");
            ExitCode::FAILURE
        }
    }
}

/// Answers batches until the input ends.
fn serve() -> Result<(), String> {
    let mut input = io::stdin().lock();
    let mut output = io::stdout().lock();
    let mut host = host::Host::default();
    let (mut line, mut reply) = (String::new(), String::new());
    loop {
        line.clear();
        let read = input.read_line(&mut line).map_err(|e| format!("input: {e}"))?;
        if read == 0 {
            return Ok(());
        }
        let batch: wire::Batch = serde_json::from_str(&line).map_err(|e| format!("not a batch: {e}"))?;
        reply.clear();
        host.handle_batch(batch, &mut reply)?;
        reply.push('\n');
        output
            .write_all(reply.as_bytes())
            .and_then(|()| output.flush())
            .map_err(|e| format!("output: {e}"))?;
    }
}
