use super::*;
use test_case::test_case;

#[test_case(libc::ECONNABORTED => true ; "aborted by the client")]
#[test_case(libc::EINTR => true ; "a signal")]
#[test_case(libc::EPROTO => true ; "a protocol error")]
#[test_case(libc::EHOSTUNREACH => true ; "a network error of the connection")]
#[test_case(libc::EMFILE => false ; "no descriptor of the process")]
#[test_case(libc::ENFILE => false ; "no descriptor of the system")]
#[test_case(libc::ENOBUFS => false ; "no buffer")]
#[test_case(libc::ENOMEM => false ; "no memory")]
fn accept_error_concerns_one_connection(number: i32) -> bool {
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
#[test_case(libc::ECONNREFUSED => false ; "refused")]
#[test_case(libc::ETIMEDOUT => false ; "no answer")]
#[test_case(libc::EHOSTUNREACH => false ; "unreachable host")]
#[test_case(libc::ECONNRESET => false ; "reset by the peer")]
fn connect_error_is_of_this_machine(number: i32) -> bool {
    is_of_this_machine(&io::Error::from_raw_os_error(number))
}
