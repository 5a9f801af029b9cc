//! HTTP helpers shared by all fakes, and their endpoint `/switches`.

use std::sync;

use http_types::{Method, Response};
use serde::{Serialize, de};

use crate::server;

/// Builds a response with a JSON body.
pub(crate) fn json_response(status: u16, body: &impl Serialize) -> http_types::Result<Response> {
    let mut response = Response::new(status);
    response.set_body(serde_json::to_vec(body)?);
    response.set_content_type(http_types::mime::JSON);
    Ok(response)
}

/// Builds a response with a text body.
pub(crate) fn text_response(status: u16, body: &str) -> http_types::Result<Response> {
    let mut response = Response::new(status);
    response.set_body(body);
    Ok(response)
}

/// Builds the error that closes the connection without a response.
pub(crate) fn close_connection() -> http_types::Error {
    http_types::Error::from_str(500, "connection closed by an injected fault")
}

/// Decodes a JSON body; invalid JSON gives the response 400.
pub(crate) async fn read_json<T: de::DeserializeOwned>(
    request: &mut http_types::Request,
) -> http_types::Result<Result<T, Response>> {
    let bytes = request.body_bytes().await?;
    match serde_json::from_slice(&bytes) {
        Ok(value) => Ok(Ok(value)),
        Err(error) => Ok(Err(text_response(400, &error.to_string())?)),
    }
}

/// Serves `GET` and `POST /switches`. A post changes only the switches that it names.
pub(crate) async fn serve_switches<T: Clone + Serialize + de::DeserializeOwned>(
    request: &mut http_types::Request,
    switches: &sync::Mutex<T>,
) -> http_types::Result<Response> {
    if request.method() == Method::Get {
        let switches = server::lock(switches).clone();
        return json_response(200, &switches);
    }
    let patch = match read_json::<serde_json::Value>(request).await? {
        Ok(patch) => patch,
        Err(response) => return Ok(response),
    };
    let mut switches = server::lock(switches);
    match apply_patch(&*switches, patch) {
        Ok(patched) => *switches = patched,
        Err(error) => return text_response(400, &error.to_string()),
    }
    json_response(200, &*switches)
}

/// Replaces the JSON members that the patch names.
pub(crate) fn apply_patch<T: Serialize + de::DeserializeOwned>(
    value: &T,
    patch: serde_json::Value,
) -> serde_json::Result<T> {
    let mut members = serde_json::to_value(value)?;
    if let (Some(members), serde_json::Value::Object(patch)) = (members.as_object_mut(), patch) {
        members.extend(patch);
    }
    serde_json::from_value(members)
}

/// Returns a numeric query parameter, none if it is absent or not a number.
pub(crate) fn query_number(request: &http_types::Request, name: &str) -> Option<u64> {
    let mut pairs = request.url().query_pairs();
    pairs.find(|(key, _)| key == name).and_then(|(_, value)| value.parse().ok())
}
