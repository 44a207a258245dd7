//! Runners taken out by hand, kept in a file under `$TMPDIR`, which a process and the one that replaces
//! it share: a ban holds over an upgrade, and a call at either door holds for both. It owns the file's
//! form, one name a line, and writes it whole (a new file renamed over the old) so that a reader never
//! sees half of it. It must never decide who is banned: the core does, from what the door or the file
//! tells it.

use std::collections::BTreeSet;
use std::io;
use std::path::{Path, PathBuf};

/// The file of this installation's bans.
pub fn path() -> PathBuf {
    std::env::temp_dir().join("sablerun-bans")
}

/// The names in the file; none where there is no file yet.
pub fn read(file: &Path) -> io::Result<BTreeSet<String>> {
    match std::fs::read_to_string(file) {
        Ok(text) => {
            Ok(text.lines().map(str::trim).filter(|name| !name.is_empty()).map(str::to_owned).collect())
        }
        Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(BTreeSet::new()),
        Err(e) => Err(e),
    }
}

/// Writes the names whole.
pub fn write<'a>(file: &Path, names: impl IntoIterator<Item = &'a str>) -> io::Result<()> {
    let text: String = names.into_iter().map(|name| format!("{name}\n")).collect();
    let new = file.with_extension(format!("{}.tmp", std::process::id()));
    std::fs::write(&new, text)?;
    std::fs::rename(&new, file)
}
