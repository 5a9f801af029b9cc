//! System tests: the daemon, the operators' tool and the stand-ins as separate processes on
//! loopback.

pub mod caller;
pub mod cluster;
pub mod process;
