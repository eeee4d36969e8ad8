//! Tests of the whole reducer.

mod accept;
mod every_schedule;
mod fan_out;
mod fixture;
mod fold;
mod freshness;
mod gateway;
mod leave;
mod membership;
mod net;
mod once;
mod pause;
mod poison;
mod promises;
mod ready;
mod reload;
mod replay;
mod schedules;
mod snapshot;
mod spreading;
mod world;
