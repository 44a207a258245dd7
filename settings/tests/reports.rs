//! What a load report's figures become. It owns the spoilt ones; it must never know how a report is written.

use sablerun_settings::{Field, NameTable, Tables};

fn tables() -> Tables {
    let fields = [("outstanding", Field::Inflight), ("recent_ms", Field::Latency), ("eps", Field::Errors)];
    Tables {
        workers: NameTable::default(),
        zones: NameTable::default(),
        kinds: NameTable::default(),
        classes: NameTable::default(),
        tenants: NameTable::default(),
        fields: fields.map(|(name, field)| (name.to_owned(), field)).to_vec(),
    }
}

/// One figure that is none must not spoil what is reckoned from the others, now or later.
#[test]
fn what_is_no_figure_is_not_told() {
    let tables = tables();
    for odd in [f64::NAN, f64::INFINITY, f64::NEG_INFINITY, -1.0] {
        let row = tables.report(vec![Some(odd), Some(20.0), Some(odd)]);
        let named = tables.named_report([("inflight", odd), ("latency_ms", 20.0), ("eps", odd)]);
        for report in [row, named] {
            assert_eq!((report.inflight, report.errors_per_s), (None, None), "{odd}");
            assert_eq!(report.latency.map(|latency| latency.0), Some(20_000_000), "{odd}");
        }
    }
}
