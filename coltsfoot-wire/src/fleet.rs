//! Gossip between gateway instances: requests in flight, adapters on engines, quota usage, upstream
//! limits and records of the store.

use std::net;

use serde::{Deserialize, Serialize};

use crate::once;

/// Requests of the sender in flight at an upstream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UpstreamWork {
    /// The upstream's number.
    pub upstream: u32,
    /// Requests in flight.
    pub running: u16,
    /// Prompt tokens that the engine has not prefilled yet, as far as known.
    pub prefill_tokens: u32,
}

/// What stands for the name of an adapter. The digest follows at the end of a message, where instances of earlier
/// builds do not read it.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct AdapterId {
    /// Short hash of the name, which two names may share.
    pub number: u32,
    /// Cryptographic digest of the name; zero if the sender does not tell it.
    #[serde(skip)]
    pub digest: [u64; 2],
}

impl AdapterId {
    /// Returns the id as a sender that does not tell the digest names it.
    pub fn without_digest(self) -> Self {
        Self { digest: [0; 2], ..self }
    }

    /// Returns whether the digest is known.
    pub fn has_digest(self) -> bool {
        self.digest != [0; 2]
    }

    /// Returns whether both may stand for the same name.
    pub fn may_be(self, other: Self) -> bool {
        let is_unclear = !self.has_digest() || !other.has_digest();
        self.number == other.number && (is_unclear || self.digest == other.digest)
    }
}

impl From<u32> for AdapterId {
    fn from(number: u32) -> Self {
        Self { number, ..Self::default() }
    }
}

/// Requests of the sender in flight on one adapter of an engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AdapterUsage {
    /// The engine's number.
    pub upstream: u32,
    /// The adapter.
    pub adapter: AdapterId,
    /// Requests in flight; zero if the last one ended since the previous message.
    pub running: u16,
}

/// An adapter that is loaded on an engine and ready to serve.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ResidentAdapter {
    /// The adapter.
    pub adapter: AdapterId,
    /// Its version.
    pub version: u64,
}

/// An adapter that is being loaded or has been requested.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PendingAdapter {
    /// The adapter.
    pub adapter: AdapterId,
    /// Expected time until it is ready, in milliseconds.
    pub ready_in_ms: u16,
}

/// State of an engine that the sender owns, that is, whose adapters it loads and unloads.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OwnedEngine {
    /// The engine's number.
    pub upstream: u32,
    /// Fencing number of the owner; state with a lower one is stale.
    pub fence: u64,
    /// Whether the base model is loaded.
    pub has_model: bool,
    /// Whether the owner may send load and unload orders now.
    pub takes_orders: bool,
    /// Adapter slots that are free or hold an evictable adapter.
    pub available_slots: u8,
    /// Adapters that are ready to serve.
    pub adapters: Vec<ResidentAdapter>,
    /// Adapters that are being loaded or have been requested.
    pub pending: Vec<PendingAdapter>,
}

/// Quota usage of a customer at the sender.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CustomerUsage {
    /// The customer's number.
    pub customer: u32,
    /// Tokens admitted since the sender started; decreases when a request turns out not to have
    /// run.
    pub total: u64,
}

/// Age and digest of the sender's copy of a store topic.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TopicDigest {
    /// Time since the topic was last read, in milliseconds.
    pub age_ms: u32,
    /// Digest of the copy.
    pub digest: u64,
}

/// The version of software that began a stream.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StreamOrigin {
    /// Number of the stream.
    pub stream: u64,
    /// Number of the version.
    pub build: u64,
    /// Time since the stream's first event was forwarded, in milliseconds.
    pub age_ms: u32,
}

/// Record of the store with streams of a zone.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OriginBatch {
    /// When the record was written, in milliseconds since the Unix epoch.
    pub written_ms: u64,
    /// The streams.
    pub origins: Vec<StreamOrigin>,
}

impl OriginBatch {
    /// Encodes the batch as one record.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_stdvec(self)
    }

    /// Decodes a record.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        postcard::from_bytes(bytes)
    }
}

