//! The reducer of the measured world.

use std::time::Duration;

use model::Priority;
use note::ZoneState;
use rand::RngExt;
use rand_distr::{Distribution, Exp};

use crate::{
    case::{Fault, FaultKind},
    fleet,
    happening::{Happening, Notice, Outcome, TargetIndex},
    target,
    world::{self, Caller, World},
};

/// Returns what happens first.
pub fn begin(world: &World) -> Vec<Outcome> {
    let mut out = vec![later(Duration::ZERO, Happening::Policy(Notice::Started))];
    publish(world, &mut out);
    out.push(later(START_DELAY, Happening::Arrival));
    for (position, fault) in world.case.faults.iter().enumerate() {
        out.push(later(fault.at, Happening::Fault(position)));
    }
    out
}

/// Time that the policy has to open its connections before the first request.
const START_DELAY: Duration = Duration::from_millis(300);

/// Takes in one happening and appends what follows from it.
pub fn reduce(world: &mut World, now: Duration, happening: Happening, out: &mut Vec<Outcome>) {
    match happening {
        Happening::Arrival => arrival(world, now, out),
        Happening::CallArrives(call) => target::call_arrives(world, now, call, out),
        Happening::Executed { target, call } => target::executed(world, now, target, call, out),
        Happening::CancelArrives(call) => target::cancel_arrives(world, now, call, out),
        Happening::SnapshotMoves(index) => world.targets[index].newest_snapshot += 1,
        Happening::Fault(position) => {
            let fault = world.case.faults[position].clone();
            if let Some(every) = fault.every {
                out.push(later(every, Happening::Fault(position)));
            }
            fault_due(world, now, &fault, out);
        }
        // The drive passes notices on to the policy.
        Happening::Policy(_) => {}
    }
}

fn arrival(world: &mut World, now: Duration, out: &mut Vec<Outcome>) {
    if now >= world.case.duration {
        return;
    }
    let gap = Exp::new(world.arrivals_per_second).expect("the rate is positive");
    let gap = Duration::from_secs_f64(gap.sample(&mut world.arrivals_rng));
    out.push(later(gap, Happening::Arrival));
    let priority = draw_priority(world);
    let number = world.requests_count;
    world.requests_count += 1;
    world.callers.insert(
        number,
        Caller {
            arrived_at: now,
            priority,
            calls_counts: vec![0; world.services.len()],
        },
    );
    if now >= world.case.measure_from {
        world.tally.queries_count += 1;
    }
    let notice = Notice::Request {
        caller: world::caller_key(number),
        number,
        priority,
    };
    out.push(later(Duration::ZERO, Happening::Policy(notice)));
}

fn draw_priority(world: &mut World) -> Priority {
    let draw: f64 = world.arrivals_rng.random();
    let priorities = &world.case.priorities;
    if draw < priorities.urgent_ratio {
        return Priority::Urgent;
    }
    if draw < priorities.urgent_ratio + priorities.deferrable_ratio {
        return Priority::Deferrable;
    }
    Priority::Normal
}

fn fault_due(world: &mut World, now: Duration, fault: &Fault, out: &mut Vec<Outcome>) {
    match fault.kind {
        FaultKind::Lose => {
            for index in selected(world, fault) {
                target::lose(world, index, out);
            }
        }
        FaultKind::Return => {
            for index in selected(world, fault) {
                let target = &mut world.targets[index];
                target.is_lost = false;
                target.incarnation += 1;
                target.cold_since = Some(now);
            }
        }
        FaultKind::TurnCold => {
            for index in selected(world, fault) {
                world.targets[index].cold_since = Some(now);
            }
        }
        FaultKind::Hang => {
            for index in selected(world, fault) {
                world.targets[index].is_hung = true;
            }
        }
        FaultKind::ZoneOut => set_zone(world, &fault.select, ZoneState::Out, out),
        FaultKind::ZoneIn => set_zone(world, &fault.select, ZoneState::In, out),
        FaultKind::Snapshot => move_snapshots(world, fault.spread, out),
        FaultKind::Repartition => repartition(world, out),
        FaultKind::Pause => out.push(Outcome::Pause(fault.spread)),
    }
}

fn selected(world: &World, fault: &Fault) -> Vec<TargetIndex> {
    let targets = world.targets.iter().enumerate();
    let selected = targets.filter(|(_, target)| target.name.starts_with(&fault.select));
    selected.map(|(index, _)| index).collect()
}

fn set_zone(world: &mut World, name: &str, state: ZoneState, out: &mut Vec<Outcome>) {
    for zone in &mut world.note.fleet.zones {
        if zone.name == name {
            zone.state = state;
        }
    }
    let path = vec![format!("zone/{name}")];
    next_revision(world, path, out);
}

fn repartition(world: &mut World, out: &mut Vec<Outcome>) {
    let newest = world.targets.iter().map(|target| target.newest_snapshot);
    let from_snapshot = newest.max().unwrap_or_default() + 1;
    let services = world.note.fleet.services.iter();
    let services = services.map(|service| service.name.clone()).collect();
    let front = &mut world.note.fleet.fronts[0];
    front.shard_maps.push(note::ShardMap {
        from_snapshot,
        services,
    });
    let path = vec![format!("front/{}", fleet::FRONT)];
    next_revision(world, path, out);
}

fn next_revision(world: &mut World, changed: Vec<String>, out: &mut Vec<Outcome>) {
    world.note.revision += 1;
    world.note.added.clear();
    world.note.changed = changed;
    publish(world, out);
}

fn publish(world: &World, out: &mut Vec<Outcome>) {
    let notice = world::note_notice(world);
    out.push(later(Duration::ZERO, Happening::Policy(notice)));
}

fn move_snapshots(world: &mut World, spread: Duration, out: &mut Vec<Outcome>) {
    for index in 0..world.targets.len() {
        let draw: f64 = world.rng.random();
        out.push(later(spread.mul_f64(draw), Happening::SnapshotMoves(index)));
    }
}

fn later(after: Duration, happening: Happening) -> Outcome {
    Outcome::Later { after, happening }
}
