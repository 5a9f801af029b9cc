//! Open connections of callers: how many there may be, and how one is told to give way.

use std::sync;
use std::sync::atomic;

use coltsfoot_gateway::caller_ledger::{self, CallerId, CallerLedger, CallerPhase};
use coltsfoot_types::time as instant;
use rustc_hash::FxHashMap;

use crate::gateway::state;

/// Connections of callers, with what tells them to give way.
#[derive(Debug)]
pub(crate) struct CallerTable {
    max_connections: usize,
    connections: sync::Mutex<ConnectionList>,
    /// A connection was closed.
    closed: event_listener::Event,
    /// A connection gave memory back.
    freed: event_listener::Event,
}

#[derive(Debug, Default)]
struct ConnectionList {
    ledger: CallerLedger,
    signals: FxHashMap<CallerId, sync::Arc<GiveWaySignal>>,
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
    /// Creates a table for a process with these limits, zero for an unknown number of descriptors.
    pub fn new(max_descriptors: usize, memory_bytes: usize) -> Self {
        Self {
            max_connections: caller_ledger::max_connections(max_descriptors, memory_bytes),
            connections: sync::Mutex::default(),
            closed: event_listener::Event::new(),
            freed: event_listener::Event::new(),
        }
    }

    /// Adds a connection; if there are too many, another one gives way first.
    pub async fn open(
        self: &sync::Arc<Self>,
        now: impl Fn() -> instant::MonotonicTime,
    ) -> CallerPlace {
        loop {
            let closed = self.closed.listen();
            if let Some(place) = self.try_open(now()) {
                return place;
            }
            closed.await;
        }
    }

    fn try_open(self: &sync::Arc<Self>, now: instant::MonotonicTime) -> Option<CallerPlace> {
        let mut connections = state::lock(&self.connections);
        if connections.ledger.open_connections() >= self.max_connections {
            if let Some(id) = connections.ledger.give_way_to_connection(now) {
                connections.signal(id, "too_many_connections");
            }
            return None;
        }
        let id = connections.ledger.open(now);
        let signal = sync::Arc::<GiveWaySignal>::default();
        connections.signals.insert(id, sync::Arc::clone(&signal));
        Some(CallerPlace { table: sync::Arc::clone(self), id, signal })
    }
}

/// Place of an open connection, given up on drop.
#[derive(Debug)]
pub(crate) struct CallerPlace {
    table: sync::Arc<CallerTable>,
    id: CallerId,
    signal: sync::Arc<GiveWaySignal>,
}

impl CallerPlace {
    /// Enters a phase, in which nothing of the previous request is held; returns false if the connection gives
    /// way and no request of it is to be served.
    pub fn enter(&self, now: instant::MonotonicTime, phase: CallerPhase) -> bool {
        let may_go_on = state::lock(&self.table.connections).ledger.enter(now, self.id, phase);
        self.table.freed.notify(usize::MAX);
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

    /// Lets another connection give memory back; returns false if there is none.
    pub async fn wait_memory(&self) -> bool {
        let freed = self.table.freed.listen();
        {
            let mut connections = state::lock(&self.table.connections);
            if !connections.ledger.awaits_memory(self.id) {
                let Some(id) = connections.ledger.give_way_to_body(self.id) else { return false };
                connections.signal(id, "no_memory");
            }
        }
        freed.await;
        true
    }
}

impl Drop for CallerPlace {
    fn drop(&mut self) {
        let mut connections = state::lock(&self.table.connections);
        connections.ledger.close(self.id);
        connections.signals.remove(&self.id);
        drop(connections);
        self.table.freed.notify(usize::MAX);
        self.table.closed.notify(usize::MAX);
    }
}
