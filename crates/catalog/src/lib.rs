//! Local replica of the metadata store: fronts, services, targets,
//! organisations and evacuated zones.
//!
//! [`sync`] replicates the store by a list of each area followed by watches. [`Catalog`] resolves
//! the front of a request, and [`eligibility()`] returns which requests a target may receive.
//!
//! Invariants:
//! - the version of the configuration never decreases;
//! - after any sequence of watches the catalog equals the one built from a list at the same
//!   revision, except for targets whose removal is pending;
//! - after a restore of the store, what the copy lacks is taken back only by the rules of
//!   [`restore`](crate::RestoreMemory);
//! - an item that cannot be parsed affects only the entry that it names;
//! - the key of a front, service or target stays valid while its name exists.

mod apply;
mod eligibility;
mod listing;
mod progress;
mod restore;
mod sync;
mod table;

#[cfg(test)]
mod tests;

pub use apply::{Change, apply, mark_leaving, remove_expired_targets};
pub use eligibility::{Eligibility, eligibility};
pub use listing::apply_due_zones;
pub use progress::{
    AreaProgress, Role, Stage, SyncState, area_progress, era, is_replaced, new_sync_state,
};
pub use restore::RestoreMemory;
pub use sync::{
    FailedRead, SharedChanges, StoreAnswer, has_lost_reader, is_earlier_era, on_read_failure,
    on_shared_changes, on_store_answer, start, start_next_read, watch_wait,
};
pub use table::{Catalog, Front, Route, Service, Target, find_front, new_catalog};
