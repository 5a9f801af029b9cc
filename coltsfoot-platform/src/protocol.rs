//! JSON bodies of the platform's log, its instance list and the engines' management calls.
//!
//! `docs/PLATFORM.md` lists the calls that carry them.

use std::collections;

use coltsfoot_types::{adapter, id, name};
use serde::{Deserialize, Serialize};

/// Header that carries the fencing number of an order to an engine.
pub const FENCING_HEADER: &str = "x-fencing-number";
/// Header that carries the attempt id; an engine's answer repeats it.
pub const ATTEMPT_HEADER: &str = "x-attempt-id";
/// Header by which a plain service or an engine says that it did not run the request.
pub const NOT_RUN_HEADER: &str = "x-not-run";

/// Body of `POST /streams/{stream}/records`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct AppendRequest {
    /// Values to append, in order, each as text.
    pub values: Vec<String>,
}

/// Answer of `POST /streams/{stream}/records`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct AppendAnswer {
    /// Offset of the first appended value.
    pub first_offset: id::LogOffset,
}

/// Answer of `GET /streams/{stream}/records?offset=N&limit=M`. When `offset` lies below
/// `start_offset` the records from there on have been forgotten, and `records` begins at
/// `start_offset`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct RecordPage {
    /// Offset of the oldest retained record.
    pub start_offset: id::LogOffset,
    /// Offset that the next append will get.
    pub end_offset: id::LogOffset,
    /// The records.
    pub records: Vec<LogRecord>,
}

/// A record of the log.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct LogRecord {
    /// Position.
    pub offset: id::LogOffset,
    /// When it was appended, in milliseconds since the Unix epoch.
    pub timestamp_ms: u64,
    /// The text.
    pub value: String,
}

/// Answer of `GET /instances`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct InstanceList {
    /// Entry instances of the system.
    pub entries: Vec<EntryListing>,
    /// Engines and plain services.
    pub upstreams: Vec<UpstreamListing>,
}

/// An entry instance as listed.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct EntryListing {
    /// Name of the instance.
    pub name: name::InstanceName,
    /// Its zone.
    pub zone: name::ZoneName,
    /// Address for messages between instances, `IP:PORT`; the same for TCP and UDP.
    pub peer_address: std::net::SocketAddr,
    /// Address of the operators' HTTP interface.
    pub operator_address: std::net::SocketAddr,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// An engine or plain service as listed.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct UpstreamListing {
    /// Name of the upstream; a restarted one keeps it.
    pub name: name::UpstreamName,
    /// Its zone.
    pub zone: name::ZoneName,
    /// Address of its HTTP interface.
    pub address: std::net::SocketAddr,
    /// Whether it is leaving.
    pub leaving: bool,
    /// What it does.
    pub role: UpstreamRole,
}

/// What an upstream does.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamRole {
    /// Runs a base model with adapters.
    Engine {
        /// The base model.
        base_model: name::ModelName,
        /// Adapters that it can hold at a time.
        slots: u32,
        /// Requests that it runs at a time.
        batch_size: u32,
        /// Whether it refuses orders with an old fencing number.
        checks_fencing: bool,
    },
    /// Runs a plain service.
    Service {
        /// Name of the service.
        service: name::ServiceName,
    },
}

/// Body of `POST /v1/load_lora_adapter`, answered when the load has ended, and of
/// `POST /v1/unload_lora_adapter`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct AdapterOrder {
    /// The adapter version, `name@version`.
    pub lora_name: adapter::AdapterVersion,
}

/// Body of `POST /loads` at the weight store, answered when the weights have come.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct StoreLoad {
    /// The adapter version whose weights are fetched.
    pub adapter: adapter::AdapterVersion,
}

/// Answer of `GET /load`: what the engine reports of itself, with a lag.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct LoadReport {
    /// Number that changes when the engine restarts.
    pub generation: u64,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Resident adapter versions.
    pub resident: Vec<adapter::AdapterVersion>,
    /// Adapter versions of requests that run or wait, if the engine reports them.
    #[serde(default)]
    pub active: Option<Vec<adapter::AdapterVersion>>,
}

/// Answer of `GET /cache_events?after=N`. Events come late and with gaps.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct CacheEvents {
    /// Events after N, in order of their numbers.
    pub events: Vec<CacheEvent>,
}

/// A cached or dropped prompt prefix.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct CacheEvent {
    /// Number of the event; a gap means lost events.
    pub number: u64,
    /// The adapter version whose prefix it is.
    pub adapter: adapter::AdapterVersion,
    /// Hash of the prefix.
    pub prefix_hash: u64,
    /// Whether the prefix was cached rather than dropped.
    pub cached: bool,
}

/// A chat message.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ChatMessage {
    /// Role of the speaker.
    pub role: String,
    /// Text.
    pub content: String,
}

/// Body of `POST /v1/chat/completions`, towards callers and engines.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ChatRequest {
    /// Route or adapter version; towards an engine always an adapter version.
    pub model: String,
    /// The prompt.
    pub messages: Vec<ChatMessage>,
    /// Whether the answer is streamed as server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// Largest output, in tokens.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u32>,
    /// Priority at the engine; a lower number goes first.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub priority: Option<i32>,
    /// Text of the assistant that the engine continues after, to go on with a broken stream.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub continue_from: Option<String>,
    /// Fields that the system passes on without looking at them.
    #[serde(flatten)]
    pub other: collections::BTreeMap<String, serde_json::Value>,
}

/// Answer of `POST /v1/chat/completions` without streaming.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ChatAnswer {
    /// The attempt id, as sent by the header.
    pub id: String,
    /// The adapter version that ran.
    pub model: String,
    /// One choice.
    pub choices: Vec<ChatChoice>,
    /// Tokens used.
    pub usage: TokenUsage,
}

/// The message of an answer.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ChatChoice {
    /// Place in the list.
    pub index: u32,
    /// The message.
    pub message: ChatMessage,
    /// Why the output ended.
    pub finish_reason: Option<String>,
}

/// Tokens used by a request.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct TokenUsage {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the output.
    pub completion_tokens: u32,
}

/// Data of one server-sent event of a streamed answer. After the last one comes `[DONE]`.
///
/// The `id:` field of each event is the number of output tokens so far; after a broken
/// connection `GET /v1/streams/{attempt}?from=N` sends the events after token N, and
/// `DELETE /v1/streams/{attempt}` cancels the attempt.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ChatChunk {
    /// The attempt id.
    pub id: String,
    /// The adapter version that runs.
    pub model: String,
    /// One choice.
    pub choices: Vec<ChunkChoice>,
    /// Tokens used, in the last chunk.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<TokenUsage>,
}

/// The part of an answer that a chunk carries.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ChunkChoice {
    /// Place in the list.
    pub index: u32,
    /// The new text.
    pub delta: ChunkDelta,
    /// Why the output ended, in the last chunk.
    #[serde(default)]
    pub finish_reason: Option<String>,
}

/// New text of a chunk.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct ChunkDelta {
    /// The text.
    #[serde(default)]
    pub content: String,
}
