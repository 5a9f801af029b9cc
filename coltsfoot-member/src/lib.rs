//! Membership of a zone: heartbeats, views, ownership of resources and drain, without I/O.
//!
//! [`ZoneMember`] is the state machine of one instance. Its host
//!
//! - calls [`ZoneMember::handle`] with [`event::MemberEvent::Tick`] every 100 ms and with every
//!   member message received from an instance of the zone;
//! - polls the platform's instance list every one to two seconds and passes the entry instances
//!   of the zone, itself included;
//! - polls the `members` stream of the log every second, and immediately after an append, and
//!   passes all new records up to its end (an empty list if there are none), or reports a failure;
//! - executes the returned actions;
//! - calls [`ZoneMember::lease`] with the current time at each use of an ownership, and sends no
//!   order after [`event::OwnerLease::orders_until`].
//!
//! An instance needs a new unique name at each start of its process. All instances of a zone need
//! the same [`settings::TimingSettings`] and number of groups.

pub mod check;
pub mod contact;
pub mod event;
pub mod handover;
pub mod lease;
pub mod promise;
pub mod proposal;
pub mod record;
pub mod rendezvous;
pub mod settings;
mod zone_member;

pub use zone_member::ZoneMember;
