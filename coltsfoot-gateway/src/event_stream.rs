//! Forwarding of server-sent events: complete, once, and in order.

/// Maximum size of an event, in bytes.
const MAX_EVENT_BYTES: usize = 64 * 1024;

/// A server-sent event, in its wire form.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StreamEvent {
    /// Value of its `id` field, if it is a number.
    pub id: Option<u64>,
    /// All its lines, including the empty line that ends it.
    pub bytes: Vec<u8>,
}

/// Splits a byte stream into events.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    buffer: Vec<u8>,
    /// Length of the beginning of the buffer in which no event ends.
    searched: usize,
    /// End of the first event, if it is known.
    first_end: Option<usize>,
}

impl EventSplitter {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
        if self.first_end.is_none() {
            self.search();
        }
    }

    /// Removes and returns the next complete event.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let end = self.first_end.take()?;
        let bytes: Vec<u8> = self.buffer.drain(..end).collect();
        self.searched = 0;
        self.search();
        Some(StreamEvent { id: event_id(&bytes), bytes })
    }

    /// Searches what was not searched before, so that many short reads of a long event cost no more.
    fn search(&mut self) {
        let rest = &self.buffer[self.searched..];
        let end = rest.windows(2).position(|pair| pair == b"\n\n");
        self.first_end = end.map(|start| self.searched + start + 2);
        self.searched = self.buffer.len().saturating_sub(1);
    }

    /// Returns whether a complete event is buffered.
    pub fn has_event(&self) -> bool {
        self.first_end.is_some()
    }

    /// Returns the number of buffered bytes.
    pub fn buffered(&self) -> usize {
        self.buffer.len()
    }

    /// Returns whether bytes of an incomplete event are buffered.
    pub fn has_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Returns whether the buffered bytes exceed the maximum size of an event.
    pub fn is_overlong(&self) -> bool {
        self.buffer.len() > MAX_EVENT_BYTES
    }
}

fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    str::from_utf8(value.trim_ascii()).ok()?.parse().ok()
}

/// Treatment of an event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EventDecision {
    /// The caller gets the event.
    Forward,
    /// The caller has the event already.
    Duplicate,
    /// Events between the last one and this one are missing.
    Gap,
}

/// Position of a caller in a stream, by event id.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StreamPosition {
    last: Option<u64>,
    forwarded: u64,
    /// Whether the events come from another run than those already forwarded.
    is_resumed: bool,
}

impl StreamPosition {
    /// Creates a position after the last event that the caller has.
    pub fn after(last: Option<u64>) -> Self {
        Self { last, forwarded: 0, is_resumed: false }
    }

    /// Returns the id of the last event that the caller has.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Returns the number of events forwarded.
    pub fn forwarded(&self) -> u64 {
        self.forwarded
    }

    /// Records that the following events are those of another run. Once the caller has events, only an id
    /// tells where one of that run belongs, and whether it is one at all.
    pub fn begin_run(&mut self) {
        self.is_resumed = self.forwarded > 0;
    }

    /// Checks an event, and moves past it if it is to be forwarded.
    pub fn advance(&mut self, event: &StreamEvent) -> EventDecision {
        match (event.id, self.last) {
            (Some(id), Some(last)) if id <= last => return EventDecision::Duplicate,
            (Some(id), Some(last)) if id - last > 1 => return EventDecision::Gap,
            (None, _) | (_, None) if self.is_resumed => return EventDecision::Gap,
            _ => {}
        }
        self.last = event.id.or(self.last);
        self.forwarded += 1;
        EventDecision::Forward
    }
}
