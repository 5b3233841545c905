//! The platform's HTTP/1.1. This layer only parses and writes; all frontends use the same decisions of the
//! core.

pub mod client;
pub mod endpoint;
mod idle;
pub mod inbound;
pub mod request;
pub mod reuse;

/// Largest body of a request or a response, in bytes.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Largest head (first line and headers), in bytes.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Most headers of a message that are parsed.
const MAX_HEADERS: usize = 64;
/// A longer time is read as this one, some 30 years, so that a sum with the clock cannot overflow.
const MAX_SECONDS: f64 = 1e9;

/// Framing of a message, from its HTTP version and headers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Framing {
    /// Content-Length, if there is one.
    pub length: Option<usize>,
    /// There is a Transfer-Encoding, which is not supported.
    pub chunked: bool,
    /// The connection closes after this message.
    pub close: bool,
}

/// Determines the framing; the error is the reason why the headers are invalid.
pub fn framing(version: Option<u8>, headers: &[httparse::Header]) -> Result<Framing, &'static str> {
    let mut framing = Framing { length: None, chunked: false, close: version == Some(0) };
    for header in headers {
        let value = std::str::from_utf8(header.value).unwrap_or("").trim();
        if header.name.eq_ignore_ascii_case("content-length") {
            let is_digits = !value.is_empty() && value.bytes().all(|b| b.is_ascii_digit());
            let length = value.parse().ok().filter(|_| is_digits).ok_or("bad Content-Length")?;
            if framing.length.is_some_and(|earlier| earlier != length) {
                return Err("two lengths");
            }
            framing.length = Some(length);
        } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
            framing.chunked = true;
        } else if header.name.eq_ignore_ascii_case("connection") {
            let has_token =
                |token: &str| value.split(',').any(|item| item.trim().eq_ignore_ascii_case(token));
            framing.close = framing.close && !has_token("keep-alive") || has_token("close");
        }
    }
    Ok(framing)
}

/// Value of the first header with this name, if it is text.
pub fn header_value<'a>(headers: &'a [httparse::Header], name: &str) -> Option<&'a str> {
    let header = headers.iter().find(|header| header.name.eq_ignore_ascii_case(name))?;
    std::str::from_utf8(header.value).ok().map(str::trim)
}

/// Most digits that a client may write before and after the decimal point.
const MAX_DIGITS: usize = 9;

/// Parses a time in seconds that a client sends. A time with too many digits makes the request invalid.
pub fn parse_client_seconds(text: &str) -> Option<onyxrock::interface::Micros> {
    parse_seconds(text).filter(|_| text.split('.').all(|digits| digits.len() <= MAX_DIGITS))
}

/// Parses seconds with decimals: digits and an optional decimal point, without a sign or an exponent.
pub fn parse_seconds(text: &str) -> Option<onyxrock::interface::Micros> {
    let (integer, fraction) = text.split_once('.').unwrap_or((text, "0"));
    let is_digits = |t: &str| !t.is_empty() && t.bytes().all(|b| b.is_ascii_digit());
    let seconds: f64 = text.parse().ok().filter(|_| is_digits(integer) && is_digits(fraction))?;
    Some(onyxrock::interface::Micros::from_secs(seconds.min(MAX_SECONDS)))
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
    fn times_are_digits_of_any_length_and_nothing_else(#[case] text: &str, #[case] micros: Option<u64>) {
        assert_eq!(parse_seconds(text), micros.map(Micros));
        let short = !text.split('.').any(|digits| digits.len() > 9);
        assert_eq!(parse_client_seconds(text), parse_seconds(text).filter(|_| short));
        assert_eq!(parse_seconds(&"9".repeat(400)), Some(Micros(1_000_000_000_000_000)), "no overflow");
    }
}
