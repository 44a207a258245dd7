//! The part of the scale run that plays the discovery.

/// Plays the part until standard input ends.
///
/// # Errors
///
/// If it could not begin.
pub fn run() -> Result<(), String> {
    Err("not there yet".to_owned())
}
