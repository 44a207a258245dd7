//! What tests and experiments need to start a dispatcher: the path of the program, a listening address and
//! settings in the platform's format. Starts no process.

use crate::installation::{Class, Group};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Returns an address that stays free while its dispatcher is down: its port is below the ephemeral range.
///
/// # Errors
///
/// If none is free.
pub fn free_port() -> std::io::Result<SocketAddr> {
    let mut last_error = None;
    for _ in 0..100 {
        match std::net::TcpListener::bind(("127.0.0.1", fastrand::u16(18_000..28_000))) {
            Ok(listener) => return listener.local_addr(),
            Err(e) => last_error = Some(e),
        }
    }
    Err(last_error.unwrap_or_else(|| std::io::ErrorKind::AddrInUse.into()))
}

/// Returns the path of the `sablerun` program beside the current one.
///
/// # Errors
///
/// If there is no such program; the message says how to build it.
pub fn program_path() -> Result<PathBuf, String> {
    let current_exe = std::env::current_exe().map_err(|e| e.to_string())?;
    // Test executables are one folder deeper.
    let beside = current_exe.with_file_name("sablerun");
    let above = current_exe.parent().and_then(Path::parent).map(|folder| folder.join("sablerun"));
    if let Some(found) = [Some(beside.clone()), above].into_iter().flatten().find(|path| path.is_file()) {
        return Ok(found);
    }
    Err(format!("{}: no such program; build it first: cargo build --release --locked", beside.display()))
}

/// Returns the settings of a dispatcher in a zone, with these classes.
pub fn settings_for(classes: &[Class], halls: &[&str], zone: &str) -> Value {
    let services: Vec<_> = classes.iter().map(service).collect();
    let stretch = vec![2.0; services.len()];
    json!({
        "balancers": 1, "me": 0, "clientHabits": {"marksRetry": true},
        "extra": {"classKind": vec![-1; services.len()], "classStretch": stretch, "progress": 0,
                  "reportX0": "free slots", "reportX1": "free memory", "tellsStart": true},
        "failureDomains": halls, "kinds": ["k4-full", "k4-slow"],
        "limits": {"cancel": true, "connIdle": 10_000_000_000u64, "connectTimeout": 250_000_000,
                   "maxOpen": 28486, "maxRetryAfter": 2_000_000_000, "parallelTries": true,
                   "probing": false, "retryAfter": true, "tryLimit": 5},
        "membershipMode": "on_request", "overShareWorth": 0.05,
        "prices": {"crossZone": 0.03, "handshake": 0.02, "lateFail": 0.074, "probe": 0.0018, "waste": 0.04},
        "projects": [{"name": "mehran-dist", "quotaPerS": 100_000.0, "share": 0.6},
                     {"name": "ravi-supply", "quotaPerS": 100_000.0, "share": 0.4}],
        "reporting": {"fields": ["errors_per_s", "recent_ms", "outstanding", "x0"], "how": "piggyback"},
        "rules": {"answerSlack": 16_000_000, "askWithin": 10_000_000_000u64, "coldFrom": 0.99,
                  "drainGrace": 500_000_000, "fall": 1_000_000_000, "fallMultiple": 1000.0, "warmAfter": 1},
        "services": services, "tick": 4_000_000, "weights": "nominal", "worthBy": "work", "zone": zone,
        "key that no version knows": {"is": "ignored"}
    })
}

fn service(class: &Class) -> Value {
    let group = if class.group == Some(Group::Zone) { "zone" } else { "all" };
    let repeat = if class.group.is_some() { "dedup" } else { "retryable" };
    json!({"name": class.name, "objective": class.objective_ms * 1_000_000, "repeat": repeat,
           "deadline": class.deadline_ms * 1_000_000, "group": group, "importance": class.worth,
           "lateWorth": 0.0, "window": class.window_ms.max(1) * 1_000_000})
}
