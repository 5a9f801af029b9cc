//! JSON bodies of the platform's log, its instance list and the engines' management calls.
//!
//! `docs/PLATFORM.md` lists the calls that carry them.

use std::collections;

use coltsfoot_types::{adapter, id, name};
use serde::{Deserialize, Serialize};

/// Header that carries the fencing number of an order to an engine.
pub const FENCING_HEADER: &str = "x-fencing-number";
/// Header that carries the attempt id; an engine's response repeats it.
pub const ATTEMPT_HEADER: &str = "x-attempt-id";
/// Header by which a plain service or an engine states that it did not run the request.
pub const NOT_RUN_HEADER: &str = "x-not-run";

/// Body of `POST /streams/{stream}/records`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct AppendRequest {
    /// Values to append, in order, each as text.
    pub values: Vec<String>,
}

/// Response to `POST /streams/{stream}/records`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct AppendAnswer {
    /// Offset of the first appended value.
    pub first_offset: id::LogOffset,
}

/// Response to `GET /streams/{stream}/records?offset=N&limit=M`. When `offset` lies below
/// `start_offset` the records before that are no longer retained, and `records` begins at
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
    /// Position in the stream.
    pub offset: id::LogOffset,
    /// When it was appended, in milliseconds since the Unix epoch.
    pub timestamp_ms: u64,
    /// Appended text.
    pub value: String,
}

/// Response to `GET /instances`.
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
    /// Whether it is draining.
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
    /// Whether it is draining.
    pub leaving: bool,
    /// Whether it is an engine or a plain service.
    pub role: UpstreamRole,
}

/// Kind of an upstream, with its properties.
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

/// Body of `POST /v1/load_lora_adapter`, with the response sent when the load has ended, and of
/// `POST /v1/unload_lora_adapter`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct AdapterOrder {
    /// The adapter version, `name@version`.
    pub lora_name: adapter::AdapterVersion,
}

/// Body of `POST /loads` at the weight store, with the response sent when the weights have been fetched.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct StoreLoad {
    /// The adapter version whose weights are fetched.
    pub adapter: adapter::AdapterVersion,
}

/// Response to `GET /load`: the engine's load, with a lag.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct LoadReport {
    /// Number that changes when the engine restarts.
    pub generation: u64,
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// Resident adapter versions.
    pub resident: Vec<adapter::AdapterVersion>,
    /// Adapter versions of requests that run or wait, if the engine reports them.
    #[serde(default)]
    pub active: Option<Vec<adapter::AdapterVersion>>,
}

/// Response to `GET /cache_events?after=N`. Events are delayed and may have gaps.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct CacheEvents {
    /// Events after N, in order of their numbers.
    pub events: Vec<CacheEvent>,
}

/// Insertion of a prompt prefix into an engine's cache, or its eviction.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct CacheEvent {
    /// Number of the event; a gap means lost events.
    pub number: u64,
    /// The adapter version whose prefix it is.
    pub adapter: adapter::AdapterVersion,
    /// Hash of the prefix.
    pub prefix_hash: u64,
    /// Whether the prefix was cached rather than evicted.
    pub cached: bool,
}

/// A chat message.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ChatMessage {
    /// Role of the author, e.g. `user`.
    pub role: String,
    /// Text of the message.
    pub content: String,
}

/// Body of `POST /v1/chat/completions`, from callers and to engines.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ChatRequest {
    /// Route or adapter version; towards an engine always an adapter version.
    pub model: String,
    /// The prompt.
    pub messages: Vec<ChatMessage>,
    /// Whether the response is streamed as server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// Largest output, in tokens.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u32>,
    /// Priority at the engine; a lower number goes first.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub priority: Option<i32>,
    /// Output so far of a broken stream, which the engine continues.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub continue_from: Option<String>,
    /// Other fields, forwarded unchanged.
    #[serde(flatten)]
    pub other: collections::BTreeMap<String, serde_json::Value>,
}

/// Response to `POST /v1/chat/completions` without streaming.
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

/// Message of a response.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ChatChoice {
    /// Position in the list, from 0.
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

/// Data of one server-sent event of a streamed response. After the last one comes `[DONE]`.
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

/// Part of a response that a chunk carries.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ChunkChoice {
    /// Position in the list, from 0.
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
    /// Appended text.
    #[serde(default)]
    pub content: String,
}
