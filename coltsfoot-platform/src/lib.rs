//! Clients of the platform's services, the engines and the plain services, over HTTP.

pub mod protocol;
