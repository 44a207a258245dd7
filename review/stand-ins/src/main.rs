//! The stand-ins and the play of each case of the review. Called by the cases' scripts:
//! `review-stand-ins CASE FOLDER RECORD`. Exits with 0 if the rule held, 1 if it was broken, 2 if the case
//! could not run.

mod client;
mod discovery;
mod dispatcher;
mod faktory;
mod hall;
mod http;
mod installation;
mod kill;
mod memory;
mod node;
mod record;
mod restart;
mod settings;

use installation::Setup;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;
use std::{env, io, thread};

/// A run that takes longer is given up.
const LONGEST_RUN: Duration = Duration::from_secs(110);

fn main() -> ExitCode {
    let arguments: Vec<_> = env::args().skip(1).collect();
    let [case, folder, record] = arguments.as_slice() else {
        eprintln!("usage: review-stand-ins CASE FOLDER RECORD");
        return ExitCode::from(2);
    };
    let trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let played = installation::setup(Path::new(folder), Path::new(record), trouble)
        .and_then(|setup| in_time(case, setup));
    match played {
        Ok(true) => {
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            println!("the rule was broken");
            ExitCode::from(1)
        }
        Err(e) => {
            eprintln!("the case could not run: {e}");
            ExitCode::from(2)
        }
    }
}

/// Plays a case on a thread of its own, so that a run that hangs ends too.
fn in_time(case: &str, setup: Setup) -> io::Result<bool> {
    let play = match case {
        "memory" => memory::run,
        "kill" => kill::run,
        "restart" => restart::run,
        _ => return Err(io::Error::other(format!("{case}: no such case"))),
    };
    let (sender, receiver) = std::sync::mpsc::channel();
    thread::spawn(move || sender.send(play(&setup)));
    receiver.recv_timeout(LONGEST_RUN).map_err(|_| io::Error::other("it took too long"))?
}
