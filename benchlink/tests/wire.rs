//! Runs the adapter as a process: every kind of message, restarts, and malformed lines.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const ENV: &str = r#"{"balancers": 4, "clientHabits": {"marksRetry": false}, "unheard": [1, {"a": 2}],
 "extra": {"classKind": [-1, 0], "classStretch": [1.75, 2], "progress": 1000000000, "tellsStart": true,
 "reportX0": "free slots", "reportX1": "free memory"}, "failureDomains": ["north", "south"],
 "kinds": ["large"], "limits": {"cancel": true, "parallelTries": true, "probing": true, "tryLimit": 6},
 "me": 0, "membershipMode": "on_request", "overShareWorth": 0.05, "prices": {"crossZone": 0.12},
 "projects": [{"name": "growers", "quotaPerS": 46.0, "share": 1}],
 "reporting": {"fields": ["outstanding", "recent_ms", "x0"], "how": "piggyback"},
 "rules": {"answerSlack": 20000000, "coldFrom": 0.12, "drainGrace": 2000000000, "fall": 3000000000,
 "fallMultiple": 3.0, "warmAfter": 24000000000},
 "services": [{"deadline": 5000000000, "importance": 3.0, "name": "stock", "objective": 200000000,
 "repeat": "retryable"}, {"deadline": 5000000000, "group": "cell", "importance": 3.0, "name": "settle",
 "objective": 200000000, "repeat": "dedup", "window": 4000000000}], "tick": 5000000, "zone": "north"}"#;

fn run(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_sablerun-benchlink"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    // An adapter that stops at a malformed line closes its input; earlier replies still count.
    let _ = child.stdin.take().expect("piped").write_all(input.as_bytes());
    child.wait_with_output().expect("the adapter ends")
}

fn batch(at: u64, events: &[&str]) -> String {
    format!("{{\"atTime\":{at},\"happened\":[{}]}}\n", events.join(","))
}

fn start(i: u32) -> String {
    format!("[\"PROVISION\",{i},99,{}]", ENV.replace('\n', ""))
}

const PAGE: &str = r#"["PAGE",0,[["worker.a","north","large",0,"ready",1,null],["worker.b\"","south","large",0,"ready",1.5,6100000000]]]"#;
const JOB: &str = r#"["JOB_IN",3,77,false,13000000000,false,null,null,"stock",false,"data/k",1,"growers"]"#;

fn replies(output: &Output) -> Vec<String> {
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    String::from_utf8(output.stdout.clone()).expect("UTF-8").lines().map(str::to_owned).collect()
}

#[test]
fn an_empty_batch_has_an_empty_reply() {
    let replies = replies(&run("{\"atTime\":8412250000,\"happened\":[]}\n"));
    assert_eq!(replies, ["{\"outbox\":[]}"]);
}

