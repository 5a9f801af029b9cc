//! Client of a model engine: orders, load reports and response streams.

use std::net;
use std::time;

use coltsfoot_types::{adapter, id};
use http_types::Method;

use crate::error;
use crate::http;
use crate::json;
use crate::protocol;

/// Timeout of an order, which includes the load of an adapter.
pub const ORDER_TIMEOUT: time::Duration = time::Duration::from_secs(60);
/// Status of an order that is refused for a stale fencing number.
const STALE_FENCING_STATUS: u16 = 409;
/// Status of a load that failed or found no free adapter slot.
const LOAD_FAILED_STATUS: u16 = 507;

/// Failure of an order to an engine.
#[derive(Debug, thiserror::Error)]
pub enum OrderError {
    /// The fencing number is older than one that the engine has seen.
    #[error("the engine has seen a newer fencing number; another owner controls it now")]
    StaleFencing,
    /// The adapter could not be loaded.
    #[error("the engine could not load the adapter: {0}; free a slot or try again later")]
    LoadFailed(String),
    /// The call failed; its effect is unknown unless nothing was sent.
    #[error(transparent)]
    Client(#[from] error::ClientError),
}

/// Client of one engine.
#[derive(Clone)]
pub struct EngineClient {
    pool: http::HttpPool,
    address: net::SocketAddr,
}

impl EngineClient {
    /// Creates a client that uses the connections of the pool.
    pub fn new(pool: http::HttpPool, address: net::SocketAddr) -> Self {
        Self { pool, address }
    }

    /// Orders the load of an adapter and returns when it has ended.
    pub async fn load(
        &self,
        adapter: &adapter::AdapterVersion,
        fencing: id::FencingNumber,
    ) -> Result<(), OrderError> {
        self.order("/v1/load_lora_adapter", adapter, fencing).await
    }

    /// Orders the eviction of an adapter.
    pub async fn unload(
        &self,
        adapter: &adapter::AdapterVersion,
        fencing: id::FencingNumber,
    ) -> Result<(), OrderError> {
        self.order("/v1/unload_lora_adapter", adapter, fencing).await
    }

    /// Fetches the engine's load report, which lags behind its state.
    pub async fn report(&self) -> Result<protocol::LoadReport, error::ClientError> {
        let request = json::request(self.address, Method::Get, "/load")?;
        json::fetch(&self.pool, self.address, request).await
    }

    /// Fetches the cache events after number `after`; they are delayed and may have gaps.
    pub async fn cache_events(
        &self,
        after: u64,
    ) -> Result<protocol::CacheEvents, error::ClientError> {
        let path = format!("/cache_events?after={after}");
        let request = json::request(self.address, Method::Get, &path)?;
        json::fetch(&self.pool, self.address, request).await
    }

    /// Sends a chat request. `head_timeout` bounds the wait for the response head.
    pub async fn chat(
        &self,
        chat: &protocol::ChatRequest,
        attempt: id::AttemptId,
        reuse: http::ConnectionReuse,
        head_timeout: time::Duration,
    ) -> Result<http::HttpExchange, error::HttpError> {
        let path = "/v1/chat/completions";
        let mut request = json::request_with(self.address, Method::Post, path, chat)?;
        request.insert_header(protocol::ATTEMPT_HEADER, attempt.to_string());
        self.pool.with_head_timeout(head_timeout).send(self.address, request, reuse).await
    }

    /// Cancels an attempt; an unknown attempt counts as cancelled.
    pub async fn cancel(&self, attempt: id::AttemptId) -> Result<(), error::ClientError> {
        let path = format!("/v1/streams/{attempt}");
        let request = json::request(self.address, Method::Delete, &path)?;
        match json::call(&self.pool, self.address, request).await {
            Ok(_) | Err(error::ClientError::Status { status: 404, .. }) => Ok(()),
            Err(error) => Err(error),
        }
    }

    /// Resumes a stream after output token `from`.
    pub async fn resume(
        &self,
        attempt: id::AttemptId,
        from: u32,
    ) -> Result<http::HttpExchange, error::HttpError> {
        let path = format!("/v1/streams/{attempt}?from={from}");
        let request = json::request(self.address, Method::Get, &path)?;
        self.pool.send(self.address, request, http::ConnectionReuse::Allow).await
    }

    async fn order(
        &self,
        path: &str,
        adapter: &adapter::AdapterVersion,
        fencing: id::FencingNumber,
    ) -> Result<(), OrderError> {
        let order = protocol::AdapterOrder { lora_name: adapter.clone() };
        let request = json::request_with(self.address, Method::Post, path, &order);
        let mut request = request.map_err(error::ClientError::from)?;
        request.insert_header(protocol::FENCING_HEADER, fencing.to_string());
        let pool = self.pool.with_head_timeout(ORDER_TIMEOUT);
        match json::call(&pool, self.address, request).await {
            Ok(_) => Ok(()),
            Err(error::ClientError::Status { status: STALE_FENCING_STATUS, .. }) => {
                Err(OrderError::StaleFencing)
            }
            Err(error::ClientError::Status { status: LOAD_FAILED_STATUS, body, .. }) => {
                Err(OrderError::LoadFailed(body))
            }
            Err(error) => Err(error.into()),
        }
    }
}
