//! Projects the measured costs to the fleet size expected in two years.

use crate::results::{Results, add};

const INSTANCES_COUNT: f64 = 420.0;
const TARGETS_COUNT: f64 = 2_700.0;
/// Availability zones of both regions together.
const ZONES_COUNT: f64 = 5.0;
/// Queries of the whole fleet.
const QUERIES_PER_S: f64 = 76_000.0;
const SERVICES_PER_QUERY_COUNT: f64 = 240.0;
/// 99th percentile of the latency of a query.
const QUERY_P99_S: f64 = 0.052;
/// Published revisions of the configuration.
const REVISIONS_PER_DAY: f64 = 250.0;
const RESTARTS_PER_DAY: f64 = 860.0;
const FAILURES_PER_DAY: f64 = 12.0;
const DAY_S: f64 = 86_400.0;
/// Largest value that the platform stores.
const PLATFORM_VALUE_MAX_BYTES: f64 = 1_000_000.0;
/// Used tickets that an instance retains at most, and for how long.
const TICKETS_MAX_COUNT: f64 = 20_000.0;
const TICKET_RETENTION_S: f64 = 1_200.0;
/// Results that an instance retains with outcomes at most.
const RETAINED_RESULTS_MAX_BYTES: f64 = 16.0 * 1_048_576.0;

/// Services that one relay serves; a query sends one exchange to each group of services.
const SERVICES_PER_RELAY_COUNT: f64 = 12.0;
/// Relays of each group of services in each zone.
const RELAYS_PER_GROUP_COUNT: f64 = 4.0;
/// Time for which a relay collects calls to one target into a batch.
const BATCHING_WINDOW_S: f64 = 0.002;
/// Time from the failure of an instance until the load balancer stops sending to it.
const LOAD_BALANCER_DETECTION_S: f64 = 5.0;
/// Time from the start of draining an instance until its replacement has caught up.
const REPLACEMENT_S: f64 = 30.0;

/// Adds the results derived from measured ones, under names that start with `worked.`.
///
/// Stops with `None` at the first measured result that is missing; results derived before it stay.
pub fn add_all(results: &mut Results) -> Option<()> {
    let load = add_load(results);
    add_control_plane(results)?;
    add_direct_calls(results, &load)?;
    add_relay_tier(results, &load)?;
    add_failures(results, &load)
}

/// Load of one instance and of one target.
struct LoadRates {
    queries_per_instance_per_s: f64,
    calls_per_instance_per_s: f64,
    calls_per_target_per_s: f64,
}

fn add_load(results: &mut Results) -> LoadRates {
    let calls_per_s = QUERIES_PER_S * SERVICES_PER_QUERY_COUNT;
    let load = LoadRates {
        queries_per_instance_per_s: QUERIES_PER_S / INSTANCES_COUNT,
        calls_per_instance_per_s: calls_per_s / INSTANCES_COUNT,
        calls_per_target_per_s: calls_per_s / TARGETS_COUNT,
    };
    add(results, "worked.calls_per_s", calls_per_s);
    add(
        results,
        "worked.queries_per_node_per_s",
        load.queries_per_instance_per_s,
    );
    add(
        results,
        "worked.calls_per_node_per_s",
        load.calls_per_instance_per_s,
    );
    add(
        results,
        "worked.calls_per_target_per_s",
        load.calls_per_target_per_s,
    );
    add(
        results,
        "worked.direct_connections_per_target_count",
        INSTANCES_COUNT,
    );
    load
}