#[test]
fn a_job_is_sent_and_its_answer_ends_it() {
    let input = [
        batch(8_000_000_000, &[&start(3), PAGE, r#"["TARGETS",3,"SAVED",0,41]"#]),
        batch(8_000_000_000, &[JOB]),
        batch(8_005_000_000, &[r#"["CHANGE",3,77,0,"worker.a",1,0.0]"#]),
        batch(8_100_000_000, &[r#"["DONE",3,77,null,0,"worker.a",true,100000000,0,[1,90.5,3]]"#]),
        batch(8_200_000_000, &[r#"["DONE",3,77,0,0,"worker.a",true,100000000,0,null]"#]),
        batch(13_000_000_000, &[r#"["TIMEOUT_FIRED",3,19712]"#, r#"["DROPPED",3,77]"#]),
    ];
    let replies = replies(&run(&input.concat()));
    assert_eq!(replies.len(), 6);
    assert!(replies[1].contains(r#"["DELIVER",3,77,"worker.a",0]"#), "{}", replies[1]);
    for reply in &replies[4..] {
        assert_eq!(reply, "{\"outbox\":[]}");
    }
}

#[test]
fn every_event_is_read_and_an_unknown_one_skipped() {
    let input = [
        batch(8_000_000_000, &[&start(3), PAGE, r#"["TARGETS",3,"FULL",0,41]"#]),
        batch(
            8_001_000_000,
            &[
                r#"["PONG",3,1400000,"worker.a",0,[7,14.5,null]]"#,
                r#"["PONG",3,1400000,"worker.never",252]"#,
                r#"["BEGUN",3,1564119492,0,"worker.a",9250000]"#,
                r#"["INBOX",3,2,"hi 7"]"#,
                r#"["TARGETS",3,"FAILED",null,0]"#,
                r#"["SOMETHING_NEW",3,{"a":[1]}]"#,
                r#"["JOB_IN",3,78,false,13000000000,false,null,12000000,"settle",false,null,2,0]"#,
            ],
        ),
    ];
    let output = run(&input.concat());
    assert_eq!(replies(&output).len(), 2);
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(stderr.contains("SOMETHING_NEW"), "{stderr}");
    assert_eq!(stderr.lines().count(), 1, "{stderr}");
}

#[test]
fn pages_are_resolved_in_event_order_and_restarts_forget_everything() {
    let later = PAGE.replace("worker.a", "worker.c").replace("north", "south");
    let input = [
        batch(8_000_000_000, &[&start(3), PAGE, r#"["TARGETS",3,"SAVED",0,41]"#, JOB]),
        batch(
            8_001_000_000,
            &[
                r#"["CRASH_NOW",3]"#,
                &start(3),
                &later.replace("worker.b\\\"", "worker.d"),
                r#"["TARGETS",3,"SAVED",0,42]"#,
                PAGE,
                r#"["JOB_IN",3,78,false,13000000000,false,null,null,"stock",false,null,1,"growers"]"#,
            ],
        ),
    ];
    let replies = replies(&run(&input.concat()));
    assert!(replies[0].contains("worker.a"), "{}", replies[0]);
    assert!(replies[1].contains("\"DELIVER\",3,78,\"worker.c\""), "{}", replies[1]);
}

#[test]
fn malformed_input_ends_the_adapter_with_one_message() {
    let started = batch(8_000_000_000, &[&start(3), PAGE, r#"["TARGETS",3,"SAVED",0,41]"#]);
    let no_dispatchers = start(3).replace("\"balancers\": 4", "\"balancers\": 0");
    let rules = "\"answerSlack\": 20000000,";
    let partial_budget =
        start(3).replace(rules, &format!("{rules} \"extraFloor\": 3, \"lookBack\": 5000000000,"));
    let ratio_above_one = start(3).replace(
        rules,
        &format!("{rules} \"extraFloor\": 3, \"repeatRatio\": 1.5, \"lookBack\": 5000000000,"),
    );
    let negative_tail =
        start(3).replace("\"balancers\": 4", "\"balancers\": 4, \"goal\": {\"tailPart\": -1}");
    let cases = [
        (batch(1, &[&partial_budget]), "go together"),
        (batch(1, &[&ratio_above_one]), "budget.ratio"),
        (batch(1, &[&negative_tail]), "tail.weight"),
        (
            batch(1, &[&JOB.replace("false,null,null,\"stock\"", "false,null,-5,\"stock\"")]),
            "JOB_IN.estimate",
        ),
        ("nonsense\n".to_owned(), "not a batch"),
        ("{\"atTime\":-4,\"happened\":[]}\n".to_owned(), "not a batch"),
        ("{\"happened\":[]}\n".to_owned(), "atTime"),
        (batch(1, &["7"]), "an event"),
        (batch(1, &["[]"]), "event.name"),
        (batch(1, &[r#"["JOB_IN",3,"x"]"#]), "JOB_IN.txn"),
        (batch(1, &[r#"["JOB_IN",3]"#]), "JOB_IN.txn is missing"),
        (batch(1, &[&JOB.replace("\"stock\"", "\"nought\"")]), "JOB_IN.kind"),
        (batch(1, &[r#"["DONE",3,77,null,0,"worker.a",true,1,17,null]"#]), "DONE.status"),
        (batch(1, &[r#"["TARGETS",3,"SIDEWAYS",0,41]"#]), "TARGETS.mode"),
        (batch(1, &[r#"["TARGETS",3,"FULL",9,41]"#]), "TARGETS.page"),
        (batch(1, &[r#"["TIMEOUT_FIRED",8,77]"#]), "instance 8"),
        (batch(1, &[&no_dispatchers]), "dispatchers"),
        (batch(1, &[&PAGE.replace("\"ready\"", "\"asleep\""), r#"["TARGETS",3,"FULL",0,1]"#]), "asleep"),
    ];
    for (line, part) in cases {
        let output = run(&format!("{started}{line}"));
        let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(!output.status.success(), "{line}");
        assert!(stderr.contains(part), "{line}: {stderr}");
        assert_eq!(stderr.lines().count(), 1, "{stderr}");
        let written = String::from_utf8(output.stdout).expect("UTF-8");
        assert_eq!(written.lines().count(), 1, "nothing half-written: {written}");
        assert!(written.ends_with("]}\n"));
    }
}

/// A retry budget of one attempt, and only draining excludes workers: a worker missing from the list is still
/// used, and a request that is rejected as full beyond the budget is refused at once.
#[test]
fn further_settings_reach_the_library() {
    let rules = "\"answerSlack\": 20000000,";
    let further =
        "\"extraFloor\": 1.0, \"repeatRatio\": 0.0, \"lookBack\": 5000000000, \"drainBindsAlone\": true,";
    let ended_full = |at: u64, job: u32, go: u32, worker: &str| {
        let done = format!(r#"["DONE",3,{job},null,{go},"{worker}",false,1000000,254,null]"#);
        batch(at, &[&done])
    };
    let target = |reply: &str| if reply.contains("worker.a") { "worker.a" } else { "worker.b\\\"" };
    let mut input = [
        batch(8_000_000_000, &[&start(3).replace(rules, &format!("{rules} {further}")), PAGE]),
        batch(8_000_000_000, &[r#"["TARGETS",3,"SAVED",0,41]"#]),
        batch(8_000_000_000, &[r#"["PAGE",1,[]]"#, r#"["TARGETS",3,"FULL",1,42]"#]),
        batch(8_000_000_000, &[&JOB.replace("null,null,\"stock\",false", "null,12000000,\"stock\",true")]),
        batch(8_000_000_000, &[&JOB.replace(",77,", ",78,")]),
    ]
    .concat();
    let first = replies(&run(&input));
    assert!(first[3].contains("\"DELIVER\",3,77"), "gone does not bind: {}", first[3]);
    input += &ended_full(8_001_000_000, 77, 0, target(&first[3]));
    input += &ended_full(8_002_000_000, 78, 0, target(&first[4]));
    let all = replies(&run(&input));
    assert!(all[5].contains("\"DELIVER\",3,77"), "one further attempt: {}", all[5]);
    assert!(all[6].contains("\"REJECT\",3,78"), "and no second: {}", all[6]);
}
