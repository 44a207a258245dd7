//! Socket activation: the clients' listening socket as the platform hands it down, on the descriptor
//! that `$NODE_LISTEN_FD` names, so that a process that replaces another one serves on the same
//! queue of connections without a moment in which nobody listens. It owns the one unsafe step of the
//! program, taking a descriptor by its number, and the checks that make it sound. It must never bind,
//! close or take any descriptor but the one named.

use std::os::fd::{FromRawFd, RawFd};
use tokio::net::TcpListener;

/// What `$NODE_LISTEN_FD` holds, read and checked: a descriptor of this process that is a TCP socket
/// that listens.
///
/// # Errors
///
/// A line that names what is wrong: the text is no descriptor number, the descriptor is one of the
/// standard streams or not open, or it is not a listening TCP socket.
pub fn listener_from_fd(text: &str) -> Result<TcpListener, String> {
    let wrong = |what: &str| format!("NODE_LISTEN_FD: {text:?}: {what}; unset it to bind $NODE_LISTEN");
    let fd: RawFd = text.trim().parse().map_err(|_| wrong("is no descriptor number"))?;
    if fd < 3 {
        return Err(wrong("names a standard stream, not a socket"));
    }
    // Guards against taking a number that nothing owns: that would make this process close whatever
    // opens under it later. Where /proc is not there, the socket checks below still catch most.
    let listed = std::path::Path::new("/proc/self/fd");
    if listed.is_dir() && !listed.join(fd.to_string()).exists() {
        return Err(wrong("is not open in this process"));
    }
    #[allow(unsafe_code, reason = "the one way to take a descriptor by its number; checked above")]
    // SAFETY: the descriptor is open (checked above), handed to this process to own, and nothing else in
    // the program takes it: only this function reads `$NODE_LISTEN_FD`, once, at start.
    let socket = unsafe { socket2::Socket::from_raw_fd(fd) };
    let checked = check(&socket);
    if let Err(e) = checked {
        // Not ours to close, since it is no listener of ours.
        std::mem::forget(socket);
        return Err(wrong(&e));
    }
    socket.set_nonblocking(true).map_err(|e| wrong(&format!("can't be made non-blocking: {e}")))?;
    TcpListener::from_std(socket.into()).map_err(|e| wrong(&format!("can't be used: {e}")))
}

fn check(socket: &socket2::Socket) -> Result<(), String> {
    let kind = socket.r#type().map_err(|e| format!("is not a socket ({e})"))?;
    let at = socket.local_addr().map_err(|e| format!("has no address ({e})"))?;
    if kind != socket2::Type::STREAM || at.as_socket().is_none() {
        return Err("is not a TCP socket".to_owned());
    }
    match socket.is_listener() {
        Ok(true) => Ok(()),
        Ok(false) => Err("is a TCP socket that does not listen".to_owned()),
        Err(e) => Err(format!("can't be asked whether it listens ({e})")),
    }
}
