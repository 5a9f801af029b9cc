//! Buffered reading and writing of HTTP/1.1 messages on a TCP stream.

use std::cell;
use std::io;
use std::ops;
use std::pin;
use std::task;
use std::time;

use async_net::TcpStream;
use futures_lite::{AsyncRead as _, AsyncWriteExt as _, future};

use crate::{body, header, memory, socket};

/// Size of one read from the socket, in bytes.
const READ_BYTES: usize = 16 * 1024;
/// Largest number of header fields in a head.
const MAX_FIELDS: usize = 100;
/// Largest number of bytes buffered for the next message while an exchange is in flight.
const MAX_EARLY_BYTES: usize = 16 * 1024;

/// Largest number of interim (1xx) responses before the final one.
const MAX_INTERIM_RESPONSES: usize = 16;
/// Part of its length by which the buffer of a body grows.
const GROWTH_DIVISOR: usize = 4;
/// Largest size of chunk extensions and trailer fields in one body; both are ignored.
const MAX_CHUNK_EXTRA_BYTES: usize = 16 * 1024;
/// Reads after which the task yields: reads from a peer that sends faster than it is read never wait, which
/// would starve timers and other connections.
const READS_PER_YIELD: usize = 8;

thread_local! {
    /// Destination of reads. An array in [`MessageStream::fill`] would be a part of every task that reads.
    static READ_BUFFER: cell::RefCell<Box<[u8]>> =
        cell::RefCell::new(vec![0; READ_BYTES].into_boxed_slice());
}

/// Failure to read a message.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The connection ended before the message was complete.
    #[error("the connection was closed in the middle of a message; send it again")]
    Closed,
    /// The connection failed.
    #[error("the connection failed: {0}; send the message again")]
    Io(#[source] io::Error),
    /// The head exceeds a limit in bytes.
    #[error("the head is longer than {0} bytes; send fewer fields")]
    HeadTooLong(usize),
    /// The bytes are not an HTTP/1 message; names the malformed part.
    #[error("the bytes are not an HTTP/1 message ({0}); check the sender")]
    Malformed(&'static str),
    /// The framing of the body is ambiguous.
    #[error(transparent)]
    Framing(#[from] body::FramingError),
    /// The body exceeds a limit in bytes.
    #[error("the body is longer than {0} bytes; send less")]
    BodyTooLong(usize),
    /// The memory for messages is in use.
    #[error("no memory is left for the message; send it again later")]
    NoMemory,
}

impl From<io::Error> for ReadError {
    /// [`MessageStream::fill`] states a lack of memory as an error of the system does.
    fn from(error: io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::OutOfMemory => Self::NoMemory,
            _ => Self::Io(error),
        }
    }
}

/// How a peer ended a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PeerEnd {
    /// The peer closed it, or its sending side.
    Closed,
    /// It was reset or failed.
    Failed,
}

/// TCP stream with a read buffer, for messages in both directions.
#[derive(Debug)]
pub struct MessageStream {
    stream: TcpStream,
    buffer: Vec<u8>,
    /// Number of bytes of the buffer that were consumed.
    consumed: usize,
    is_ended: bool,
    /// Whether a request was begun on it whose response is not complete.
    is_in_exchange: bool,
    /// Whether the request of the exchange was not written whole.
    is_request_cut: bool,
    reads: usize,
    /// Bytes of chunk extensions and trailer fields of the current message.
    chunk_extra_bytes: usize,
    /// What the buffer holds.
    lease: memory::MemoryLease,
}

impl MessageStream {
    /// Wraps a connected stream to a trusted peer, with an empty buffer.
    pub fn new(stream: TcpStream) -> Self {
        Self::with_lease(stream, memory::MemoryLease::unlimited())
    }

    /// Wraps a connected stream whose buffer grows as far as the lease can be extended to it.
    pub fn with_lease(stream: TcpStream, lease: memory::MemoryLease) -> Self {
        Self {
            stream,
            buffer: Vec::new(),
            consumed: 0,
            is_ended: false,
            is_in_exchange: false,
            is_request_cut: false,
            reads: 0,
            chunk_extra_bytes: 0,
            lease,
        }
    }

    /// Makes a drop of the stream reset the connection instead of closing it, until [`Self::end_exchange`]:
    /// the system would go on to deliver a request that nobody waits for any more.
    pub fn begin_exchange(&mut self) {
        self.is_in_exchange = true;
        self.is_request_cut = false;
    }

    /// Records that the request of the exchange was not written whole. A body without a length is never complete
    /// then: a write that fails takes the error from the socket, after which a reset reads like a close.
    pub fn record_cut_request(&mut self) {
        self.is_request_cut = true;
    }

