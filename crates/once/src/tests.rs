//! Tests of tickets, outcomes and quarantine.

mod evidence;
mod quarantine;
mod ticket;
