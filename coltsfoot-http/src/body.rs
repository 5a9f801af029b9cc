//! Body framing of HTTP/1.1 messages: content length, chunks or end of connection.

use crate::header;

/// Longest line of a chunked body: a size with extensions, or a trailer field, in bytes.
pub const MAX_CHUNK_LINE: usize = 1024;

/// Ambiguous or unsupported framing fields, which could be used for request smuggling.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum FramingError {
    /// Both `Content-Length` and `Transfer-Encoding`, or a coding other than `chunked`.
    #[error("the transfer coding is not plain `chunked`; send one length or chunks")]
    Coding,
    /// `Content-Length` is not a number, or there are several that differ.
    #[error("the content length is not one number; send one length")]
    Length,
}

/// Framing of the rest of a body, advanced as the body is read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyFraming {
    /// The body is complete.
    Done,
    /// A number of bytes follows.
    Sized(u64),
    /// A chunk size follows.
    ChunkSize,
    /// A number of bytes of the current chunk follows.
    ChunkData(u64),
    /// The line end after a chunk follows.
    ChunkEnd,
    /// Trailer fields follow.
    Trailer,
    /// The body ends when its sender closes the connection.
    UntilClose,
    /// The same for a body of which nothing has arrived: without a byte of it, nothing tells a complete
    /// response from one that broke off.
    NonEmptyUntilClose,
}

impl BodyFraming {
    /// Returns the framing of a request's body; without framing fields there is none.
    pub fn of_request(headers: &header::HeaderList) -> Result<Self, FramingError> {
        Ok(declared_framing(headers)?.unwrap_or(Self::Done))
    }

    /// Returns the framing of the body of a response to a request with the given method.
    pub fn of_response(head: &header::ResponseHead, method: &str) -> Result<Self, FramingError> {
        let has_no_body = method == "HEAD" || matches!(head.status, 100..=199 | 204 | 304);
        if has_no_body {
            return Ok(Self::Done);
        }
        let until_close = match head.status {
            200..=299 => Self::NonEmptyUntilClose,
            _ => Self::UntilClose,
        };
        Ok(declared_framing(&head.headers)?.unwrap_or(until_close))
    }
}

fn declared_framing(headers: &header::HeaderList) -> Result<Option<BodyFraming>, FramingError> {
    let mut length: Option<u64> = None;
    for value in headers.values("content-length") {
        let digits = value.iter().all(u8::is_ascii_digit) && !value.is_empty();
        let text = str::from_utf8(value).map_err(|_| FramingError::Length)?;
        let number = text.parse().map_err(|_| FramingError::Length)?;
        if !digits || length.is_some_and(|known| known != number) {
            return Err(FramingError::Length);
        }
        length = Some(number);
    }
    let mut codings = headers.values("transfer-encoding");
    let Some(coding) = codings.next() else {
        return Ok(length.map(|length| match length {
            0 => BodyFraming::Done,
            length => BodyFraming::Sized(length),
        }));
    };
    let is_chunked = coding.eq_ignore_ascii_case(b"chunked") && codings.next().is_none();
    if !is_chunked || length.is_some() {
        return Err(FramingError::Coding);
    }
    Ok(Some(BodyFraming::ChunkSize))
}

/// Parses the size line of a chunk, without its line end. Extensions are ignored.
pub fn parse_chunk_size(line: &[u8]) -> Option<u64> {
    let digits = line.split(|byte| *byte == b';').next()?;
    let digits = digits.trim_ascii_end();
    if digits.is_empty() || digits.len() > 15 || !digits.iter().all(u8::is_ascii_hexdigit) {
        return None;
    }
    u64::from_str_radix(str::from_utf8(digits).ok()?, 16).ok()
}

/// Encodes bytes as one chunk.
pub fn encode_chunk(data: &[u8]) -> Vec<u8> {
    let mut chunk = format!("{:x}\r\n", data.len()).into_bytes();
    chunk.extend_from_slice(data);
    chunk.extend_from_slice(b"\r\n");
    chunk
}

/// Last chunk of a chunked body, without trailer fields.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";
