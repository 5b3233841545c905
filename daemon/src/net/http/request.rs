//! Requests of HTTP clients: where one ends, and what it asks for.

use super::{Framing, MAX_BODY_BYTES, MAX_HEAD_BYTES, MAX_HEADERS, framing, parse_client_seconds};
use crate::net::smpp::MessageNote;
use onyxrock::core::AcceptedMessage;
use onyxrock::interface::Micros;
use percent_encoding::percent_decode_str;
use std::sync::Arc;

/// Identifies the HTTP frontend in stored records.
pub const FRONTEND_ID: u8 = 0;
/// Subtracted from a client's deadline: the deadline counts from the moment of sending, a little before the
/// request is read here, and the notice of the final status needs time as well.
const DEADLINE_MARGIN: Micros = Micros(100_000);
/// Longest value of a header that is used, in bytes.
const MAX_VALUE_BYTES: usize = 256;

/// A parsed request.
#[derive(Debug)]
pub enum Request {
    /// Whether this process takes messages.
    Ready,
    Counters,
    Members,
    Duties,
    /// Submits a message.
    Submit(Box<AcceptedMessage>),
}

/// A request that is answered with a client error. The connection stays open if the framing of the request
/// is valid.
pub struct ClientError(pub u16, pub &'static str);

/// How much of the next request is in the buffer.
pub enum Progress {
    /// All of it: where its body begins, where it ends, and its framing.
    Complete(usize, usize, Framing),
    /// Its head; the length of all of it.
    Head(usize),
    /// A part of its head.
    PartOfHead,
}

/// Looks for the end of a request while it comes in, in time that grows with its length alone, however small the pieces
/// are in which it comes.
#[derive(Default)]
pub struct IncrementalParsing {
    /// Bytes that were there when the head was parsed last.
    parsed_bytes: usize,
    /// Once the head is complete: where the body begins, where the request ends, and its framing.
    head: Option<(usize, usize, Framing)>,
}

impl IncrementalParsing {
    /// Looks at the bytes that are there by now, from the first one of the request on.
    pub fn advance(&mut self, data: &[u8]) -> Result<Progress, ClientError> {
        if self.head.is_none() && self.is_parsing_due(data) {
            self.parsed_bytes = data.len();
            self.head = find_request_end(data)?;
        }
        Ok(match self.head {
            None => Progress::PartOfHead,
            Some((body_at, end, framing)) if data.len() >= end => Progress::Complete(body_at, end, framing),
            Some((_, end, _)) => Progress::Head(end),
        })
    }

    /// A head can only be complete behind the end of a line. What can never be one is to be found out soon, too.
    fn is_parsing_due(&self, data: &[u8]) -> bool {
        data.len() >= 2 * self.parsed_bytes
            || data.len() > MAX_HEAD_BYTES
            || data[self.parsed_bytes..].contains(&b'\n')
    }
}

/// Where the body begins and where the request ends, once its head is complete.
fn find_request_end(data: &[u8]) -> Result<Option<(usize, usize, Framing)>, ClientError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let body_at = match request.parse(data) {
        Ok(httparse::Status::Complete(n)) => n,
        Ok(httparse::Status::Partial) if data.len() > MAX_HEAD_BYTES => {
            return Err(ClientError(431, "head too large"));
        }
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(ClientError(400, "not HTTP")),
    };
    let framing = framing(request.version, request.headers).map_err(|reason| ClientError(400, reason))?;
    if framing.chunked {
        return Err(ClientError(411, "a length is needed"));
    }
    let length = framing.length.unwrap_or(0);
    if length > MAX_BODY_BYTES {
        return Err(ClientError(413, "body too large"));
    }
    Ok(Some((body_at, body_at + length, framing)))
}

/// Value of a header that may occur once at most. A repeated header, or one with unprintable bytes, could
/// be read differently here and at the endpoint.
fn printable_header<'h>(headers: &'h [httparse::Header], name: &str) -> Result<Option<&'h str>, ClientError> {
    single_header(headers, name, |c| c == ' ' || c.is_ascii_graphic())
}

/// Value of a header that names a class or a tenant. Such names may be any text and are not sent to
/// endpoints.
fn name_header<'h>(headers: &'h [httparse::Header], name: &str) -> Result<Option<&'h str>, ClientError> {
    single_header(headers, name, |c| !c.is_control())
}

