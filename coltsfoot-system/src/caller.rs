//! Calls as a caller or operator makes them.

use std::net;
use std::time;

use coltsfoot_platform::{error, http, sse};
use http_types::{Method, headers};

/// Largest body of an answer, in bytes.
const MAX_BODY_BYTES: usize = 4 * 1_024 * 1_024;

/// An answer that came whole.
#[derive(Clone, Debug)]
pub struct CallAnswer {
    /// HTTP status.
    pub status: u16,
    /// The `Retry-After` header, in seconds.
    pub retry_after: Option<u64>,
    /// The body.
    pub body: String,
}

impl CallAnswer {
    /// Returns the body as JSON.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.body).unwrap_or_default()
    }

    /// Returns the code of a refusal.
    pub fn code(&self) -> String {
        self.json()["error"]["code"].as_str().unwrap_or_default().to_owned()
    }

    /// Returns the text of a chat answer.
    pub fn text(&self) -> String {
        let json = self.json();
        json["choices"][0]["message"]["content"].as_str().unwrap_or_default().to_owned()
    }
}

/// An answer that came as a stream of events.
#[derive(Clone, Debug, Default)]
pub struct StreamAnswer {
    /// HTTP status.
    pub status: u16,
    /// The text of all chunks.
    pub text: String,
    /// Whether the end mark came.
    pub done: bool,
    /// Code of the error event, if one came.
    pub error_code: Option<String>,
}

/// Makes calls with one key, or without.
#[derive(Clone)]
pub struct HttpCaller {
    pool: http::HttpPool,
    key: Option<String>,
}

impl HttpCaller {
    /// Creates a caller.
    pub fn new(key: Option<&str>) -> Self {
        let limits = http::HttpLimits::builder()
            .head_timeout(time::Duration::from_secs(60))
            .body_idle_timeout(time::Duration::from_secs(60))
            .build();
        Self { pool: http::HttpPool::new(limits), key: key.map(str::to_owned) }
    }

    /// Sends a request and reads its answer whole.
    pub async fn call(
        &self,
        method: Method,
        address: net::SocketAddr,
        path: &str,
        body: &str,
    ) -> Result<CallAnswer, error::HttpError> {
        self.call_with(method, address, path, body, &[]).await
    }

    /// Sends a request with further headers and reads its answer whole.
    pub async fn call_with(
        &self,
        method: Method,
        address: net::SocketAddr,
        path: &str,
        body: &str,
        extra: &[(&str, &str)],
    ) -> Result<CallAnswer, error::HttpError> {
        let mut request = self.request(method, address, path, body)?;
        for (name, value) in extra {
            request.insert_header(*name, *value);
        }
        let exchange = self.pool.send(address, request, http::ConnectionReuse::Allow).await?;
        let status = exchange.status();
        let retry_after = exchange.header("retry-after").and_then(|value| value.parse().ok());
        let body = exchange.read_body(MAX_BODY_BYTES).await?;
        let body = String::from_utf8_lossy(&body).into_owned();
        Ok(CallAnswer { status, retry_after, body })
    }

    /// Sends a chat request and reads the answer whole.
    pub async fn chat(
        &self,
        address: net::SocketAddr,
        model: &str,
        prompt: &str,
        max_tokens: u32,
    ) -> Result<CallAnswer, error::HttpError> {
        let body = chat_body(model, prompt, max_tokens, false);
        self.call(Method::Post, address, "/v1/chat/completions", &body).await
    }

    /// Sends a streamed chat request; `on_chunk` sees the text of each chunk as it comes.
    pub async fn stream(
        &self,
        address: net::SocketAddr,
        model: &str,
        prompt: &str,
        max_tokens: u32,
        mut on_chunk: impl FnMut(&str),
    ) -> Result<StreamAnswer, error::HttpError> {
        let body = chat_body(model, prompt, max_tokens, true);
        let request = self.request(Method::Post, address, "/v1/chat/completions", &body)?;
        let exchange = self.pool.send(address, request, http::ConnectionReuse::Allow).await?;
        let mut answer = StreamAnswer { status: exchange.status(), ..StreamAnswer::default() };
        if answer.status != 200 {
            let body = exchange.read_body(MAX_BODY_BYTES).await?;
            let json: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
            answer.error_code = json["error"]["code"].as_str().map(str::to_owned);
            return Ok(answer);
        }
        let mut events = sse::EventReader::new(exchange, MAX_BODY_BYTES);
        while let Some(event) = events.next_event().await? {
            if event.data == "[DONE]" {
                answer.done = true;
                continue;
            }
            let json: serde_json::Value = serde_json::from_str(&event.data).unwrap_or_default();
            if let Some(code) = json["error"]["code"].as_str() {
                answer.error_code = Some(code.to_owned());
            }
            let chunk = json["choices"][0]["delta"]["content"].as_str().unwrap_or_default();
            answer.text.push_str(chunk);
            on_chunk(chunk);
        }
        Ok(answer)
    }

    fn request(
        &self,
        method: Method,
        address: net::SocketAddr,
        path: &str,
        body: &str,
    ) -> Result<http_types::Request, error::HttpError> {
        let mut request = http_types::Request::new(method, http::url(address, path)?);
        request.set_body(body);
        request.insert_header(headers::CONTENT_TYPE, "application/json");
        if let Some(key) = &self.key {
            request.insert_header(headers::AUTHORIZATION, format!("Bearer {key}"));
        }
        Ok(request)
    }
}

fn chat_body(model: &str, prompt: &str, max_tokens: u32, stream: bool) -> String {
    serde_json::json!({
        "model": model,
        "messages": [{ "role": "user", "content": prompt }],
        "max_tokens": max_tokens,
        "stream": stream,
    })
    .to_string()
}
