//! Connections of callers, and which one gives way when descriptors or memory run short.

use std::time;

use coltsfoot_types::time as instant;
use rustc_hash::FxHashMap;

/// Descriptors of a process if the settings do not name them.
const DEFAULT_MAX_DESCRIPTORS: usize = 4096;
/// Descriptors for files and listeners.
const OTHER_DESCRIPTORS: usize = 200;
/// Connections to upstreams that a request may need while it is being served: its attempt, and another one
/// while the first upstream is silent.
const UPSTREAM_DESCRIPTORS: usize = 2;
/// Time after which a request that is still being read gives way before idle connections. Ordinary ones have
/// arrived by then, and so has the first request of a new connection.
const SLOW_READ: time::Duration = time::Duration::from_secs(1);

/// Returns the number of descriptors for callers' connections and those to upstreams that serve them: three
/// quarters of what is left for sockets, as the others are for idle connections and tunnels.
/// Zero stands for an unknown number of descriptors.
pub fn caller_descriptors(max_descriptors: usize) -> usize {
    (socket_descriptors(max_descriptors) / 4 * 3).max(1)
}

/// Returns the number of descriptors for idle connections to upstreams and the store: an eighth of those for
/// sockets.
pub fn idle_descriptors(max_descriptors: usize) -> usize {
    socket_descriptors(max_descriptors) / 8
}

/// Returns the number of tunnels that other instances may have, of two descriptors each: an eighth of those for
/// sockets.
pub fn max_tunnels(max_descriptors: usize) -> usize {
    socket_descriptors(max_descriptors) / 8 / 2
}

fn socket_descriptors(max_descriptors: usize) -> usize {
    let descriptors = match max_descriptors {
        0 => DEFAULT_MAX_DESCRIPTORS,
        known => known,
    };
    descriptors.saturating_sub(OTHER_DESCRIPTORS)
}

/// Number of a connection in this process.
pub type CallerId = u64;

/// What a caller's connection is used for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallerPhase {
    /// No request has begun.
    Idle,
    /// A request is being read.
    Reading,
    /// A request is being served.
    Serving,
    /// The last response was written.
    Ending,
}

#[derive(Clone, Copy, Debug)]
struct CallerEntry {
    phase: CallerPhase,
    since: instant::MonotonicTime,
    /// Bytes of its request that are counted.
    held: usize,
    gives_way: bool,
}

/// Open connections of callers.
#[derive(Debug, Default)]
pub struct CallerLedger {
    next_id: CallerId,
    callers: FxHashMap<CallerId, CallerEntry>,
    /// Connections whose request is being served.
    serving: usize,
}

impl CallerLedger {
    /// Adds a connection, which is idle.
    pub fn open(&mut self, now: instant::MonotonicTime) -> CallerId {
        let id = self.next_id;
        self.next_id += 1;
        let entry = CallerEntry { phase: CallerPhase::Idle, since: now, held: 0, gives_way: false };
        self.callers.insert(id, entry);
        id
    }

    /// Removes a connection.
    pub fn close(&mut self, id: CallerId) {
        let closed = self.callers.remove(&id);
        if closed.is_some_and(|entry| entry.phase == CallerPhase::Serving) {
            self.serving -= 1;
        }
    }

    /// Returns the number of connections.
    pub fn open_connections(&self) -> usize {
        self.callers.len()
    }

    /// Returns the number of descriptors that the connections need, with those to upstreams that serve them.
    pub fn descriptors(&self) -> usize {
        self.callers.len() + self.serving * UPSTREAM_DESCRIPTORS
    }

    /// Returns whether a further request may be served with this number of descriptors.
    pub fn may_serve(&self, max_descriptors: usize) -> bool {
        self.descriptors() + UPSTREAM_DESCRIPTORS <= max_descriptors
    }

    /// Enters a phase; what the connection holds is given back unless a request goes on from being read to being
    /// served. Returns false if the connection gives way and no request of it is to be served.
    pub fn enter(&mut self, now: instant::MonotonicTime, id: CallerId, phase: CallerPhase) -> bool {
        let Some(entry) = self.callers.get_mut(&id) else { return false };
        if entry.gives_way && phase == CallerPhase::Serving {
            return false;
        }
        let was_serving = entry.phase == CallerPhase::Serving;
        (entry.phase, entry.since) = (phase, now);
        if phase != CallerPhase::Serving {
            entry.held = 0;
        }
        self.serving += usize::from(phase == CallerPhase::Serving);
        self.serving -= usize::from(was_serving);
        true
    }

    /// Records the bytes that the connection's request holds.
    pub fn hold(&mut self, id: CallerId, bytes: usize) {
        if let Some(entry) = self.callers.get_mut(&id) {
            entry.held = bytes;
        }
    }

    /// Chooses the connection that gives way to the request of another, which needs memory or descriptors: a
    /// request that holds memory and has been read for long, the connection that has been idle longest, and of
    /// the other requests that hold memory and are still being read the one that began first, in this order. A
    /// request that is being served does not give way, nor a connection whose request may be on its way.
    pub fn give_way_to_request(
        &mut self,
        now: instant::MonotonicTime,
        of: CallerId,
    ) -> Option<CallerId> {
        self.choose(|id, entry| {
            let rank = match entry.phase {
                _ if *id == of => return None,
                CallerPhase::Reading if entry.held == 0 => return None,
                CallerPhase::Reading if now.since(entry.since) >= SLOW_READ => 0,
                CallerPhase::Idle if now.since(entry.since) >= SLOW_READ => 1,
                CallerPhase::Reading => 2,
                CallerPhase::Idle | CallerPhase::Serving | CallerPhase::Ending => return None,
            };
            Some((rank, entry.since))
        })
    }

    /// Returns whether a connection that gives way still holds what a request may need.
    pub fn awaits_release(&self, of: CallerId) -> bool {
        let mut others = self.callers.iter().filter(|(id, _)| **id != of);
        others.any(|(_, entry)| {
            entry.gives_way && (entry.held > 0 || entry.phase == CallerPhase::Idle)
        })
    }

    /// Chooses the connection that gives way to a new one: one that ends, a request that has been read for long,
    /// the one that has been idle longest, the request that has been read longest, and one on which the first
    /// request may be on its way, in this order.
    pub fn give_way_to_connection(&mut self, now: instant::MonotonicTime) -> Option<CallerId> {
        self.choose(|_, entry| {
            let rank = match entry.phase {
                CallerPhase::Ending => 0,
                CallerPhase::Reading if now.since(entry.since) >= SLOW_READ => 1,
                CallerPhase::Idle if now.since(entry.since) >= SLOW_READ => 2,
                CallerPhase::Reading => 3,
                CallerPhase::Idle => 4,
                CallerPhase::Serving => return None,
            };
            Some((rank, entry.since))
        })
    }

    /// Returns whether a connection gives way that is not closed yet.
    pub fn awaits_close(&self) -> bool {
        self.callers.values().any(|entry| entry.gives_way)
    }

    fn choose<K: Ord>(
        &mut self,
        rank: impl Fn(&CallerId, &CallerEntry) -> Option<K>,
    ) -> Option<CallerId> {
        let candidates = self.callers.iter().filter(|(_, entry)| !entry.gives_way);
        let ranked = candidates.filter_map(|(id, entry)| Some((rank(id, entry)?, *id)));
        let (_, chosen) = ranked.min()?;
        self.callers.get_mut(&chosen)?.gives_way = true;
        Some(chosen)
    }
}
