//! Tests of the routing table.

mod share;
