//! HTTP/1.1 messages over TCP for forwarding: heads, body framing, kept connections.
//!
//! `httparse` parses heads. Everything else exists because a forwarder needs what a client or
//! server library hides: answers that arrive before the request is sent, bytes after an answer,
//! answers that end with their connection, and the difference between a closed and a reset
//! connection.

pub mod body;
pub mod client;
pub mod header;
pub mod message;
pub mod pool;
pub mod socket;