    /// Ends an exchange whose response was read completely.
    pub fn end_exchange(&mut self) {
        self.is_in_exchange = false;
    }

    /// Returns a second handle to the socket, to write while this one reads.
    pub fn writer(&self) -> TcpStream {
        self.stream.clone()
    }

    /// Writes all bytes to the socket, unbuffered.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Returns whether the buffer holds received bytes.
    pub fn has_buffered(&self) -> bool {
        !self.unread().is_empty()
    }

    /// Returns the number of bytes that the buffer holds of its budget.
    pub fn counted(&self) -> usize {
        self.lease.counted()
    }

    fn unread(&self) -> &[u8] {
        &self.buffer[self.consumed..]
    }

    /// Reads once from the socket into the buffer; returns the number of bytes, zero at the end. Without
    /// memory for a whole read it reads what the lease still has room for, and fails with
    /// [`io::ErrorKind::OutOfMemory`] if that is nothing; the bytes stay in the socket then.
    pub async fn fill(&mut self) -> io::Result<usize> {
        if self.is_ended {
            return Ok(0);
        }
        self.release_consumed();
        let Self { stream, buffer, lease, .. } = self;
        let read = future::poll_fn(|context| {
            READ_BUFFER.with_borrow_mut(|bytes| {
                // Nothing is charged while the task waits.
                lease.grow_to(buffer.len() + READ_BYTES);
                let room = lease.held().saturating_sub(buffer.len()).min(READ_BYTES);
                if room == 0 {
                    return task::Poll::Ready(Err(io::ErrorKind::OutOfMemory.into()));
                }
                let read = pin::Pin::new(&mut *stream).poll_read(context, &mut bytes[..room]);
                if let task::Poll::Ready(Ok(count)) = read {
                    buffer.reserve_exact(count);
                    buffer.extend_from_slice(&bytes[..count]);
                }
                lease.shrink_to(buffer.capacity());
                read
            })
        });
        let count = read.await?;
        self.is_ended = count == 0;
        Ok(count)
    }

    /// Reads once from the socket and drops what was read; returns the number of bytes, zero at the end.
    async fn discard(&mut self) -> io::Result<usize> {
        let stream = &mut self.stream;
        future::poll_fn(|context| {
            READ_BUFFER
                .with_borrow_mut(|bytes| pin::Pin::new(&mut *stream).poll_read(context, bytes))
        })
        .await
    }

    /// Gives back the memory of consumed bytes, before a wait that may be long.
    fn release_consumed(&mut self) {
        if self.consumed > 0 {
            self.buffer = self.unread().to_vec();
            self.consumed = 0;
            self.lease.shrink_to(self.buffer.capacity());
        }
    }

    /// Reads once, and yields to other tasks every [`READS_PER_YIELD`] reads.
    async fn fill_and_yield(&mut self) -> io::Result<usize> {
        self.reads += 1;
        if self.reads.is_multiple_of(READS_PER_YIELD) {
            future::yield_now().await;
        }
        self.fill().await
    }

    /// Waits until the peer closes or resets the connection. Bytes that arrive meanwhile are buffered
    /// for the next message; with a full buffer, or without memory for them, it waits forever.
    pub async fn wait_closed(&mut self) -> PeerEnd {
        loop {
            if self.unread().len() >= MAX_EARLY_BYTES {
                return std::future::pending().await;
            }
            match self.fill().await {
                Ok(0) => return PeerEnd::Closed,
                Err(error) if error.kind() == io::ErrorKind::OutOfMemory => {
                    return std::future::pending().await;
                }
                Err(_) => return PeerEnd::Failed,
                Ok(_) => {}
            }
        }
    }

    /// Drops the bytes that arrive, at most about `max_bytes`, until the peer closes or resets the connection.
    pub async fn discard_until_closed(&mut self, max_bytes: usize) {
        self.consumed = self.buffer.len();
        self.release_consumed();
        let mut discarded = 0;
        while discarded < max_bytes && !self.is_ended {
            match self.discard().await {
                Ok(0) | Err(_) => return,
                Ok(count) => discarded += count,
            }
            future::yield_now().await;
        }
    }

    /// Waits for the first byte of a message; returns false if the connection ended.
    pub async fn wait_message(&mut self) -> io::Result<bool> {
        while !self.has_buffered() {
            if self.fill_and_yield().await? == 0 {
                return Ok(false);
            }
        }
        Ok(true)
    }

    /// Reads the head of a request, at most `max_bytes` long.
    pub async fn read_request(
        &mut self,
        max_bytes: usize,
    ) -> Result<header::RequestHead, ReadError> {
        self.read_request_within(max_bytes, &mut memory::MemoryLease::unlimited()).await
    }

