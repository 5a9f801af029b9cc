//! Client of the platform's list of instances.

use std::net;

use coltsfoot_types::name;
use http_types::Method;

use crate::error;
use crate::http;
use crate::json;
use crate::protocol;

/// Client of the instance list at one address.
#[derive(Clone)]
pub struct ListClient {
    pool: http::HttpPool,
    address: net::SocketAddr,
}

impl ListClient {
    /// Creates a client that uses the connections of the pool.
    pub fn new(pool: http::HttpPool, address: net::SocketAddr) -> Self {
        Self { pool, address }
    }

    /// Fetches the list, which lags behind reality.
    pub async fn fetch(&self) -> Result<protocol::InstanceList, error::ClientError> {
        let request = json::request(self.address, Method::Get, "/instances")?;
        json::fetch(&self.pool, self.address, request).await
    }

    /// Registers or updates an entry instance, as the platform does when it starts or stops one.
    pub async fn put_entry(
        &self,
        listing: &protocol::EntryListing,
    ) -> Result<(), error::ClientError> {
        let path = format!("/instances/entries/{}", listing.name);
        let request = json::request_with(self.address, Method::Put, &path, listing)?;
        json::call(&self.pool, self.address, request).await.map(drop)
    }

    /// Registers or updates an upstream.
    pub async fn put_upstream(
        &self,
        listing: &protocol::UpstreamListing,
    ) -> Result<(), error::ClientError> {
        let path = format!("/instances/upstreams/{}", listing.name);
        let request = json::request_with(self.address, Method::Put, &path, listing)?;
        json::call(&self.pool, self.address, request).await.map(drop)
    }

    /// Removes an entry instance from the list.
    pub async fn remove_entry(
        &self,
        instance: &name::InstanceName,
    ) -> Result<(), error::ClientError> {
        let path = format!("/instances/entries/{instance}");
        let request = json::request(self.address, Method::Delete, &path)?;
        json::call(&self.pool, self.address, request).await.map(drop)
    }
}
