//! Client of the platform's list of instances.

use std::net;

use coltsfoot_types::name;
use http_types::{Method, headers};

use crate::error;
use crate::http;
use crate::json;
use crate::protocol;

/// Status of a conditional read whose content has not changed.
const NOT_MODIFIED_STATUS: u16 = 304;
/// Largest body of such a response.
const MAX_LIST_BYTES: usize = 1_024;

/// Result of a conditional read.
#[derive(Clone, Debug)]
pub enum ListRead {
    /// The list is the one that the tag was given for.
    Unchanged,
    /// The list has changed.
    Changed {
        /// The list.
        list: protocol::InstanceList,
        /// Entity tag for the next conditional read, if the platform sent one.
        tag: Option<String>,
    },
}

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

    /// Fetches the list, which lags behind the actual state.
    pub async fn fetch(&self) -> Result<protocol::InstanceList, error::ClientError> {
        let request = json::request(self.address, Method::Get, "/instances")?;
        json::fetch(&self.pool, self.address, request).await
    }

    /// Fetches the list unless its entity tag is still `tag`.
    pub async fn fetch_changed(&self, tag: Option<&str>) -> Result<ListRead, error::ClientError> {
        let mut request = json::request(self.address, Method::Get, "/instances")?;
        if let Some(tag) = tag {
            request.insert_header(headers::IF_NONE_MATCH, tag);
        }
        let exchange = self.pool.send(self.address, request, http::ConnectionReuse::Allow).await?;
        if exchange.status() == NOT_MODIFIED_STATUS {
            exchange.read_body(MAX_LIST_BYTES).await?;
            return Ok(ListRead::Unchanged);
        }
        let tag = exchange.header("etag").map(str::to_owned);
        let list = json::decode(exchange).await?;
        Ok(ListRead::Changed { list, tag })
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
