//! Distribution of the configuration and gossip membership of the instances.
//!
//! The configuration is published on the platform as a document, the note, with a revision. A few
//! instances of each availability zone, the readers, read the platform. Each tick every instance
//! sends a digest with its revision, freshness and membership changes to a few peers. An instance
//! that receives a higher revision fetches the note from the sender.
//!
//! Invariants:
//! - the accepted revision never decreases;
//! - an invalid published configuration changes only the findings shown to operators;
//! - two rows about an instance are compared by incarnation, then counter, then precedence of the
//!   state, and the higher one wins, so an old row never overrides a newer one;
//! - a reply confirms freshness as of the time its probe was sent, less the freshness age of its
//!   sender, so a delayed message never looks fresher than it is;
//! - the rate of platform reads and the size of a digest are bounded for any number of instances.

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

pub use accept::{on_note_request, on_peer_note, on_published_note};
pub use freshness::{freshness_age, on_pause, zones_allowed_when_stale};
pub use gossip::{broadcast_observations, on_digest, tick};
pub use instance_list::on_instance_list;
pub use join::is_joined;
pub use member::{is_superseded_by, knows_address, merge_row, own_row};
pub use platform_reads::{
    READS_PER_READER_MAX_PER_S, on_read_failure, start_due_reads, start_join,
};
pub use readers::{is_reader, zone_reader_address};
pub use share::{
    capacity_ratio, capacity_shares, connection_holder_rank, connection_holders_count,
    has_heard_another, is_in_minority, known_zones, larger_in_zone, other_zones_last_contact_at,
    permit_members, zone_peer_addresses,
};
pub use state::{
    FleetState, FreshnessSource, JoinState, Member, PlatformReadState, Probe, new_state,
};
pub use suspicion::{on_peer_unreachable, request_probe};
