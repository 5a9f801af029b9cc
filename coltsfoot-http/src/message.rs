//! A TCP stream from which messages are read.

use std::io;
use std::time;

use async_net::TcpStream;
use futures_lite::{AsyncReadExt as _, AsyncWriteExt as _, future};

use crate::{body, header};

/// Bytes asked from the socket at once.
const READ_SIZE: usize = 16 * 1024;
/// Header fields in one head at most.
const MAX_FIELDS: usize = 100;
/// Bytes that are kept for later while an exchange is under way.
const MAX_EARLY_BYTES: usize = 64 * 1024;

/// Interim answers before an answer at most.
const MAX_INTERIM: usize = 16;
/// Bytes of chunk extensions and trailer fields in one body at most; nobody needs them.
const MAX_CHUNK_EXTRAS: usize = 16 * 1024;
/// Reads after which other tasks get a turn: from a peer that sends faster than it is read, a read never
/// waits, so that neither timers nor other connections would be served.
const READS_PER_TURN: usize = 8;

/// A message could not be read.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The connection ended before the message was complete.
    #[error("the connection was closed in the middle of a message; send it again")]
    Closed,
    /// The connection failed.
    #[error("the connection failed: {0}; send the message again")]
    Io(#[from] io::Error),
    /// The head is too long.
    #[error("the head is longer than {0} bytes; send fewer fields")]
    HeadTooLong(usize),
    /// The bytes are no HTTP/1 message.
    #[error("the bytes are not an HTTP/1 message ({0}); check the sender")]
    Malformed(&'static str),
    /// The body's length can't be told.
    #[error(transparent)]
    Framing(#[from] body::FramingError),
    /// The body is too long.
    #[error("the body is longer than {0} bytes; send less")]
    BodyTooLong(usize),
}

/// A buffered stream of messages in both directions.
#[derive(Debug)]
pub struct MessageStream {
    stream: TcpStream,
    buffer: Vec<u8>,
    is_ended: bool,
    reads: usize,
    /// Bytes of chunk extensions and trailer fields of the current message.
    chunk_extras: usize,
}

impl MessageStream {
    /// Wraps a connected stream.
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, buffer: Vec::new(), is_ended: false, reads: 0, chunk_extras: 0 }
    }

    /// Returns a second handle for writing while this one reads.
    pub fn writer(&self) -> TcpStream {
        self.stream.clone()
    }

    /// Writes all bytes.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Returns whether received bytes wait to be read.
    pub fn has_buffered(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Reads once from the socket; returns the number of bytes, zero at its end.
    pub async fn fill(&mut self) -> io::Result<usize> {
        if self.is_ended {
            return Ok(0);
        }
        let mut chunk = [0; READ_SIZE];
        let count = self.stream.read(&mut chunk).await?;
        self.is_ended = count == 0;
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(count)
    }

    /// Reads once and lets other tasks have their turn.
    async fn fill_in_turn(&mut self) -> io::Result<usize> {
        self.reads += 1;
        if self.reads.is_multiple_of(READS_PER_TURN) {
            future::yield_now().await;
        }
        self.fill().await
    }

    /// Waits until the other side closes or resets the connection. Bytes that arrive meanwhile are
    /// kept for the next message.
    pub async fn wait_closed(&mut self) {
        loop {
            if self.buffer.len() >= MAX_EARLY_BYTES {
                return std::future::pending().await;
            }
            match self.fill().await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
    }

    /// Waits until the first byte of a message is there; returns false if the connection ended.
    pub async fn wait_message(&mut self) -> io::Result<bool> {
        while self.buffer.is_empty() {
            if self.fill_in_turn().await? == 0 {
                return Ok(false);
            }
        }
        Ok(true)
    }

    /// Reads the head of a request.
    pub async fn read_request(
        &mut self,
        max_bytes: usize,
    ) -> Result<header::RequestHead, ReadError> {
        loop {
            if let Some((head, length)) = parse_request(&self.buffer)? {
                if length > max_bytes {
                    return Err(ReadError::HeadTooLong(max_bytes));
                }
                self.consume(length);
                self.chunk_extras = 0;
                return Ok(head);
            }
            self.fill_head(max_bytes).await?;
        }
    }

    /// Reads the head of an answer; interim answers are skipped.
    pub async fn read_response(
        &mut self,
        max_bytes: usize,
    ) -> Result<header::ResponseHead, ReadError> {
        let mut interim = 0;
        loop {
            if let Some((head, length)) = parse_response(&self.buffer)? {
                self.consume(length);
                if head.status >= 200 {
                    self.chunk_extras = 0;
                    return Ok(head);
                }
                interim += 1;
                if interim > MAX_INTERIM {
                    return Err(ReadError::Malformed("too many interim answers"));
                }
                continue;
            }
            self.fill_head(max_bytes).await?;
        }
    }

    async fn fill_head(&mut self, max_bytes: usize) -> Result<(), ReadError> {
        if self.buffer.len() > max_bytes {
            return Err(ReadError::HeadTooLong(max_bytes));
        }
        match self.fill_in_turn().await? {
            0 => Err(ReadError::Closed),
            _ => Ok(()),
        }
    }

    /// Reads the next part of a body; `None` at its end.
    pub async fn read_part(
        &mut self,
        framing: &mut body::BodyFraming,
    ) -> Result<Option<Vec<u8>>, ReadError> {
        loop {
            match *framing {
                body::BodyFraming::Done => return Ok(None),
                body::BodyFraming::Sized(left) => {
                    let part = self.take_up_to(left).await?;
                    *framing = match left - part.len() as u64 {
                        0 => body::BodyFraming::Done,
                        left => body::BodyFraming::Sized(left),
                    };
                    return Ok(Some(part));
                }
                body::BodyFraming::ChunkSize => {
                    let line = self.read_line().await?;
                    let size = body::parse_chunk_size(&line)
                        .ok_or(ReadError::Malformed("chunk size is no hexadecimal number"))?;
                    let extension = line.iter().skip_while(|byte| **byte != b';').count();
                    self.count_extras(extension)?;
                    *framing = match size {
                        0 => body::BodyFraming::Trailer,
                        size => body::BodyFraming::ChunkData(size),
                    };
                }
                body::BodyFraming::ChunkData(left) => {
                    let part = self.take_up_to(left).await?;
                    *framing = match left - part.len() as u64 {
                        0 => body::BodyFraming::ChunkEnd,
                        left => body::BodyFraming::ChunkData(left),
                    };
                    return Ok(Some(part));
                }
                body::BodyFraming::ChunkEnd => {
                    if !self.read_line().await?.is_empty() {
                        return Err(ReadError::Malformed("chunk is longer than its size"));
                    }
                    *framing = body::BodyFraming::ChunkSize;
                }
                body::BodyFraming::Trailer => {
                    let line = self.read_line().await?;
                    self.count_extras(line.len())?;
                    if line.is_empty() {
                        *framing = body::BodyFraming::Done;
                    }
                }
                body::BodyFraming::UntilClose => {
                    if self.buffer.is_empty() && self.fill_in_turn().await? == 0 {
                        *framing = body::BodyFraming::Done;
                        return Ok(None);
                    }
                    return Ok(Some(std::mem::take(&mut self.buffer)));
                }
            }
        }
    }

    /// Reads a whole body.
    pub async fn read_body(
        &mut self,
        mut framing: body::BodyFraming,
        max_bytes: usize,
    ) -> Result<Vec<u8>, ReadError> {
        if matches!(framing, body::BodyFraming::Sized(size) if size > max_bytes as u64) {
            return Err(ReadError::BodyTooLong(max_bytes));
        }
        let mut whole = Vec::new();
        while let Some(part) = self.read_part(&mut framing).await? {
            if whole.len() + part.len() > max_bytes {
                return Err(ReadError::BodyTooLong(max_bytes));
            }
            whole.extend_from_slice(&part);
        }
        Ok(whole)
    }

    fn count_extras(&mut self, bytes: usize) -> Result<(), ReadError> {
        self.chunk_extras += bytes;
        if self.chunk_extras > MAX_CHUNK_EXTRAS {
            return Err(ReadError::Malformed("too many chunk extensions or trailer fields"));
        }
        Ok(())
    }

    async fn take_up_to(&mut self, left: u64) -> Result<Vec<u8>, ReadError> {
        if self.buffer.is_empty() && self.fill_in_turn().await? == 0 {
            return Err(ReadError::Closed);
        }
        let count = self.buffer.len().min(usize::try_from(left).unwrap_or(usize::MAX));
        let rest = self.buffer.split_off(count);
        Ok(std::mem::replace(&mut self.buffer, rest))
    }

    async fn read_line(&mut self) -> Result<Vec<u8>, ReadError> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let mut line = self.buffer[..end].to_vec();
                self.consume(end + 1);
                if line.pop() != Some(b'\r') {
                    return Err(ReadError::Malformed("line does not end with CR LF"));
                }
                return Ok(line);
            }
            if self.buffer.len() > body::MAX_CHUNK_LINE {
                return Err(ReadError::Malformed("chunk line is too long"));
            }
            if self.fill_in_turn().await? == 0 {
                return Err(ReadError::Closed);
            }
        }
    }

    fn consume(&mut self, count: usize) {
        self.buffer.drain(..count);
    }
}

