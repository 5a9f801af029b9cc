//! Helpers shared by the tests, each of which uses some of them.

#![allow(dead_code)]

use std::time;

use coltsfoot_once::key_window;
use coltsfoot_types::time as clock;
use coltsfoot_wire::once;

/// Wall-clock time of the tests, in milliseconds since the Unix epoch.
pub const NOW_MS: u64 = 1_800_000_000_000;

pub fn at_ms(milliseconds: u64) -> clock::MonotonicTime {
    clock::MonotonicTime(milliseconds * 1000)
}

/// Returns the key window for a log with one minute of retention.
pub fn window() -> key_window::KeyWindow {
    key_window::KeyWindow::for_retention(time::Duration::from_secs(60))
}

pub fn key(created_ms: u64) -> once::IdempotencyKey {
    let value = (u128::from(created_ms) << 80) | (7 << 76) | (2 << 62) | 0x1234;
    once::IdempotencyKey(uuid::Uuid::from_u128(value))
}

pub fn entry(claim: u128, body: u8) -> once::ClaimEntry {
    once::ClaimEntry {
        key: key(NOW_MS),
        digest: once::RequestDigest([body; 32]),
        claim: once::ClaimId(uuid::Uuid::from_u128(claim)),
    }
}

pub fn answer() -> once::RecordedAnswer {
    once::RecordedAnswer { status: 200, content_type: "text/plain".into(), body: b"ok".to_vec() }
}
