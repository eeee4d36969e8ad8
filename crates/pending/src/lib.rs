//! Requests to other instances that wait for their replies.
//!
//! A reply repeats the number of its request. This table is the only place that matches a number
//! with what waits for it, for every kind of request: relayed queries, forwarded requests and
//! gossip probes.
//!
//! Invariants:
//! - a number belongs to one request of one process: a later process at the same address, or
//!   another table of the same process, draws its numbers from another random base;
//! - a reply is accepted only from the address that was asked, and only while its request waits;
//! - an accepted reply yields the key under which its request waits, so that no handler sees a
//!   number from outside.

mod requests;

#[cfg(test)]
mod tests;

pub use requests::{
    Requests, Table, accept, clear, new_requests, register, remove, retain, values, values_mut,
};