/// Parses a request's head; `None` if it isn't complete.
pub fn parse_request(bytes: &[u8]) -> Result<Option<(header::RequestHead, usize)>, ReadError> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut request = httparse::Request::new(&mut fields);
    let httparse::Status::Complete(length) =
        request.parse(bytes).map_err(|_| ReadError::Malformed("request head"))?
    else {
        return Ok(None);
    };
    let head = header::RequestHead {
        method: request.method.unwrap_or_default().to_owned(),
        target: request.path.unwrap_or_default().to_owned(),
        minor_version: request.version.unwrap_or_default(),
        headers: collect_fields(request.headers),
    };
    Ok(Some((head, length)))
}

/// Parses an answer's head; `None` if it isn't complete.
pub fn parse_response(bytes: &[u8]) -> Result<Option<(header::ResponseHead, usize)>, ReadError> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut response = httparse::Response::new(&mut fields);
    let httparse::Status::Complete(length) =
        response.parse(bytes).map_err(|_| ReadError::Malformed("answer head"))?
    else {
        return Ok(None);
    };
    let head = header::ResponseHead {
        status: response.code.unwrap_or_default(),
        reason: response.reason.unwrap_or_default().to_owned(),
        minor_version: response.version.unwrap_or_default(),
        headers: collect_fields(response.headers),
    };
    Ok(Some((head, length)))
}

fn collect_fields(fields: &[httparse::Header<'_>]) -> header::HeaderList {
    let mut headers = header::HeaderList::default();
    for field in fields {
        headers.push(field.name, field.value.trim_ascii());
    }
    headers
}

/// Runs a future for a limited time; `None` if the time ran out.
pub async fn with_timeout<T>(limit: time::Duration, future: impl Future<Output = T>) -> Option<T> {
    let run = async { Some(future.await) };
    let expire = async {
        async_io::Timer::after(limit).await;
        None
    };
    futures_lite::future::or(run, expire).await
}
