//! The platform's HTTP/1.1: thin, on the same decisions as every other front.

pub mod client;
pub mod endpoint;
pub mod inbound;

/// Bodies of requests.
pub const BODY_MOST: usize = 64 * 1024;
/// First line and headers.
pub const HEAD_MOST: usize = 16 * 1024;
const HEADERS: usize = 64;

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
            f.close =
                f.close && !value.eq_ignore_ascii_case("keep-alive") || value.eq_ignore_ascii_case("close");
        }
    }
    Ok(f)
}

pub fn header<'a>(headers: &'a [httparse::Header], name: &str) -> Option<&'a str> {
    let h = headers.iter().find(|h| h.name.eq_ignore_ascii_case(name))?;
    std::str::from_utf8(h.value).ok().map(str::trim)
}

/// Seconds with decimals.
pub fn seconds(text: &str) -> Option<onyxrock::interface::Micros> {
    let s: f64 = text.parse().ok()?;
    (s.is_finite() && s >= 0.0).then(|| onyxrock::interface::Micros::from_secs(s))
}
