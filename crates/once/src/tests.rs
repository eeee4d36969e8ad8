//! Tests of tickets, outcomes and quarantine.

mod evidence;
mod ticket;
