//! What the parts wrote down: starts, requests, acts. It owns the reading of those files and the joining of a
//! request with its start; it must never make a figure of them.

use super::words::{Act, Request, Start};
use serde::de::DeserializeOwned;
use std::collections::HashMap;
use std::path::Path;

/// Time after a dispatcher's return in which clients may still meet its death.
const BACK_US: u64 = 1_000_000;

/// A request and when it first began to run, if it did.
#[derive(Clone, Debug)]
pub struct Joined {
    /// The request.
    pub request: Request,
    /// Microseconds of Unix time.
    pub started_us: Option<u64>,
    /// All its starts in order, and at which runner.
    pub starts: Vec<(u64, usize)>,
}

/// The records of a point.
#[derive(Default)]
pub struct Records {
    /// All requests, of hollow and of real dispatchers.
    pub requests: Vec<Joined>,
    /// When anything began to run, in order.
    pub starts: Vec<u64>,
    /// What hollow dispatchers acted by.
    pub acts: Vec<Act>,
}

impl Records {
    /// Reads a point's folder.
    ///
    /// # Errors
    ///
    /// Names the file and the row.
    pub fn read(folder: &Path) -> Result<Records, String> {
        let told: Vec<Start> = rows(folder, "starts")?;
        let mut by_id: HashMap<&str, Vec<(u64, usize)>> = HashMap::new();
        for start in &told {
            by_id.entry(&start.id).or_default().push((start.at_us, start.runner));
        }
        let requests: Vec<Request> = rows(folder, "requests")?;
        let join = |request: Request| {
            let mut starts = by_id.get(request.id.as_str()).cloned().unwrap_or_default();
            starts.sort_unstable();
            Joined { request, started_us: starts.first().map(|start| start.0), starts }
        };
        let requests = requests.into_iter().map(join).collect();
        let mut starts: Vec<_> = told.iter().map(|start| start.at_us).collect();
        starts.sort_unstable();
        Ok(Records { requests, starts, acts: rows(folder, "acts")? })
    }
}

impl Records {
    /// A connection that ended without an answer is only then its dispatcher's death if that was killed: of any
    /// other one the request is lost. `killed` tells who was, from when until when.
    pub fn lose(&mut self, killed: &[(usize, u64, u64)]) {
        for joined in self.requests.iter_mut().filter(|joined| joined.request.answer == "cut") {
            let request = &joined.request;
            let died = killed.iter().any(|(dispatcher, from, until)| {
                let during = request.taken_us <= until + BACK_US && request.answered_us >= *from;
                *dispatcher == request.dispatcher && during
            });
            if !died {
                joined.request.answer = "lost".to_owned();
            }
        }
    }
}

/// The rows of all files of a kind: `KIND.csv` and `KIND-MORE.csv`.
fn rows<T: DeserializeOwned>(folder: &Path, kind: &str) -> Result<Vec<T>, String> {
    let told = |e: &dyn std::fmt::Display| format!("{}: {e}", folder.display());
    let mut all = Vec::new();
    for entry in std::fs::read_dir(folder).map_err(|e| told(&e))? {
        let path = entry.map_err(|e| told(&e))?.path();
        let name = path.file_stem().and_then(|name| name.to_str()).unwrap_or_default();
        let of_kind = name == kind || name.strip_prefix(kind).is_some_and(|rest| rest.starts_with('-'));
        if !of_kind || path.extension().is_none_or(|extension| extension != "csv") {
            continue;
        }
        let mut reader = csv::Reader::from_path(&path).map_err(|e| format!("{}: {e}", path.display()))?;
        for row in reader.deserialize() {
            all.push(row.map_err(|e| format!("{}: {e}", path.display()))?);
        }
    }
    Ok(all)
}