    /// Reads the head of a request, at most `max_bytes` long, as far as the lease can be extended to its decoded
    /// form.
    pub async fn read_request_within(
        &mut self,
        max_bytes: usize,
        lease: &mut memory::MemoryLease,
    ) -> Result<header::RequestHead, ReadError> {
        loop {
            if let Some(head) = self.read_head_part(max_bytes, lease).await? {
                return Ok(head);
            }
        }
    }

    /// Reads a part of the head of a request; returns the head once it is complete. After
    /// [`ReadError::NoMemory`] it can be tried again.
    pub async fn read_head_part(
        &mut self,
        max_bytes: usize,
        lease: &mut memory::MemoryLease,
    ) -> Result<Option<header::RequestHead>, ReadError> {
        let Some((head, length)) = parse_request_within(self.unread(), lease)? else {
            self.fill_head(max_bytes).await?;
            return Ok(None);
        };
        if length > max_bytes {
            return Err(ReadError::HeadTooLong(max_bytes));
        }
        self.consume(length);
        self.chunk_extra_bytes = 0;
        Ok(Some(head))
    }

    /// Reads the head of a final response; interim responses are skipped.
    pub async fn read_response(
        &mut self,
        max_bytes: usize,
    ) -> Result<header::ResponseHead, ReadError> {
        self.read_response_within(max_bytes, &mut memory::MemoryLease::unlimited()).await
    }

    /// Reads the head of a final response, as far as the lease can be extended to it; interim responses are
    /// skipped.
    pub async fn read_response_within(
        &mut self,
        max_bytes: usize,
        lease: &mut memory::MemoryLease,
    ) -> Result<header::ResponseHead, ReadError> {
        let mut interim_count = 0;
        loop {
            if let Some((head, length)) = parse_response(self.unread())? {
                self.consume(length);
                if head.status >= 200 {
                    self.chunk_extra_bytes = 0;
                    return Ok(head);
                }
                interim_count += 1;
                if interim_count > MAX_INTERIM_RESPONSES {
                    return Err(ReadError::Malformed("too many interim responses"));
                }
                continue;
            }
            if !lease.grow_to(self.unread().len() + READ_BYTES) {
                return Err(ReadError::NoMemory);
            }
            self.fill_head(max_bytes).await?;
        }
    }

    async fn fill_head(&mut self, max_bytes: usize) -> Result<(), ReadError> {
        if self.unread().len() > max_bytes {
            return Err(ReadError::HeadTooLong(max_bytes));
        }
        match self.fill_and_yield().await? {
            0 => Err(ReadError::Closed),
            _ => Ok(()),
        }
    }

    /// Reads the next part of a body; `None` at its end. Cancelling it loses nothing.
    pub async fn read_part(
        &mut self,
        framing: &mut body::BodyFraming,
    ) -> Result<Option<Vec<u8>>, ReadError> {
        let Some(length) = self.wait_part(framing).await? else { return Ok(None) };
        let part = match self.consumed == 0 && length == self.buffer.len() {
            true => std::mem::take(&mut self.buffer),
            false => {
                let part = self.unread()[..length].to_vec();
                self.consume(length);
                part
            }
        };
        advance(framing, length);
        Ok(Some(part))
    }

    /// Waits until the buffer holds bytes of a body; returns their number, `None` at the body's end. The bytes
    /// stay in the buffer.
    async fn wait_part(
        &mut self,
        framing: &mut body::BodyFraming,
    ) -> Result<Option<usize>, ReadError> {
        loop {
            match *framing {
                body::BodyFraming::Done => return Ok(None),
                body::BodyFraming::Sized(left) | body::BodyFraming::ChunkData(left) => {
                    if !self.has_buffered() && self.fill_and_yield().await? == 0 {
                        return Err(ReadError::Closed);
                    }
                    let left = usize::try_from(left).unwrap_or(usize::MAX);
                    return Ok(Some(self.unread().len().min(left)));
                }
                body::BodyFraming::ChunkSize => {
                    let line = self.read_line().await?;
                    let line = &self.buffer[line];
                    let size = body::parse_chunk_size(line)
                        .ok_or(ReadError::Malformed("chunk size is not a hexadecimal number"))?;
                    let extension = line.iter().skip_while(|byte| **byte != b';').count();
                    self.count_extra_bytes(extension)?;
                    *framing = match size {
                        0 => body::BodyFraming::Trailer,
                        size => body::BodyFraming::ChunkData(size),
                    };
                }
                body::BodyFraming::ChunkEnd => {
                    if !self.read_line().await?.is_empty() {
                        return Err(ReadError::Malformed("chunk is longer than its size"));
                    }
                    *framing = body::BodyFraming::ChunkSize;
                }
                body::BodyFraming::Trailer => {
                    let line = self.read_line().await?;
                    self.count_extra_bytes(line.len())?;
                    if line.is_empty() {
                        *framing = body::BodyFraming::Done;
                    }
                }
                body::BodyFraming::NonEmptyUntilClose => {
                    if !self.has_buffered() && self.fill_and_yield().await? == 0 {
                        return Err(ReadError::Closed);
                    }
                    *framing = body::BodyFraming::UntilClose;
                }
                body::BodyFraming::UntilClose => {
                    if !self.has_buffered() && self.fill_and_yield().await? == 0 {
                        if self.is_request_cut {
                            return Err(ReadError::Closed);
                        }
                        *framing = body::BodyFraming::Done;
                        return Ok(None);
                    }
                    return Ok(Some(self.unread().len()));
                }
            }
        }
    }

