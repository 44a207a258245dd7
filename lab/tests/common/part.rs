//! A part of the scale run as a process that a test talks to.

use sablerun_lab::scale::protocol::{Command, Counts, Ready, Setup};
use serde::de::DeserializeOwned;
use std::io::{BufRead, BufReader, Lines, Write};
use std::process::{Child, ChildStdin, ChildStdout, Stdio};

/// A part's process.
pub struct Part {
    pub child: Child,
    pub to: Option<ChildStdin>,
    from: Lines<BufReader<ChildStdout>>,
}

impl Part {
    pub fn start(role: &str) -> Part {
        let mut child = std::process::Command::new(env!("CARGO_BIN_EXE_sablerun-lab"))
            .args(["part", role])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        let (to, from) = (child.stdin.take(), child.stdout.take().unwrap());
        Part { child, to, from: BufReader::new(from).lines() }
    }

    pub fn say<T: DeserializeOwned>(&mut self, line: &str) -> T {
        writeln!(self.to.as_mut().unwrap(), "{line}").unwrap();
        serde_json::from_str(&self.from.next().unwrap().unwrap()).unwrap()
    }

    pub fn begin(&mut self, begin: &Setup) -> Ready {
        let ready: Ready = self.say(&serde_json::to_string(begin).unwrap());
        assert_eq!(ready.error, None);
        ready
    }

    pub fn command(&mut self, command: &Command) -> Counts {
        let counts: Counts = self.say(&serde_json::to_string(command).unwrap());
        assert_eq!(counts.error, None);
        assert!(counts.at_us > 0);
        counts
    }
}

impl Drop for Part {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
