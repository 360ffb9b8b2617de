//! What an error of a system call says, and of whom (Linux manual pages accept(2), connect(2), socket(2), bind(2)).

use std::io;

/// Whether an error of `accept` concerns the one connection that it would have been, so that the next may be taken at
/// once: it was given up before it was taken, the network had an error for it, or a signal came.
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

/// Whether an error of `socket`, `connect` or `bind` is a fault of this machine, which says nothing of the other side:
/// no descriptor, memory or port is to be had, the way out is down or closed here, or a signal came. Refused, reset,
/// timed out and an unreachable host do say something of it, and are none of these.
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
