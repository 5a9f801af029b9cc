//! Messages between instances that forward whole requests: what each has under way, what it has
//! ordered onto engines, and what its customers ask for.

use std::net;

use serde::{Deserialize, Serialize};

use crate::once;

/// Work that the sender has under way at an upstream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UpstreamWork {
    /// The upstream's number.
    pub upstream: u32,
    /// Requests sent and not ended.
    pub running: u16,
    /// Prompt tokens that are still to be read before the first events, as far as known.
    pub prefill_tokens: u32,
}

/// Use of an adapter at an engine by the sender.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AdapterUsage {
    /// The engine's number.
    pub upstream: u32,
    /// The adapter's number.
    pub adapter: u32,
    /// Requests sent and not ended; zero if one ended since the last message.
    pub running: u16,
}

/// An adapter that an engine holds.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ResidentAdapter {
    /// The adapter's number.
    pub adapter: u32,
    /// Its version.
    pub version: u64,
}

/// An adapter that an engine will hold soon.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PendingAdapter {
    /// The adapter's number.
    pub adapter: u32,
    /// Expected time until it can serve, in milliseconds.
    pub ready_in_ms: u16,
}

/// An engine whose orders the sender gives.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OwnedEngine {
    /// The engine's number.
    pub upstream: u32,
    /// Fencing number of the owner; the highest one is believed.
    pub fence: u64,
    /// Whether the engine holds its base model.
    pub has_model: bool,
    /// Whether the owner may give orders now.
    pub takes_orders: bool,
    /// Places that are free or whose adapters could make way.
    pub available_slots: u8,
    /// Adapters that are ready to serve.
    pub adapters: Vec<ResidentAdapter>,
    /// Adapters that are on their way or asked for.
    pub pending: Vec<PendingAdapter>,
}

/// Use of a customer's quota by the sender.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CustomerUsage {
    /// The customer's number.
    pub customer: u32,
    /// Tokens admitted since the sender's start; falls when a request did not run.
    pub total: u64,
}

/// What the sender knows of a topic of the store.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TopicDigest {
    /// Time since it was read, in milliseconds.
    pub age_ms: u32,
    /// Digest of what is known of it.
    pub digest: u64,
}

/// Periodic news of an instance.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FleetHeartbeat {
    /// Incarnation of the sender.
    pub sender: u64,
    /// Where the sender receives messages.
    pub address: net::SocketAddr,
    /// The sender's availability zone.
    pub zone: String,
    /// The sender's share of a processor, in thousandths.
    pub capacity: u16,
    /// Grows with each beat of this incarnation.
    pub sequence: u64,
    /// Time to the next beat to the receiver at most, in milliseconds.
    pub interval_ms: u32,
    /// Whether the sender is about to stop.
    pub is_draining: bool,
    /// Instances of other zones that the sender has heard or found in the store.
    pub cross_zone_peers: u16,
    /// Configuration and adapter versions.
    pub operator: TopicDigest,
    /// Entries of upstreams.
    pub upstreams: TopicDigest,
    /// Time since the sender reached the store, in milliseconds.
    pub store_age_ms: u32,
    /// Partitions of its zone's engines that the sender holds.
    pub partitions: Vec<u32>,
    /// Adapters that the sender's engines fetch from the weight store.
    pub fetching: u16,
    /// Adapters that they are to fetch once the weight store has room.
    pub queued_fetches: u16,
    /// Tenths of the fetches of all engines that the sender takes to run at once at full speed.
    pub fetch_limit_tenths: u16,
    /// Time of a fetch at full speed as the sender has learned it, in milliseconds.
    pub fetch_ms: u16,
    /// Work under way.
    pub work: Vec<UpstreamWork>,
    /// Adapters in use.
    pub adapter_usage: Vec<AdapterUsage>,
    /// Engines owned; `None` if nothing changed since the last beat that had them.
    pub engines: Option<Vec<OwnedEngine>>,
    /// Use of the customers' quotas.
    pub quota_usage: Vec<CustomerUsage>,
}

/// An instance of a zone, as its relay tells it to other zones.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ZoneMember {
    /// Incarnation.
    pub id: u64,
    /// Where it receives messages.
    pub address: net::SocketAddr,
    /// Its share of a processor, in thousandths.
    pub capacity: u16,
}

/// What an instance of a zone knows of the store's topics.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberDigests {
    /// Incarnation of the instance.
    pub instance: u64,
    /// Configuration and adapter versions.
    pub operator: TopicDigest,
    /// Entries of upstreams.
    pub upstreams: TopicDigest,
}

/// An engine and its owner.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ZoneEngine {
    /// Incarnation of the owner.
    pub owner: u64,
    /// What the owner told.
    pub engine: OwnedEngine,
}

/// Sums over the instances of a zone, which one of them tells the other zones.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ZoneHeartbeat {
    /// Incarnation of the relay.
    pub sender: u64,
    /// The relay's availability zone.
    pub zone: String,
    /// Grows with each beat of this incarnation.
    pub sequence: u64,
    /// Time to the next beat at most, in milliseconds.
    pub interval_ms: u32,
    /// Whether an instance of the receiver's zone passed it on.
    pub is_forwarded: bool,
    /// All instances of the zone; `None` if they were told lately.
    pub members: Option<Vec<ZoneMember>>,
    /// What those instances know that read the store.
    pub digests: Vec<MemberDigests>,
    /// Adapters that the zone's engines fetch from the weight store.
    pub fetching: u16,
    /// Adapters that they are to fetch once the weight store has room.
    pub queued_fetches: u16,
    /// Tenths of the fetches of all engines that are taken to run at once at full speed.
    pub fetch_limit_tenths: u16,
    /// Time of a fetch at full speed, in milliseconds.
    pub fetch_ms: u16,
    /// Work under way.
    pub work: Vec<UpstreamWork>,
    /// Adapters in use.
    pub adapter_usage: Vec<AdapterUsage>,
    /// Engines of the zone that changed, at times all of them.
    pub engines: Vec<ZoneEngine>,
    /// Use of the customers' quotas since the relay's start.
    pub quota_usage: Vec<CustomerUsage>,
}

