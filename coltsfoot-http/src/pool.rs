//! Pool of idle connections to upstreams.

use std::collections;
use std::io;
use std::net;
use std::sync;
use std::time;

use futures_lite::future;

use crate::{message, socket};

/// Largest number of idle connections per address.
const MAX_IDLE_PER_ADDRESS: usize = 32;

/// Longest time for which an idle connection is pooled, whatever its peer allows.
const MAX_LIFETIME: time::Duration = time::Duration::from_secs(3600);

/// Idle connection with the time at which it expires.
#[derive(Debug)]
struct IdleConnection {
    stream: message::MessageStream,
    idle_since: time::Instant,
    expires: time::Instant,
}

/// Idle connections by address; the most recently used one is taken first.
#[derive(Debug)]
pub struct ConnectionPool {
    max_idle: usize,
    idle: sync::Mutex<IdleList>,
}

#[derive(Debug, Default)]
struct IdleList {
    by_address: collections::HashMap<net::SocketAddr, Vec<IdleConnection>>,
    /// Connections of all addresses.
    count: usize,
}

impl IdleList {
    fn remove_expired(&mut self, now: time::Instant) {
        self.by_address.retain(|_, connections| {
            connections.retain(|pooled| now < pooled.expires);
            !connections.is_empty()
        });
        self.count = self.by_address.values().map(Vec::len).sum();
    }
}

impl Default for ConnectionPool {
    fn default() -> Self {
        Self::new(usize::MAX)
    }
}

impl ConnectionPool {
    /// Creates a pool of at most this number of connections.
    pub fn new(max_idle: usize) -> Self {
        Self { max_idle, idle: sync::Mutex::default() }
    }

    /// Takes an idle connection that has been idle for at most `max_idle` and on which nothing arrived
    /// meanwhile; closes others that it finds on the way.
    pub async fn take(
        &self,
        address: net::SocketAddr,
        max_idle: time::Duration,
    ) -> Option<message::MessageStream> {
        loop {
            let mut connection = self.pop(address)?;
            let now = time::Instant::now();
            let is_fresh = now < connection.expires
                && now.duration_since(connection.idle_since) <= max_idle
                && !connection.stream.has_buffered();
            if is_fresh && future::poll_once(connection.stream.fill()).await.is_none() {
                return Some(connection.stream);
            }
        }
    }

    /// Takes an idle connection, or opens one within a time limit, to begin an exchange on it.
    pub async fn take_or_connect(
        &self,
        address: net::SocketAddr,
        max_idle: time::Duration,
        limit: time::Duration,
    ) -> io::Result<message::MessageStream> {
        let mut stream = match self.take(address, max_idle).await {
            Some(stream) => stream,
            None => message::MessageStream::new(socket::connect(address, limit).await?),
        };
        stream.begin_exchange();
        Ok(stream)
    }

    fn pop(&self, address: net::SocketAddr) -> Option<IdleConnection> {
        let mut idle = self.idle();
        let connection = idle.by_address.get_mut(&address)?.pop()?;
        idle.count -= 1;
        Some(connection)
    }

    fn idle(&self) -> sync::MutexGuard<'_, IdleList> {
        self.idle.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Returns a connection whose exchange has ended to the pool for a time of at most an hour; closes it if the
    /// address has 32 already, or if the pool is full.
    pub fn put(
        &self,
        address: net::SocketAddr,
        mut stream: message::MessageStream,
        lifetime: time::Duration,
    ) {
        stream.end_exchange();
        let now = time::Instant::now();
        let expires = now + lifetime.min(MAX_LIFETIME);
        let connection = IdleConnection { stream, idle_since: now, expires };
        let mut idle = self.idle();
        if idle.count >= self.max_idle {
            idle.remove_expired(now);
        }
        if idle.count >= self.max_idle {
            return;
        }
        let connections = idle.by_address.entry(address).or_default();
        let before = connections.len();
        connections.retain(|pooled| now < pooled.expires);
        let expired = before - connections.len();
        let has_room = connections.len() < MAX_IDLE_PER_ADDRESS;
        if has_room {
            connections.push(connection);
        }
        idle.count = idle.count - expired + usize::from(has_room);
    }

    /// Closes all idle connections to an address.
    pub fn close_idle(&self, address: net::SocketAddr) {
        let mut idle = self.idle();
        let closed = idle.by_address.remove(&address);
        idle.count -= closed.map_or(0, |connections| connections.len());
    }
}
