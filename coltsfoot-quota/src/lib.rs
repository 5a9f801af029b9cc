//! Fleet-wide rate and burst of customers, and fair queues among them.
//!
//! All parts are state machines without I/O: time is passed in, and messages are returned.

pub mod fair_order;
pub mod fair_queue;
pub mod queue_entry;
