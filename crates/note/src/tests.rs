//! Tests of the release note.

mod arbitrary;
mod check;
mod compose;
mod examples;
mod fixture;
