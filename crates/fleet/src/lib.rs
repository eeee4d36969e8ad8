//! The accepted configuration, how it reaches this instance, and the other instances.
//!
//! A few instances of each availability zone read the platform; digests carry the revision, its
//! freshness and the news about members to a few instances each tick, and whoever holds an older
//! revision fetches the published value from the sender.
//!
//! Invariants:
//! - the accepted revision never goes down;
//! - a published value that has a finding changes nothing but the findings that operators see;
//! - for each instance the row with the highest incarnation, counter and state wins, so an old row
//!   never undoes a newer one;
//! - freshness counts from the sending of a question that was answered, so a delayed message never
//!   looks fresher than it is;
//! - the reads of the platform and the bytes of a digest are bounded whatever the fleet's size.

mod accept;
mod digest;
mod freshness;
mod gossip;
mod instance_list;
mod join;
mod member;
mod platform_reads;
mod readers;
mod share;
mod state;
mod suspicion;

pub use accept::{note_published, note_received, note_wanted};
pub use freshness::{freshness_age, lapsed_zones, paused};
pub use gossip::{announce, digest_received, tick};
pub use instance_list::instances_published;
pub use join::is_joined;
pub use member::{is_before, knows_address, merge_row, own_row};
pub use platform_reads::{READS_PER_READER_MAX_PER_S, platform_due, platform_failed, started};
pub use readers::is_reader;
pub use share::{
    capacity_ratio, larger_in_zone, may_hold_count, other_zones_heard_at, own_rank, zone_addresses,
};
pub use state::{FleetState, FreshnessSource, Join, Member, PlatformReadState, Probe, open};
pub use suspicion::peer_unreachable;
