//! What an error of a system call says, and about whom (Linux manual pages accept(2), connect(2), socket(2), bind(2)).

use std::io;

/// Whether an error of `accept` concerns only the one connection that it would have been, so that the next one can be
/// accepted at once: the client gave it up, the network had an error for it, or a signal came.
pub fn concerns_one_connection(error: &io::Error) -> bool {
    matches!(
        error.raw_os_error(),
        Some(
            libc::ECONNABORTED
                | libc::EINTR
                | libc::EPERM
                | libc::EPROTO
                | libc::ENETDOWN
                | libc::ENOPROTOOPT
                | libc::EHOSTDOWN
                | libc::ENONET
                | libc::EHOSTUNREACH
                | libc::EOPNOTSUPP
                | libc::ENETUNREACH
                | libc::ETIMEDOUT
        )
    )
}

/// Whether an error of `socket`, `connect` or `bind` is a fault of this machine, which says nothing about the peer: no
/// descriptor, memory or port is available, the route is down or closed here, or a signal came. Connections refused, reset
/// or timed out and an unreachable host do say something about it, and are none of these.
pub fn is_of_this_machine(error: &io::Error) -> bool {
    matches!(
        error.raw_os_error(),
        Some(
            libc::EMFILE
                | libc::ENFILE
                | libc::ENOBUFS
                | libc::ENOMEM
                | libc::EAGAIN
                | libc::EADDRNOTAVAIL
                | libc::EADDRINUSE
                | libc::ENETUNREACH
                | libc::ENETDOWN
                | libc::EACCES
                | libc::EPERM
                | libc::EINTR
        )
    )
}

#[cfg(test)]
mod tests;
