//! Tests of the release note.

mod check;
mod compose;
mod fixture;
