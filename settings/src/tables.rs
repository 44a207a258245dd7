//! Tables that map names to numbers and back, and the meaning of a load report's fields. A number, once
//! assigned, never changes; it refers to another name only after [`NameTable::rename`].

use sablerun as sr;
use std::collections::HashMap;

/// Interned names, numbered in the order in which they were first seen.
#[derive(Clone, Debug, Default)]
pub struct NameTable {
    pub(crate) numbers: HashMap<String, u32>,
    names: Vec<String>,
    quoted: Vec<String>,
}

impl NameTable {
    /// Creates a table of these names.
    pub fn of<'a>(names: impl IntoIterator<Item = &'a String>) -> NameTable {
        let mut all = NameTable::default();
        for name in names {
            all.intern(name);
        }
        all
    }

    /// Returns the number of a name, and assigns one to a new name.
    pub fn intern(&mut self, name: &str) -> u32 {
        if let Some(&number) = self.numbers.get(name) {
            return number;
        }
        let number = self.names.len() as u32;
        self.numbers.insert(name.to_owned(), number);
        self.names.push(name.to_owned());
        self.quoted.push(serde_json::Value::from(name).to_string());
        number
    }

    /// Passes the number of a name on to a new name; returns whether it did. The old name has no number then.
    pub fn rename(&mut self, old: &str, new: &str) -> bool {
        if self.numbers.contains_key(new) {
            return false;
        }
        let Some(number) = self.numbers.remove(old) else { return false };
        self.numbers.insert(new.to_owned(), number);
        self.names[number as usize] = new.to_owned();
        self.quoted[number as usize] = serde_json::Value::from(new).to_string();
        true
    }

    /// The number of a known name.
    pub fn get(&self, name: &str) -> Option<u32> {
        self.numbers.get(name).copied()
    }

    /// The name with this number.
    pub fn name(&self, number: u32) -> &str {
        &self.names[number as usize]
    }

    /// All names, in the order of their numbers.
    pub fn all(&self) -> &[String] {
        &self.names
    }

    /// The name with this number, as a JSON string.
    pub fn quoted(&self, number: u32) -> &str {
        &self.quoted[number as usize]
    }
}

/// The meaning of a field of a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Field {
    Inflight,
    Latency,
    FreeSlots,
    FreeMemory,
    Errors,
    Unused,
}

impl Field {
    /// Sets the report's field to a value. An invalid value (`NaN`, infinite, negative) counts as absent.
    pub fn set(self, report: &mut sr::Report, value: Option<f64>) {
        let value = value.filter(|value| value.is_finite() && *value >= 0.0);
        match self {
            Field::Inflight => report.inflight = value,
            Field::Latency => report.latency = value.map(|ms| sr::Span::from_secs(ms / 1e3)),
            Field::FreeSlots => report.free_slots = value,
            Field::FreeMemory => report.free_memory = value,
            Field::Errors => report.errors_per_s = value,
            Field::Unused => {}
        }
    }
}

/// The tables that map names to the balancer's ids, and the meaning of a report's fields.
#[derive(Clone, Debug)]
pub struct Tables {
    pub workers: NameTable,
    pub zones: NameTable,
    pub kinds: NameTable,
    pub classes: NameTable,
    pub tenants: NameTable,
    /// The report's fields by name, in the settings' order.
    pub fields: Vec<(String, Field)>,
}

impl Tables {
    /// Creates a report from a row of values in the settings' order.
    pub fn report(&self, row: Vec<Option<f64>>) -> sr::Report {
        let mut report = sr::Report::default();
        for ((_, field), value) in self.fields.iter().zip(row) {
            field.set(&mut report, value);
        }
        report
    }

    /// Creates a report from named values. On sockets some fields have a shorter name than in the settings;
    /// both are accepted.
    pub fn named_report<'a>(&self, values: impl IntoIterator<Item = (&'a str, f64)>) -> sr::Report {
        let mut report = sr::Report::default();
        for (name, value) in values {
            let long = match name {
                "inflight" => "outstanding",
                "latency_ms" => "recent_ms",
                "eps" => "errors_per_s",
                "queue" => "backlog",
                "util" => "utilization",
                "qps" => "throughput",
                name => name,
            };
            if let Some((_, field)) = self.fields.iter().find(|(known, _)| known == name || known == long) {
                field.set(&mut report, Some(value));
            }
        }
        report
    }
}
