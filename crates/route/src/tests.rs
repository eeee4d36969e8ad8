//! Tests of the choice of targets.

mod share;
