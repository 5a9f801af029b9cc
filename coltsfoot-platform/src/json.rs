//! JSON calls shared by the clients.

use std::net;

use http_types::Method;
use serde::{Serialize, de};

use crate::error;
use crate::http;

/// Largest response body of a management call.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// Builds a request without a body.
pub(crate) fn request(
    address: net::SocketAddr,
    method: Method,
    path: &str,
) -> Result<http_types::Request, error::HttpError> {
    Ok(http_types::Request::new(method, http::url(address, path)?))
}

/// Builds a request with a JSON body.
pub(crate) fn request_with<B: Serialize>(
    address: net::SocketAddr,
    method: Method,
    path: &str,
    body: &B,
) -> Result<http_types::Request, error::HttpError> {
    let mut request = request(address, method, path)?;
    let bytes = serde_json::to_vec(body)
        .map_err(|error| error::HttpError::Encode { address, detail: error.to_string() })?;
    request.set_body(bytes);
    request.set_content_type(http_types::mime::JSON);
    Ok(request)
}

/// Sends a request and reads the whole response; fails unless its status is 2xx.
pub(crate) async fn call(
    pool: &http::HttpPool,
    address: net::SocketAddr,
    request: http_types::Request,
) -> Result<Vec<u8>, error::ClientError> {
    let exchange = pool.send(address, request, http::ConnectionReuse::Allow).await?;
    read_success(exchange).await
}

/// Reads the whole response; fails unless its status is 2xx.
async fn read_success(exchange: http::HttpExchange) -> Result<Vec<u8>, error::ClientError> {
    let status = exchange.status();
    let address = exchange.address();
    let body = exchange.read_body(MAX_RESPONSE_BYTES).await?;
    if (200..300).contains(&status) {
        return Ok(body);
    }
    let body = String::from_utf8_lossy(&body).into_owned();
    Err(error::ClientError::Status { address, status, body })
}

/// Decodes the JSON of a response; fails unless its status is 2xx.
pub(crate) async fn decode<A: de::DeserializeOwned>(
    exchange: http::HttpExchange,
) -> Result<A, error::ClientError> {
    let address = exchange.address();
    let body = read_success(exchange).await?;
    serde_json::from_slice(&body)
        .map_err(|source| error::ClientError::Malformed { address, source })
}

/// Sends a request and decodes the JSON of the response.
pub(crate) async fn fetch<A: de::DeserializeOwned>(
    pool: &http::HttpPool,
    address: net::SocketAddr,
    request: http_types::Request,
) -> Result<A, error::ClientError> {
    let exchange = pool.send(address, request, http::ConnectionReuse::Allow).await?;
    decode(exchange).await
}
