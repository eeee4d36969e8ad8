//! Open connections that fall silent, while new ones work: what is published meanwhile is in force at
//! every instance within the limits of the deployment.

use std::time::{Duration, Instant};

use catalog::Role;
use model::StoreArea;
use rstest::rstest;

use super::gateway_fleet::{
    Fleet, Layout, Limits, Size, fleet_with_limits, publish_configuration, publish_draining,
    publish_evacuation, run_for, silence_peers, silence_store,
};

/// Limits of the deployments, in milliseconds: contact, configuration, evacuation and drain.
const SMALL: [u64; 4] = [4_000, 3_000, 5_000, 3_000];
const GROWN: [u64; 4] = [5_000, 5_000, 5_000, 5_000];
const LARGE: [u64; 4] = [6_000, 6_000, 5_000, 6_000];
/// Instances that each read the store for themselves.
const WITHOUT_READERS: usize = 9;
/// Instances of which one in each zone reads the store for the others.
const WITH_READERS: usize = 24;

/// The connections that fall silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Silence {
    /// Those of one instance to the store; the other instances know more.
    OneInstance(usize),
    /// Those of all instances to the store.
    Store,
    /// Those of all instances to the store and between instances.
    StoreAndPeers,
    /// Those between instances, and later those of all instances to the store: by then the others of
    /// a zone read the store instead of hearing its reader.
    PeersThenStore,
}

/// Time from the silence between instances to that of the store; longer than the time after which
/// an instance gives its reader up.
const UNTIL_STORE_SILENCE: Duration = Duration::from_secs(2);

/// Longest time between two messages of a reader: its watch, and the transfer.
const READER_INTERVAL: Duration = Duration::from_millis(1_100);

/// Target that starts to drain, and zone that is taken out of service.
const DRAINING: usize = 1;
const ZONE: &str = "west";

/// Guards against instances that act on an old configuration, evacuation or registration because they
/// wait on dead connections for longer than the deployment permits.
#[rstest]
fn changes_are_in_force_within_the_limits(
    #[values(SMALL, GROWN, LARGE)] limits_ms: [u64; 4],
    #[values(WITHOUT_READERS, WITH_READERS)] instances_count: usize,
    #[values(
        Silence::OneInstance(0),
        Silence::OneInstance(5),
        Silence::Store,
        Silence::StoreAndPeers,
        Silence::PeersThenStore
    )]
    silence: Silence,
    // A change restarts the watches of all instances at the same time.
    #[values(450, 1_700, 2_900, 4_400)] since_change_ms: u64,
    #[values(0, 700)] until_change_ms: u64,
) {
    let limits = limits_ms.map(Duration::from_millis);
    let mut fleet = fleet_with_limits(size(instances_count), Layout::Equal, limits, 7);
    assert_eq!(has_readers(&fleet), instances_count == WITH_READERS);
    if silence == Silence::PeersThenStore {
        silence_peers(&mut fleet);
        run_for(&mut fleet, UNTIL_STORE_SILENCE);
    }
    publish_configuration(&mut fleet, 2);
    publish_draining(&mut fleet, 0);
    run_for(&mut fleet, Duration::from_millis(since_change_ms));
    match silence {
        Silence::OneInstance(index) => silence_store(&mut fleet, index..index + 1),
        Silence::Store | Silence::PeersThenStore => silence_store(&mut fleet, 0..instances_count),
        Silence::StoreAndPeers => {
            silence_store(&mut fleet, 0..instances_count);
            silence_peers(&mut fleet);
        }
    }
    let silent_at = fleet.now;
    run_for(&mut fleet, Duration::from_millis(until_change_ms));
    publish_configuration(&mut fleet, 3);
    publish_evacuation(&mut fleet, ZONE);
    publish_draining(&mut fleet, DRAINING);
    check_within_limits(&mut fleet, silent_at, limits);
}

fn has_readers(fleet: &Fleet) -> bool {
    let mut gateways = fleet
        .instances
        .iter()
        .filter_map(|instance| instance.state.gateway.as_ref());
    gateways.any(|gateway| gateway.sync.role == Role::Reader)
}

fn size(instances_count: usize) -> Size {
    Size {
        instances_count,
        services_count: 3,
        targets_count: 2,
        attempts_max_count: 2,
    }
}

/// Runs until the latest limit, and checks each change when it is due.
fn check_within_limits(fleet: &mut Fleet, silent_at: Instant, limits: Limits) {
    let [contact, configuration, evacuation, drain] = limits;
    let changed_at = fleet.now;
    let due = |limit: Duration| (silent_at + contact).max(changed_at + limit);
    type IsInForce = fn(&catalog::Catalog) -> bool;
    let mut changes: [(Instant, &str, IsInForce); 3] = [
        (due(configuration), "configuration", |catalog| {
            catalog.version == 3
        }),
        (due(evacuation), "evacuation", |catalog| {
            catalog.zones_out.contains(ZONE)
        }),
        (due(drain), "drain", |catalog| {
            let key = catalog.target_ids[&*format!("i-{DRAINING}-1")];
            catalog.targets[key].draining_since.is_some()
        }),
    ];
    changes.sort_by_key(|(due, ..)| *due);
    for (due, name, is_in_force) in changes {
        let left = due.saturating_duration_since(fleet.now);
        run_for(fleet, left);
        for (index, instance) in fleet.instances.iter().enumerate() {
            let gateway = instance.state.gateway.as_ref().expect("a gateway");
            assert!(
                is_in_force(&gateway.catalog),
                "{name} is not in force at instance {index}"
            );
        }
    }
}

/// Guards against connections between instances that stay dead until membership happens to probe
/// them, which takes half a minute in a large fleet: readers of the store no longer reach the others.
#[rstest]
fn readers_reach_their_zone_again_within_the_limit(#[values(1, 2, 3)] seed: u64) {
    let limits = GROWN.map(Duration::from_millis);
    let mut fleet = fleet_with_limits(size(WITH_READERS), Layout::Equal, limits, seed);
    assert!(has_readers(&fleet));
    silence_peers(&mut fleet);
    let [contact, ..] = limits;
    run_for(&mut fleet, contact);
    for (index, instance) in fleet.instances.iter().enumerate() {
        let gateway = instance.state.gateway.as_ref().expect("a gateway");
        if gateway.sync.role != Role::Follower {
            continue;
        }
        for area in [StoreArea::Operators, StoreArea::Targets] {
            let shared_at = catalog::area_progress(&gateway.sync, area).shared_at;
            let age = shared_at.map(|at| fleet.now - at);
            assert!(
                age.is_some_and(|age| age < READER_INTERVAL),
                "instance {index} last heard its reader {age:?} ago"
            );
        }
    }
}
