//! Room in the store: what fits, what expires, and what is evicted.

use super::*;

impl Store {
    /// Whether this many more entries and bytes fit, after evicting resolved keys that are outside their
    /// window.
    pub(super) fn fits(&mut self, now: Time, entries: usize, bytes: usize) -> bool {
        let fit = |store: &Store| {
            store.len() + entries <= store.bounds.max_entries
                && store.bytes() + bytes <= store.bounds.max_bytes
        };
        for _ in 0..MAX_REMOVALS_PER_CALL {
            if fit(self) {
                return true;
            }
            if !self.evict_oldest(now) {
                return false;
            }
        }
        fit(self)
    }

    /// Returns the retry delay for a new key if there is no room for it.
    pub(super) fn refusal_delay(&mut self, now: Time, member: Member, need: usize) -> Option<Span> {
        self.expire(now, 2);
        let member_entries = |store: &Store| store.usage.by_member.get(&member).copied().unwrap_or(0);
        if member_entries(self) >= self.bounds.max_entries_per_member {
            self.expire(now, MAX_REMOVALS_PER_CALL);
            if member_entries(self) >= self.bounds.max_entries_per_member {
                self.counts.member_full += 1;
                return Some(self.time_to_room(now));
            }
        }
        if !self.fits(now, 1, need) {
            self.counts.full += 1;
            return Some(self.time_to_room(now));
        }
        None
    }

    /// Finds the resolved key whose window ends first: its end, its class, and its queue (0: served, 1:
    /// uncertain).
    pub(super) fn first_window_end(&self) -> Option<(Time, usize, usize)> {
        let ends = self.classes.iter().enumerate().flat_map(|(number, class)| {
            let fronts = [class.served.front(), class.uncertain.front()];
            let end = move |(_, entry): (&Id, &Resolved)| entry.resolved_at + class.retention.window;
            fronts.into_iter().enumerate().filter_map(move |(l, f)| f.map(|f| (end(f), number, l)))
        });
        ends.min()
    }

    /// The time until the first window of a resolved key ends; `hold_off` if there is none or it has ended.
    pub(super) fn time_to_room(&self, now: Time) -> Span {
        let left = self.first_window_end().map_or(Span(0), |(end, ..)| end - now);
        if left.0 == 0 { self.bounds.hold_off } else { left }
    }

    /// Removes up to `max` expired keys; returns the number removed.
    pub fn expire(&mut self, now: Time, max: usize) -> usize {
        let mut removed = 0;
        for class in &mut self.classes {
            let Retention { window, uncertain_ttl } = class.retention;
            for (queue, lifetime) in [(&mut class.served, window), (&mut class.uncertain, uncertain_ttl)] {
                while removed < max
                    && queue.front().is_some_and(|(_, entry)| entry.resolved_at + lifetime <= now)
                {
                    let (id, entry) = queue.pop_front().expect("inspected above");
                    self.usage.remove_resolved(&id, &entry);
                    removed += 1;
                }
            }
        }
        removed
    }

    /// Evicts the resolved key whose window ended first; returns whether there was one. Never evicts a key
    /// inside its window.
    pub(super) fn evict_oldest(&mut self, now: Time) -> bool {
        let Some((_, class, queue)) = self.first_window_end().filter(|(end, ..)| *end <= now) else {
            return false;
        };
        let class = &mut self.classes[class];
        let queue = if queue == 0 { &mut class.served } else { &mut class.uncertain };
        let (id, entry) = queue.pop_front().expect("its front was just inspected");
        if entry.sent.is_some() {
            self.counts.evicted += 1;
        }
        self.usage.remove_resolved(&id, &entry);
        true
    }
}
