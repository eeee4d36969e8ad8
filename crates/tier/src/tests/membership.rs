//! Membership: suspicion, refutation, partitions, restarts and replacement.

use std::time::Duration;

use model::{InstanceId, MemberRow, MemberState};

use super::{
    fixture::note,
    network::{Network, network, publish, run_for, start},
};

/// Returns started instances that have discovered each other.
pub(crate) fn converged_network(nodes_count: usize, seed: u64) -> Network {
    let mut net = network(nodes_count, seed);
    publish(&mut net, &note(1, 2));
    (0..nodes_count).for_each(|index| start(&mut net, index));
    run_for(&mut net, Duration::from_secs(5));
    net
}

/// Returns the state of an instance as seen by every other running one.
fn member_states(net: &Network, index: usize) -> Vec<MemberState> {
    let name = &net.nodes[index].state.fleet.id.name;
    let others = net.nodes.iter().filter(|node| !node.is_down);
    let members = others.filter_map(|node| node.state.fleet.members.get(name));
    members.map(|member| member.row.state).collect()
}

#[test]
fn a_stopped_instance_is_suspected_and_then_gone() {
    let mut net = converged_network(6, 1);
    net.nodes[2].is_down = true;
    run_for(&mut net, Duration::from_secs(3));
    assert_eq!(member_states(&net, 2), [MemberState::Suspected; 5]);
    run_for(&mut net, Duration::from_secs(11));
    assert_eq!(member_states(&net, 2), [MemberState::Gone; 5]);
}

#[test]
fn a_paused_instance_is_suspected_and_refutes_it_after_the_pause() {
    let mut net = converged_network(6, 2);
    net.nodes[2].paused_until = Some(net.now + Duration::from_secs(6));
    run_for(&mut net, Duration::from_secs(5));
    assert_eq!(member_states(&net, 2), [MemberState::Suspected; 5]);
    run_for(&mut net, Duration::from_secs(5));
    assert_eq!(member_states(&net, 2), [MemberState::Alive; 5]);
}

#[test]
fn half_open_connections_are_reopened() {
    let mut net = converged_network(6, 7);
    net.half_open_connections = (1..6).map(|to| (0, to)).collect();
    run_for(&mut net, Duration::from_secs(12));
    assert!(net.half_open_connections.is_empty());
    assert_eq!(member_states(&net, 0), [MemberState::Alive; 5]);
}

#[test]
fn in_a_partition_only_the_smaller_side_hears_no_other_zone() {
    let mut net = converged_network(9, 8);
    let north = |index: usize| index.is_multiple_of(3);
    for (index, node) in net.nodes.iter_mut().enumerate() {
        node.partition = u32::from(north(index));
    }
    let silent_for = |net: &Network, index: usize| {
        let heard_at = fleet::other_zones_last_contact_at(&net.nodes[index].state.fleet);
        net.now - heard_at.expect("others are known")
    };
    for step in 0..25 {
        run_for(&mut net, Duration::from_millis(200));
        for index in 0..9 {
            let is_silent = silent_for(&net, index) >= Duration::from_millis(800);
            assert_eq!(is_silent && north(index), is_silent, "{index} at {step}");
            assert!(is_silent || !north(index) || step < 4, "{index} at {step}");
        }
    }
    net.nodes.iter_mut().for_each(|node| node.partition = 0);
    run_for(&mut net, Duration::from_millis(800));
    for index in 0..9 {
        assert!(silent_for(&net, index) < Duration::from_millis(800));
    }
}

#[test]
fn both_sides_of_a_partition_rejoin_after_it_heals() {
    let mut net = converged_network(6, 3);
    for node in &mut net.nodes[3..] {
        node.partition = 1;
    }
    run_for(&mut net, Duration::from_secs(40));
    assert!(member_states(&net, 0).contains(&MemberState::Gone));
    assert!(member_states(&net, 5).contains(&MemberState::Gone));
    for node in &mut net.nodes {
        node.partition = 0;
    }
    run_for(&mut net, Duration::from_secs(15));
    for index in 0..6 {
        assert_eq!(member_states(&net, index), [MemberState::Alive; 5]);
    }
}

