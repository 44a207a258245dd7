//! Invalid values in load reports.

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

/// An invalid value must not distort what is computed from the other values, now or later.
#[test]
fn invalid_values_count_as_not_reported() {
    let tables = tables();
    for invalid in [f64::NAN, f64::INFINITY, f64::NEG_INFINITY, -1.0] {
        let row = tables.report(vec![Some(invalid), Some(20.0), Some(invalid)]);
        let named = tables.named_report([("inflight", invalid), ("latency_ms", 20.0), ("eps", invalid)]);
        for report in [row, named] {
            assert_eq!((report.inflight, report.errors_per_s), (None, None), "{invalid}");
            assert_eq!(report.latency.map(|latency| latency.0), Some(20_000_000), "{invalid}");
        }
    }
}
