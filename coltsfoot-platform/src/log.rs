//! Client of the platform's append-only log.

use std::net;

use coltsfoot_types::id;
use http_types::Method;

use crate::error;
use crate::http;
use crate::json;
use crate::protocol;

/// Client of the log service at one address.
#[derive(Clone)]
pub struct LogClient {
    pool: http::HttpPool,
    address: net::SocketAddr,
}

impl LogClient {
    /// Creates a client that uses the connections of the pool.
    pub fn new(pool: http::HttpPool, address: net::SocketAddr) -> Self {
        Self { pool, address }
    }

    /// Appends values to a stream. An error other than [`error::ClientError::Status`] leaves open
    /// whether they were appended, unless nothing was sent; reading the stream tells.
    pub async fn append(
        &self,
        stream: &str,
        values: &[String],
    ) -> Result<protocol::AppendAnswer, error::ClientError> {
        let path = format!("/streams/{stream}/records");
        let body = protocol::AppendRequest { values: values.to_vec() };
        let request = json::request_with(self.address, Method::Post, &path, &body)?;
        json::fetch(&self.pool, self.address, request).await
    }

    /// Reads at most `limit` records of a stream, from an offset on.
    pub async fn read(
        &self,
        stream: &str,
        offset: id::LogOffset,
        limit: u32,
    ) -> Result<protocol::RecordPage, error::ClientError> {
        let path = format!("/streams/{stream}/records?offset={offset}&limit={limit}");
        let request = json::request(self.address, Method::Get, &path)?;
        json::fetch(&self.pool, self.address, request).await
    }
}