#[test]
fn a_restarted_instance_replaces_its_earlier_incarnation() {
    let mut net = converged_network(6, 4);
    net.nodes[1].is_down = true;
    run_for(&mut net, Duration::from_secs(20));
    start(&mut net, 1);
    run_for(&mut net, Duration::from_secs(5));
    assert_eq!(member_states(&net, 1), [MemberState::Alive; 5]);
    let name = net.nodes[1].state.fleet.id.name.clone();
    let members = net
        .nodes
        .iter()
        .filter_map(|n| n.state.fleet.members.get(&name));
    assert!(
        members
            .into_iter()
            .all(|member| member.row.id.incarnation == 2)
    );
}

/// Guards against an instance that the others ignore because its clock was set back before its
/// restart, so that its incarnation is lower than that of its earlier process.
#[test]
fn an_instance_whose_clock_was_set_back_is_seen_again() {
    let mut net = converged_network(6, 10);
    net.nodes[2].state.fleet.id.incarnation += 1_000;
    // The digests of this process carry the later incarnation to the others.
    run_for(&mut net, Duration::from_secs(5));
    start(&mut net, 2);
    run_for(&mut net, Duration::from_secs(10));
    assert_eq!(member_states(&net, 2), [MemberState::Alive; 5]);
    let name = &net.nodes[2].state.fleet.id.name;
    for node in net
        .nodes
        .iter()
        .enumerate()
        .filter(|(index, _)| *index != 2)
    {
        let member = &node.1.state.fleet.members[name];
        assert_eq!(member.row.id, net.nodes[2].state.fleet.id);
    }
}

#[test]
fn the_revision_survives_a_rolling_replacement_of_all_instances() {
    let mut net = converged_network(6, 5);
    publish(&mut net, &note(3, 2));
    run_for(&mut net, Duration::from_secs(3));
    // From here on the platform publishes an older note, so only the instances hold the newer one.
    publish(&mut net, &note(1, 2));
    for index in 0..6 {
        start(&mut net, index);
        run_for(&mut net, Duration::from_secs(4));
    }
    let revisions = super::network::revisions(&net);
    assert_eq!(revisions, [3; 6]);
}

#[test]
fn a_stale_row_does_not_revive_a_gone_instance() {
    let mut net = converged_network(3, 6);
    net.nodes[2].is_down = true;
    run_for(&mut net, Duration::from_secs(20));
    let fleet = &mut net.nodes[0].state.fleet;
    let name = "west-2";
    assert_eq!(fleet.members[name].row.state, MemberState::Gone);
    for state in [
        MemberState::Alive,
        MemberState::Suspected,
        MemberState::Leaving,
    ] {
        let row = MemberRow {
            understands_permits: true,
            state,
            ..fleet.members[name].row.clone()
        };
        fleet::merge_row(fleet, net.now, &row);
        assert_eq!(fleet.members[name].row.state, MemberState::Gone);
    }
}

#[test]
fn an_instance_refutes_rows_about_itself_by_raising_its_counter() {
    let mut net = converged_network(2, 7);
    let fleet = &mut net.nodes[0].state.fleet;
    let own = fleet::own_row(fleet);
    let row = MemberRow {
        understands_permits: true,
        capacity_millicores: 0,
        counter: 4,
        state: MemberState::Gone,
        ..own.clone()
    };
    fleet::merge_row(fleet, net.now, &row);
    assert!(fleet::is_superseded_by(&row, &fleet::own_row(fleet)));
    let earlier_run = InstanceId {
        incarnation: 0,
        ..own.id.clone()
    };
    let row = MemberRow {
        understands_permits: true,
        id: earlier_run,
        capacity_millicores: 0,
        counter: 90,
        state: MemberState::Gone,
        ..own
    };
    fleet::merge_row(fleet, net.now, &row);
    assert_eq!(fleet.counter, 5);
}

#[test]
fn all_instances_agree_on_the_holder_count_and_have_distinct_ranks() {
    let mut net = converged_network(6, 8);
    net.nodes[4].state.fleet.is_leaving = true;
    run_for(&mut net, Duration::from_secs(3));
    let mut ranks = Vec::new();
    for node in &net.nodes {
        assert_eq!(fleet::connection_holders_count(&node.state.fleet), 6);
        ranks.push(fleet::connection_holder_rank(&node.state.fleet));
    }
    ranks.sort_unstable();
    assert_eq!(ranks, [0, 1, 2, 3, 4, 5]);
    assert_eq!(member_states(&net, 4), [MemberState::Leaving; 5]);
}