/// What changed at an engine, told at once where beats are far apart.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineChange {
    /// Incarnation of the sender.
    pub sender: u64,
    /// Grows with each beat and change of this incarnation.
    pub sequence: u64,
    /// The engine.
    pub engine: OwnedEngine,
}

/// Asks the owner of an engine to make an adapter ready there.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadRequest {
    /// Number of the question, chosen by the sender.
    pub correlation_id: u64,
    /// Where the answer is expected.
    pub reply_to: net::SocketAddr,
    /// The engine's number.
    pub upstream: u32,
    /// Base model.
    pub model: String,
    /// Adapter.
    pub adapter: String,
    /// Lowest version that will do.
    pub version: u64,
    /// Whether a request did not find the adapter although it was told to be ready.
    pub was_missing: bool,
}

/// How a question for an adapter ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum LoadDecision {
    /// The adapter is ready.
    Ready,
    /// The question is noted, and another answer follows.
    Accepted,
    /// All places are in use.
    Full,
    /// The receiver does not give the engine's orders now.
    NotOwner,
    /// The load failed.
    Failed,
}

impl LoadDecision {
    /// Returns a short name for logs and metrics.
    pub fn code(self) -> &'static str {
        match self {
            Self::Ready => "ready",
            Self::Accepted => "accepted",
            Self::Full => "full",
            Self::NotOwner => "not_owner",
            Self::Failed => "failed",
        }
    }
}

/// Answer to a question for an adapter.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadResponse {
    /// Number of the question.
    pub correlation_id: u64,
    /// How it ended.
    pub decision: LoadDecision,
}

/// A topic of the store whose records instances pass on.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum StoreTopic {
    /// Configuration and adapter versions.
    Operator,
    /// Entries of upstreams.
    Upstreams,
}

/// A record of the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoreRecord {
    /// Its key.
    pub key: String,
    /// Its offset in the topic.
    pub offset: u64,
    /// Its value.
    pub value: Vec<u8>,
}

/// Records of a topic.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TopicRecords {
    /// The topic.
    pub topic: StoreTopic,
    /// The newest record of each key.
    pub records: Vec<StoreRecord>,
}

/// Asks for all records of a topic.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RecordsRequest {
    /// The topic.
    pub topic: StoreTopic,
    /// Where the records are expected.
    pub reply_to: net::SocketAddr,
}

/// The newest word of an upstream on how many requests it takes from all instances together.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UpstreamLimit {
    /// The upstream's number.
    pub upstream: u32,
    /// Thousandths of a request a second, `u64::MAX` for a limit without bound; `None` if it names none
    /// any more.
    pub limit_thousandths: Option<u64>,
    /// Time since that was sent which the upstream answered, in milliseconds.
    pub request_age_ms: u32,
    /// Time since its answer came, in milliseconds.
    pub response_age_ms: u32,
}

/// Asks for leave to send something to an upstream that named a limit.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PermitRequest {
    /// Number of the question, chosen by the sender.
    pub correlation_id: u64,
    /// Where the answer is expected.
    pub reply_to: net::SocketAddr,
    /// The limit, as the sender knows it.
    pub limit: UpstreamLimit,
    /// Whether an order or a question for a report is to be sent, not a request.
    pub is_control: bool,
}

/// Answer to a question for leave to send.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PermitDecision {
    /// One send may begin now.
    Granted,
    /// None may, for so many milliseconds.
    Denied(u32),
    /// Another instance gives leave.
    NotIssuer,
}

/// The answer and its question.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PermitResponse {
    /// Number of the question.
    pub correlation_id: u64,
    /// The answer.
    pub decision: PermitDecision,
}

/// A datagram between instances.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum FleetMessage {
    /// Periodic news.
    Heartbeat(FleetHeartbeat),
    /// A change at an engine.
    EngineChange(EngineChange),
    /// A question to an engine's owner.
    LoadRequest(LoadRequest),
    /// The answer.
    LoadResponse(LoadResponse),
    /// Records of the store.
    Records(TopicRecords),
    /// A question for such records.
    RecordsRequest(RecordsRequest),
    /// Sums over a zone.
    ZoneHeartbeat(ZoneHeartbeat),
    /// Crashes that a request has met.
    CrashNotice(once::CrashNotice),
    /// A request that was suspected of crashes has run to its end.
    CrashCleared(once::RequestDigest),
    /// Numbers of upstreams that said in answers that they leave.
    Draining(Vec<u32>),
    /// Limits that upstreams named in answers, or no longer name.
    Limits(Vec<UpstreamLimit>),
    /// A question for leave to send.
    PermitRequest(PermitRequest),
    /// The answer.
    PermitResponse(PermitResponse),
}

impl FleetMessage {
    /// Encodes the message as one datagram.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_stdvec(self)
    }

    /// Decodes a datagram.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        postcard::from_bytes(bytes)
    }
}
