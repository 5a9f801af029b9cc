//! At-most-once execution of calls, retries, stream resumption, crash quarantine and circuit
//! breaking.
//!
//! All parts are state machines without I/O: callers pass in the time, events and, where needed, a
//! random number generator, and carry out the returned actions.

pub mod append_pacer;
mod attempt_events;
pub mod backoff;
pub mod batcher_event;
pub mod circuit_breaker;
pub mod claim_batcher;
pub mod claim_record;
pub mod claim_request;
pub mod claim_table;
pub mod crash_suspects;
pub mod dispatch;
pub mod dispatch_event;
pub mod key_window;
pub mod quarantine;
pub mod retry_budget;
pub mod retry_reason;
pub mod run_state;
pub mod slow_start;
pub mod stream_position;
