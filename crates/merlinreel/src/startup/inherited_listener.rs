//! The listening socket for clients, if the platform passes one on: by its descriptor number in `PROXY_LISTEN_FD` during an
//! upgrade, or by socket activation of systemd.

use std::net::TcpListener;
use std::os::unix::process::CommandExt;
use std::process::Command;
use thiserror::Error;

/// Environment variable with the descriptor number of the listening socket for clients.
const LISTEN_FD: &str = "PROXY_LISTEN_FD";
/// Environment variable with the number of descriptors that systemd passes on.
const SYSTEMD_COUNT: &str = "LISTEN_FDS";
/// Environment variable with the number of the first descriptor that is passed on.
const SYSTEMD_FIRST: &str = "LISTEN_FDS_FIRST_FD";
/// Environment variable with the id of the process that the descriptors are passed to.
const SYSTEMD_PROCESS: &str = "LISTEN_PID";

/// Why no socket could be inherited.
#[derive(Debug, Error)]
pub enum InheritError {
    /// The value of `PROXY_LISTEN_FD` is not a descriptor number.
    #[error("PROXY_LISTEN_FD: expected the descriptor number of the inherited socket, found '{0}'")]
    InvalidDescriptor(String),
    /// The program could not be executed again.
    #[error("PROXY_LISTEN_FD: cannot execute the program again to inherit the socket: {0}")]
    Execute(std::io::Error),
    /// The descriptor is not a listening TCP socket.
    #[error(
        "PROXY_LISTEN_FD or LISTEN_FDS: the inherited descriptor is not a listening TCP socket: {0}"
    )]
    NotListening(std::io::Error),
    /// The descriptor is not open.
    #[error(
        "PROXY_LISTEN_FD or LISTEN_FDS: the inherited descriptor is not open; it must be open before the program starts"
    )]
    NoSocket,
}

/// Returns the inherited socket, if there is one. It is needed because an address that the platform already listens at can't
/// be bound again. The `listenfd` crate reads only the variables of systemd: if `PROXY_LISTEN_FD` is set, the process sets
/// these and executes its own program again. It stays the same process and has no child.
///
/// # Errors
///
/// The value of `PROXY_LISTEN_FD` is not a number, the program can't be executed, or the descriptor is not a listening TCP
/// socket.
pub fn inherited_listener() -> Result<Option<TcpListener>, InheritError> {
    if let Ok(descriptor) = std::env::var(LISTEN_FD) {
        let number: u32 = descriptor
            .parse()
            .map_err(|_| InheritError::InvalidDescriptor(descriptor.clone()))?;
        let own_id = std::process::id().to_string();
        if !has_systemd_variables(number, &own_id) {
            return Err(execute_with_systemd_variables(number, &own_id));
        }
    }
    let mut descriptors = listenfd::ListenFd::from_env();
    if descriptors.len() == 0 {
        return Ok(None);
    }
    let listener = descriptors
        .take_tcp_listener(0)
        .map_err(InheritError::NotListening)?
        .ok_or(InheritError::NoSocket)?;
    listener
        .set_nonblocking(true)
        .map_err(InheritError::NotListening)?;
    Ok(Some(listener))
}

fn has_systemd_variables(descriptor: u32, own_id: &str) -> bool {
    let variable = |name| std::env::var(name).ok();
    variable(SYSTEMD_FIRST) == Some(descriptor.to_string())
        && variable(SYSTEMD_COUNT).as_deref() == Some("1")
        && variable(SYSTEMD_PROCESS).as_deref() == Some(own_id)
}

/// Executes the program again. Returns only if that fails.
fn execute_with_systemd_variables(descriptor: u32, own_id: &str) -> InheritError {
    let program = match std::env::current_exe() {
        Ok(program) => program,
        Err(error) => return InheritError::Execute(error),
    };
    let error = Command::new(program)
        .args(std::env::args_os().skip(1))
        .env(SYSTEMD_COUNT, "1")
        .env(SYSTEMD_FIRST, descriptor.to_string())
        .env(SYSTEMD_PROCESS, own_id)
        .exec();
    InheritError::Execute(error)
}