/// Adds the memory, traffic and processor time of an instance that do not depend on traffic from
/// callers.
fn add_control_plane(results: &mut Results) -> Option<()> {
    let targets_bytes = measured_value(results, "memory_by_targets.state_bytes.at_2700")?;
    let peers_bytes = measured_value(results, "peers_by_instances.state_bytes.at_420")?;
    let tickets_bytes =
        measured_value(results, "memory_by_tickets.state_bytes.gradient")? * TICKETS_MAX_COUNT;
    let state_bytes = targets_bytes + peers_bytes + tickets_bytes + RETAINED_RESULTS_MAX_BYTES;
    add(results, "worked.tickets_bytes", tickets_bytes);
    add(results, "worked.control_state_mb", state_bytes / 1e6);

    let note_bytes = measured_value(results, "memory_by_targets.note_bytes.at_2700")?;
    let notes_bytes_per_s = note_bytes * REVISIONS_PER_DAY / DAY_S;
    let digests_bytes_per_s =
        measured_value(results, "peers_by_instances.sent_bytes_per_second.at_420")?;
    add(results, "worked.notes_bytes_per_s", notes_bytes_per_s);
    add(
        results,
        "worked.control_bytes_per_s",
        notes_bytes_per_s + digests_bytes_per_s,
    );
    let note_bytes_per_target = measured_value(results, "memory_by_targets.note_bytes.gradient")?;
    add(
        results,
        "worked.note_targets_max_count",
        PLATFORM_VALUE_MAX_BYTES / note_bytes_per_target,
    );

    let usable_ratio = measured_value(
        results,
        "connections_by_instances_25.usable_targets_ratio.at_420",
    )?;
    let idle_us = measured_value(results, "idle_by_targets.us_per_second.at_2700")?;
    let peers_us = measured_value(results, "peers_by_instances.us_per_second.at_420")?;
    let accept_us = measured_value(results, "memory_by_targets.accept_us.at_2700")?;
    let control_us = idle_us + peers_us + accept_us * REVISIONS_PER_DAY / DAY_S;
    add(results, "worked.control_core_percent", control_us / 1e4);
    add(results, "worked.accept_ms", accept_us / 1e3);
    let probes_per_s = measured_value(results, "idle_by_targets.probes_per_second_count.at_2700")?;
    add(results, "worked.probes_all_targets_per_s", probes_per_s);
    add(
        results,
        "worked.probes_shared_targets_per_s",
        probes_per_s * usable_ratio,
    );
    add(
        results,
        "worked.orders_per_node_per_s",
        TICKETS_MAX_COUNT / TICKET_RETENTION_S,
    );
    add(
        results,
        "worked.orders_per_s",
        TICKETS_MAX_COUNT / TICKET_RETENTION_S * INSTANCES_COUNT,
    );
    Some(())
}

/// Adds the cost of queries if an instance calls every target directly.
fn add_direct_calls(results: &mut Results, load: &LoadRates) -> Option<()> {
    let query_us = measured_value(results, "reducer_by_services.us_per_query.at_240")?;
    let reducer_cores = query_us * load.queries_per_instance_per_s / 1e6;
    add(
        results,
        "worked.reducer_core_percent",
        reducer_cores * 100.0,
    );
    let in_flight_count = load.queries_per_instance_per_s * QUERY_P99_S;
    let query_bytes = measured_value(results, "memory_by_services.state_bytes.at_240")?;
    add(results, "worked.queries_in_flight_count", in_flight_count);
    add(
        results,
        "worked.queries_mb",
        in_flight_count * query_bytes / 1e6,
    );
    let call_us = measured_value(results, "process_by_services.us_per_query.gradient")?;
    let process_us = call_us * SERVICES_PER_QUERY_COUNT;
    let direct_cores = process_us * load.queries_per_instance_per_s / 1e6;
    add(results, "worked.direct_cores_per_node", direct_cores);
    add(
        results,
        "worked.direct_cores",
        direct_cores * INSTANCES_COUNT,
    );
    add(results, "worked.calls_per_core_per_s", 1e6 / call_us);
    Some(())
}

