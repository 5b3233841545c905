//! How the HTTP client reads Retry-After headers and classifies connect errors.

use super::*;
use rstest::rstest;

#[rstest]
#[case(Errno::MFILE, true)]
#[case(Errno::NFILE, true)]
#[case(Errno::NOBUFS, true)]
#[case(Errno::ADDRNOTAVAIL, true)]
#[case(Errno::NETUNREACH, true)]
#[case(Errno::CONNREFUSED, false)]
#[case(Errno::TIMEDOUT, false)]
#[case(Errno::HOSTUNREACH, false)]
fn connect_errors_of_this_machine_are_not_blamed_on_the_server(#[case] errno: Errno, #[case] expected: bool) {
    assert_eq!(is_local_failure(&io::Error::from_raw_os_error(errno.raw_os_error())), expected);
    assert!(!is_local_failure(&io::ErrorKind::Other.into()));
}

#[rstest]
#[case(&[], RetryAfter::Absent)]
#[case(&["soon"], RetryAfter::Unreadable)]
#[case(&["1.5", "0.5"], RetryAfter::After(Micros(1_500_000)))]
#[case(&["0.5", "soon", "1.5"], RetryAfter::After(Micros(1_500_000)))]
fn the_longest_of_several_retry_after_headers_applies(
    #[case] values: &[&'static str], #[case] expected: RetryAfter,
) {
    let header = |v: &&'static str| httparse::Header { name: "retry-AFTER", value: v.as_bytes() };
    assert_eq!(RetryAfter::parse(&values.iter().map(header).collect::<Vec<_>>()), expected);
}
