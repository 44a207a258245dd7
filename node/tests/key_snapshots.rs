//! Idempotency keys that survive a restart: kills, graceful shutdowns, damaged snapshots, and the commands
//! that read them.

mod common;
#[path = "common/halls.rs"]
mod halls;

use common::*;
use halls::*;
use sablerun_keys::{Record, Resolution, Snapshot};
use serde_json::{Value, json};
use std::process::Command;
use std::time::Instant;

fn snapshot_config(folder: &std::path::Path) -> String {
    format!("[keys.snapshot]\nfile = {:?}\nevery_s = 0.05\n", folder.join("keys").display().to_string())
}

/// Waits until the snapshot on disk has the key as served. Counting snapshots in the log would not show this:
/// one may be half written and another queued, both taken before the answer.
fn wait_until_saved(program: &Program, folder: &std::path::Path, key: &str) {
    let served =
        |record: &Record| record.key == key.as_bytes() && matches!(record.resolution, Resolution::Served(_));
    let is_saved = || {
        let bytes = std::fs::read(folder.join("keys")).unwrap();
        Snapshot::decode(&bytes).unwrap().records.iter().any(served)
    };
    let (started, mut written) = (Instant::now(), program.log.count("keys: snapshot of"));
    while !is_saved() {
        assert!(
            started.elapsed() < EVENT_TIMEOUT,
            "no snapshot has {key} as served: {:#?}",
            program.log.all()
        );
        written += 1;
        program.log.wait("keys: snapshot of", written);
    }
}

/// Kills the program or shuts it down gracefully, then starts the next one with the same file.
#[test]
fn a_snapshot_restores_the_keys_after_a_kill_and_after_a_graceful_shutdown() {
    for graceful in [false, true] {
        let folder = test_dir();
        // The first start has no predecessor, so retries with unknown keys fail for `doubt_s`, and a snapshot
        // taken within that time does not count as complete for the successor.
        let keys_section = format!("[keys]\ndoubt_s = {}\n\n", if graceful { 0 } else { 60 });
        let operator = keys_section + &snapshot_config(&folder);
        let halls = TwoHalls::start();
        let key = format!("k{graceful}");
        let mut program = halls.program(&operator);
        assert_eq!(send_keyed(&program, "wave-release", &key, "serve", "").0, 200);
        wait_until_saved(&program, &folder, &key);
        program.signal(if graceful { "TERM" } else { "KILL" });
        program.child.wait().unwrap();
        drop(program);
        let program = Program::start(&halls.discovery, settings(), Some(&operator));
        program.log.wait("restored from the predecessor's snapshot", 1);
        assert_eq!(send_keyed(&program, "wave-release", &key, "serve", "\r\nX-Retried: 1").0, 200);
        assert_eq!(halls.jobs_received("serve"), 1);
        // An unknown key: after a kill, jobs sent since the snapshot are unknown, so the retry may have run.
        // After a graceful shutdown the snapshot is complete.
        let (status, why) =
            send_keyed(&program, "wave-release", &format!("old-{key}"), "away", "\r\nX-Retried: 1");
        assert_eq!(status, if graceful { 503 } else { 502 }, "{why}");
        // This does not apply where all runners drop repeats, nor to an attempt that is not marked as a
        // retry.
        assert_eq!(
            send_keyed(&program, "short-pick", &format!("all-{key}"), "away", "\r\nX-Retried: 1").0,
            503
        );
        assert_eq!(send_keyed(&program, "wave-release", &format!("new-{key}"), "away", "").0, 503);
        // No other dispatcher may use the file meanwhile.
        let mut command =
            Program::command(&Program::config(halls.discovery.address, settings()), Some(&operator));
        let refused = command.output().unwrap();
        let error = String::from_utf8(refused.stderr).unwrap();
        assert!(refused.status.code() == Some(1) && error.contains("another dispatcher uses it"), "{error}");
    }
}

/// Kills the program at various moments: during a write, before it, and between two. The file on disk is
/// always a whole snapshot.
#[test]
fn no_kill_leaves_an_unreadable_snapshot() {
    let folder = test_dir();
    let operator = snapshot_config(&folder);
    let halls = TwoHalls::start();
    // Runners call back to one address, which stays reserved for this program while it is down.
    let mut config = Program::config(halls.discovery.address, settings());
    config["listen"] = json!(sablerun_stand_ins::program::free_port().unwrap().to_string());
    // The window is how long a key's result is kept: longer than a slow disk may take to write.
    for service in config["settings"]["services"].as_array_mut().unwrap() {
        service["window"] = json!(600_000_000_000_u64);
    }
    let mut program = Program::start_with(config.clone(), Some(&operator));
    halls.runners.iter().for_each(|runner| runner.call_back_to(&program));
    for round in 0..8u64 {
        for n in 0..40 {
            assert_eq!(send_keyed(&program, "short-pick", &format!("{round}-{n}"), "serve", "").0, 200);
        }
        wait_until_saved(&program, &folder, &format!("{round}-0"));
        std::thread::sleep(std::time::Duration::from_millis(round * 7));
        program.signal("KILL");
        program.child.wait().unwrap();
        program = Program::start_with(config.clone(), Some(&operator));
        program.log.wait("restored from the predecessor's snapshot", 1);
        assert_eq!(program.log.count("starting without the snapshot"), 0);
        assert!(!folder.join("keys.refused").exists());
        let before = halls.jobs_received("serve");
        assert_eq!(send_keyed(&program, "short-pick", &format!("{round}-0"), "serve", "").0, 200);
        assert_eq!(halls.jobs_received("serve"), before, "a job whose key was in a snapshot was sent again");
    }
}

