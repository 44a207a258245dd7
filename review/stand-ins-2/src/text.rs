//! Reads single fields out of JSON texts whose form is known: enough for the messages of the protocols.

use std::time::Duration;

/// The value of the first string field of this name, without escapes.
pub fn string_field(json: &str, name: &str) -> Option<String> {
    let quoted = format!("\"{name}\"");
    let after_name = json.split_once(quoted.as_str())?.1.trim_start().strip_prefix(':')?;
    let value = after_name.trim_start().strip_prefix('"')?;
    Some(value[..value.find('"')?].to_owned())
}

/// The speed of a machine of the kind `k4-slow`, where the yardstick is 1.
const SPEED: f64 = 0.55;

/// How long a machine of the kind `k4-slow` runs a job, by the work behind `work_ms=` in its text.
pub fn running_time(text: &str) -> Duration {
    Duration::from_secs_f64(work_ms(text) as f64 / 1e3 / SPEED)
}

/// The number behind `work_ms=` in a text, in milliseconds.
fn work_ms(text: &str) -> u64 {
    let digits = text.split_once("work_ms=").map_or("", |(_, rest)| rest);
    digits.chars().take_while(char::is_ascii_digit).collect::<String>().parse().unwrap_or(50)
}
