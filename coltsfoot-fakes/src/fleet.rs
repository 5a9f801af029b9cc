//! Simulated fleet of configuration followers with a log and links, on virtual time.

use std::collections;
use std::time;

use coltsfoot_catalog::{feed, follower, snapshot};
use coltsfoot_types::{id, name, time::MonotonicTime, time::WallTime};
use coltsfoot_wire::{config, peer};
use smallvec::SmallVec;

/// Wall time at the origin of the virtual clock, in milliseconds since the Unix epoch.
const WALL_ORIGIN_MS: u64 = 1_700_000_000_000;

/// Message to be sent over a link.
#[derive(Clone, Copy, Debug)]
pub struct LinkTransfer<'a> {
    /// Sending instance.
    pub from: &'a feed::ConfigPeer,
    /// Receiving instance.
    pub to: &'a feed::ConfigPeer,
    /// Time of sending.
    pub sent_at: MonotonicTime,
}

/// Delay of each copy of a message that arrives; empty if it is lost.
pub type DeliveryDelays = SmallVec<[time::Duration; 2]>;
/// Decides whether and when a message arrives.
pub type LinkModel = Box<dyn FnMut(LinkTransfer<'_>) -> DeliveryDelays>;

/// Limits and faults of the simulated log.
#[derive(Clone, Debug)]
pub struct FleetLogSwitches {
    /// Time from a call to its response.
    pub latency: time::Duration,
    /// Age at which records are trimmed.
    pub retention: time::Duration,
    /// Whether all calls fail.
    pub outage: bool,
    /// Whether appends take effect but their responses are lost.
    pub lost_answers: bool,
}

/// View of the configuration that an instance published.
#[derive(Clone, Debug)]
pub struct ViewPublication {
    /// Index of the instance.
    pub instance: usize,
    /// Offset up to which the view has applied the log, exclusive.
    pub offset: id::LogOffset,
    /// Time of publication.
    pub at: MonotonicTime,
}

/// Instance of the fleet.
#[derive(Debug)]
pub struct FleetMember {
    /// Name and zone.
    pub identity: feed::ConfigPeer,
    /// Follower under test.
    pub follower: follower::ConfigFollower,
    /// Whether its calls to the log succeed.
    pub reaches_log: bool,
    /// False after a crash.
    pub running: bool,
    /// Encoded bytes sent to peers.
    pub sent_bytes: u64,
    /// Number of calls to the log.
    pub log_calls: u64,
}

#[derive(Default)]
struct StreamRecords {
    start: u64,
    records: collections::VecDeque<feed::PageRecord>,
}

/// Simulation of followers, a log and links on virtual time.
pub struct FollowerFleet {
    /// Limits and faults of the log; may be changed at any time.
    pub log: FleetLogSwitches,
    /// Instances in the order of their start.
    pub members: Vec<FleetMember>,
    /// Published views in chronological order.
    pub publications: Vec<ViewPublication>,
    link: LinkModel,
    streams: collections::BTreeMap<&'static str, StreamRecords>,
    queue: collections::BTreeMap<(MonotonicTime, u64), (usize, feed::FollowerEvent)>,
    sequence: u64,
    seed: u64,
    now: MonotonicTime,
}

impl FollowerFleet {
    /// Creates a fleet without instances.
    pub fn new(seed: u64, log: FleetLogSwitches, link: LinkModel) -> Self {
        Self {
            log,
            members: Vec::new(),
            publications: Vec::new(),
            link,
            streams: collections::BTreeMap::new(),
            queue: collections::BTreeMap::new(),
            sequence: 0,
            seed,
            now: MonotonicTime::default(),
        }
    }

    /// Returns the virtual time.
    pub fn now(&self) -> MonotonicTime {
        self.now
    }

    /// Starts an instance and returns its index.
    pub fn start(&mut self, name: &str, zone: &str) -> usize {
        let index = self.members.len();
        let identity = feed::ConfigPeer { instance: name.into(), zone: zone.into() };
        let follower = follower::ConfigFollower::builder()
            .instance(identity.instance.clone())
            .zone(identity.zone.clone())
            .log_retention(self.log.retention)
            .seed(self.seed.wrapping_mul(1_000_003).wrapping_add(index as u64))
            .now(self.now)
            .build();
        self.members.push(FleetMember {
            identity,
            follower,
            reaches_log: true,
            running: true,
            sent_bytes: 0,
            log_calls: 0,
        });
        self.announce_peers();
        index
    }

    /// Stops an instance without a shutdown.
    pub fn crash(&mut self, index: usize) {
        self.members[index].running = false;
        self.announce_peers();
    }

    /// Appends a change set as an operator does, also during an outage.
    pub fn publish(&mut self, value: String) -> id::LogOffset {
        self.append(feed::LogStream::Config, vec![value])
    }

    /// Appends a snapshot to the log and drops all configuration records; the stream restarts at
    /// `offset`.
    pub fn load_snapshot(&mut self, offset: id::LogOffset, chunks: Vec<String>) {
        let config = self.streams.entry(feed::LogStream::Config.name()).or_default();
        config.records.clear();
        config.start = offset.0;
        let count = chunks.len() as u64;
        let first = self.append(feed::LogStream::SnapshotChunks, chunks);
        let chunk_offsets = (first.0..first.0 + count).map(id::LogOffset).collect();
        let index = snapshot::SnapshotIndex { offset, chunk_offsets };
        let text = serde_json::to_string(&index).unwrap_or_default();
        self.append(feed::LogStream::SnapshotIndex, vec![text]);
    }

    /// Returns the number of records of a stream that are not yet trimmed.
    pub fn retained(&mut self, stream: feed::LogStream) -> usize {
        self.trim(stream);
        self.streams.entry(stream.name()).or_default().records.len()
    }

    /// Runs the simulation for a virtual duration.
    pub fn run_for(&mut self, duration: time::Duration) {
        self.run_until(self.now + duration, |_| false);
    }

    /// Runs until the condition holds or `end` is reached; returns whether the condition holds.
    pub fn run_until(&mut self, end: MonotonicTime, condition: impl Fn(&Self) -> bool) -> bool {
        loop {
            if condition(self) {
                return true;
            }
            let arrival = self.queue.first_key_value().map(|((at, _), _)| *at);
            let running = self.members.iter().enumerate().filter(|(_, member)| member.running);
            let wakes = running.map(|(index, member)| (member.follower.next_wake(), index));
            let wake = wakes.min();
            let next = arrival.into_iter().chain(wake.map(|(at, _)| at)).min();
            let Some(next) = next.filter(|next| *next <= end) else {
                self.now = end;
                return condition(self);
            };
            self.now = self.now.max(next);
            if arrival.is_some_and(|arrival| arrival <= next) {
                let Some((_, (index, event))) = self.queue.pop_first() else { continue };
                self.deliver(index, event);
            } else if let Some((_, index)) = wake {
                self.deliver(index, feed::FollowerEvent::Tick);
            }
        }
    }

    fn announce_peers(&mut self) {
        let running = self.members.iter().filter(|member| member.running);
        let peers: Vec<_> = running.map(|member| member.identity.clone()).collect();
        for index in 0..self.members.len() {
            self.deliver(index, feed::FollowerEvent::Peers(peers.clone()));
        }
    }

    fn deliver(&mut self, index: usize, event: feed::FollowerEvent) {
        if !self.members[index].running {
            return;
        }
        let actions = self.members[index].follower.handle(self.now, event);
        for action in actions {
            self.perform(index, action);
        }
    }

    fn perform(&mut self, index: usize, action: feed::FollowerAction) {
        match action {
            feed::FollowerAction::ReadLog { stream, offset, limit } => {
                let reachable = self.log_reachable(index);
                let page = reachable.then(|| self.page(stream, offset, limit));
                self.members[index].log_calls += 1;
                let event = feed::FollowerEvent::LogRead { stream, offset, page };
                self.enqueue(self.log.latency, index, event);
            }
            feed::FollowerAction::AppendLog { stream, values } => {
                self.members[index].log_calls += 1;
                let reachable = self.log_reachable(index);
                let first = reachable.then(|| self.append(stream, values));
                let first_offset = first.filter(|_| !self.log.lost_answers);
                let event = feed::FollowerEvent::LogAppended { first_offset };
                self.enqueue(self.log.latency, index, event);
            }
            feed::FollowerAction::Send { to, message } => self.send(index, &to, message),
            feed::FollowerAction::Publish => {
                let offset = self.members[index].follower.replica().next_offset();
                let publication = ViewPublication { instance: index, offset, at: self.now };
                self.publications.push(publication);
            }
            feed::FollowerAction::Report(_) => {}
        }
    }

    fn send(&mut self, index: usize, to: &name::InstanceName, message: config::ConfigMessage) {
        let found = self.members.iter().position(|member| member.identity.instance == *to);
        let Some(receiver) = found else { return };
        let sender = self.members[index].identity.instance.clone();
        let message = peer::PeerMessage::Config(message);
        let envelope = peer::PeerEnvelope { sender: sender.clone(), message };
        self.members[index].sent_bytes += encoded_bytes(&envelope);
        let peer::PeerMessage::Config(message) = envelope.message else { return };
        let transfer = LinkTransfer {
            from: &self.members[index].identity,
            to: &self.members[receiver].identity,
            sent_at: self.now,
        };
        for delay in (self.link)(transfer) {
            let (sender, message) = (sender.clone(), message.clone());
            self.enqueue(delay, receiver, feed::FollowerEvent::Message { sender, message });
        }
    }

    fn enqueue(&mut self, delay: time::Duration, index: usize, event: feed::FollowerEvent) {
        self.sequence += 1;
        self.queue.insert((self.now + delay, self.sequence), (index, event));
    }

    fn log_reachable(&self, index: usize) -> bool {
        self.members[index].reaches_log && !self.log.outage
    }

    fn wall_now(&self) -> WallTime {
        WallTime(WALL_ORIGIN_MS + self.now.0 / 1_000)
    }

    fn trim(&mut self, stream: feed::LogStream) {
        let now = self.wall_now();
        let retention_ms = self.log.retention.as_millis() as u64;
        let records = self.streams.entry(stream.name()).or_default();
        while let Some(first) = records.records.front() {
            if first.appended_at.0 + retention_ms >= now.0 {
                return;
            }
            records.records.pop_front();
            records.start += 1;
        }
    }

    fn page(
        &mut self,
        stream: feed::LogStream,
        offset: id::LogOffset,
        limit: u32,
    ) -> feed::LogPage {
        self.trim(stream);
        let read_at = self.wall_now();
        let records = self.streams.entry(stream.name()).or_default();
        let skipped = offset.0.saturating_sub(records.start) as usize;
        let taken = records.records.iter().skip(skipped).take(limit as usize);
        feed::LogPage {
            start_offset: id::LogOffset(records.start),
            end_offset: id::LogOffset(records.start + records.records.len() as u64),
            records: taken.cloned().collect(),
            read_at,
        }
    }

    fn append(&mut self, stream: feed::LogStream, values: Vec<String>) -> id::LogOffset {
        let appended_at = self.wall_now();
        let records = self.streams.entry(stream.name()).or_default();
        let first = id::LogOffset(records.start + records.records.len() as u64);
        for value in values {
            let offset = id::LogOffset(records.start + records.records.len() as u64);
            records.records.push_back(feed::PageRecord { offset, appended_at, value });
        }
        first
    }
}

fn encoded_bytes(envelope: &peer::PeerEnvelope) -> u64 {
    postcard::to_stdvec(envelope).map_or(0, |bytes| bytes.len() as u64)
}
