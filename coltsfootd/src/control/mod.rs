//! The control thread: handles events one at a time, so that all decisions are made in one thread.

mod catalog;
mod claims;
pub mod client;
mod contact;
mod directory;
mod engines;
mod event;
mod member;
mod placement;
mod plane;
mod platform;
mod quota;
mod resource;
mod state;
mod status;

pub use event::{ControlEvent, EventSender, event_queue};
pub use plane::ControlPlane;
pub use status::InstanceReport;
