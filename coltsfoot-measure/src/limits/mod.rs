//! A model of many instances that send to one upstream which named a limit: who gives leave, or how the
//! limit is divided, with messages that take time and get lost, and instances that fail.

pub mod division;
pub mod world;
