//! Fleet-wide rate and burst of customers, and fair queues among them.
//!
//! All parts are state machines without I/O: time is passed in, and messages are returned.
//!
//! - [`quota_agent::QuotaAgent`] admits requests at an instance on granted tokens.
//! - [`bucket_owner::BucketOwner`] keeps the zone buckets that the instance owns.
//! - [`fair_queue::FairQueue`] orders requests that wait for an engine.
//! - [`excess_meter::ExcessMeter`] checks admissions of all instances from outside.

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
