//! Open connections of callers: how many there may be, and how one is told to give way.

use std::sync;
use std::sync::atomic;

use async_net::TcpStream;
use coltsfoot_gateway::caller_ledger::{CallerId, CallerLedger, CallerPhase};
use coltsfoot_http::{memory, message, socket};
use coltsfoot_types::time as instant;
use rustc_hash::FxHashMap;

use crate::gateway::state;

/// Bytes that a connection may read of a message before more is charged.
const FIRST_READ_BYTES: usize = 4 * 1024;
/// Memory of the task, the socket and the entries of a connection, in bytes.
const TASK_BYTES: usize = 8 * 1024;
/// Memory of a connection on which nothing is read yet.
pub(super) const CONNECTION_BYTES: usize = TASK_BYTES + FIRST_READ_BYTES + socket::UNREAD_BYTES;

/// Connections of callers, with what tells them to give way.
#[derive(Debug)]
pub(crate) struct CallerTable {
    /// Descriptors of the connections, and of those to upstreams that serve their requests.
    max_descriptors: usize,
    /// Memory of the connections.
    budget: sync::Arc<memory::MemoryBudget>,
    connections: sync::Mutex<ConnectionList>,
    /// A connection was closed.
    closed: event_listener::Event,
    /// A connection gave memory or descriptors back.
    released: event_listener::Event,
}

#[derive(Debug, Default)]
struct ConnectionList {
    ledger: CallerLedger,
    signals: FxHashMap<CallerId, sync::Arc<GiveWaySignal>>,
}

/// Result of an attempt to add a connection.
enum OpenResult {
    Open(CallerPlace),
    /// Another connection gives way first.
    Replacing,
    /// All connections are being served.
    Full,
}

/// Tells the task of a connection that it gives way.
#[derive(Debug, Default)]
struct GiveWaySignal {
    reason: sync::OnceLock<&'static str>,
    is_set: atomic::AtomicBool,
    event: event_listener::Event,
}

impl ConnectionList {
    fn signal(&self, id: CallerId, reason: &'static str) {
        if let Some(signal) = self.signals.get(&id) {
            let _ = signal.reason.set(reason);
            signal.is_set.store(true, atomic::Ordering::Release);
            signal.event.notify(usize::MAX);
        }
    }
}

impl CallerTable {
    /// Creates a table whose connections need at most this number of descriptors, and memory of a budget.
    pub fn new(max_descriptors: usize, budget: sync::Arc<memory::MemoryBudget>) -> Self {
        Self {
            max_descriptors,
            budget,
            connections: sync::Mutex::default(),
            closed: event_listener::Event::new(),
            released: event_listener::Event::new(),
        }
    }

    /// Adds a connection; if there are too many, another one gives way first. Returns `None` if all are being
    /// served.
    pub async fn open(
        self: &sync::Arc<Self>,
        now: impl Fn() -> instant::MonotonicTime,
    ) -> Option<CallerPlace> {
        loop {
            let closed = self.closed.listen();
            match self.try_open(now()) {
                OpenResult::Open(place) => return Some(place),
                OpenResult::Full => return None,
                OpenResult::Replacing => closed.await,
            }
        }
    }

    fn try_open(self: &sync::Arc<Self>, now: instant::MonotonicTime) -> OpenResult {
        let mut lease = memory::MemoryLease::new(sync::Arc::clone(&self.budget));
        let mut connections = state::lock(&self.connections);
        let has_room = connections.ledger.descriptors() < self.max_descriptors
            && lease.grow_to(CONNECTION_BYTES);
        if !has_room {
            if let Some(id) = connections.ledger.give_way_to_connection(now) {
                connections.signal(id, "too_many_connections");
            }
            return match connections.ledger.awaits_close() {
                true => OpenResult::Replacing,
                false => OpenResult::Full,
            };
        }
        let id = connections.ledger.open(now);
        let signal = sync::Arc::<GiveWaySignal>::default();
        connections.signals.insert(id, sync::Arc::clone(&signal));
        OpenResult::Open(CallerPlace { table: sync::Arc::clone(self), id, signal, lease })
    }
}

/// Place of an open connection, given up on drop.
#[derive(Debug)]
pub(crate) struct CallerPlace {
    table: sync::Arc<CallerTable>,
    id: CallerId,
    signal: sync::Arc<GiveWaySignal>,
    /// Memory of the connection itself.
    lease: memory::MemoryLease,
}

impl CallerPlace {
    /// Wraps the connection; what it reads beyond its own memory is charged.
    pub fn wrap(&self, stream: TcpStream) -> message::MessageStream {
        let budget = sync::Arc::clone(&self.table.budget);
        let lease = memory::MemoryLease::with_allowance(budget, FIRST_READ_BYTES);
        message::MessageStream::with_lease(stream, lease)
    }

    /// Enters a phase, in which nothing of the previous request is held; returns false if the connection gives
    /// way and no request of it is to be served.
    pub fn enter(&self, now: instant::MonotonicTime, phase: CallerPhase) -> bool {
        let may_go_on = state::lock(&self.table.connections).ledger.enter(now, self.id, phase);
        self.table.released.notify(usize::MAX);
        may_go_on
    }

    /// Records the bytes that the connection's request holds.
    pub fn hold(&self, bytes: usize) {
        state::lock(&self.table.connections).ledger.hold(self.id, bytes);
    }

    /// Waits until the connection gives way; returns the reason.
    pub async fn wait_give_way(&self) -> &'static str {
        loop {
            let set = self.signal.event.listen();
            if self.signal.is_set.load(atomic::Ordering::Acquire) {
                return self.signal.reason.get().copied().unwrap_or_default();
            }
            set.await;
        }
    }

    /// Begins to serve a request once there are descriptors for it; others give way. Returns false if there are
    /// none, or if this connection gives way.
    pub async fn begin_serving(&self, now: impl Fn() -> instant::MonotonicTime) -> bool {
        loop {
            {
                let mut connections = state::lock(&self.table.connections);
                if connections.ledger.may_serve(self.table.max_descriptors) {
                    return connections.ledger.enter(now(), self.id, CallerPhase::Serving);
                }
            }
            if !self.wait_release(now()).await {
                return false;
            }
        }
    }

    /// Extends a lease, for which others give way; returns false if that is not enough.
    pub async fn reserve(
        &self,
        now: impl Fn() -> instant::MonotonicTime,
        lease: &mut memory::MemoryLease,
        bytes: usize,
    ) -> bool {
        while !lease.grow_to(bytes) {
            if !self.wait_release(now()).await {
                return false;
            }
        }
        true
    }

    /// Lets another connection give way to a request; returns false if there is none.
    pub async fn wait_release(&self, now: instant::MonotonicTime) -> bool {
        let released = self.table.released.listen();
        {
            let mut connections = state::lock(&self.table.connections);
            if !connections.ledger.awaits_release(self.id) {
                let Some(id) = connections.ledger.give_way_to_request(now, self.id) else {
                    return false;
                };
                connections.signal(id, "no_memory");
            }
        }
        released.await;
        true
    }
}

impl Drop for CallerPlace {
    fn drop(&mut self) {
        let mut connections = state::lock(&self.table.connections);
        connections.ledger.close(self.id);
        connections.signals.remove(&self.id);
        drop(connections);
        self.lease.shrink_to(0);
        self.table.released.notify(usize::MAX);
        self.table.closed.notify(usize::MAX);
    }
}
