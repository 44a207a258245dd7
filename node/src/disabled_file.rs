//! The file of manually disabled runners under `$TMPDIR`, one name a line. A process and its replacement
//! share it, so that a runner stays disabled over an upgrade, and a call to either admin socket applies to
//! both. The file is replaced by a rename, so that a reader never sees a partial one.

use std::collections::BTreeSet;
use std::io;
use std::path::{Path, PathBuf};

/// The path of the file.
pub fn path() -> PathBuf {
    std::env::temp_dir().join("sablerun-bans")
}

/// Reads the names in the file; none if there is no file yet.
pub fn read(file: &Path) -> io::Result<BTreeSet<String>> {
    match std::fs::read_to_string(file) {
        Ok(text) => {
            Ok(text.lines().map(str::trim).filter(|name| !name.is_empty()).map(str::to_owned).collect())
        }
        Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(BTreeSet::new()),
        Err(e) => Err(e),
    }
}

/// Replaces the file with one that holds these names.
pub fn write<'a>(file: &Path, names: impl IntoIterator<Item = &'a str>) -> io::Result<()> {
    let text: String = names.into_iter().map(|name| format!("{name}\n")).collect();
    let new = file.with_extension(format!("{}.tmp", std::process::id()));
    std::fs::write(&new, text)?;
    std::fs::rename(&new, file)
}