/// Periodic state of one instance.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FleetHeartbeat {
    /// Incarnation of the sender.
    pub sender: u64,
    /// Address at which the sender receives messages.
    pub address: net::SocketAddr,
    /// The sender's availability zone.
    pub zone: String,
    /// CPU share of the sender, in thousandths of a core.
    pub capacity: u16,
    /// Increases with each heartbeat of this incarnation.
    pub sequence: u64,
    /// Longest time until the next heartbeat to this receiver, in milliseconds.
    pub interval_ms: u32,
    /// Whether the sender is shutting down.
    pub is_draining: bool,
    /// Instances in other zones that the sender knows from messages or from the store.
    pub cross_zone_peers: u16,
    /// Digest of the topic with the configuration and the adapter versions.
    pub operator: TopicDigest,
    /// Digest of the topic with the entries of upstreams.
    pub upstreams: TopicDigest,
    /// Time since the sender last reached the store, in milliseconds.
    pub store_age_ms: u32,
    /// Partitions of the zone's engines that the sender owns.
    pub partitions: Vec<u32>,
    /// Adapters that the sender's engines are fetching from the weight store.
    pub fetching: u16,
    /// Adapter fetches that wait for capacity of the weight store.
    pub queued_fetches: u16,
    /// The sender's estimate of how many fetches of all engines together run at full speed, in
    /// tenths.
    pub fetch_limit_tenths: u16,
    /// The sender's estimate of the duration of a fetch at full speed, in milliseconds.
    pub fetch_ms: u16,
    /// Requests in flight at each upstream.
    pub work: Vec<UpstreamWork>,
    /// Requests in flight on each adapter.
    pub adapter_usage: Vec<AdapterUsage>,
    /// Engines owned; `None` if unchanged since the last heartbeat that listed them.
    pub engines: Option<Vec<OwnedEngine>>,
    /// Quota usage of each customer.
    pub quota_usage: Vec<CustomerUsage>,
    /// Recent streams that the sender began, while several versions of software serve.
    pub origins: Vec<StreamOrigin>,
    /// Incarnations that the sender hears no more, though they may run: it keeps to its share of the quotas.
    pub silent: Vec<u64>,
}

/// An instance of a zone, as the zone's relay lists it to other zones.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ZoneMember {
    /// Incarnation.
    pub id: u64,
    /// Address at which it receives messages.
    pub address: net::SocketAddr,
    /// Its CPU share, in thousandths of a core.
    pub capacity: u16,
}

/// Digests of an instance's copies of the store topics.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberDigests {
    /// Incarnation of the instance.
    pub instance: u64,
    /// Digest of the topic with the configuration and the adapter versions.
    pub operator: TopicDigest,
    /// Digest of the topic with the entries of upstreams.
    pub upstreams: TopicDigest,
}

/// An engine and its owner.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ZoneEngine {
    /// Incarnation of the owner.
    pub owner: u64,
    /// State of the engine, as reported by its owner.
    pub engine: OwnedEngine,
}

/// Totals over the instances of a zone, which one of them, the relay, sends to the other zones.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ZoneHeartbeat {
    /// Incarnation of the relay.
    pub sender: u64,
    /// The relay's availability zone.
    pub zone: String,
    /// Increases with each heartbeat of this incarnation.
    pub sequence: u64,
    /// Longest time until the next heartbeat, in milliseconds.
    pub interval_ms: u32,
    /// Whether an instance of the receiver's zone forwarded it.
    pub is_forwarded: bool,
    /// All instances of the zone; `None` if they were listed recently.
    pub members: Option<Vec<ZoneMember>>,
    /// Topic digests of the instances that poll the store.
    pub digests: Vec<MemberDigests>,
    /// Adapters that the zone's engines are fetching from the weight store.
    pub fetching: u16,
    /// Adapter fetches that wait for capacity of the weight store.
    pub queued_fetches: u16,
    /// Estimate of how many fetches of all engines together run at full speed, in tenths.
    pub fetch_limit_tenths: u16,
    /// Estimate of the duration of a fetch at full speed, in milliseconds.
    pub fetch_ms: u16,
    /// Requests in flight at each upstream.
    pub work: Vec<UpstreamWork>,
    /// Requests in flight on each adapter.
    pub adapter_usage: Vec<AdapterUsage>,
    /// Engines of the zone that changed; periodically all of them.
    pub engines: Vec<ZoneEngine>,
    /// Quota usage of each customer since the relay started.
    pub quota_usage: Vec<CustomerUsage>,
}

/// New state of an engine, sent at once where heartbeats are infrequent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineChange {
    /// Incarnation of the sender.
    pub sender: u64,
    /// Increases with each heartbeat and change of this incarnation.
    pub sequence: u64,
    /// The engine.
    pub engine: OwnedEngine,
}

