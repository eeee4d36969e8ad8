//! Tests of the gateway: requests are simulated on a virtual clock, and the responses to callers and
//! the attempts at targets are checked.

mod busy_instance;
mod even_load;
mod fixture;
mod gather;
mod isolation;
mod limits;
mod load;
mod relay;
mod relay_allowance;
mod retry;
mod split;
mod target_statements;
