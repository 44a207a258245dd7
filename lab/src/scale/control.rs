//! What control costs on the wire, by side, for each dispatcher: everything but requests, answers and call-backs.
//! It owns what counts as control; it must never count anything itself.

use super::figures::Values;
use super::play::Played;
use super::publisher::told;

/// Adds `control.SIDE.*` to the figures of a point, out of those of its parts.
pub fn control(played: &Played, values: &mut Values) {
    for side in ["real", "hollow"] {
        let own = played.layout.dispatchers.iter().filter(|d| d.hollow == (side == "hollow"));
        if own.count() == 0 {
            continue;
        }
        let of = |role: &str, name: &str| {
            values.get(&format!("{role}.{side}.{name}_per_s")).copied().unwrap_or(0.0)
        };
        let discovery = |name: &str| of("discovery", name);
        let runners = |name: &str| of("runners", name);
        let lists = discovery("bytes_out.lists");
        let changes = discovery("bytes_out.changes");
        let empty = discovery("bytes_out.empty_lines");
        let asked = discovery("bytes_in");
        let probes = runners("bytes_in.probes") + runners("bytes_out.probes");
        // Reports are counted together, whether probes or call-backs bring them; all are alike in length.
        let (probed, ended) = (runners("probes"), runners("ended"));
        let reports = runners("bytes_out.reports") * ended / (probed + ended).max(1e-9);
        let handed = settings(played);
        let digest = digest(played);
        let bytes = lists + changes + empty + asked + probes + reports + handed.0 + digest.0;
        let messages = discovery("whole_lists")
            + discovery("changes")
            + discovery("empty_lines")
            + discovery("calls.lists")
            + discovery("calls.watches")
            + probed * 2.0
            + handed.1
            + digest.1;
        for (name, value) in [
            ("bytes_per_s", bytes),
            ("messages_per_s", messages),
            ("bytes_lists_per_s", lists),
            ("bytes_changes_per_s", changes),
            ("bytes_empty_lines_per_s", empty),
            ("bytes_asked_per_s", asked),
            ("bytes_probes_per_s", probes),
            ("bytes_reports_in_callbacks_per_s", reports),
            ("bytes_settings_per_s", handed.0),
            ("bytes_digest_per_s", digest.0),
        ] {
            values.insert(format!("control.{side}.{name}"), value);
        }
    }
}

/// Bytes and messages a second of the digest, which tells every dispatcher the same; what a follower is told at its
/// start is one more.
fn digest(played: &Played) -> (f64, f64) {
    let (from, to) = (played.samples[0].at_us, played.samples[1].at_us);
    let (seconds, told) = ((to - from) as f64 / 1e6, told(&played.published, from, to));
    let wholes = told.wholes / played.layout.dispatchers.len() as f64;
    ((told.frames + wholes) / seconds, told.count / seconds)
}

/// Bytes and messages a second of settings handed to a dispatcher, each version whole, as a file.
fn settings(played: &Played) -> (f64, f64) {
    let seconds = (played.samples[1].at_us - played.samples[0].at_us) as f64 / 1e6;
    let versions = played.changes.iter().filter(|change| change.what == "settings").count() as f64;
    let length = played.layout.settings.to_string().len() as f64;
    (versions * length / seconds, versions / seconds)
}
