//! Settings of an instance: their types and defaults, and the validating reader of the file.
//!
//! Invariants:
//! - settings returned by [`read()`] are complete and within their bounds;
//! - an invalid file yields all its findings at once and no settings.

mod gateway;
mod read;
mod sections;

#[cfg(test)]
mod tests;

pub use read::read;
pub use sections::{
    Admit, Fleet, Gateway, Instance, Listen, Once, Platform, Query, Route, Settings,
};
