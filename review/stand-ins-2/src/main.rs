//! The cases of the second review: `review-2 CASE FOLDER` plays one and writes `record.txt` into its folder.
//! Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run. With `TROUBLE=0` the disruption is
//! left out.

mod cases;
mod clients;
mod discovery;
mod dispatcher;
mod faktory;
mod http;
mod record;
mod runner;
mod text;

use cases::{Case, Verdict};
use record::Record;
use std::path::Path;
use std::process::ExitCode;
use std::thread;
use std::time::Duration;

/// A case that has not ended by then could not run.
const TIME_LIMIT: Duration = Duration::from_secs(110);

fn main() -> ExitCode {
    let arguments: Vec<_> = std::env::args().skip(1).collect();
    let [name, folder] = arguments.as_slice() else {
        eprintln!("usage: review-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    thread::spawn(|| {
        thread::sleep(TIME_LIMIT);
        dispatcher::kill_all();
        eprintln!("the case did not end within {} s", TIME_LIMIT.as_secs());
        std::process::exit(2);
    });
    let played =
        Record::create(Path::new(folder)).map_err(|e| format!("record.txt: {e}")).and_then(|record| {
            record.line(format!("case {name}, trouble {}", if trouble { "on" } else { "off" }));
            let case = Case { record: record.clone(), trouble };
            let verdict = case.play(name)?;
            match &verdict {
                Verdict::Held => record.line("HELD"),
                Verdict::Broken(why) => record.line(format!("BROKEN: {why}")),
            }
            Ok(verdict)
        });
    match played {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken(_)) => ExitCode::from(1),
        Err(why) => {
            eprintln!("could not run: {why}");
            ExitCode::from(2)
        }
    }
}