#[test]
fn a_damaged_snapshot_is_set_aside_and_never_loaded() {
    let folder = test_dir();
    let operator = snapshot_config(&folder);
    let file = folder.join("keys");
    for (bytes, why) in [
        (&b"SRKEYS\x02\0 of a newer program"[..], "a snapshot of format 2"),
        (b"SRKEYS\x01\0\x05\0\0\0\0\0\0\0\0\0\0\0cut", "cut short"),
        (b"SRKEYS\x01\0\x04\0\0\0\0\0\0\0\0\0\0\0bits", "damaged"),
        (b"", "not a snapshot"),
    ] {
        std::fs::write(&file, bytes).unwrap();
        // A temporary file left by a kill during a write is ignored.
        std::fs::write(folder.join("keys.tmp"), b"SRKEYS half").unwrap();
        let halls = TwoHalls::start();
        let program = halls.program(&operator);
        program.log.wait(why, 1);
        assert_eq!(std::fs::read(folder.join("keys.refused")).unwrap(), bytes);
        assert_eq!(send_keyed(&program, "wave-release", "k", "serve", "").0, 200);
        assert_eq!(send_keyed(&program, "wave-release", "u", "serve", "\r\nX-Retried: 1").0, 502);
    }
}

fn sablerun(args: &[&str]) -> (i32, String, String) {
    let out =
        Command::new(env!("CARGO_BIN_EXE_sablerun")).args(args).env_remove("NODE_CONFIG").output().unwrap();
    let text = |bytes| String::from_utf8(bytes).unwrap();
    (out.status.code().unwrap(), text(out.stdout), text(out.stderr))
}

#[test]
fn read_only_commands_show_keys_and_check_settings() {
    let folder = test_dir();
    let halls = TwoHalls::start();
    let program = halls.program(&snapshot_config(&folder));
    assert_eq!(send_keyed(&program, "wave-release", "key\"<b>", "serve", "").0, 200);
    program.log.wait("keys: snapshot of 1 keys", 1);
    let file = folder.join("keys").display().to_string();
    let (code, out, _) = sablerun(&["keys", &file, "--json"]);
    let read: Value = serde_json::from_str(&out).unwrap();
    assert_eq!((code, &read["served"], &read["last"]), (0, &json!(1), &json!(false)));
    assert_eq!(read["keys"][0]["key"], json!("key\\\"<b>"));
    assert_eq!(read["keys"][0]["member"], json!("mehran-dist"));
    let (code, out, _) = sablerun(&["keys", &file, "--member", "ravi-supply"]);
    assert!(code == 0 && out.contains("0 served, 0 may have run"), "{out}");
    let config = folder.join("config.json");
    std::fs::write(&config, Program::config(halls.discovery.address, settings()).to_string()).unwrap();
    let check = |operator: &str| {
        let path = folder.join("operator.toml");
        std::fs::write(&path, operator).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_sablerun"));
        command.env("NODE_CONFIG", &config).args(["check", "--json", "--config"]).arg(path);
        let out = command.output().unwrap();
        (out.status.code().unwrap(), String::from_utf8([out.stdout, out.stderr].concat()).unwrap())
    };
    let (code, out) = check(KEYS_ON_BOTH_FRONTS);
    assert!(code == 0 && out.contains("\"sections\":[\"faktory\",\"keys\"]"), "{out}");
    let (code, out) = check("[keys]\nentires = 1\n");
    assert!(code == 1 && out.contains("operator.toml: line 2: keys.entires: unknown field"), "{out}");
    let (code, out) = check("[keys]\nentries = 0\n");
    assert!(code == 1 && out.contains("operator.toml: keys: entries: from 1 to 100000000"), "{out}");
    let (code, _, why) = sablerun(&["check"]);
    assert!(code == 1 && why.contains("NODE_CONFIG is not set"), "{why}");
    let (code, _, why) = sablerun(&["keys", "/nowhere/keys"]);
    assert!(code == 1 && why.contains("/nowhere/keys: No such file"), "{why}");
    let (code, _, why) = sablerun(&["chekc"]);
    assert!(code == 2 && why.contains("check"), "{why}");
    let (code, out, _) = sablerun(&["--help"]);
    assert!(code == 0 && out.contains("Examples:") && out.contains("Exit codes"), "{out}");
    assert_eq!(sablerun(&["--version"]).1, format!("sablerun {}\n", env!("CARGO_PKG_VERSION")));
}

#[test]
fn with_json_logging_each_line_is_one_json_object() {
    let halls = TwoHalls::start();
    let mut command =
        Program::command(&Program::config(halls.discovery.address, settings()), Some(KEYS_ON_HTTP));
    command.args(["--log", "json"]);
    let program = Program::spawn(command, false);
    let line: Value = serde_json::from_str(&program.log.wait("ready on ", 1)).unwrap();
    assert_eq!((&line["level"], &line["target"]), (&json!("INFO"), &json!("sablerun")));
    for line in program.log.all() {
        assert!(serde_json::from_str::<Value>(&line).unwrap().is_object(), "{line}");
    }
}