/// Asks the owner of an engine to load an adapter there.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadRequest {
    /// Chosen by the sender and repeated in the response; 0 if nobody waits for one.
    pub correlation_id: u64,
    /// Address to which the response is sent.
    pub reply_to: net::SocketAddr,
    /// The engine's number.
    pub upstream: u32,
    /// Name of the base model.
    pub model: String,
    /// Name of the adapter.
    pub adapter: String,
    /// Lowest acceptable version.
    pub version: u64,
    /// Whether a request found the adapter missing although it had been reported as ready.
    pub was_missing: bool,
}

/// Result of a load request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum LoadDecision {
    /// The adapter is ready.
    Ready,
    /// The load has been requested, and another response follows.
    Accepted,
    /// All adapter slots are in use.
    Full,
    /// The receiver is not the engine's owner now.
    NotOwner,
    /// The load failed.
    Failed,
}

impl LoadDecision {
    /// Returns the label for logs and metrics.
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

/// Response to a load request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadResponse {
    /// Copied from the request.
    pub correlation_id: u64,
    /// The result.
    pub decision: LoadDecision,
}

/// A topic of the store whose records instances forward to each other.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum StoreTopic {
    /// Digest of the topic with the configuration and the adapter versions.
    Operator,
    /// Digest of the topic with the entries of upstreams.
    Upstreams,
}

/// Position in a store topic. Offsets are only comparable within an era: a store that is restored from an
/// older copy assigns some of them again.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct TopicPosition {
    /// How often the store was restored.
    pub era: u64,
    /// Offset in the topic, from 0.
    pub offset: u64,
}

/// A record of a store topic.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoreRecord {
    /// Key.
    pub key: String,
    /// Position in the topic.
    pub position: TopicPosition,
    /// Encoded value.
    pub value: Vec<u8>,
}

/// Records of a topic that the sender read or received.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TopicRecords {
    /// The topic.
    pub topic: StoreTopic,
    /// The newest record of each key.
    pub records: Vec<StoreRecord>,
}

/// All records of a bucket of a topic's keys, so that a key without a record has been deleted.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TopicPage {
    /// The topic.
    pub topic: StoreTopic,
    /// The bucket: the lowest byte of the hash of the keys.
    pub bucket: u8,
    /// Position up to which the sender knows every record.
    pub next: TopicPosition,
    /// Time after which the sender removes upstreams whose entries expired in an outage of the store, in
    /// milliseconds; zero if there was none.
    pub grace_ms: u32,
    /// The newest record of each key.
    pub records: Vec<StoreRecord>,
}

/// Asks for the newest record of each key of a topic, as far as the sender's copy differs.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RecordsRequest {
    /// The topic.
    pub topic: StoreTopic,
    /// Address to which the records are sent.
    pub reply_to: net::SocketAddr,
    /// Digest of each bucket of the sender's copy.
    pub digests: Vec<u32>,
}

/// The rate limit for all instances together that an upstream announced last.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UpstreamLimit {
    /// The upstream's number.
    pub upstream: u32,
    /// Thousandths of a request per second, `u64::MAX` if unbounded; `None` if the limit has ended.
    pub limit_thousandths: Option<u64>,
    /// Time since the request was sent whose response announced it, in milliseconds.
    pub request_age_ms: u32,
    /// Time since that response arrived, in milliseconds.
    pub response_age_ms: u32,
}

/// Asks for a permit to send one request to a rate-limited upstream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PermitRequest {
    /// Chosen by the sender and repeated in the response.
    pub correlation_id: u64,
    /// Address to which the response is sent.
    pub reply_to: net::SocketAddr,
    /// The limit as the sender knows it.
    pub limit: UpstreamLimit,
    /// Whether an order or a report query is to be sent rather than a customer's request.
    pub is_control: bool,
}

/// Result of a permit request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PermitDecision {
    /// One request may be sent now.
    Granted,
    /// No request may be sent for this many milliseconds.
    Denied(u32),
    /// Another instance issues the permits of this upstream.
    NotIssuer,
}

/// Response to a permit request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PermitResponse {
    /// Copied from the request.
    pub correlation_id: u64,
    /// The result.
    pub decision: PermitDecision,
}

/// Crash of an engine and the shared parts of the sender's prompts that had no lasting response.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PartCrash {
    /// Number that stands for the engine's id.
    pub engine: u64,
    /// Time since the connections broke, in milliseconds.
    pub age_ms: u32,
    /// Numbers of the parts.
    pub parts: Vec<u64>,
}

