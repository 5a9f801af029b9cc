//! Fleet-wide rate and burst limits per customer, and fair queueing among customers.
//!
//! All parts are state machines without I/O: callers pass the time in and send the returned
//! messages.
//!
//! - [`quota_agent::QuotaAgent`] admits requests at an instance against granted tokens.
//! - [`bucket_owner::BucketOwner`] manages the zone buckets that the instance owns.
//! - [`fair_queue::FairQueue`] orders requests that wait for an engine.
//! - [`excess_meter::ExcessMeter`] verifies the admissions of all instances against the limits.

mod agent_account;
pub mod bucket_owner;
mod demand_meter;
pub mod event;
pub mod excess_meter;
pub mod fair_order;
pub mod fair_queue;
mod grant_scheduler;
pub mod headroom_history;
pub mod limit_history;
mod loan_table;
mod owner_link;
mod pending_list;
pub mod queue_entry;
pub mod quota_agent;
mod refund_counter;
pub mod reservation_list;
mod session;
pub mod token_bucket;
mod zone_bucket;
