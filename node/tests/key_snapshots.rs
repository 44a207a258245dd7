//! Idempotency keys that outlive the process: kills, ends and damaged files, and the commands that look at them.

mod common;
#[path = "common/halls.rs"]
mod halls;

use common::*;
use halls::*;
use sablerun_keys::{Record, Resolution, Snapshot};
use serde_json::{Value, json};
use std::process::Command;
use std::time::Instant;

fn with_snapshot(folder: &std::path::Path) -> String {
    format!("[keys.snapshot]\nfile = {:?}\nevery_s = 0.05\n", folder.join("keys").display().to_string())
}

/// Waits until the snapshot on the disk holds the key as served. A number of snapshots would not tell: one
/// may be in the midst of its writing and one wait for it, both made before the answer.
fn kept(program: &Program, folder: &std::path::Path, key: &str) {
    let served =
        |record: &Record| record.key == key.as_bytes() && matches!(record.resolution, Resolution::Served(_));
    let holds = || {
        let bytes = std::fs::read(folder.join("keys")).unwrap();
        Snapshot::decode(&bytes).unwrap().records.iter().any(served)
    };
    let (since, mut written) = (Instant::now(), program.log.count("keys: snapshot of"));
    while !holds() {
        assert!(
            since.elapsed() < EVENT_TIMEOUT,
            "no snapshot holds {key} as served: {:#?}",
            program.log.all()
        );
        written += 1;
        program.log.wait("keys: snapshot of", written);
    }
}

/// Kills the program, or lets it end, and starts the next with the same file.
#[test]
fn a_snapshot_carries_the_keys_over_a_kill_and_an_end() {
    for orderly in [false, true] {
        let folder = test_dir();
        // A first start knows of no predecessor and is in doubt, which it would hand on.
        let doubt = format!("[keys]\ndoubt_s = {}\n\n", if orderly { 0 } else { 60 });
        let operator = doubt + &with_snapshot(&folder);
        let halls = Halls::start();
        let key = format!("k{orderly}");
        let mut program = halls.program(&operator);
        assert_eq!(ask(&program, "wave-release", &key, "serve", "").0, 200);
        kept(&program, &folder, &key);
        program.signal(if orderly { "TERM" } else { "KILL" });
        program.child.wait().unwrap();
        drop(program);
        let program = Program::start(&halls.discovery, settings(), Some(&operator));
        program.log.wait("a predecessor's are back", 1);
        assert_eq!(ask(&program, "wave-release", &key, "serve", "\r\nX-Retried: 1").0, 200);
        assert_eq!(halls.sent("serve"), 1);
        // An unknown one: after a kill nobody knows what was sent since; after an orderly end all is known.
        let (status, why) = ask(&program, "wave-release", &format!("old-{key}"), "away", "\r\nX-Retried: 1");
        assert_eq!(status, if orderly { 503 } else { 502 }, "{why}");
        // It does not count where every runner drops a repeat, nor where the try is not marked.
        assert_eq!(ask(&program, "short-pick", &format!("all-{key}"), "away", "\r\nX-Retried: 1").0, 503);
        assert_eq!(ask(&program, "wave-release", &format!("new-{key}"), "away", "").0, 503);
        // Another dispatcher may not write there meanwhile.
        let mut command =
            Program::command(&Program::config(halls.discovery.address, settings()), Some(&operator));
        let refused = command.output().unwrap();
        let word = String::from_utf8(refused.stderr).unwrap();
        assert!(refused.status.code() == Some(1) && word.contains("another dispatcher uses it"), "{word}");
    }
}

