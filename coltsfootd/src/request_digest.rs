//! The digest by which retries of a request are recognised, independent of the request id.

use coltsfoot_wire::once;

/// Hashes the parts of a request, each prefixed with its length, so that different lists of parts
/// never hash the same bytes.
pub(crate) fn digest_of<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> once::RequestDigest {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    once::RequestDigest(*hasher.finalize().as_bytes())
}
