use super::*;
use test_case::test_case;

#[test_case(libc::ECONNABORTED => true ; "aborted by the client")]
#[test_case(libc::EINTR => true ; "interrupted by a signal")]
#[test_case(libc::EPROTO => true ; "protocol error")]
#[test_case(libc::EHOSTUNREACH => true ; "network error of the connection")]
#[test_case(libc::EMFILE => false ; "process out of descriptors")]
#[test_case(libc::ENFILE => false ; "system out of descriptors")]
#[test_case(libc::ENOBUFS => false ; "out of buffers")]
#[test_case(libc::ENOMEM => false ; "out of memory")]
fn accept_error_concerns_one_connection(number: i32) -> bool {
    concerns_one_connection(&io::Error::from_raw_os_error(number))
}

#[test_case(libc::EADDRNOTAVAIL => true ; "no free port")]
#[test_case(libc::ENETUNREACH => true ; "no route")]
#[test_case(libc::ENOBUFS => true ; "out of buffers")]
#[test_case(libc::ENOMEM => true ; "out of memory")]
#[test_case(libc::EAGAIN => true ; "no free port for now")]
#[test_case(libc::EMFILE => true ; "process out of descriptors")]
#[test_case(libc::ENFILE => true ; "system out of descriptors")]
#[test_case(libc::EINTR => true ; "interrupted by a signal")]
#[test_case(libc::EPERM => true ; "firewall rule")]
#[test_case(libc::ECONNREFUSED => false ; "refused")]
#[test_case(libc::ETIMEDOUT => false ; "timed out")]
#[test_case(libc::EHOSTUNREACH => false ; "unreachable host")]
#[test_case(libc::ECONNRESET => false ; "reset by the remote end")]
fn connect_error_is_caused_by_this_machine(number: i32) -> bool {
    is_local_error(&io::Error::from_raw_os_error(number))
}
