//! A caller's connection that limits the size and the duration of each request.

use std::io;
use std::pin;
use std::sync;
use std::sync::atomic;
use std::task;
use std::time;

use async_net::TcpStream;
use coltsfoot_http::memory;
use futures_lite::{AsyncRead, AsyncWrite, Future as _};

use crate::settings;

/// Maximum size of a head that the HTTP library accepts, in bytes.
const MAX_HEAD_BYTES: usize = 8 * 1_024;

/// Copies of a request's bytes while it is served: as received, decoded, and encoded for an upstream, in buffers
/// that may be twice as large.
const REQUEST_COPIES: usize = 6;
/// Memory of a small request and its copies, which is charged with its connection.
pub(crate) const SMALL_REQUEST_BYTES: usize = REQUEST_COPIES * 4 * 1_024;

/// The limit that a caller exceeded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExceededLimit {
    /// The request was too large.
    Size,
    /// The request was too slow.
    Time,
    /// The memory for requests was in use.
    Memory,
}

/// Limits and progress of the current request, shared by the clones of a stream.
#[derive(Debug)]
struct RequestState {
    bytes_left: atomic::AtomicUsize,
    started: atomic::AtomicBool,
    exceeded: sync::Mutex<Option<ExceededLimit>>,
    max_bytes: usize,
    /// What the request holds of the memory for requests.
    lease: sync::Mutex<memory::MemoryLease>,
    budget: sync::Arc<memory::MemoryBudget>,
    request_timeout: time::Duration,
    idle_timeout: time::Duration,
    write_timeout: time::Duration,
}

/// A connection whose reads fail once a request exceeds its maximum size or its timeout.
///
/// The HTTP library reads a header line of any length, so the limit is enforced below it.
pub struct CallerStream {
    stream: TcpStream,
    request: sync::Arc<RequestState>,
    read_timer: Option<async_io::Timer>,
    write_timer: Option<async_io::Timer>,
}

impl Clone for CallerStream {
    fn clone(&self) -> Self {
        Self {
            stream: self.stream.clone(),
            request: sync::Arc::clone(&self.request),
            read_timer: None,
            write_timer: None,
        }
    }
}

fn new_lease(budget: &sync::Arc<memory::MemoryBudget>) -> memory::MemoryLease {
    memory::MemoryLease::with_allowance(sync::Arc::clone(budget), SMALL_REQUEST_BYTES)
}

impl CallerStream {
    /// Wraps a connection whose requests draw on a budget; clones share the state of the current request.
    pub fn new(
        stream: TcpStream,
        limits: &settings::CallerLimits,
        budget: &sync::Arc<memory::MemoryBudget>,
    ) -> Self {
        let max_bytes = MAX_HEAD_BYTES + limits.max_body_bytes;
        let request = RequestState {
            bytes_left: atomic::AtomicUsize::new(max_bytes),
            started: atomic::AtomicBool::new(false),
            exceeded: sync::Mutex::new(None),
            max_bytes,
            lease: sync::Mutex::new(new_lease(budget)),
            budget: sync::Arc::clone(budget),
            request_timeout: limits.request_timeout,
            idle_timeout: limits.idle_timeout,
            write_timeout: limits.write_timeout,
        };
        Self { stream, request: sync::Arc::new(request), read_timer: None, write_timer: None }
    }

    /// Resets the limits before the next request.
    pub fn reset(&mut self) {
        self.request.bytes_left.store(self.request.max_bytes, atomic::Ordering::Relaxed);
        self.request.started.store(false, atomic::Ordering::Relaxed);
        *self.lease() = new_lease(&self.request.budget);
        self.read_timer = None;
    }

    /// Returns the limit that the caller exceeded, if any.
    pub fn exceeded_limit(&self) -> Option<ExceededLimit> {
        *self.request.exceeded.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Returns whether as many bytes as the largest head have arrived of the current request.
    pub fn has_long_head(&self) -> bool {
        let left = self.request.bytes_left.load(atomic::Ordering::Relaxed);
        self.request.max_bytes - left >= MAX_HEAD_BYTES
    }

    /// Returns whether any byte of the current request has arrived.
    pub fn has_started(&self) -> bool {
        self.request.started.load(atomic::Ordering::Relaxed)
    }

    fn lease(&self) -> sync::MutexGuard<'_, memory::MemoryLease> {
        self.request.lease.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }

    fn fail_exceeded(&self, limit: ExceededLimit) -> io::Error {
        let mut exceeded =
            self.request.exceeded.lock().unwrap_or_else(sync::PoisonError::into_inner);
        *exceeded = Some(limit);
        match limit {
            ExceededLimit::Size => io::Error::new(io::ErrorKind::InvalidData, "request too large"),
            ExceededLimit::Time => io::Error::new(io::ErrorKind::TimedOut, "request too slow"),
            ExceededLimit::Memory => {
                io::Error::new(io::ErrorKind::OutOfMemory, "no memory is left for the request")
            }
        }
    }

    fn poll_read_timer(&mut self, context: &mut task::Context<'_>) -> task::Poll<()> {
        let started = self.has_started();
        let request = &self.request;
        let timer = self.read_timer.get_or_insert_with(|| {
            let timeout = if started { request.request_timeout } else { request.idle_timeout };
            async_io::Timer::after(timeout)
        });
        pin::Pin::new(timer).poll(context).map(|_| ())
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &mut [u8],
    ) -> task::Poll<io::Result<usize>> {
        let left = self.request.bytes_left.load(atomic::Ordering::Relaxed);
        if left == 0 {
            return task::Poll::Ready(Err(self.fail_exceeded(ExceededLimit::Size)));
        }
        let length = buffer.len().min(left);
        match pin::Pin::new(&mut self.stream).poll_read(context, &mut buffer[..length]) {
            task::Poll::Ready(Ok(count)) => {
                self.request.bytes_left.fetch_sub(count, atomic::Ordering::Relaxed);
                // Until then they are in the buffer of the reader, which is charged with the connection.
                let received = self.request.max_bytes - left + count;
                if !self.lease().grow_to(REQUEST_COPIES * received) {
                    return task::Poll::Ready(Err(self.fail_exceeded(ExceededLimit::Memory)));
                }
                if count > 0 && !self.request.started.swap(true, atomic::Ordering::Relaxed) {
                    self.read_timer = None;
                }
                task::Poll::Ready(Ok(count))
            }
            task::Poll::Ready(Err(error)) => task::Poll::Ready(Err(error)),
            task::Poll::Pending => {
                task::ready!(self.poll_read_timer(context));
                task::Poll::Ready(Err(self.fail_exceeded(ExceededLimit::Time)))
            }
        }
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        let result = pin::Pin::new(&mut self.stream).poll_write(context, buffer);
        if result.is_ready() {
            self.write_timer = None;
            return result;
        }
        let timeout = self.request.write_timeout;
        let timer = self.write_timer.get_or_insert_with(|| async_io::Timer::after(timeout));
        task::ready!(pin::Pin::new(timer).poll(context));
        task::Poll::Ready(Err(self.fail_exceeded(ExceededLimit::Time)))
    }

    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_close(context)
    }
}
