//! The operators' HTTP interface: health, metrics, status and graceful shutdown.

use std::sync;

use http_types::{Method, Response, StatusCode};

use crate::{control, shared};

/// Content type of the Prometheus text format.
const METRICS_TYPE: &str = "text/plain; version=0.0.4";

/// Responds to a request of an operator.
pub async fn respond(
    shared: sync::Arc<shared::InstanceShared>,
    events: control::EventSender,
    request: http_types::Request,
) -> Response {
    match (request.method(), request.url().path()) {
        (Method::Get, "/healthz") => text(StatusCode::Ok, "text/plain", "ok\n".to_owned()),
        (Method::Get, "/readyz") => readiness(&shared),
        (Method::Get, "/metrics") => text(StatusCode::Ok, METRICS_TYPE, shared.metrics.to_text()),
        (Method::Get, "/status") => status(&events).await,
        (Method::Post, "/drain") => {
            events.send(control::ControlEvent::Drain);
            text(StatusCode::Accepted, "text/plain", "draining\n".to_owned())
        }
        _ => text(StatusCode::NotFound, "text/plain", "see docs/operators\n".to_owned()),
    }
}

fn readiness(shared: &shared::InstanceShared) -> Response {
    if shared.status.is_draining() {
        return text(StatusCode::ServiceUnavailable, "text/plain", "draining\n".to_owned());
    }
    if !shared.status.is_ready() {
        let message = "restoring the configuration\n".to_owned();
        return text(StatusCode::ServiceUnavailable, "text/plain", message);
    }
    text(StatusCode::Ok, "text/plain", "ready\n".to_owned())
}

async fn status(events: &control::EventSender) -> Response {
    let (sender, receiver) = async_channel::bounded(1);
    events.send(control::ControlEvent::Status(sender));
    match receiver.recv().await {
        Ok(status) => {
            let body = serde_json::to_string(&status).unwrap_or_default();
            text(StatusCode::Ok, "application/json", body)
        }
        Err(_) => text(StatusCode::ServiceUnavailable, "text/plain", "stopping\n".to_owned()),
    }
}

fn text(status: StatusCode, content_type: &str, body: String) -> Response {
    let mut response = Response::new(status);
    response.set_body(body);
    response.insert_header(http_types::headers::CONTENT_TYPE, content_type);
    response
}
