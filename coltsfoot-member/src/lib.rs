//! Heartbeats, views of a zone, ownership of resources and drain, without I/O.
//!
//! [`ZoneMember`] decides for one instance. Its host
//!
//! - calls [`ZoneMember::handle`] with [`event::MemberEvent::Tick`] every 100 ms and with every
//!   member message that comes from an instance of the zone;
//! - reads the platform's instance list each second or two and passes the entry instances of the
//!   zone, itself included;
//! - reads the `members` stream of the log each second, and at once after an append, and passes
//!   all new records to its end (an empty list when there are none), or says that it failed;
//! - carries out the returned actions;
//! - asks [`ZoneMember::lease`] at each use of an ownership with the current time, and sends no
//!   order after [`event::OwnerLease::orders_until`].
//!
//! The name of an instance must be new at each start of its process. All instances of a zone need
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
