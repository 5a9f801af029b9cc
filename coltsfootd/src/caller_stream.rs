//! A caller's connection with bounds on the bytes and the time of each request.

use std::io;
use std::pin;
use std::sync;
use std::sync::atomic;
use std::task;
use std::time;

use async_net::TcpStream;
use futures_lite::{AsyncRead, AsyncWrite, Future as _};

use crate::settings;

/// Longest head that the HTTP library accepts, in bytes.
const MAX_HEAD_BYTES: usize = 8 * 1_024;

/// Which bound a caller broke.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BrokenBound {
    /// More bytes than allowed.
    Size,
    /// More time than allowed.
    Time,
}

#[derive(Debug)]
struct RequestBounds {
    bytes_left: atomic::AtomicUsize,
    started: atomic::AtomicBool,
    broken: sync::Mutex<Option<BrokenBound>>,
    max_bytes: usize,
    request_timeout: time::Duration,
    idle_timeout: time::Duration,
    write_timeout: time::Duration,
}

/// A connection whose reads fail once a request exceeds its size or its time.
///
/// The HTTP library reads a head line of any length; the bound is kept here, below it.
pub struct CallerStream {
    stream: TcpStream,
    bounds: sync::Arc<RequestBounds>,
    read_timer: Option<async_io::Timer>,
    write_timer: Option<async_io::Timer>,
}

impl Clone for CallerStream {
    fn clone(&self) -> Self {
        Self {
            stream: self.stream.clone(),
            bounds: sync::Arc::clone(&self.bounds),
            read_timer: None,
            write_timer: None,
        }
    }
}

impl CallerStream {
    /// Wraps a connection.
    pub fn new(stream: TcpStream, limits: &settings::CallerLimits) -> Self {
        let max_bytes = MAX_HEAD_BYTES + limits.max_body_bytes;
        let bounds = RequestBounds {
            bytes_left: atomic::AtomicUsize::new(max_bytes),
            started: atomic::AtomicBool::new(false),
            broken: sync::Mutex::new(None),
            max_bytes,
            request_timeout: limits.request_timeout,
            idle_timeout: limits.idle_timeout,
            write_timeout: limits.write_timeout,
        };
        Self { stream, bounds: sync::Arc::new(bounds), read_timer: None, write_timer: None }
    }

    /// Starts the bounds of the next request anew.
    pub fn reset(&mut self) {
        self.bounds.bytes_left.store(self.bounds.max_bytes, atomic::Ordering::Relaxed);
        self.bounds.started.store(false, atomic::Ordering::Relaxed);
        self.read_timer = None;
    }

    /// Returns the bound that the caller broke, if one was.
    pub fn broken_bound(&self) -> Option<BrokenBound> {
        *self.bounds.broken.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Returns whether the current request has filled the space of a head.
    pub fn has_long_head(&self) -> bool {
        let left = self.bounds.bytes_left.load(atomic::Ordering::Relaxed);
        self.bounds.max_bytes - left >= MAX_HEAD_BYTES
    }

    /// Returns whether bytes of the current request have arrived.
    pub fn has_started(&self) -> bool {
        self.bounds.started.load(atomic::Ordering::Relaxed)
    }

    fn break_bound(&self, bound: BrokenBound) -> io::Error {
        let mut broken = self.bounds.broken.lock().unwrap_or_else(sync::PoisonError::into_inner);
        *broken = Some(bound);
        match bound {
            BrokenBound::Size => io::Error::new(io::ErrorKind::InvalidData, "request too large"),
            BrokenBound::Time => io::Error::new(io::ErrorKind::TimedOut, "request too slow"),
        }
    }

    fn poll_read_timer(&mut self, context: &mut task::Context<'_>) -> task::Poll<()> {
        let started = self.has_started();
        let bounds = &self.bounds;
        let timer = self.read_timer.get_or_insert_with(|| {
            let timeout = if started { bounds.request_timeout } else { bounds.idle_timeout };
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
        let left = self.bounds.bytes_left.load(atomic::Ordering::Relaxed);
        if left == 0 {
            return task::Poll::Ready(Err(self.break_bound(BrokenBound::Size)));
        }
        let length = buffer.len().min(left);
        match pin::Pin::new(&mut self.stream).poll_read(context, &mut buffer[..length]) {
            task::Poll::Ready(Ok(count)) => {
                self.bounds.bytes_left.fetch_sub(count, atomic::Ordering::Relaxed);
                if count > 0 && !self.bounds.started.swap(true, atomic::Ordering::Relaxed) {
                    self.read_timer = None;
                }
                task::Poll::Ready(Ok(count))
            }
            task::Poll::Ready(Err(error)) => task::Poll::Ready(Err(error)),
            task::Poll::Pending => {
                task::ready!(self.poll_read_timer(context));
                task::Poll::Ready(Err(self.break_bound(BrokenBound::Time)))
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
        let timeout = self.bounds.write_timeout;
        let timer = self.write_timer.get_or_insert_with(|| async_io::Timer::after(timeout));
        task::ready!(pin::Pin::new(timer).poll(context));
        task::Poll::Ready(Err(self.break_bound(BrokenBound::Time)))
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
