//! Calls from the admin socket that the serving thread executes: runners disabled and enabled, and call-backs
//! forwarded by the other process of an upgrade. Saves the disabled runners for a successor.

use crate::disabled_file;
use crate::net::admin::{Operation, OperationRequest};
use crate::net::callbacks::{self, CallBack};
use crate::runtime::Runtime;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use tokio::sync::mpsc::UnboundedReceiver;

/// Executes the calls from the admin socket, one after the other.
pub async fn serve_calls(
    runtime: Rc<Runtime>,
    mut requests: UnboundedReceiver<OperationRequest>,
    disabled_file: PathBuf,
) {
    while let Some(OperationRequest { operation, reply }) = requests.recv().await {
        let result = match operation {
            Operation::SetDisabled { runner, disabled } => {
                set_disabled(&runtime, &runner, disabled, &disabled_file)
            }
            Operation::CallBack(call_back) => accept_call_back(&runtime, &call_back),
        };
        // Fails only if the call has already timed out.
        let _ = reply.send(result);
    }
}

/// Disables or enables a runner. Succeeds only once the change is on disk, where a successor finds it.
pub fn set_disabled(runtime: &Runtime, runner: &str, disabled: bool, file: &Path) -> Result<(), String> {
    // First takes over what the other process of an upgrade has written since the last check, which the write
    // below would otherwise undo.
    sync_disabled(runtime, file);
    // The reply on the admin socket is read by tools and keeps its wording, which differs from the log's.
    let (action, answered) = if disabled { ("disabled", "taken out") } else { ("enabled", "put back") };
    if let Err(why) = runtime.set_disabled(runner.to_owned(), disabled, false) {
        log::warn!(runner = runner; "runner not {action}: {why}");
        return Err(why.to_owned());
    }
    log::info!(runner = runner; "runner {action} by an operator");
    disabled_file::write(file, runtime.disabled_runners().iter().map(String::as_str))
        .map_err(|e| format!("{answered} here, but not kept in {}: {e}", file.display()))
}

/// Applies a runner's call-back that the other process of an upgrade forwarded.
pub fn accept_call_back(runtime: &Runtime, call_back: &str) -> Result<(), String> {
    let call_back: CallBack = serde_json::from_str(call_back).map_err(|e| format!("TOLD: {e}"))?;
    if !runtime.has_request(&call_back.id) {
        return Err("no job of that id is under way here".to_owned());
    }
    log::debug!("request {}: a call-back was forwarded by the other process", call_back.id);
    callbacks::apply(runtime, call_back);
    Ok(())
}

/// Applies the file of disabled runners, as written by a predecessor or by the other process of an upgrade.
pub fn sync_disabled(runtime: &Runtime, file: &Path) {
    let saved = match disabled_file::read(file) {
        Ok(saved) => saved,
        Err(e) => return log::warn!("disabled runners: {}: {e}", file.display()),
    };
    let current = runtime.disabled_runners();
    for runner in saved.difference(&current) {
        log::info!(
            runner = runner.as_str();
            "runner disabled by an operator, from the file of disabled runners"
        );
        let _ = runtime.set_disabled(runner.clone(), true, true);
    }
    for runner in current.difference(&saved) {
        log::info!(
            runner = runner.as_str();
            "runner enabled by an operator, from the file of disabled runners"
        );
        let _ = runtime.set_disabled(runner.clone(), false, true);
    }
}
