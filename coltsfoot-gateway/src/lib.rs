//! Decision logic of an instance that forwards whole HTTP requests: routing, authorization, choice
//! of the upstream, retries, ownership of engines and their adapters, and quotas. Free of sockets,
//! threads and clocks; time is an argument.

pub mod attempt_plan;
pub mod availability_table;
pub mod brittle_table;
pub mod caller_ledger;
pub mod cold_table;
pub mod crash_ledger;
pub mod demand;
pub mod duration_estimate;
pub mod engine_choice;
pub mod engine_controller;
pub mod engine_estimate;
pub mod engine_order;
pub mod evacuation_table;
pub mod event_stream;
pub mod failover_timer;
pub mod fetch_limiter;
pub mod fleet_view;
pub mod heartbeat_plan;
pub mod idle_connection;
pub mod lease_table;
pub mod limit_table;
pub mod member_memory;
pub mod order_lease;
pub mod origin_ledger;
pub mod outage_tracker;
pub mod part_ledger;
pub mod path_table;
pub mod peer_slot;
pub mod quarantine_archive;
pub mod quota_ledger;
pub mod reader_selection;
pub mod rendezvous;
pub mod retry_pace;
pub mod route_table;
pub mod rules;
pub mod send_permits;
pub mod step_tracker;
pub mod stop_plan;
pub mod topic_replica;
pub mod upstream;
pub mod upstream_search;
pub mod upstream_slot;
pub mod version_history;
pub mod zone_relay;
