//! HTTP/1.1 messages over TCP for forwarding: heads, body framing, connection pool.
//!
//! `httparse` parses heads. The rest is implemented here because a proxy needs details that client and
//! server libraries hide: responses that arrive before the request is sent, bytes after a response,
//! responses that end with their connection, and the difference between a closed and a reset
//! connection.

pub mod body;
pub mod client;
pub mod header;
pub mod memory;
pub mod message;
pub mod pool;
pub mod socket;
