//! Admission of keyed requests, and what their outcomes leave in the store.

use super::*;

impl Store {
    /// Decides on a request with a key. If it may start or be sent again, the key is in progress as `run`
    /// until [`resolve`](Store::resolve).
    ///
    /// Prevents a repeat from running a second time, in particular at another place. A client that uses one
    /// key for two requests gets the first result for both, unless their paths or bodies differ.
    pub fn admit(&mut self, now: Time, request: &KeyedRequest, run: RunId) -> Admission {
        if request.key.is_empty() || request.key.len() > self.bounds.max_key_bytes {
            return Admission::InvalidKey;
        }
        let Some(class) = self.classes.get_mut(request.class as usize) else { return Admission::InvalidKey };
        write_id(&mut self.scratch, request.member, request.class, request.key);
        let id = self.scratch.as_slice();
        if let Some(entry) = self.in_progress.get(id) {
            if entry.fingerprint != request.fingerprint {
                self.counts.conflicts += 1;
                return Admission::Conflict;
            }
            self.counts.joined += 1;
            return Admission::Join(entry.run);
        }
        let retention = class.retention;
        if let Some(entry) = class.served.get(id).filter(|entry| now < entry.resolved_at + retention.window) {
            return if entry.fingerprint != request.fingerprint {
                self.counts.conflicts += 1;
                Admission::Conflict
            } else if let Some(result) = &entry.result {
                self.counts.replayed += 1;
                Admission::Replay(result.clone())
            } else {
                self.counts.result_not_stored += 1;
                Admission::ResultNotStored
            };
        }
        if let Some(entry) =
            class.uncertain.get(id).filter(|entry| now < entry.resolved_at + retention.uncertain_ttl)
        {
            if entry.fingerprint != request.fingerprint {
                self.counts.conflicts += 1;
                return Admission::Conflict;
            }
            let sent =
                entry.sent.filter(|sent| sent.place.is_some() && now < sent.first_at + retention.window);
            let Some(sent) = sent else {
                self.counts.not_repeatable += 1;
                return Admission::NotRepeatable;
            };
            // The entry moves from resolved to in progress; its memory use stays the same.
            let (id, entry) = class.uncertain.remove_entry(id).expect("looked up above");
            self.usage.resolved -= 1;
            self.counts.resent += 1;
            self.in_progress
                .insert(id, InProgress { fingerprint: entry.fingerprint, run, earlier: Some(sent) });
            return Admission::Resend(sent);
        }
        if request.retry && now < class.reject_unknown_retries_until {
            self.counts.unknown_retries += 1;
            return Admission::UnknownRetry;
        }
        let need = ENTRY_OVERHEAD_BYTES + id.len();
        if let Some(wait) = self.refusal_delay(now, request.member, need) {
            return Admission::Full(wait);
        }
        // An expired entry of the key may still be queued.
        let class = &mut self.classes[request.class as usize];
        for queue in [&mut class.served, &mut class.uncertain] {
            if let Some((id, entry)) = queue.remove_entry(self.scratch.as_slice()) {
                self.usage.remove_resolved(&id, &entry);
            }
        }
        self.counts.started += 1;
        self.usage.add(request.member, self.scratch.len());
        let entry = InProgress { fingerprint: request.fingerprint, run, earlier: None };
        self.in_progress.insert(self.scratch.as_slice().into(), entry);
        Admission::New
    }

    /// Records how the request of a key ended. Does nothing if the key is not in progress.
    pub fn resolve(&mut self, now: Time, member: Member, class: u32, key: &[u8], resolution: Resolution) {
        write_id(&mut self.scratch, member, class, key);
        let Some((id, entry)) = self.in_progress.remove_entry(self.scratch.as_slice()) else { return };
        let (result, sent) = match (resolution, entry.earlier) {
            (Resolution::Served(result), _) => (Some(result), None),
            (Resolution::MayHaveRun(sent), earlier) => {
                (None, Some(earlier.map_or(sent, |earlier| earlier.merge(sent))))
            }
            // This attempt never ran, but an earlier one may have.
            (Resolution::NeverRan, Some(earlier)) => (None, Some(earlier)),
            (Resolution::NeverRan, None) => {
                self.usage.remove(member, id.len());
                return;
            }
        };
        self.insert_resolved(
            now,
            id,
            Resolved { fingerprint: entry.fingerprint, resolved_at: now, result, sent },
        );
    }

    pub(super) fn insert_resolved(&mut self, now: Time, id: Id, mut entry: Resolved) {
        if let Some(result) = &entry.result {
            let size = result.len();
            if size > self.bounds.max_result_bytes || !self.fits(now, 0, size) {
                self.counts.results_dropped += 1;
                entry.result = None;
            } else {
                self.usage.bytes += size;
            }
        }
        self.usage.resolved += 1;
        let class = &mut self.classes[class_of(&id) as usize];
        let queue = if entry.sent.is_some() { &mut class.uncertain } else { &mut class.served };
        queue.insert(id, entry);
    }
}
