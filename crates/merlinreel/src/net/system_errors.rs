//! Classifies errors of system calls: do they concern one connection, the remote end or this machine? See the Linux manual
//! pages accept(2), connect(2), socket(2) and bind(2).

use std::io;

/// Whether an error of `accept` concerns only the connection that was to be accepted, so that the next one can be accepted
/// at once: the client aborted it, the network reported an error for it, or a signal interrupted the call.
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

/// Whether an error of `socket`, `connect` or `bind` is caused by this machine and says nothing about the remote end: no
/// descriptor, memory, address or port is available, the network is down or has no route, a local rule forbids the
/// connection, or a signal interrupted the call. Not among these are a connection refused, reset or timed out and an
/// unreachable host, which do concern the remote end.
pub fn is_local_error(error: &io::Error) -> bool {
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
