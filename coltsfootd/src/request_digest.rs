//! The digest by which repeats of a request are recognised, whatever their request id.

use coltsfoot_wire::once;

/// Digests the parts of a request, each with its length, so that no two lists of parts are alike.
pub(crate) fn digest_of<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> once::RequestDigest {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    once::RequestDigest(*hasher.finalize().as_bytes())
}
