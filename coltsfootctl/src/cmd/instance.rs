//! Client of the operator API of instances.

use std::net;
use std::time;

use coltsfoot_platform::{error, http, list, protocol};
use http_types::Method;

use crate::{error::ToolError, options};

/// Longest wait for a response of an instance.
const RESPONSE_TIMEOUT: time::Duration = time::Duration::from_secs(3);
/// Largest response body of an instance.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;

/// Response to `GET /status`. Missing and unknown fields are no error.
#[derive(Clone, Debug, Default, serde::Deserialize, serde::Serialize)]
#[serde(default)]
pub struct StatusReport {
    /// Name of the instance.
    pub instance: Option<String>,
    /// Its zone.
    pub zone: Option<String>,
    /// Offset of the next configuration record.
    pub offset: Option<u64>,
    /// Whether it accepts requests.
    pub ready: Option<bool>,
    /// Whether it is draining.
    pub draining: Option<bool>,
    /// Its view of the zone.
    pub view: serde_json::Value,
    /// The engine cells that it owns.
    pub cells: serde_json::Value,
}

/// Client of the operator API of all listed instances.
#[derive(Clone)]
pub struct InstanceClient {
    pool: http::HttpPool,
    list: list::ListClient,
}

impl InstanceClient {
    /// Creates a client that finds the instances in the platform's instance list.
    pub fn new(options: &options::ToolOptions) -> Result<Self, ToolError> {
        let limits = http::HttpLimits::builder()
            .head_timeout(RESPONSE_TIMEOUT)
            .body_idle_timeout(RESPONSE_TIMEOUT)
            .build();
        let pool = http::HttpPool::new(limits);
        let list = list::ListClient::new(pool.clone(), options.list()?);
        Ok(Self { pool, list })
    }

    /// Fetches the listed instances in the order of their names.
    pub async fn listings(&self) -> Result<Vec<protocol::EntryListing>, ToolError> {
        let mut listings = self.list.fetch().await?.entries;
        listings.sort_by(|left, right| left.name.cmp(&right.name));
        Ok(listings)
    }

    /// Asks an instance for its status.
    pub async fn status(
        &self,
        listing: &protocol::EntryListing,
    ) -> Result<StatusReport, error::ClientError> {
        let address = listing.operator_address;
        let body = self.call(address, Method::Get, "/status").await?;
        serde_json::from_slice(&body)
            .map_err(|source| error::ClientError::Malformed { address, source })
    }

    /// Asks an instance to drain and stop.
    pub async fn drain(&self, listing: &protocol::EntryListing) -> Result<(), error::ClientError> {
        self.call(listing.operator_address, Method::Post, "/drain").await.map(drop)
    }

    async fn call(
        &self,
        address: net::SocketAddr,
        method: Method,
        path: &str,
    ) -> Result<Vec<u8>, error::ClientError> {
        let request = http_types::Request::new(method, http::url(address, path)?);
        let exchange = self.pool.send(address, request, http::ConnectionReuse::Fresh).await?;
        let status = exchange.status();
        let body = exchange.read_body(MAX_RESPONSE_BYTES).await?;
        if (200..300).contains(&status) {
            return Ok(body);
        }
        let body = String::from_utf8_lossy(&body).into_owned();
        Err(error::ClientError::Status { address, status, body })
    }
}
