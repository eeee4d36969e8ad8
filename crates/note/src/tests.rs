//! Tests of the release note.