    /// Reads a whole body of at most `max_bytes`.
    pub async fn read_body(
        &mut self,
        framing: body::BodyFraming,
        max_bytes: usize,
    ) -> Result<Vec<u8>, ReadError> {
        self.read_body_within(framing, max_bytes, &mut memory::MemoryLease::unlimited()).await
    }

    /// Reads a whole body of at most `max_bytes`, as far as the lease can be extended to it.
    pub async fn read_body_within(
        &mut self,
        framing: body::BodyFraming,
        max_bytes: usize,
        lease: &mut memory::MemoryLease,
    ) -> Result<Vec<u8>, ReadError> {
        let mut reader = BodyReader::new(framing, max_bytes)?;
        while !reader.read_some(self, lease).await? {}
        Ok(reader.into_body())
    }

    /// Reads a whole body of at most `max_bytes` and drops it.
    pub async fn skip_body(
        &mut self,
        mut framing: body::BodyFraming,
        max_bytes: usize,
    ) -> Result<(), ReadError> {
        let mut skipped = 0;
        while let Some(length) = self.wait_part(&mut framing).await? {
            self.consume(length);
            advance(&mut framing, length);
            skipped += length;
            if skipped > max_bytes {
                return Err(ReadError::BodyTooLong(max_bytes));
            }
        }
        Ok(())
    }

    fn count_extra_bytes(&mut self, bytes: usize) -> Result<(), ReadError> {
        self.chunk_extra_bytes += bytes;
        if self.chunk_extra_bytes > MAX_CHUNK_EXTRA_BYTES {
            return Err(ReadError::Malformed("too many chunk extensions or trailer fields"));
        }
        Ok(())
    }

    /// Reads a line; returns where it lies in the buffer, without its end, until the next read.
    async fn read_line(&mut self) -> Result<ops::Range<usize>, ReadError> {
        loop {
            if let Some(length) = self.unread().iter().position(|byte| *byte == b'\n') {
                let begin = self.consumed;
                self.consume(length + 1);
                let line = self.buffer[begin..begin + length].strip_suffix(b"\r");
                let line = line.ok_or(ReadError::Malformed("line does not end with CR LF"))?;
                return Ok(begin..begin + line.len());
            }
            if self.unread().len() > body::MAX_CHUNK_LINE {
                return Err(ReadError::Malformed("chunk line is too long"));
            }
            if self.fill_and_yield().await? == 0 {
                return Err(ReadError::Closed);
            }
        }
    }

    fn consume(&mut self, count: usize) {
        self.consumed += count;
    }
}

/// Advances the framing of a body past bytes of it.
fn advance(framing: &mut body::BodyFraming, length: usize) {
    *framing = match *framing {
        body::BodyFraming::Sized(left) if left == length as u64 => body::BodyFraming::Done,
        body::BodyFraming::Sized(left) => body::BodyFraming::Sized(left - length as u64),
        body::BodyFraming::ChunkData(left) if left == length as u64 => body::BodyFraming::ChunkEnd,
        body::BodyFraming::ChunkData(left) => body::BodyFraming::ChunkData(left - length as u64),
        other => other,
    };
}

/// A body that is being read whole. A read that failed for lack of memory can be tried again.
#[derive(Debug)]
pub struct BodyReader {
    framing: body::BodyFraming,
    max_bytes: usize,
    whole: Vec<u8>,
    /// Bytes for which the lease was extended before.
    held: usize,
}

