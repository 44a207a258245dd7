//! The records of a snapshot: their export, and their restoring.

use super::*;

/// A resolved or unresolved key, as stored in a snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// The owner of the key.
    pub member: Member,
    /// The number of the class.
    pub class: u32,
    /// The key.
    pub key: Vec<u8>,
    /// Identifies the content of the request.
    pub fingerprint: Fingerprint,
    /// When the request was resolved; for a request in progress, when the record was made.
    pub resolved_at: Time,
    /// How the request ended: served, or may have run.
    pub resolution: Resolution,
}

impl Store {
    /// Returns records of all keys for a snapshot, oldest first. `sent` returns the attempts of a request in
    /// progress; a request without any is recorded as sent to an unknown place, since it may be sent after
    /// this call.
    pub fn records(&self, now: Time, sent: impl Fn(RunId) -> Option<SentAttempts>) -> Vec<Record> {
        let record = |id: &Id, fingerprint, resolved_at, resolution| {
            let (member, class) = (member_of(id), class_of(id));
            Record { member, class, key: id[8..].to_vec(), fingerprint, resolved_at, resolution }
        };
        let mut all = Vec::with_capacity(self.len());
        for class in &self.classes {
            for (id, entry) in class.served.iter().chain(&class.uncertain) {
                let resolution = match (&entry.sent, &entry.result) {
                    (Some(sent), _) => Resolution::MayHaveRun(*sent),
                    (None, Some(result)) => Resolution::Served(result.clone()),
                    // The result was not stored, so a repeat must fail: recorded with an unknown place.
                    (None, None) => Resolution::MayHaveRun(SentAttempts::single(None, entry.resolved_at)),
                };
                all.push(record(id, entry.fingerprint, entry.resolved_at, resolution));
            }
        }
        for (id, entry) in &self.in_progress {
            let unknown = SentAttempts::single(None, now);
            let sent = match (entry.earlier, sent(entry.run)) {
                (Some(earlier), Some(sent)) => earlier.merge(sent),
                (earlier, sent) => earlier.or(sent).unwrap_or(unknown),
            };
            all.push(record(id, entry.fingerprint, now, Resolution::MayHaveRun(sent)));
        }
        // A deterministic order, independent of the hash seeds.
        let order = |r: &Record| (r.resolved_at, r.member, r.class);
        all.sort_by(|a, b| order(a).cmp(&order(b)).then_with(|| a.key.cmp(&b.key)));
        all
    }

    /// Loads the records of a previous process; returns the number loaded. Skips expired records and records
    /// of unknown classes; if not all fit, skips the oldest.
    pub fn restore(&mut self, now: Time, mut records: Vec<Record>) -> usize {
        records.sort_by_key(|record| record.resolved_at);
        let mut loaded = 0;
        let room = self.bounds.max_entries.saturating_sub(self.len());
        let skip = records.len().saturating_sub(room);
        for record in records.into_iter().skip(skip) {
            let Some(retention) = self.classes.get(record.class as usize).map(|class| class.retention) else {
                continue;
            };
            // If the clock was set back, a time in the future must not extend the lifetime of a key.
            let resolved_at = record.resolved_at.min(now);
            let lifetime = if matches!(record.resolution, Resolution::Served(_)) {
                retention.window
            } else {
                retention.uncertain_ttl
            };
            let key = record.key.as_slice();
            if resolved_at + lifetime <= now || key.is_empty() || key.len() > self.bounds.max_key_bytes {
                continue;
            }
            let (result, sent) = match record.resolution {
                Resolution::Served(result) => (Some(result), None),
                Resolution::MayHaveRun(sent) => (None, Some(sent)),
                Resolution::NeverRan => continue,
            };
            write_id(&mut self.scratch, record.member, record.class, key);
            let need = ENTRY_OVERHEAD_BYTES + self.scratch.len();
            if self.usage.bytes + need > self.bounds.max_bytes
                || self.in_progress.contains_key(self.scratch.as_slice())
            {
                continue;
            }
            let known = self.classes[record.class as usize].served.contains_key(self.scratch.as_slice())
                || self.classes[record.class as usize].uncertain.contains_key(self.scratch.as_slice());
            if known {
                continue;
            }
            self.usage.add(record.member, self.scratch.len());
            let id: Id = self.scratch.as_slice().into();
            self.insert_resolved(
                now,
                id,
                Resolved { fingerprint: record.fingerprint, resolved_at, result, sent },
            );
            loaded += 1;
        }
        loaded
    }
}
