//! Detects whether a broken connection was a crash of the engine, and notifies the other instances.

use std::hash;
use std::hash::Hasher as _;
use std::time;

use coltsfoot_platform::{engine, error, protocol};
use coltsfoot_types::{id, name};
use coltsfoot_wire::once;
use futures_lite::FutureExt as _;

use crate::{event, request_digest, shared};

/// Delays before each probe of an engine whose connection broke.
const PROBE_DELAYS: [time::Duration; 3] =
    [time::Duration::ZERO, time::Duration::from_millis(20), time::Duration::from_millis(50)];
/// Timeout for an engine's response to a probe.
const PROBE_TIMEOUT: time::Duration = time::Duration::from_millis(250);

/// Detects crashes of the engines that run one request.
pub struct CrashDetector<'a> {
    /// State of the instance, with its quarantine.
    pub shared: &'a shared::InstanceShared,
    /// Digest of the request.
    pub digest: once::RequestDigest,
}

impl CrashDetector<'_> {
    /// Records a crash if the engine's port is closed, and announces it to the other instances.
    pub async fn confirm(
        &self,
        attempt: id::AttemptId,
        upstream: name::UpstreamName,
        client: engine::EngineClient,
    ) {
        if !has_closed_port(&client).await {
            return;
        }
        let now = self.shared.clock.now();
        let crash = once::CrashId { upstream, generation: crash_number(attempt) };
        let notice = self.shared.lock_quarantine().record(now, self.digest, crash);
        let Some(notice) = notice else { return };
        if notice.crashes.len() > 1 {
            let count = notice.crashes.len();
            let request = attempt.request;
            event::emit(
                event::REQUEST_QUARANTINED,
                format_args!("request {request} crashed {count} upstreams"),
            );
        }
        self.shared.control.announce_crash(notice);
    }
}

/// Returns the digest of a request's model and messages, which doesn't depend on the caller.
pub fn digest_of(chat: &protocol::ChatRequest) -> once::RequestDigest {
    let texts = chat.messages.iter().flat_map(|message| [&message.role, &message.content]);
    let parts = std::iter::once(&chat.model).chain(texts);
    request_digest::digest_of(parts.map(|part| part.as_bytes()))
}

async fn has_closed_port(client: &engine::EngineClient) -> bool {
    for wait in PROBE_DELAYS {
        async_io::Timer::after(wait).await;
        let timeout = async {
            async_io::Timer::after(PROBE_TIMEOUT).await;
            None
        };
        let report = async { Some(client.report().await) };
        let reported = report.or(timeout).await;
        if let Some(Err(error::ClientError::Http(error::HttpError::Connect { .. }))) = reported {
            return true;
        }
    }
    false
}

/// Returns a number that distinguishes the crashes of one upstream. It is derived from the attempt,
/// which observes one crash at most.
fn crash_number(attempt: id::AttemptId) -> u64 {
    let mut hasher = rustc_hash::FxHasher::default();
    hash::Hash::hash(&attempt, &mut hasher);
    hasher.finish()
}