/// Adds the cost of a relay tier between instances and groups of services.
fn add_relay_tier(results: &mut Results, load: &LoadRates) -> Option<()> {
    let groups_count = SERVICES_PER_QUERY_COUNT / SERVICES_PER_RELAY_COUNT;
    let relays_count = groups_count * ZONES_COUNT * RELAYS_PER_GROUP_COUNT;
    // An exchange is measured at both of its ends together; half is the cost of one end.
    let exchange_us = measured_value(results, "frames_by_calls.us_per_exchange.intercept")? / 2.0;
    let frame_us = measured_value(results, "frames_by_calls.us_per_exchange.gradient")? / 2.0;
    let http_us = measured_value(results, "process_by_services.us_per_query.gradient")?;
    add(results, "worked.relay_groups_count", groups_count);
    add(results, "worked.relays_count", relays_count);

    let instance_us = groups_count * exchange_us + SERVICES_PER_QUERY_COUNT * frame_us;
    let instance_cores = instance_us * load.queries_per_instance_per_s / 1e6;
    add(results, "worked.relay_entry_cores_per_node", instance_cores);

    let senders_count = RELAYS_PER_GROUP_COUNT;
    let calls_per_sender_per_s = load.calls_per_target_per_s / senders_count;
    let batch_calls_count = (calls_per_sender_per_s * BATCHING_WINDOW_S).max(1.0);
    add(results, "worked.gathered_calls_count", batch_calls_count);
    let call_us = http_us / batch_calls_count + frame_us;
    let relay_cores = (call_us + frame_us) * QUERIES_PER_S * SERVICES_PER_QUERY_COUNT / 1e6;
    add(
        results,
        "worked.relay_cores_per_node",
        relay_cores / INSTANCES_COUNT,
    );
    let unbatched_cores = (http_us + frame_us) * QUERIES_PER_S * SERVICES_PER_QUERY_COUNT / 1e6;
    add(
        results,
        "worked.relay_single_cores_per_node",
        unbatched_cores / INSTANCES_COUNT,
    );
    add(
        results,
        "worked.relay_connections_25_count",
        (25.0 / senders_count).floor(),
    );
    add(
        results,
        "worked.relay_connections_100_count",
        (100.0 / senders_count).floor(),
    );
    Some(())
}

/// Adds the effects of instance failures, replacements and the loss of a zone.
fn add_failures(results: &mut Results, load: &LoadRates) -> Option<()> {
    let failed_count = load.queries_per_instance_per_s * (LOAD_BALANCER_DETECTION_S + QUERY_P99_S);
    let queries_per_day = QUERIES_PER_S * DAY_S;
    add(results, "worked.failure_queries_count", failed_count);
    let failed_ratio = FAILURES_PER_DAY * failed_count / queries_per_day;
    add(results, "worked.failures_per_million", failed_ratio * 1e6);
    add(
        results,
        "worked.restart_interval_s",
        DAY_S / RESTARTS_PER_DAY,
    );
    let replaced_count = RESTARTS_PER_DAY * REPLACEMENT_S / DAY_S;
    add(results, "worked.replaced_nodes_count", replaced_count);
    let moved_ratio = measured_value(
        results,
        "connections_by_instances_25.moved_connections_ratio.at_420",
    )?;
    let moved_count = moved_ratio * TARGETS_COUNT * 25.0;
    add(results, "worked.moved_connections_count", moved_count);
    let opened_per_s = 2.0 * RESTARTS_PER_DAY * moved_count / DAY_S;
    add(
        results,
        "worked.opened_connections_per_target_per_s",
        opened_per_s / TARGETS_COUNT,
    );
    add(
        results,
        "worked.zone_loss_load_ratio",
        ZONES_COUNT / (ZONES_COUNT - 1.0),
    );
    let peers_bytes = measured_value(results, "peers_by_instances.sent_bytes_per_second.at_420")?;
    add(
        results,
        "worked.digests_all_bytes_per_s",
        peers_bytes * INSTANCES_COUNT,
    );
    Some(())
}

fn measured_value(results: &Results, name: &str) -> Option<f64> {
    results.0.get(name)?.parse().ok()
}
