//! The process of a part of the scale run, driven by a test.

use sablerun_lab::scale::protocol::{Command, Counts, Ready, Setup};
use serde::de::DeserializeOwned;
use std::io::{BufRead, BufReader, Lines, Write};
use std::process::{Child, ChildStdin, ChildStdout, Stdio};

/// The process of a part.
pub struct PartProcess {
    pub child: Child,
    pub stdin: Option<ChildStdin>,
    stdout: Lines<BufReader<ChildStdout>>,
}

impl PartProcess {
    pub fn start(role: &str) -> PartProcess {
        let mut child = std::process::Command::new(env!("CARGO_BIN_EXE_sablerun-lab"))
            .args(["part", role])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        let (stdin, stdout) = (child.stdin.take(), child.stdout.take().unwrap());
        PartProcess { child, stdin, stdout: BufReader::new(stdout).lines() }
    }

    pub fn send_line<T: DeserializeOwned>(&mut self, line: &str) -> T {
        writeln!(self.stdin.as_mut().unwrap(), "{line}").unwrap();
        serde_json::from_str(&self.stdout.next().unwrap().unwrap()).unwrap()
    }

    pub fn set_up(&mut self, setup: &Setup) -> Ready {
        let ready: Ready = self.send_line(&serde_json::to_string(setup).unwrap());
        assert_eq!(ready.error, None);
        ready
    }

    pub fn command(&mut self, command: &Command) -> Counts {
        let counts: Counts = self.send_line(&serde_json::to_string(command).unwrap());
        assert_eq!(counts.error, None);
        assert!(counts.at_us > 0);
        counts
    }
}

impl Drop for PartProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
