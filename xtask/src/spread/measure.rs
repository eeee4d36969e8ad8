//! Measurements of a fleet; each returns one line of `key=value` pairs.

use std::time::{Duration, Instant};

use model::{Event, MemberState, Revision};

use crate::{
    fixtures,
    simulation::{Counts, FleetSimulation, publish, run_for, run_until, start_fleet},
};

/// Time for a fleet whose instances all start within one tick to reach a stable state.
const SETTLE_DURATION: Duration = Duration::from_secs(15);
/// Time after which a measurement is abandoned.
const MEASUREMENT_TIMEOUT: Duration = Duration::from_secs(120);
/// Time over which costs and false suspicions are counted.
const MEASURED_DURATION: Duration = Duration::from_secs(30);
/// Services of the largest configuration, with two targets each.
const MAX_SERVICES_COUNT: usize = 1350;

/// Measures the propagation of a revision that every reader can read from the platform.
pub fn propagation(instances_count: usize, loss_ratio: f64) -> String {
    let mut simulation = start_fleet(instances_count, loss_ratio);
    run_for(&mut simulation, SETTLE_DURATION);
    let values = publish_and_measure(&mut simulation);
    format!("spread sees=all instances_count={instances_count} loss_ratio={loss_ratio:.1} {values}")
}

/// Measures the propagation of a revision that only one instance can read from the platform.
pub fn propagation_from_one(instances_count: usize, loss_ratio: f64) -> String {
    let mut simulation = start_fleet(instances_count, loss_ratio);
    run_for(&mut simulation, SETTLE_DURATION);
    // The last instance by name; whether it is a reader depends on its hash.
    let connected = instances_count - 1;
    for instance in &mut simulation.instances[..connected] {
        instance.is_platform_reachable = false;
    }
    let was_reader = simulation.instances[connected]
        .state
        .fleet
        .platform_reads
        .is_reader;
    let isolated_at = simulation.now;
    let zones_count = fixtures::zones_count(instances_count);
    // Revision 4 can be read only by the connected instance: its arrival there shows that the
    // instance has become a reader.
    publish(&mut simulation, fixtures::note(4, zones_count, zones_count));
    let is_received = run_until(&mut simulation, MEASUREMENT_TIMEOUT, |simulation| {
        has_revision(simulation, connected, 4)
    });
    let received_s = (simulation.now - isolated_at).as_secs_f64();
    run_for(&mut simulation, SETTLE_DURATION);
    let values = publish_and_measure(&mut simulation);
    format!(
        "spread sees=one instances_count={instances_count} loss_ratio={loss_ratio:.1} \
         was_reader={was_reader} found={is_received} found_s={received_s:.1} {values}"
    )
}

/// Publishes a revision and returns the time and traffic until every instance applied it.
fn publish_and_measure(simulation: &mut FleetSimulation) -> String {
    let instances_count = simulation.instances.len();
    let zones_count = fixtures::zones_count(instances_count);
    let revision = 10;
    reset_counts(simulation);
    let published_at = simulation.now;
    publish(
        simulation,
        fixtures::note(revision, zones_count, zones_count),
    );
    let half = instances_count / 2;
    run_until(simulation, MEASUREMENT_TIMEOUT, |simulation| {
        count_with_revision(simulation, revision) > half
    });
    let half_s = (simulation.now - published_at).as_secs_f64();
    let is_applied_everywhere = run_until(simulation, MEASUREMENT_TIMEOUT, |simulation| {
        count_with_revision(simulation, revision) == instances_count
    });
    let propagation_time = simulation.now - published_at;
    let tick = simulation.instances[0].state.settings.fleet.tick;
    let rounds = propagation_time.as_secs_f64() / tick.as_secs_f64();
    let counts = total_counts(simulation);
    let per_instance = |bytes: u64| bytes / instances_count as u64;
    format!(
        "everywhere={is_applied_everywhere} half_s={half_s:.2} all_s={:.2} rounds={rounds:.1} \
         sent_bytes_per_instance={} bodies_bytes_per_instance={} body_bytes={}",
        propagation_time.as_secs_f64(),
        per_instance(counts.sent_bytes),
        per_instance(counts.notes_bytes),
        fixtures::note(revision, zones_count, zones_count).len(),
    )
}

/// Measures the cost of a fleet without traffic or changes.
pub fn cost(instances_count: usize) -> String {
    let mut opened = None;
    let allocated = allocation_counter::measure(|| {
        let simulation = opened.insert(start_fleet(instances_count, 0.0));
        run_for(simulation, SETTLE_DURATION);
    });
    let state_bytes = allocated.bytes_current / instances_count as i64;
    let mut simulation = opened.expect("the fleet was opened");
    reset_counts(&mut simulation);
    run_for(&mut simulation, MEASURED_DURATION);
    let counts = total_counts(&simulation);
    let seconds = MEASURED_DURATION.as_secs_f64() * instances_count as f64;
    let instance_counts = simulation.instances.iter().map(|instance| instance.counts);
    let instance_bytes = instance_counts.map(|counts| counts.sent_bytes + counts.received_bytes);
    let busiest_bytes_per_s =
        instance_bytes.max().unwrap_or(0) as f64 / MEASURED_DURATION.as_secs_f64();
    format!(
        "cost instances_count={instances_count} sent_bytes_per_s={:.0} received_bytes_per_s={:.0} \
         busiest_both_ways_bytes_per_s={busiest_bytes_per_s:.0} messages_per_s={:.1} \
         cpu_ratio={:.5} state_bytes={state_bytes} fleet_reads_per_s={:.2}",
        counts.sent_bytes as f64 / seconds,
        counts.received_bytes as f64 / seconds,
        counts.messages_count as f64 / seconds,
        simulation.processor_time.as_secs_f64() / seconds,
        counts.reads_count as f64 / MEASURED_DURATION.as_secs_f64(),
    )
}

