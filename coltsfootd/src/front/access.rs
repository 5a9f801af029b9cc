//! Authentication of callers and authorization of their calls.

use coltsfoot_catalog::{digest, resolve, view};
use coltsfoot_types::{name, refusal};
use http_types::headers;

use crate::{answer, shared};

/// Scheme of the `Authorization` header.
const BEARER_PREFIX: &str = "Bearer ";

/// An authorized call.
pub struct GrantedAccess {
    /// Target of the call and the customer that is charged.
    pub route: resolve::ResolvedRoute,
    /// The charged customer's weight in the fair queue.
    pub weight: u32,
    /// Digest of the caller's key, to detect its withdrawal during the call.
    pub key: Option<digest::KeyDigest>,
}

/// Checks the caller's key and resolves a route or adapter name.
pub fn authorize(
    shared: &shared::InstanceShared,
    request: &http_types::Request,
    target: &str,
) -> Result<GrantedAccess, answer::CallerRefusal> {
    let catalog = shared.catalog.load();
    let key = bearer_key(request).map(digest::KeyDigest::of);
    let customer = key.as_ref().map(|digest| customer(&catalog, digest)).transpose()?;
    let route = catalog.resolve(customer, target).map_err(|error| refuse(error.reason()))?;
    check_staleness(shared, &route)?;
    let weight = catalog.customer(&route.charged).map_or(1, |customer| customer.weight);
    Ok(GrantedAccess { route, weight, key })
}

fn customer<'a>(
    catalog: &'a view::CatalogView,
    digest: &digest::KeyDigest,
) -> Result<&'a name::CustomerName, answer::CallerRefusal> {
    match catalog.customer_for_key(digest) {
        view::KeyState::Valid(customer, _) => Ok(&customer.name),
        view::KeyState::Withdrawn | view::KeyState::Unknown => {
            Err(refuse(refusal::RefusalReason::InvalidKey))
        }
    }
}

/// Returns a digest of key and body, by which a retry of the same request is recognized.
pub fn fingerprint(key: Option<&digest::KeyDigest>, body: &[u8]) -> u64 {
    let mut hasher = blake3::Hasher::new();
    if let Some(digest) = key {
        hasher.update(&digest.0);
    }
    hasher.update(body);
    let hash = hasher.finalize();
    hash.as_bytes().iter().take(8).fold(0, |value, byte| (value << 8) | u64::from(*byte))
}

/// Returns whether the key of a call in progress has been withdrawn.
pub fn is_withdrawn(shared: &shared::InstanceShared, key: Option<&digest::KeyDigest>) -> bool {
    key.is_some_and(|digest| shared.catalog.load().is_withdrawn(digest))
}

fn bearer_key(request: &http_types::Request) -> Option<&str> {
    let value = request.header(headers::AUTHORIZATION)?.last().as_str();
    value.strip_prefix(BEARER_PREFIX).map(str::trim)
}

fn check_staleness(
    shared: &shared::InstanceShared,
    route: &resolve::ResolvedRoute,
) -> Result<(), answer::CallerRefusal> {
    let Some(limit) = route.refuse_when_stale else { return Ok(()) };
    let age = shared.status.catalog_age(shared.clock.now());
    if age <= limit {
        return Ok(());
    }
    Err(refuse(refusal::RefusalReason::StaleConfiguration))
}

fn refuse(reason: refusal::RefusalReason) -> answer::CallerRefusal {
    answer::CallerRefusal::not_run(reason)
}
