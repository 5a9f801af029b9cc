//! Connections of callers, and which one gives way when descriptors or memory run short.

use std::time;

use coltsfoot_types::time as instant;
use rustc_hash::FxHashMap;

/// Descriptors of a process if the settings do not name them.
const DEFAULT_MAX_DESCRIPTORS: usize = 4096;
/// Descriptors for files and listeners.
const OTHER_DESCRIPTORS: usize = 200;
/// Connections for which half of the memory must suffice: what a request may hold uncounted, with its task.
const BYTES_PER_CONNECTION: usize = 32 * 1024;
/// Time after which a request that is still being read gives way before idle connections. Ordinary ones have
/// arrived by then.
const SLOW_READ: time::Duration = time::Duration::from_secs(1);

/// Returns the number of callers' connections of a process: three quarters of the descriptors that are left for
/// sockets, as the others are for upstreams, as far as the memory suffices. Zero stands for an unknown number of
/// descriptors.
pub fn max_connections(max_descriptors: usize, memory_bytes: usize) -> usize {
    let descriptors = match max_descriptors {
        0 => DEFAULT_MAX_DESCRIPTORS,
        known => known,
    };
    let sockets = descriptors.saturating_sub(OTHER_DESCRIPTORS) / 4 * 3;
    sockets.min(memory_bytes / 2 / BYTES_PER_CONNECTION).max(1)
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
        self.callers.remove(&id);
    }

    /// Returns the number of connections.
    pub fn open_connections(&self) -> usize {
        self.callers.len()
    }

    /// Enters a phase; what the connection holds is given back unless a request goes on from being read to being
    /// served. Returns false if the connection gives way and no request of it is to be served.
    pub fn enter(&mut self, now: instant::MonotonicTime, id: CallerId, phase: CallerPhase) -> bool {
        let Some(entry) = self.callers.get_mut(&id) else { return false };
        if entry.gives_way && phase == CallerPhase::Serving {
            return false;
        }
        (entry.phase, entry.since) = (phase, now);
        if phase != CallerPhase::Serving {
            entry.held = 0;
        }
        true
    }

    /// Records the bytes that the connection's request holds.
    pub fn hold(&mut self, id: CallerId, bytes: usize) {
        if let Some(entry) = self.callers.get_mut(&id) {
            entry.held = bytes;
        }
    }

    /// Chooses the connection that gives way to the body of another: of the requests that hold memory and are
    /// still being read, the one that began first. A request that is being served does not give way.
    pub fn give_way_to_body(&mut self, of: CallerId) -> Option<CallerId> {
        let reading = |id: &CallerId, entry: &CallerEntry| {
            let is_older = *id != of && entry.phase == CallerPhase::Reading && entry.held > 0;
            is_older.then_some((0, entry.since))
        };
        self.choose(reading)
    }

    /// Returns whether a connection that gives way still holds memory.
    pub fn awaits_memory(&self, of: CallerId) -> bool {
        let mut others = self.callers.iter().filter(|(id, _)| **id != of);
        others.any(|(_, entry)| entry.gives_way && entry.held > 0)
    }

    /// Chooses the connection that gives way to a new one: one that ends, a request that has been read for long,
    /// the one that has been idle longest, and the request that has been read longest, in this order.
    pub fn give_way_to_connection(&mut self, now: instant::MonotonicTime) -> Option<CallerId> {
        self.choose(|_, entry| {
            let rank = match entry.phase {
                CallerPhase::Ending => 0,
                CallerPhase::Reading if now.since(entry.since) >= SLOW_READ => 1,
                CallerPhase::Idle => 2,
                CallerPhase::Reading => 3,
                CallerPhase::Serving => return None,
            };
            Some((rank, entry.since))
        })
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
