//! Memory that a request may need while it is being served. It is charged before the request is taken, as a
//! request that is being served gives way to nobody.

use coltsfoot_http::{header, socket};
use site_platform::fields;

use crate::gateway::attempt;

/// Bytes of a response that are charged with its request: its head and a short body, or an event of a stream
/// with its copies.
pub(super) const RESPONSE_BYTES: usize = 16 * 1024;
/// Responses that a request holds: the one that is written, with its encoded form, and a failed one of an earlier
/// attempt.
const RESPONSES: usize = 2;
/// Memory of the tasks and entries of a request while it is served, in bytes.
const TASK_BYTES: usize = 40 * 1024;
/// Length of the fields that are added to a forwarded request, in bytes.
const ADDED_FIELD_BYTES: usize = 512;

/// Returns the memory that a request needs beyond its head and body until its response is written.
pub(super) fn needed_bytes(head: &header::RequestHead, body_length: usize) -> usize {
    let attempt = attempt_bytes(head, body_length);
    TASK_BYTES + fields::decoded_bytes(head) + attempt + RESPONSES * RESPONSE_BYTES
}

/// Returns the memory of one attempt: what is written to the upstream at once, and what its connection receives
/// before it is read.
pub(super) fn attempt_bytes(head: &header::RequestHead, body_length: usize) -> usize {
    let joined = body_length.min(attempt::MAX_JOINED_BYTES);
    head.encoded_length() + ADDED_FIELD_BYTES + joined + socket::UNREAD_BYTES
}