/// Value of a header that occurs once at most, is short, and consists of allowed characters.
fn single_header<'h>(
    headers: &'h [httparse::Header], name: &str, is_allowed: impl Fn(char) -> bool,
) -> Result<Option<&'h str>, ClientError> {
    let mut all = headers.iter().filter(|h| h.name.eq_ignore_ascii_case(name));
    let Some(header) = all.next() else { return Ok(None) };
    let text = std::str::from_utf8(header.value).ok().map(str::trim);
    match (text.filter(|t| t.len() <= MAX_VALUE_BYTES && t.chars().all(is_allowed)), all.next()) {
        (Some(text), None) => Ok(Some(text)),
        _ => Err(ClientError(400, "a header that cannot be used")),
    }
}

/// Whether the path begins with this class, literally or percent-encoded. A class name may contain
/// characters that otherwise end a path segment.
fn path_names_class(target: &str, class: &str) -> bool {
    let target = target.trim_start_matches('/');
    let decoded = percent_decode_str(target).decode_utf8_lossy();
    let starts_with_class =
        |t: &str| t.strip_prefix(class).is_some_and(|rest| rest.is_empty() || rest.starts_with(['/', '?']));
    target.is_empty() || target.starts_with('?') || starts_with_class(target) || starts_with_class(&decoded)
}

/// Parses a complete request.
pub fn parse(bytes: Vec<u8>, body_at: usize, received_at: Micros) -> Result<Request, ClientError> {
    let mut request = parse_head(&bytes, body_at, received_at)?;
    if let Request::Submit(message) = &mut request {
        message.body = bytes[body_at..].into();
    }
    Ok(request)
}

/// Parses a complete request but for its body.
fn parse_head(bytes: &[u8], body_at: usize, received_at: Micros) -> Result<Request, ClientError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    request.parse(&bytes[..body_at]).map_err(|_| ClientError(400, "not HTTP"))?;
    let target = request.path.unwrap_or("");
    let path = target.split('?').next().unwrap_or("");
    let headers = &*request.headers;
    match (request.method.unwrap_or(""), path) {
        ("GET", "/ready") => return Ok(Request::Ready),
        ("GET", "/counters") => return Ok(Request::Counters),
        ("GET", "/members") => return Ok(Request::Members),
        ("GET", "/duties") => return Ok(Request::Duties),
        ("POST", _) => {}
        _ => return Err(ClientError(404, "nothing here")),
    }
    let in_path = path.trim_start_matches('/').split('/').next().unwrap_or("");
    let in_path = percent_decode_str(in_path).decode_utf8_lossy();
    let class = name_header(headers, "x-class")?.unwrap_or(&in_path);
    if !path_names_class(target, class) {
        return Err(ClientError(400, "class in path and header differ"));
    }
    let id = printable_header(headers, "x-request-id")?
        .filter(|i| !i.is_empty())
        .ok_or(ClientError(400, "no X-Request-Id"))?;
    let key = printable_header(headers, "idempotency-key")?.unwrap_or("");
    let time_left = printable_header(headers, "x-deadline")?
        .and_then(parse_client_seconds)
        .ok_or(ClientError(400, "bad X-Deadline"))?;
    let envelope = printable_header(headers, "x-envelope")?.unwrap_or("");
    let digits = |text: &&str| !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
    let destination = envelope
        .split([',', ';', ' '])
        .find_map(|part| part.trim().strip_prefix("dest="))
        .filter(digits)
        .and_then(|d| d.parse().ok())
        .ok_or(ClientError(400, "no dest in X-Envelope"))?;
    // A gateway needs an address, which HTTP clients may give in addition to the destination.
    let to = envelope.split([',', ';', ' ']).find_map(|part| part.trim().strip_prefix("to="));
    let note = to.map_or(String::new(), |to| {
        MessageNote { destination: to.into(), ..MessageNote::default() }.encode()
    });
    let margin = DEADLINE_MARGIN.min(Micros(time_left.0 / 8));
    Ok(Request::Submit(Box::new(AcceptedMessage {
        number: 0,
        frontend: FRONTEND_ID,
        request_id: id.to_owned(),
        class: class.to_owned(),
        recorded_class: None,
        tenant: name_header(headers, "x-tenant")?.unwrap_or("").to_owned(),
        destination,
        idempotency_key: key.to_owned(),
        frontend_note: note,
        wants_receipt: false,
        deadline: received_at.plus(time_left.since(margin)),
        body: Arc::default(),
    })))
}
