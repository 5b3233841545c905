//! The platform's HTTP/1.1: thin, on the same decisions as every other front.

pub mod client;
pub mod endpoint;
pub mod inbound;
pub mod reuse;

/// Bodies of requests.
pub const BODY_MOST: usize = 64 * 1024;
/// First line and headers.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
const HEADERS: usize = 64;
/// A longer time is read as this one: some 30 years, which adds to any clock.
const SECONDS_MOST: f64 = 1e9;

/// What a message's headers say of its framing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Framing {
    pub length: Option<usize>,
    pub chunked: bool,
    pub close: bool,
}

pub fn framing(version: Option<u8>, headers: &[httparse::Header]) -> Result<Framing, &'static str> {
    let mut f = Framing { length: None, chunked: false, close: version == Some(0) };
    for h in headers {
        let value = std::str::from_utf8(h.value).unwrap_or("").trim();
        if h.name.eq_ignore_ascii_case("content-length") {
            let digits = !value.is_empty() && value.bytes().all(|b| b.is_ascii_digit());
            let n = value.parse().ok().filter(|_| digits).ok_or("bad Content-Length")?;
            if f.length.is_some_and(|l| l != n) {
                return Err("two lengths");
            }
            f.length = Some(n);
        } else if h.name.eq_ignore_ascii_case("transfer-encoding") {
            f.chunked = true;
        } else if h.name.eq_ignore_ascii_case("connection") {
            let says = |what: &str| value.split(',').any(|t| t.trim().eq_ignore_ascii_case(what));
            f.close = f.close && !says("keep-alive") || says("close");
        }
    }
    Ok(f)
}

pub fn header<'a>(headers: &'a [httparse::Header], name: &str) -> Option<&'a str> {
    let h = headers.iter().find(|h| h.name.eq_ignore_ascii_case(name))?;
    std::str::from_utf8(h.value).ok().map(str::trim)
}

/// Digits on each side of the point that a client may write.
const DIGITS_MOST: usize = 9;

/// The seconds that a client gives: a request whose time is longer than any is a wrong one, and not taken on.
pub fn client_seconds(text: &str) -> Option<onyxrock::interface::Micros> {
    seconds(text).filter(|_| text.split('.').all(|part| part.len() <= DIGITS_MOST))
}

/// Seconds with decimals: digits, perhaps a point, and nothing that a number may be written with elsewhere.
pub fn seconds(text: &str) -> Option<onyxrock::interface::Micros> {
    let (whole, part) = text.split_once('.').unwrap_or((text, "0"));
    let digits = |t: &str| !t.is_empty() && t.bytes().all(|b| b.is_ascii_digit());
    let s: f64 = text.parse().ok().filter(|_| digits(whole) && digits(part))?;
    Some(onyxrock::interface::Micros::from_secs(s.min(SECONDS_MOST)))
}

#[cfg(test)]
mod tests {
    use super::*;
    use onyxrock::interface::Micros;
    use rstest::rstest;

    #[rstest]
    #[case("0", Some(0))]
    #[case("1.5", Some(1_500_000))]
    #[case("0.3000000000000000000000000000001", Some(300_000))]
    #[case("00000000000000000000000000000002", Some(2_000_000))]
    #[case("99999999999999999999999999999999999999", Some(1_000_000_000_000_000))]
    #[case("", None)]
    #[case("-1", None)]
    #[case("+1", None)]
    #[case("1e3", None)]
    #[case(".5", None)]
    #[case("5.", None)]
    #[case("inf", None)]
    #[case("NaN", None)]
    #[case("Wed, 21 Oct 2026 07:28:00 GMT", None)]
    fn times_are_digits_of_any_length(#[case] text: &str, #[case] micros: Option<u64>) {
        assert_eq!(seconds(text), micros.map(Micros));
        let short = !text.split('.').any(|part| part.len() > 9);
        assert_eq!(client_seconds(text), seconds(text).filter(|_| short));
        assert_eq!(seconds(&"9".repeat(400)), Some(Micros(1_000_000_000_000_000)), "no overflow");
    }
}