/// Kills at whatever moment: in the midst of a write, before it, between two. What is found afterwards is
/// always a whole snapshot.
#[test]
fn no_kill_leaves_a_snapshot_that_cannot_be_read() {
    let folder = test_dir();
    let operator = with_snapshot(&folder);
    let halls = Halls::start();
    // Runners call back to one address, which stays this program's while it is down.
    let mut config = Program::config(halls.discovery.address, settings());
    config["listen"] = json!(sablerun_stand_ins::program::free_port().unwrap().to_string());
    // A key is served for longer than a slow disk may take.
    for service in config["settings"]["services"].as_array_mut().unwrap() {
        service["window"] = json!(600_000_000_000_u64);
    }
    let mut program = Program::start_with(config.clone(), Some(&operator));
    halls.runners.iter().for_each(|runner| runner.call_back_to(&program));
    for round in 0..8u64 {
        for n in 0..40 {
            assert_eq!(ask(&program, "short-pick", &format!("{round}-{n}"), "serve", "").0, 200);
        }
        kept(&program, &folder, &format!("{round}-0"));
        std::thread::sleep(std::time::Duration::from_millis(round * 7));
        program.signal("KILL");
        program.child.wait().unwrap();
        program = Program::start_with(config.clone(), Some(&operator));
        program.log.wait("a predecessor's are back", 1);
        assert_eq!(program.log.count("starts without"), 0);
        assert!(!folder.join("keys.refused").exists());
        let before = halls.sent("serve");
        assert_eq!(ask(&program, "short-pick", &format!("{round}-0"), "serve", "").0, 200);
        assert_eq!(halls.sent("serve"), before, "a key that a snapshot held was sent again");
    }
}

#[test]
fn a_damaged_snapshot_is_set_aside_and_never_loaded() {
    let folder = test_dir();
    let operator = with_snapshot(&folder);
    let file = folder.join("keys");
    for (bytes, why) in [
        (&b"SRKEYS\x02\0 of a newer program"[..], "a snapshot of format 2"),
        (b"SRKEYS\x01\0\x05\0\0\0\0\0\0\0\0\0\0\0cut", "cut short"),
        (b"SRKEYS\x01\0\x04\0\0\0\0\0\0\0\0\0\0\0bits", "damaged"),
        (b"", "not a snapshot"),
    ] {
        std::fs::write(&file, bytes).unwrap();
        // What a kill in the middle of a write leaves behind is of no account.
        std::fs::write(folder.join("keys.tmp"), b"SRKEYS half").unwrap();
        let halls = Halls::start();
        let program = halls.program(&operator);
        program.log.wait(why, 1);
        assert_eq!(std::fs::read(folder.join("keys.refused")).unwrap(), bytes);
        assert_eq!(ask(&program, "wave-release", "k", "serve", "").0, 200);
        assert_eq!(ask(&program, "wave-release", "u", "serve", "\r\nX-Retried: 1").0, 502);
    }
}

fn sablerun(args: &[&str]) -> (i32, String, String) {
    let out =
        Command::new(env!("CARGO_BIN_EXE_sablerun")).args(args).env_remove("NODE_CONFIG").output().unwrap();
    let text = |bytes| String::from_utf8(bytes).unwrap();
    (out.status.code().unwrap(), text(out.stdout), text(out.stderr))
}

#[test]
fn the_commands_that_only_look() {
    let folder = test_dir();
    let halls = Halls::start();
    let program = halls.program(&with_snapshot(&folder));
    assert_eq!(ask(&program, "wave-release", "key\"<b>", "serve", "").0, 200);
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
    let (code, out) = check(BOTH);
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
fn a_line_of_the_log_can_be_one_json_object() {
    let halls = Halls::start();
    let mut command = Program::command(&Program::config(halls.discovery.address, settings()), Some(KEYS));
    command.args(["--log", "json"]);
    let program = Program::spawn(command, false);
    let line: Value = serde_json::from_str(&program.log.wait("ready on ", 1)).unwrap();
    assert_eq!((&line["level"], &line["target"]), (&json!("INFO"), &json!("sablerun")));
    for line in program.log.all() {
        assert!(serde_json::from_str::<Value>(&line).unwrap().is_object(), "{line}");
    }
}
