//! What a client of HTTP reads of answers and errors.

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
fn a_failed_connect_tells_of_this_machine_or_of_the_other(#[case] errno: Errno, #[case] local: bool) {
    assert_eq!(is_local(&io::Error::from_raw_os_error(errno.raw_os_error())), local);
    assert!(!is_local(&io::ErrorKind::Other.into()));
}

#[rstest]
#[case(&[], Again::Unsaid)]
#[case(&["soon"], Again::Unread)]
#[case(&["1.5", "0.5"], Again::After(Micros(1_500_000)))]
#[case(&["0.5", "soon", "1.5"], Again::After(Micros(1_500_000)))]
fn of_several_the_longest_holds(#[case] said: &[&'static str], #[case] read: Again) {
    let header = |v: &&'static str| httparse::Header { name: "retry-AFTER", value: v.as_bytes() };
    assert_eq!(Again::read(&said.iter().map(header).collect::<Vec<_>>()), read);
}
