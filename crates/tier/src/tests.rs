//! Tests of the whole reducer.

mod answers_across_restarts;
mod configuration_series;
mod crashing_request;
mod exhaustive_schedules;
mod extreme_messages;
mod fan_out;
mod fixture;
mod freshness;
mod gateway;
mod gateway_fleet;
mod membership;
mod named_rate_limit;
mod network;
mod note_acceptance;
mod once;
mod pause;
mod propagation;
mod quarantine;
mod query_invariants;
mod random_schedules;
mod readiness;
mod reload;
mod replay;
mod shutdown;
mod simulation;
mod snapshot;
