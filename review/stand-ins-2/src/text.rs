//! Reads single fields out of JSON texts whose form is known: enough for the messages of the protocols.

/// The value of the first string field of this name, without escapes.
pub fn string_field(json: &str, name: &str) -> Option<String> {
    let quoted = format!("\"{name}\"");
    let after_name = json.split_once(quoted.as_str())?.1.trim_start().strip_prefix(':')?;
    let value = after_name.trim_start().strip_prefix('"')?;
    Some(value[..value.find('"')?].to_owned())
}

/// The number behind `name=` in a text, in milliseconds.
pub fn work_ms(text: &str) -> u64 {
    let digits = text.split_once("work_ms=").map_or("", |(_, rest)| rest);
    digits.chars().take_while(char::is_ascii_digit).collect::<String>().parse().unwrap_or(50)
}
