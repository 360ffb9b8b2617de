//! The clients' listening socket, where the platform passes one on: by the number in `PROXY_LISTEN_FD` in an upgrade, or
//! in systemd's form.

use std::net::TcpListener;
use std::os::unix::process::CommandExt;
use std::process::Command;
use thiserror::Error;

/// Number of the descriptor of the clients' socket.
const LISTEN_FD: &str = "PROXY_LISTEN_FD";
/// How many descriptors systemd passes on.
const SYSTEMD_COUNT: &str = "LISTEN_FDS";
/// The number of the first of them.
const SYSTEMD_FIRST: &str = "LISTEN_FDS_FIRST_FD";
/// The process that they are meant for.
const SYSTEMD_PROCESS: &str = "LISTEN_PID";

/// Why no socket could be inherited.
#[derive(Debug, Error)]
pub enum InheritError {
    /// The variable holds no number.
    #[error("PROXY_LISTEN_FD: '{0}' is no descriptor; it takes the number of the inherited socket")]
    InvalidDescriptor(String),
    /// The program could not be executed again.
    #[error("PROXY_LISTEN_FD: the program could not take it over: {0}")]
    Execute(std::io::Error),
    /// The descriptor is no listening TCP socket.
    #[error("PROXY_LISTEN_FD: not a listening TCP socket: {0}")]
    NotListening(std::io::Error),
    /// The descriptor is not open.
    #[error(
        "PROXY_LISTEN_FD: no socket there; it must be open in this process before the program starts"
    )]
    NoSocket,
}

/// The inherited socket, if there is one; the address that the platform holds can't be bound a second time. The
/// `listenfd` crate reads systemd's form only: where `PROXY_LISTEN_FD` is set, the process executes its own program once
/// more with the variables of that form. It stays the same process, without a child.
///
/// # Errors
///
/// The variable holds no number, the program can't be executed, or there is no listening TCP socket.
pub fn inherited_listener() -> Result<Option<TcpListener>, InheritError> {
    if let Ok(descriptor) = std::env::var(LISTEN_FD) {
        let number: u32 = descriptor
            .parse()
            .map_err(|_| InheritError::InvalidDescriptor(descriptor.clone()))?;
        let own_id = std::process::id().to_string();
        if !has_systemd_form(number, &own_id) {
            return Err(execute_with_systemd_form(number, &own_id));
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

fn has_systemd_form(descriptor: u32, own_id: &str) -> bool {
    let variable = |name| std::env::var(name).ok();
    variable(SYSTEMD_FIRST) == Some(descriptor.to_string())
        && variable(SYSTEMD_COUNT).as_deref() == Some("1")
        && variable(SYSTEMD_PROCESS).as_deref() == Some(own_id)
}

/// Returns only where the program could not be executed.
fn execute_with_systemd_form(descriptor: u32, own_id: &str) -> InheritError {
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