/// Parts of a prompt whose response lasted, so that they crash no engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PartsCleared {
    /// Numbers of the parts.
    pub parts: Vec<u64>,
    /// Time since then, in milliseconds.
    pub age_ms: u32,
}

/// A part that crashes each engine which begins a response to a prompt with it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct QuarantinedPart {
    /// Number of the part.
    pub part: u64,
    /// Time since its last known crash, in milliseconds.
    pub crash_age_ms: u32,
    /// Time until the quarantine ends, in milliseconds.
    pub left_ms: u32,
}

/// Upstreams that the sender does not reach itself, so that it can't reach them for others either.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UnreachedUpstreams {
    /// Incarnation of the sender.
    pub sender: u64,
    /// Numbers of the upstreams.
    pub upstreams: Vec<u32>,
}

/// An upstream that is cold, so that it tolerates few requests.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ColdUpstream {
    /// The upstream's number.
    pub upstream: u32,
    /// Time for which it stays cold, in milliseconds.
    pub remaining_ms: u32,
    /// How many instances have passed it on, the sender not included: zero if the upstream said so to the sender.
    pub hops: u8,
}

/// What the sender has measured at an upstream.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UpstreamEstimate {
    /// The upstream's number.
    pub upstream: u32,
    /// Natural logarithm of its time as a multiple of the mean of its service at the sender, in hundredths.
    pub log_hundredths: i16,
    /// Number of recent samples behind it.
    pub samples: u8,
    /// Recent requests that ended, in tenths.
    pub sent_tenths: u16,
    /// How many of them failed, in tenths.
    pub failed_tenths: u16,
}

/// Estimates of upstreams, which replace those that the sender told before.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UpstreamEstimates {
    /// Incarnation of the instance that measured.
    pub sender: u64,
    /// Whether the receiver forwards the message to the instances of its availability zone.
    pub must_forward: bool,
    /// The upstreams of which there is news.
    pub estimates: Vec<UpstreamEstimate>,
}

/// A datagram between instances.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum FleetMessage {
    /// Periodic state of an instance.
    Heartbeat(FleetHeartbeat),
    /// New state of an engine.
    EngineChange(EngineChange),
    /// Asks an engine's owner to load an adapter.
    LoadRequest(LoadRequest),
    /// Response to a load request.
    LoadResponse(LoadResponse),
    /// Records of a store topic.
    Records(TopicRecords),
    /// Asks for the records of a store topic.
    RecordsRequest(RecordsRequest),
    /// Totals over a zone.
    ZoneHeartbeat(ZoneHeartbeat),
    /// Upstreams that crashed while they ran a request.
    CrashNotice(once::CrashNotice),
    /// A request that was suspected of crashing upstreams has completed.
    CrashCleared(once::RequestDigest),
    /// Numbers of upstreams whose responses announced that they are shutting down.
    Draining(Vec<u32>),
    /// Limits that upstreams announced or ended in responses.
    Limits(Vec<UpstreamLimit>),
    /// Asks for a permit to send.
    PermitRequest(PermitRequest),
    /// Response to a permit request.
    PermitResponse(PermitResponse),
    /// Response to a request for records: one of several pages.
    TopicPage(TopicPage),
    /// Parts of prompts that ran at an engine when it crashed.
    PartCrash(PartCrash),
    /// Suspected parts of a prompt that was served.
    PartsCleared(PartsCleared),
    /// Parts that no instance may send to an engine.
    QuarantinedParts(Vec<QuarantinedPart>),
    /// Upstreams that the sender does not reach.
    Unreached(UnreachedUpstreams),
    /// Upstreams that are cold.
    ColdUpstreams(Vec<ColdUpstream>),
    /// What the sender has measured at upstreams.
    UpstreamEstimates(UpstreamEstimates),
}

