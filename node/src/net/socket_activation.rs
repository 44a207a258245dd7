//! Socket activation: takes over the clients' listening socket on the descriptor that `$NODE_LISTEN_FD`
//! names, so that a process that replaces another serves the same listen queue without a gap. Holds
//! unsafe code that takes a descriptor by its number, and the checks that make it sound.
//! Never binds a socket, and never closes or takes another descriptor.

use std::os::fd::{FromRawFd, RawFd};
use tokio::net::TcpListener;

/// Returns the listener on the descriptor that the value of `$NODE_LISTEN_FD` names.
///
/// # Errors
///
/// The text is no descriptor number, the descriptor is a standard stream or not open, or it is not a
/// listening TCP socket.
pub fn listener_from_fd(text: &str) -> Result<TcpListener, String> {
    let error = |what: &str| format!("NODE_LISTEN_FD: {text:?}: {what}; unset it to bind $NODE_LISTEN");
    let fd: RawFd = text.trim().parse().map_err(|_| error("is no descriptor number"))?;
    if fd < 3 {
        return Err(error("names a standard stream, not a socket"));
    }
    // Taking a descriptor that is not open would close whatever is opened under its number later. Without
    // /proc, the socket checks below still catch most cases.
    let open_descriptors = std::path::Path::new("/proc/self/fd");
    if open_descriptors.is_dir() && !open_descriptors.join(fd.to_string()).exists() {
        return Err(error("is not open in this process"));
    }
    #[allow(unsafe_code, reason = "the one way to take a descriptor by its number; checked above")]
    // SAFETY: the descriptor is open (checked above), handed to this process to own, and nothing else in
    // the program takes it: only this function reads `$NODE_LISTEN_FD`, once, at start.
    let socket = unsafe { socket2::Socket::from_raw_fd(fd) };
    let checked = check(&socket);
    if let Err(e) = checked {
        // The descriptor is no listener and may have another owner, so it is not closed.
        std::mem::forget(socket);
        return Err(error(&e));
    }
    socket.set_nonblocking(true).map_err(|e| error(&format!("can't be made non-blocking: {e}")))?;
    TcpListener::from_std(socket.into()).map_err(|e| error(&format!("can't be used: {e}")))
}

fn check(socket: &socket2::Socket) -> Result<(), String> {
    let kind = socket.r#type().map_err(|e| format!("is not a socket ({e})"))?;
    let address = socket.local_addr().map_err(|e| format!("has no address ({e})"))?;
    if kind != socket2::Type::STREAM || address.as_socket().is_none() {
        return Err("is not a TCP socket".to_owned());
    }
    match socket.is_listener() {
        Ok(true) => Ok(()),
        Ok(false) => Err("is a TCP socket that does not listen".to_owned()),
        Err(e) => Err(format!("can't be asked whether it listens ({e})")),
    }
}
