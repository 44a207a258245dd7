//! Hosts dispatchers on the simulator's wire: a batch of events a line on standard input, one
//! reply a line on standard output. It only translates; every decision is the library's.

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
        host.answer(batch, &mut reply)?;
        reply.push('\n');
        output
            .write_all(reply.as_bytes())
            .and_then(|()| output.flush())
            .map_err(|e| format!("output: {e}"))?;
    }
}
