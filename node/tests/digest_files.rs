//! The load digest's settings: the publisher's file and the `[digest]` section of the operator's file. An
//! error names the key at fault.

use sablerun_node::operator::Operator;
use sablerun_node::publisher::Config;
use sablerun_settings::{NameTable, Tables};

const PUBLISHER: &str = "listen = \"127.0.0.1:7500\"\ndiscovery = \"127.0.0.1:8500\"\n";

fn tables() -> Tables {
    Tables {
        workers: NameTable::default(),
        zones: NameTable::default(),
        kinds: NameTable::default(),
        classes: NameTable::default(),
        tenants: NameTable::default(),
        fields: Vec::new(),
    }
}

#[test]
fn the_shipped_file_is_valid() {
    let text = std::fs::read_to_string("../deploy/digest.toml").unwrap();
    let shipped = Config::parse(&text).unwrap();
    let defaults = Config::parse(PUBLISHER).unwrap();
    assert_eq!((shipped.every_ms, shipped.bytes_per_s), (defaults.every_ms, defaults.bytes_per_s));
    assert_eq!(shipped.fields, defaults.fields);
}

#[test]
fn an_error_in_a_publishers_file_names_the_key() {
    for (line, key) in [
        ("every_ms = 0", "every_ms"),
        ("every_ms = -1", "every_ms"),
        ("every_ms = 60001", "every_ms"),
        ("bytes_per_s = 99", "bytes_per_s"),
        ("fields = []", "fields"),
        ("evry_ms = 1000", "evry_ms"),
        ("listen = \"nowhere\"", "listen"),
    ] {
        let text = match line.starts_with("listen") {
            true => PUBLISHER.replace("listen = \"127.0.0.1:7500\"", line),
            false => format!("{PUBLISHER}{line}\n"),
        };
        let error = Config::parse(&text).unwrap_err();
        assert!(error.contains(key), "of {line}: {error}");
    }
    assert!(Config::parse("listen = \"127.0.0.1:7500\"").unwrap_err().contains("discovery"));
}

#[test]
fn an_error_in_an_operators_section_names_the_key() {
    let section = |lines: &str| format!("[digest]\nat = \"127.0.0.1:7500\"\n{lines}\n");
    let valid = Operator::parse(&section("")).unwrap();
    assert!(valid.check(&tables(), 256).is_ok());
    let digest = valid.digest.unwrap();
    assert_eq!((digest.every_s, digest.silent_s), (1.0, 3.0));
    for (lines, key) in [
        ("every_s = 0.0", "digest: every_s"),
        ("silent_s = 0.5", "digest: silent_s"),
        ("every_s = 2.0\nsilent_s = 1.0", "digest: silent_s"),
        ("silent_s = nan", "digest: silent_s"),
    ] {
        let error = Operator::parse(&section(lines)).unwrap().check(&tables(), 256).unwrap_err();
        assert!(error.starts_with(key), "of {lines}: {error}");
    }
    for (text, key) in [("[digest]\n".to_owned(), "at"), (section("silent = 3.0"), "silent")] {
        let error = Operator::parse(&text).unwrap_err();
        assert!(error.contains(key), "of {text}: {error}");
    }
}