impl BodyReader {
    /// Begins to read a body of at most `max_bytes`; fails if a longer one is announced.
    pub fn new(framing: body::BodyFraming, max_bytes: usize) -> Result<Self, ReadError> {
        if matches!(framing, body::BodyFraming::Sized(size) if size > max_bytes as u64) {
            return Err(ReadError::BodyTooLong(max_bytes));
        }
        Ok(Self { framing, max_bytes, whole: Vec::new(), held: 0 })
    }

    /// Sets the number of bytes, for example of the head, for which the lease was extended before.
    pub fn behind(self, held: usize) -> Self {
        Self { held, ..self }
    }

    /// Reads a part of the body, as far as the lease can be extended to it; returns whether the body is
    /// complete. [`ReadError::NoMemory`] leaves the part in the stream.
    pub async fn read_some(
        &mut self,
        stream: &mut MessageStream,
        lease: &mut memory::MemoryLease,
    ) -> Result<bool, ReadError> {
        let Self { framing, max_bytes, whole, held } = self;
        let held = *held;
        let Some(length) = stream.wait_part(framing).await? else { return Ok(true) };
        let total = whole.len() + length;
        if total > *max_bytes {
            return Err(ReadError::BodyTooLong(*max_bytes));
        }
        if whole.capacity() < total {
            // Doubling would hold twice as much as is needed.
            let spare = total.max(whole.len() + whole.len() / GROWTH_DIVISOR).min(*max_bytes);
            let Some(capacity) =
                [spare, total].into_iter().find(|bytes| lease.grow_to(held + bytes))
            else {
                return Err(ReadError::NoMemory);
            };
            whole.reserve_exact(capacity - whole.len());
        }
        whole.extend_from_slice(&stream.unread()[..length]);
        stream.consume(length);
        advance(framing, length);
        Ok(*framing == body::BodyFraming::Done)
    }

    /// Returns the body, once it is complete.
    pub fn into_body(self) -> Vec<u8> {
        self.whole
    }
}

impl Drop for MessageStream {
    fn drop(&mut self) {
        if self.is_in_exchange
            && let Err(error) = socket::set_reset_on_close(&self.stream, true)
        {
            log::debug!("could not reset an abandoned connection: {error}");
        }
    }
}

/// Parses a request's head and returns its length in bytes; `None` if it is incomplete.
pub fn parse_request(bytes: &[u8]) -> Result<Option<(header::RequestHead, usize)>, ReadError> {
    parse_request_within(bytes, &mut memory::MemoryLease::unlimited())
}

fn parse_request_within(
    bytes: &[u8],
    lease: &mut memory::MemoryLease,
) -> Result<Option<(header::RequestHead, usize)>, ReadError> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut request = httparse::Request::new(&mut fields);
    let httparse::Status::Complete(length) =
        request.parse(bytes).map_err(|_| ReadError::Malformed("request head"))?
    else {
        return Ok(None);
    };
    if !lease.grow_to(memory::decoded_head_bytes(length, request.headers.len())) {
        return Err(ReadError::NoMemory);
    }
    let head = header::RequestHead {
        method: request.method.unwrap_or_default().to_owned(),
        target: request.path.unwrap_or_default().to_owned(),
        minor_version: request.version.unwrap_or_default(),
        headers: to_header_list(request.headers),
    };
    Ok(Some((head, length)))
}

/// Parses a response's head and returns its length in bytes; `None` if it is incomplete. Its status is 100 or 102 to
/// 599, as nothing asks for another protocol.
pub fn parse_response(bytes: &[u8]) -> Result<Option<(header::ResponseHead, usize)>, ReadError> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut response = httparse::Response::new(&mut fields);
    let httparse::Status::Complete(length) =
        response.parse(bytes).map_err(|_| ReadError::Malformed("response head"))?
    else {
        return Ok(None);
    };
    let status = response.code.unwrap_or_default();
    if !matches!(status, 100 | 102..=599) {
        return Err(ReadError::Malformed("response status"));
    }
    let head = header::ResponseHead {
        status,
        reason: response.reason.unwrap_or_default().to_owned(),
        minor_version: response.version.unwrap_or_default(),
        headers: to_header_list(response.headers),
    };
    Ok(Some((head, length)))
}

fn to_header_list(fields: &[httparse::Header<'_>]) -> header::HeaderList {
    let mut headers = header::HeaderList::with_capacity(fields.len());
    for field in fields {
        headers.push(field.name, field.value.trim_ascii());
    }
    headers
}

/// Runs a future with a timeout; `None` if the timeout passed first.
pub async fn with_timeout<T>(limit: time::Duration, future: impl Future<Output = T>) -> Option<T> {
    let run = async { Some(future.await) };
    let expire = async {
        async_io::Timer::after(limit).await;
        None
    };
    futures_lite::future::or(run, expire).await
}