/// Measures the rate of false suspicions, then the detection of an instance that stops.
pub fn detection(instances_count: usize, loss_ratio: f64) -> String {
    let mut simulation = start_fleet(instances_count, loss_ratio);
    run_for(&mut simulation, SETTLE_DURATION);
    reset_counts(&mut simulation);
    run_for(&mut simulation, MEASURED_DURATION);
    let counts = total_counts(&simulation);
    let stopped = instances_count / 2;
    simulation.instances[stopped].is_stopped = true;
    let stopped_at = simulation.now;
    let is_suspected_by_one = run_until(&mut simulation, MEASUREMENT_TIMEOUT, |simulation| {
        count_suspecting(simulation, stopped) > 0
    });
    let first_s = (simulation.now - stopped_at).as_secs_f64();
    let is_suspected_by_all = run_until(&mut simulation, MEASUREMENT_TIMEOUT, |simulation| {
        count_suspecting(simulation, stopped) + 1 == instances_count
    });
    let all_s = (simulation.now - stopped_at).as_secs_f64();
    let seconds = MEASURED_DURATION.as_secs_f64() * instances_count as f64;
    format!(
        "detect instances_count={instances_count} loss_ratio={loss_ratio:.1} \
         first={is_suspected_by_one} first_s={first_s:.2} \
         all={is_suspected_by_all} all_s={all_s:.2} \
         false_suspicions_per_instance_hour={:.2} messages_per_s={:.1}",
        counts.suspicions_count as f64 * 3600.0 / seconds,
        counts.messages_count as f64 / seconds,
    )
}

/// Measures the time and memory that one instance needs to accept the largest configuration.
pub fn acceptance() -> String {
    let zones_count = fixtures::ZONES_COUNT;
    let settings = fixtures::settings(0, zones_count);
    let body = fixtures::note(2, zones_count, MAX_SERVICES_COUNT);
    let mut state = tier::new_state(settings, 1, 1);
    let mut accept_ms = 0.0;
    let allocated = allocation_counter::measure(|| {
        let mut effects = Vec::new();
        let start = Instant::now();
        let event = Event::PlatformNote {
            version: 1,
            body: body.as_bytes(),
        };
        tier::reduce(&mut state, start, event, &mut effects);
        accept_ms = start.elapsed().as_secs_f64() * 1000.0;
    });
    let state_bytes = allocated.bytes_current;
    let peak_bytes = allocated.bytes_max;
    format!(
        "accept targets_count={} body_bytes={} accept_ms={accept_ms:.1} state_bytes={state_bytes} \
         peak_bytes={peak_bytes} revision={}",
        state.routes.targets.len(),
        body.len(),
        state.fleet.revision(),
    )
}

fn reset_counts(simulation: &mut FleetSimulation) {
    simulation.processor_time = Duration::ZERO;
    for instance in &mut simulation.instances {
        instance.counts = Counts::default();
    }
}

fn total_counts(simulation: &FleetSimulation) -> Counts {
    let mut total = Counts::default();
    for counts in simulation.instances.iter().map(|instance| instance.counts) {
        total.sent_bytes += counts.sent_bytes;
        total.received_bytes += counts.received_bytes;
        total.messages_count += counts.messages_count;
        total.notes_bytes += counts.notes_bytes;
        total.reads_count += counts.reads_count;
        total.suspicions_count += counts.suspicions_count;
    }
    total
}

fn has_revision(simulation: &FleetSimulation, index: usize, revision: Revision) -> bool {
    simulation.instances[index].state.fleet.revision() >= revision
}

fn count_with_revision(simulation: &FleetSimulation, revision: Revision) -> usize {
    let indexes = 0..simulation.instances.len();
    indexes
        .filter(|&index| has_revision(simulation, index, revision))
        .count()
}

/// Counts the running instances that consider an instance suspected or gone.
fn count_suspecting(simulation: &FleetSimulation, index: usize) -> usize {
    let name = &simulation.instances[index].state.fleet.id.name;
    let running = simulation
        .instances
        .iter()
        .filter(|instance| !instance.is_stopped);
    let suspecting = running.filter(|instance| {
        let member = instance.state.fleet.members.get(name);
        let state = member.map(|member| member.row.state);
        matches!(state, Some(MemberState::Suspected | MemberState::Gone))
    });
    suspecting.count()
}
