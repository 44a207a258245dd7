//! The control traffic of each dispatcher, real and hollow: all bytes and messages but requests, answers and
//! call-backs. Computed from what the parts have counted.

use super::figures::Values;
use super::play::PlayedPoint;
use super::publisher::published_between;

/// Adds the figures `control.real.*` and `control.hollow.*` of a point, computed from those of its parts.
pub fn control_costs(played: &PlayedPoint, values: &mut Values) {
    for source in ["real", "hollow"] {
        let dispatchers = played.layout.dispatchers.iter().filter(|d| d.hollow == (source == "hollow"));
        if dispatchers.count() == 0 {
            continue;
        }
        let of = |role: &str, name: &str| {
            values.get(&format!("{role}.{source}.{name}_per_s")).copied().unwrap_or(0.0)
        };
        let discovery = |name: &str| of("discovery", name);
        let runners = |name: &str| of("runners", name);
        let lists = discovery("bytes_out.lists");
        let changes = discovery("bytes_out.changes");
        let empty = discovery("bytes_out.empty_lines");
        let requests = discovery("bytes_in");
        let probes = runners("bytes_in.probes") + runners("bytes_out.probes");
        // Load reports in answers to probes and in call-backs share one counter. All have the same length, so
        // the call-backs' part of the bytes is their part of the number.
        let (probed, ended) = (runners("probes"), runners("ended"));
        let reports = runners("bytes_out.reports") * ended / (probed + ended).max(1e-9);
        let reloads = settings_rates(played);
        let digest = digest_rates(played);
        let bytes = lists + changes + empty + requests + probes + reports + reloads.0 + digest.0;
        let messages = discovery("whole_lists")
            + discovery("changes")
            + discovery("empty_lines")
            + discovery("calls.lists")
            + discovery("calls.watches")
            + probed * 2.0
            + reloads.1
            + digest.1;
        for (name, value) in [
            ("bytes_per_s", bytes),
            ("messages_per_s", messages),
            ("bytes_lists_per_s", lists),
            ("bytes_changes_per_s", changes),
            ("bytes_empty_lines_per_s", empty),
            ("bytes_asked_per_s", requests),
            ("bytes_probes_per_s", probes),
            ("bytes_reports_in_callbacks_per_s", reports),
            ("bytes_settings_per_s", reloads.0),
            ("bytes_digest_per_s", digest.0),
        ] {
            values.insert(format!("control.{source}.{name}"), value);
        }
    }
}

/// Returns bytes and messages a second of the load digest. Every dispatcher receives the same frames; a full
/// digest goes to one follower as it connects, so those bytes are divided among the dispatchers.
fn digest_rates(played: &PlayedPoint) -> (f64, f64) {
    let (from, to) = (played.samples[0].at_us, played.samples[1].at_us);
    let (seconds, published) = ((to - from) as f64 / 1e6, published_between(&played.publisher_log, from, to));
    let full_digests = published.full_digest_bytes / played.layout.dispatchers.len() as f64;
    ((published.frame_bytes + full_digests) / seconds, published.frame_count / seconds)
}

/// Returns bytes and messages a second of new settings; a dispatcher gets each version as a complete file.
fn settings_rates(played: &PlayedPoint) -> (f64, f64) {
    let seconds = (played.samples[1].at_us - played.samples[0].at_us) as f64 / 1e6;
    let versions = played.changes.iter().filter(|change| change.what == "settings").count() as f64;
    let length = played.layout.settings.to_string().len() as f64;
    (versions * length / seconds, versions / seconds)
}
