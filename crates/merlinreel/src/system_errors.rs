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
mod tests {
    use super::*;
    use test_case::test_case;

    #[test_case(libc::ECONNABORTED => true ; "given up")]
    #[test_case(libc::EINTR => true ; "a signal")]
    #[test_case(libc::EPROTO => true ; "a protocol error")]
    #[test_case(libc::EHOSTUNREACH => true ; "a network error of the connection")]
    #[test_case(libc::EMFILE => false ; "no descriptor of the process")]
    #[test_case(libc::ENFILE => false ; "no descriptor of the system")]
    #[test_case(libc::ENOBUFS => false ; "no buffer")]
    #[test_case(libc::ENOMEM => false ; "no memory")]
    fn errors_of_accept(number: i32) -> bool {
        concerns_one_connection(&io::Error::from_raw_os_error(number))
    }

    #[test_case(libc::EADDRNOTAVAIL => true ; "no port")]
    #[test_case(libc::ENETUNREACH => true ; "no route")]
    #[test_case(libc::ENOBUFS => true ; "no buffer")]
    #[test_case(libc::ENOMEM => true ; "no memory")]
    #[test_case(libc::EAGAIN => true ; "no port for a moment")]
    #[test_case(libc::EMFILE => true ; "no descriptor of the process")]
    #[test_case(libc::ENFILE => true ; "no descriptor of the system")]
    #[test_case(libc::EINTR => true ; "a signal")]
    #[test_case(libc::EPERM => true ; "a firewall rule")]
    #[test_case(libc::ECONNREFUSED => false ; "nobody listens")]
    #[test_case(libc::ETIMEDOUT => false ; "nobody answers")]
    #[test_case(libc::EHOSTUNREACH => false ; "no such host on the way")]
    #[test_case(libc::ECONNRESET => false ; "it was up and ended")]
    fn errors_of_connect(number: i32) -> bool {
        is_of_this_machine(&io::Error::from_raw_os_error(number))
    }
}
