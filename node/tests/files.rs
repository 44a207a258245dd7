//! Files and derived values without sockets: the file of disabled runners, the operator's file, the page of
//! metrics, and the limits computed from the settings.

#[path = "common/env.rs"]
mod env;

use env::test_env;
use sablerun_node::disabled_file::{read, write};
use sablerun_node::limits::Limits;
use sablerun_node::metrics::{AnswerKind, Metrics};
use sablerun_node::operator::Operator;
use std::path::Path;
use std::time::Duration;

#[test]
fn disabled_names_are_read_back_as_written() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("sablerun-bans");
    assert!(read(&file).unwrap().is_empty());
    write(&file, ["s-1", "s-0"]).unwrap();
    assert_eq!(read(&file).unwrap().into_iter().collect::<Vec<_>>(), ["s-0", "s-1"]);
    write(&file, []).unwrap();
    assert!(read(&file).unwrap().is_empty());
}

#[test]
fn an_error_names_the_key_and_its_line() {
    let error = |text: &str| Operator::parse(text).unwrap_err();
    assert!(error("[keys]\nentries = 5\nentires = 6\n").starts_with("line 3: keys.entires: unknown field"));
    assert!(error("[keys]\nentries = \"many\"\n").starts_with("line 2: keys.entries: invalid type"));
    assert!(error("[keys]\n\n[keys.snapshot]\nevery_s = 1\n").contains("missing field `file`"));
    assert!(error("[kees]\n").starts_with("line 1: kees: unknown field"));
    assert!(error("a = \n").starts_with("line 1: "));
    assert!(error("listen = \"127.0.0.1:1\"\n[keys]\n").starts_with("keys: the Faktory front's keys stand"));
    let check = |text: &str| Operator::parse(text).unwrap().keys.unwrap().check(192).unwrap_err();
    assert_eq!(check("[keys]\nmemory_mb = 97\n"), "memory_mb: from 1 to 96, half of the machine's");
    assert_eq!(check("[keys]\nmember_share = 0\n"), "member_share: above 0, and 1 at the most");
    assert_eq!(check("[keys]\nremember_s = -1\n"), "remember_s: from 0 to 86400");
}

#[test]
fn the_files_under_deploy_are_valid() {
    for name in ["gateway.toml", "keys.toml"] {
        let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../deploy").join(name);
        Operator::read(&path).unwrap();
    }
}

#[test]
fn the_metrics_page_lists_each_class_and_metric_once() {
    let metrics = Metrics::default();
    metrics.class("bin-check").count(AnswerKind::Answered);
    metrics.class("bin-check").count(AnswerKind::Errored);
    metrics.class("pick-route").count(AnswerKind::Deferred);
    Metrics::add(&metrics.sends);
    Metrics::set(&metrics.current, 14);
    let page = metrics.render();
    for line in [
        "transactions.bin-check.answered=1",
        "transactions.bin-check.deferred=0",
        "transactions.bin-check.errored=1",
        "transactions.pick-route.deferred=1",
        "sends=1",
        "current=14",
        "cluster_size=0",
        "conf_invalid=0",
    ] {
        assert_eq!(page.lines().filter(|l| *l == line).count(), 1, "{line} in {page}");
    }
    assert_eq!(page.lines().count(), 6 + 6);
}

#[test]
fn connection_limits_fit_the_descriptor_limit_and_idle_connections_close_in_time() {
    for sockets in [1024, 4096] {
        let limits = Limits::new(sockets, 192, &test_env(), true);
        assert!(
            limits.max_client_connections
                + limits.max_faktory_connections
                + limits.max_runner_connections
                + 40
                <= sockets
        );
        assert!(limits.idle_timeout <= Duration::from_secs(8));
        assert!(limits.max_open * limits.max_body_bytes <= 192 * 1024 * 1024 / 2);
        assert_eq!(Limits::new(sockets, 192, &test_env(), false).max_faktory_connections, 0);
        let list_validity = sablerun::Settings::default().validity_after_silence;
        assert!(
            limits.watch_silence_timeout + Duration::from_nanos(list_validity.0) <= Duration::from_secs(6)
        );
    }
}