impl FleetMessage {
    /// Encodes the message as one datagram.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        let bytes = postcard::to_stdvec(self)?;
        let extension = MessageExtension {
            usage_digests: digests_of(self.used_adapters()),
            engine_digests: digests_of(self.engine_adapters()),
        };
        if extension.usage_digests.is_empty() && extension.engine_digests.is_empty() {
            return Ok(bytes);
        }
        postcard::to_extend(&extension, bytes)
    }

    /// Decodes a datagram. An extension that can't be decoded is left out.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        let (mut message, rest) = postcard::take_from_bytes::<Self>(bytes)?;
        if let Ok(extension) = postcard::from_bytes::<MessageExtension>(rest) {
            if extension.usage_digests.len() == message.used_adapters().count() {
                set_digests(message.used_adapters_mut(), &extension.usage_digests);
            }
            if extension.engine_digests.len() == message.engine_adapters().count() {
                set_digests(message.engine_adapters_mut(), &extension.engine_digests);
            }
        }
        Ok(message)
    }

    /// Returns the adapters of which the message reports usage, in order.
    fn used_adapters(&self) -> impl Iterator<Item = &AdapterId> {
        let usage: &[AdapterUsage] = match self {
            Self::Heartbeat(heartbeat) => &heartbeat.adapter_usage,
            Self::ZoneHeartbeat(heartbeat) => &heartbeat.adapter_usage,
            _ => &[],
        };
        usage.iter().map(|used| &used.adapter)
    }

    fn used_adapters_mut(&mut self) -> impl Iterator<Item = &mut AdapterId> {
        let usage: &mut [AdapterUsage] = match self {
            Self::Heartbeat(heartbeat) => &mut heartbeat.adapter_usage,
            Self::ZoneHeartbeat(heartbeat) => &mut heartbeat.adapter_usage,
            _ => &mut [],
        };
        usage.iter_mut().map(|used| &mut used.adapter)
    }

    /// Returns the adapters that the message reports at engines, in order.
    fn engine_adapters(&self) -> impl Iterator<Item = &AdapterId> {
        let (engines, reported): (&[OwnedEngine], &[ZoneEngine]) = match self {
            Self::Heartbeat(heartbeat) => (heartbeat.engines.as_deref().unwrap_or_default(), &[]),
            Self::ZoneHeartbeat(heartbeat) => (&[], &heartbeat.engines),
            Self::EngineChange(change) => (std::slice::from_ref(&change.engine), &[]),
            _ => (&[], &[]),
        };
        let reported = reported.iter().map(|reported| &reported.engine);
        engines.iter().chain(reported).flat_map(|engine| {
            let resident = engine.adapters.iter().map(|held| &held.adapter);
            resident.chain(engine.pending.iter().map(|pending| &pending.adapter))
        })
    }

    fn engine_adapters_mut(&mut self) -> impl Iterator<Item = &mut AdapterId> {
        let (engines, reported): (&mut [OwnedEngine], &mut [ZoneEngine]) = match self {
            Self::Heartbeat(heartbeat) => {
                (heartbeat.engines.as_deref_mut().unwrap_or_default(), &mut [])
            }
            Self::ZoneHeartbeat(heartbeat) => (&mut [], &mut heartbeat.engines),
            Self::EngineChange(change) => (std::slice::from_mut(&mut change.engine), &mut []),
            _ => (&mut [], &mut []),
        };
        let reported = reported.iter_mut().map(|reported| &mut reported.engine);
        engines.iter_mut().chain(reported).flat_map(|engine| {
            let resident = engine.adapters.iter_mut().map(|held| &mut held.adapter);
            resident.chain(engine.pending.iter_mut().map(|pending| &mut pending.adapter))
        })
    }
}

/// Digest of an adapter's name as two words, little-endian.
type DigestBytes = [[u8; 8]; 2];

/// What follows a message in its datagram. Instances of earlier builds stop reading before it, so that fields may
/// only be added at its end.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct MessageExtension {
    /// Digests of the adapters of which usage is reported, in their order; none if no digest is told.
    usage_digests: Vec<DigestBytes>,
    /// The same of the adapters at engines.
    engine_digests: Vec<DigestBytes>,
}

fn digests_of<'a>(adapters: impl Iterator<Item = &'a AdapterId>) -> Vec<DigestBytes> {
    let mut has_digest = false;
    let digests: Vec<DigestBytes> = adapters
        .map(|adapter| {
            has_digest |= adapter.has_digest();
            adapter.digest.map(u64::to_le_bytes)
        })
        .collect();
    if has_digest { digests } else { Vec::new() }
}

fn set_digests<'a>(adapters: impl Iterator<Item = &'a mut AdapterId>, digests: &[DigestBytes]) {
    for (adapter, digest) in adapters.zip(digests) {
        adapter.digest = digest.map(u64::from_le_bytes);
    }
}
