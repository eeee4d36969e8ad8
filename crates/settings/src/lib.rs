//! Settings of an instance: what may be set, the defaults, and the checked reading of the file.
//!
//! Invariants:
//! - settings that were read are complete and within their bounds;
//! - a faulty file yields every finding at once and no settings.

mod areas;
mod read;

#[cfg(test)]
mod tests;

pub use areas::{Admit, Fleet, Gateway, Instance, Listen, Once, Platform, Query, Route, Settings};
pub use read::read;
