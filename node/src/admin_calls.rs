//! What operators ask of the serving thread by the door: runners taken out and put back, and call-backs that
//! the other process of an upgrade hands on. It owns how bans are kept for a successor. It must never
//! answer for the core, which says what came of a call.

use crate::disabled_file;
use crate::net::admin::{Operation, OperationRequest};
use crate::net::callbacks::{self, CallBack};
use crate::runtime::Runtime;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use tokio::sync::mpsc::UnboundedReceiver;

/// Carries out what callers at the door ask of the serving thread, one after the other.
pub async fn serve_calls(
    runtime: Rc<Runtime>,
    mut asked: UnboundedReceiver<OperationRequest>,
    bans: PathBuf,
) {
    while let Some(OperationRequest { operation, reply }) = asked.recv().await {
        let done = match operation {
            Operation::SetDisabled { runner, disabled } => set_disabled(&runtime, &runner, disabled, &bans),
            Operation::CallBack(call_back) => accept_call_back(&runtime, &call_back),
        };
        // Fails only if the caller was answered already: its time was over.
        let _ = reply.send(done);
    }
}

/// Takes a runner out by hand, or puts it back. The yes is given once the ban is on disk, where a successor
/// finds it.
pub fn set_disabled(runtime: &Runtime, runner: &str, out: bool, file: &Path) -> Result<(), String> {
    // What the other process of an upgrade has kept since the last look stays kept.
    sync_disabled(runtime, file);
    let word = if out { "taken out" } else { "put back" };
    if let Err(why) = runtime.set_disabled(runner.to_owned(), out, false) {
        log::warn!(runner = runner; "runner not {word}: {why}");
        return Err(why.to_owned());
    }
    log::info!(runner = runner; "runner {word} by hand");
    disabled_file::write(file, runtime.disabled_runners().iter().map(String::as_str))
        .map_err(|e| format!("{word} here, but not kept in {}: {e}", file.display()))
}

/// Takes a runner's call-back that the other process of an upgrade handed on.
pub fn accept_call_back(runtime: &Runtime, call_back: &str) -> Result<(), String> {
    let told: CallBack = serde_json::from_str(call_back).map_err(|e| format!("TOLD: {e}"))?;
    if !runtime.has_request(&told.id) {
        return Err("no job of that id is under way here".to_owned());
    }
    log::debug!("request {}: a call-back was handed on", told.id);
    callbacks::apply(runtime, told);
    Ok(())
}

/// Takes on the bans that the file holds: a predecessor's, or the other process's during an upgrade.
pub fn sync_disabled(runtime: &Runtime, file: &Path) {
    let kept = match disabled_file::read(file) {
        Ok(kept) => kept,
        Err(e) => return log::warn!("bans: {}: {e}", file.display()),
    };
    let here = runtime.disabled_runners();
    for runner in kept.difference(&here) {
        log::info!(runner = runner.as_str(); "runner taken out by hand, as the file of bans says");
        let _ = runtime.set_disabled(runner.clone(), true, true);
    }
    for runner in here.difference(&kept) {
        log::info!(runner = runner.as_str(); "runner put back by hand, as the file of bans says");
        let _ = runtime.set_disabled(runner.clone(), false, true);
    }
}
