//! Members: suspicion, refutation, departure and return.

use std::time::Duration;

use model::{InstanceId, MemberRow, MemberState};

use super::{
    fixture::note,
    net::{Net, net, publish, run_for, start},
};

/// Returns started instances that know each other.
pub(crate) fn settled(nodes_count: usize, seed: u64) -> Net {
    let mut net = net(nodes_count, seed);
    publish(&mut net, &note(1, 2));
    (0..nodes_count).for_each(|index| start(&mut net, index));
    run_for(&mut net, Duration::from_secs(5));
    net
}

fn states_of(net: &Net, index: usize) -> Vec<MemberState> {
    let name = &net.nodes[index].state.fleet.id.name;
    let others = net.nodes.iter().filter(|node| !node.is_down);
    let members = others.filter_map(|node| node.state.fleet.members.get(name));
    members.map(|member| member.row.state).collect()
}

#[test]
fn a_stopped_instance_is_suspected_and_then_gone() {
    let mut net = settled(6, 1);
    net.nodes[2].is_down = true;
    run_for(&mut net, Duration::from_secs(3));
    assert_eq!(states_of(&net, 2), [MemberState::Suspected; 5]);
    run_for(&mut net, Duration::from_secs(11));
    assert_eq!(states_of(&net, 2), [MemberState::Gone; 5]);
}

#[test]
fn a_silent_instance_is_suspected_and_refutes_it_when_it_wakes() {
    let mut net = settled(6, 2);
    net.nodes[2].paused_until = Some(net.now + Duration::from_secs(6));
    run_for(&mut net, Duration::from_secs(5));
    assert_eq!(states_of(&net, 2), [MemberState::Suspected; 5]);
    run_for(&mut net, Duration::from_secs(5));
    assert_eq!(states_of(&net, 2), [MemberState::Alive; 5]);
}

#[test]
fn connections_that_have_gone_silent_are_opened_again() {
    let mut net = settled(6, 7);
    net.silent_connections = (1..6).map(|to| (0, to)).collect();
    run_for(&mut net, Duration::from_secs(12));
    assert!(net.silent_connections.is_empty());
    assert_eq!(states_of(&net, 0), [MemberState::Alive; 5]);
}

#[test]
fn in_a_cut_only_the_smaller_side_hears_no_other_zone() {
    let mut net = settled(9, 8);
    let north = |index: usize| index.is_multiple_of(3);
    for (index, node) in net.nodes.iter_mut().enumerate() {
        node.group = u32::from(north(index));
    }
    let silent_for = |net: &Net, index: usize| {
        let heard_at = fleet::other_zones_heard_at(&net.nodes[index].state.fleet);
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
    net.nodes.iter_mut().for_each(|node| node.group = 0);
    run_for(&mut net, Duration::from_millis(800));
    for index in 0..9 {
        assert!(silent_for(&net, index) < Duration::from_millis(800));
    }
}

#[test]
fn both_sides_of_a_cut_find_each_other_again() {
    let mut net = settled(6, 3);
    for node in &mut net.nodes[3..] {
        node.group = 1;
    }
    run_for(&mut net, Duration::from_secs(40));
    assert!(states_of(&net, 0).contains(&MemberState::Gone));
    assert!(states_of(&net, 5).contains(&MemberState::Gone));
    for node in &mut net.nodes {
        node.group = 0;
    }
    run_for(&mut net, Duration::from_secs(15));
    for index in 0..6 {
        assert_eq!(states_of(&net, index), [MemberState::Alive; 5]);
    }
}

#[test]
fn a_new_run_replaces_the_old_one_everywhere() {
    let mut net = settled(6, 4);
    net.nodes[1].is_down = true;
    run_for(&mut net, Duration::from_secs(20));
    start(&mut net, 1);
    run_for(&mut net, Duration::from_secs(5));
    assert_eq!(states_of(&net, 1), [MemberState::Alive; 5]);
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

#[test]
fn all_instances_can_be_replaced_one_by_one() {
    let mut net = settled(6, 5);
    publish(&mut net, &note(3, 2));
    run_for(&mut net, Duration::from_secs(3));
    // From here on the platform shows an old value, so only the instances keep the newer one.
    publish(&mut net, &note(1, 2));
    for index in 0..6 {
        start(&mut net, index);
        run_for(&mut net, Duration::from_secs(4));
    }
    let revisions = super::net::revisions(&net);
    assert_eq!(revisions, [3; 6]);
}

#[test]
fn an_old_row_does_not_bring_back_an_instance_that_has_gone() {
    let mut net = settled(3, 6);
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
            state,
            ..fleet.members[name].row.clone()
        };
        fleet::merge_row(fleet, net.now, &row);
        assert_eq!(fleet.members[name].row.state, MemberState::Gone);
    }
}

#[test]
fn a_suspicion_about_the_instance_itself_raises_its_counter() {
    let mut net = settled(2, 7);
    let fleet = &mut net.nodes[0].state.fleet;
    let own = fleet::own_row(fleet);
    let row = MemberRow {
        capacity_millicores: 0,
        counter: 4,
        state: MemberState::Gone,
        ..own.clone()
    };
    fleet::merge_row(fleet, net.now, &row);
    assert!(fleet::is_before(&row, &fleet::own_row(fleet)));
    let earlier_run = InstanceId {
        incarnation: 0,
        ..own.id.clone()
    };
    let row = MemberRow {
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
fn every_instance_counts_the_same_holders_and_has_a_rank_of_its_own() {
    let mut net = settled(6, 8);
    net.nodes[4].state.fleet.is_leaving = true;
    run_for(&mut net, Duration::from_secs(3));
    let mut ranks = Vec::new();
    for node in &net.nodes {
        assert_eq!(fleet::may_hold_count(&node.state.fleet), 6);
        ranks.push(fleet::own_rank(&node.state.fleet));
    }
    ranks.sort_unstable();
    assert_eq!(ranks, [0, 1, 2, 3, 4, 5]);
    assert_eq!(states_of(&net, 4), [MemberState::Leaving; 5]);
}
