//! The reducer of the simulation.

use std::time::Duration;

use model::Priority;
use note::ZoneState;
use rand::RngExt;
use rand_distr::{Distribution, Exp};

use crate::{
    case::{Fault, FaultKind},
    event::{PolicyEvent, SimEffect, SimEvent, TargetIndex},
    fleet,
    simulation::{self, PendingRequest, Simulation},
    target,
};

/// Returns the effects that start a simulation: the instance's start, the first note, the first
/// request and all faults.
pub fn initial_effects(sim: &Simulation) -> Vec<SimEffect> {
    let mut out = vec![schedule(
        Duration::ZERO,
        SimEvent::Policy(PolicyEvent::Started),
    )];
    publish_note(sim, &mut out);
    out.push(schedule(FIRST_ARRIVAL_DELAY, SimEvent::RequestArrival));
    for (position, fault) in sim.case.faults.iter().enumerate() {
        out.push(schedule(fault.at, SimEvent::Fault(position)));
    }
    out
}

/// Delay of the first request, in which the policy opens its connections.
const FIRST_ARRIVAL_DELAY: Duration = Duration::from_millis(300);

/// Applies one event and appends its effects.
pub fn reduce(sim: &mut Simulation, now: Duration, event: SimEvent, out: &mut Vec<SimEffect>) {
    match event {
        SimEvent::RequestArrival => handle_arrival(sim, now, out),
        SimEvent::CallArrival(call) => target::receive_call(sim, now, call, out),
        SimEvent::CallExecuted { target, call } => {
            target::finish_execution(sim, now, target, call, out)
        }
        SimEvent::CancelArrival(call) => target::receive_cancel(sim, now, call, out),
        SimEvent::SnapshotSwitch(index) => sim.targets[index].newest_snapshot += 1,
        SimEvent::Fault(position) => {
            let fault = sim.case.faults[position].clone();
            if let Some(every) = fault.every {
                out.push(schedule(every, SimEvent::Fault(position)));
            }
            inject_fault(sim, now, &fault, out);
        }
        // Passed to the policy by the event loop.
        SimEvent::Policy(_) => {}
    }
}

fn handle_arrival(sim: &mut Simulation, now: Duration, out: &mut Vec<SimEffect>) {
    if now >= sim.case.duration {
        return;
    }
    let gap = Exp::new(sim.arrivals_per_second).expect("the rate is positive");
    let gap = Duration::from_secs_f64(gap.sample(&mut sim.arrivals_rng));
    out.push(schedule(gap, SimEvent::RequestArrival));
    let priority = sample_priority(sim);
    let number = sim.requests_count;
    sim.requests_count += 1;
    sim.pending_requests.insert(
        number,
        PendingRequest {
            arrived_at: now,
            priority,
            calls_count_by_service: vec![0; sim.services.len()],
        },
    );
    if now >= sim.case.measure_from {
        sim.stats.queries_count += 1;
    }
    let policy_event = PolicyEvent::Request {
        caller: simulation::caller_key(number),
        number,
        priority,
    };
    out.push(schedule(Duration::ZERO, SimEvent::Policy(policy_event)));
}

fn sample_priority(sim: &mut Simulation) -> Priority {
    let draw: f64 = sim.arrivals_rng.random();
    let priorities = &sim.case.priorities;
    if draw < priorities.urgent_ratio {
        return Priority::Urgent;
    }
    if draw < priorities.urgent_ratio + priorities.deferrable_ratio {
        return Priority::Deferrable;
    }
    Priority::Normal
}

fn inject_fault(sim: &mut Simulation, now: Duration, fault: &Fault, out: &mut Vec<SimEffect>) {
    match fault.kind {
        FaultKind::Crash => {
            for index in selected_targets(sim, fault) {
                target::crash(sim, index, out);
            }
        }
        FaultKind::Restart => {
            for index in selected_targets(sim, fault) {
                let target = &mut sim.targets[index];
                target.is_crashed = false;
                target.incarnation += 1;
                target.cold_since = Some(now);
            }
        }
        FaultKind::EnterColdStart => {
            for index in selected_targets(sim, fault) {
                sim.targets[index].cold_since = Some(now);
            }
        }
        FaultKind::Hang => {
            for index in selected_targets(sim, fault) {
                sim.targets[index].is_hung = true;
            }
        }
        FaultKind::ZoneOut => set_zone_state(sim, &fault.selector, ZoneState::Out, out),
        FaultKind::ZoneIn => set_zone_state(sim, &fault.selector, ZoneState::In, out),
        FaultKind::SwitchSnapshot => schedule_snapshot_switches(sim, fault.duration, out),
        FaultKind::Repartition => repartition(sim, out),
        FaultKind::Pause => out.push(SimEffect::Pause(fault.duration)),
    }
}

fn selected_targets(sim: &Simulation, fault: &Fault) -> Vec<TargetIndex> {
    let targets = sim.targets.iter().enumerate();
    let selected = targets.filter(|(_, target)| target.name.starts_with(&fault.selector));
    selected.map(|(index, _)| index).collect()
}

fn set_zone_state(sim: &mut Simulation, name: &str, state: ZoneState, out: &mut Vec<SimEffect>) {
    for zone in &mut sim.note.fleet.zones {
        if zone.name == name {
            zone.state = state;
        }
    }
    let path = vec![format!("zone/{name}")];
    publish_change(sim, path, out);
}

fn repartition(sim: &mut Simulation, out: &mut Vec<SimEffect>) {
    let newest = sim.targets.iter().map(|target| target.newest_snapshot);
    let from_snapshot = newest.max().unwrap_or_default() + 1;
    let services = sim.note.fleet.services.iter();
    let services = services.map(|service| service.name.clone()).collect();
    let front = &mut sim.note.fleet.fronts[0];
    front.shard_maps.push(note::ShardMap {
        from_snapshot,
        services,
    });
    let path = vec![format!("front/{}", fleet::FRONT)];
    publish_change(sim, path, out);
}

fn publish_change(sim: &mut Simulation, changed: Vec<String>, out: &mut Vec<SimEffect>) {
    sim.note.revision += 1;
    sim.note.added.clear();
    sim.note.changed = changed;
    publish_note(sim, out);
}

fn publish_note(sim: &Simulation, out: &mut Vec<SimEffect>) {
    let policy_event = simulation::note_event(sim);
    out.push(schedule(Duration::ZERO, SimEvent::Policy(policy_event)));
}

fn schedule_snapshot_switches(sim: &mut Simulation, duration: Duration, out: &mut Vec<SimEffect>) {
    for index in 0..sim.targets.len() {
        let draw: f64 = sim.rng.random();
        out.push(schedule(
            duration.mul_f64(draw),
            SimEvent::SnapshotSwitch(index),
        ));
    }
}

fn schedule(after: Duration, event: SimEvent) -> SimEffect {
    SimEffect::Schedule { after, event }
}
