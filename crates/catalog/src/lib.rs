//! What the metadata store publishes: fronts, services, targets, and zones that are taken out.
//!
//! [`sync`] keeps the catalog in line with the store by lists and watches; [`Catalog`] answers
//! which front a request belongs to and what may be sent to a target.
//!
//! Invariants:
//! - the version of the configuration never goes down;
//! - the catalog after any sequence of watches equals the one built from a list of the same
//!   revision, but for targets whose removal is pending;
//! - an item that cannot be read changes nothing but the entry that it names;
//! - keys of fronts, services and targets stay valid while their names exist.

mod apply;
mod standing;
mod sync;
mod table;

#[cfg(test)]
mod tests;

pub use apply::{Change, apply, expire};
pub use standing::{Standing, standing};
pub use sync::{
    Answered, AreaSync, Role, Shared, Stage, Sync, answered, area, due, failed, open, shared,
    started,
};
pub use table::{Catalog, Front, Route, Service, Target, find_front};
