//! What the measured slopes come to at the size of two years from now.

use crate::figures::{Figures, add};

/// Instances.
const NODES_COUNT: f64 = 420.0;
/// Targets.
const TARGETS_COUNT: f64 = 2_700.0;
/// Availability zones, in two regions together.
const ZONES_COUNT: f64 = 5.0;
/// Queries a second.
const QUERIES_PER_S: f64 = 76_000.0;
/// Services of a query.
const SERVICES_COUNT: f64 = 240.0;
/// Time in which 99 of 100 queries are answered.
const ANSWER_S: f64 = 0.052;
/// Published configurations a day.
const CHANGES_PER_DAY: f64 = 250.0;
/// Instances that are restarted a day.
const RESTARTS_PER_DAY: f64 = 860.0;
/// Instances that fail a day.
const FAILURES_PER_DAY: f64 = 12.0;
const DAY_S: f64 = 86_400.0;
/// Largest value of the platform.
const VALUE_MAX_BYTES: f64 = 1_000_000.0;
/// Used tickets that an instance holds at most, and for how long.
const TICKETS_MAX_COUNT: f64 = 20_000.0;
const TICKET_HELD_S: f64 = 1_200.0;
/// Results that an instance holds with outcomes at most.
const HELD_MAX_BYTES: f64 = 16.0 * 1_048_576.0;

/// Services of one relay, and what follows for one query.
const SERVICES_PER_RELAY_COUNT: f64 = 12.0;
/// Relays of each group of targets in each zone.
const RELAYS_PER_GROUP_COUNT: f64 = 4.0;
/// Time in which a relay gathers calls to one target.
const GATHER_S: f64 = 0.002;
/// Time from the failure of an instance until the balancer avoids it.
const BALANCER_LAG_S: f64 = 5.0;
/// Time that a replaced instance takes to drain, start and catch up.
const REPLACEMENT_S: f64 = 30.0;

/// Adds the figures that follow from the measured ones.
///
/// Figures whose sweep was not run are left out.
pub fn add_all(figures: &mut Figures) -> Option<()> {
    let load = load(figures);
    control(figures)?;
    entry(figures, &load)?;
    relay(figures, &load)?;
    failures(figures, &load)
}

/// The load of one node and one target.
struct Load {
    queries_per_node_per_s: f64,
    calls_per_node_per_s: f64,
    calls_per_target_per_s: f64,
}

fn load(figures: &mut Figures) -> Load {
    let calls_per_s = QUERIES_PER_S * SERVICES_COUNT;
    let load = Load {
        queries_per_node_per_s: QUERIES_PER_S / NODES_COUNT,
        calls_per_node_per_s: calls_per_s / NODES_COUNT,
        calls_per_target_per_s: calls_per_s / TARGETS_COUNT,
    };
    add(figures, "worked.calls_per_s", calls_per_s);
    add(
        figures,
        "worked.queries_per_node_per_s",
        load.queries_per_node_per_s,
    );
    add(
        figures,
        "worked.calls_per_node_per_s",
        load.calls_per_node_per_s,
    );
    add(
        figures,
        "worked.calls_per_target_per_s",
        load.calls_per_target_per_s,
    );
    add(
        figures,
        "worked.direct_connections_per_target_count",
        NODES_COUNT,
    );
    load
}

/// What a node spends without regard to callers.
fn control(figures: &mut Figures) -> Option<()> {
    let targets_bytes = value(figures, "memory_by_targets.state_bytes.at_2700")?;
    let peers_bytes = value(figures, "peers_by_instances.state_bytes.at_420")?;
    let tickets_bytes =
        value(figures, "memory_by_tickets.state_bytes.gradient")? * TICKETS_MAX_COUNT;
    let state_bytes = targets_bytes + peers_bytes + tickets_bytes + HELD_MAX_BYTES;
    add(figures, "worked.tickets_bytes", tickets_bytes);
    add(figures, "worked.control_state_mb", state_bytes / 1e6);

    let note_bytes = value(figures, "memory_by_targets.note_bytes.at_2700")?;
    let notes_bytes_per_s = note_bytes * CHANGES_PER_DAY / DAY_S;
    let digests_bytes_per_s = value(figures, "peers_by_instances.sent_bytes_per_second.at_420")?;
    add(figures, "worked.notes_bytes_per_s", notes_bytes_per_s);
    add(
        figures,
        "worked.control_bytes_per_s",
        notes_bytes_per_s + digests_bytes_per_s,
    );
    let note_gradient = value(figures, "memory_by_targets.note_bytes.gradient")?;
    add(
        figures,
        "worked.note_targets_max_count",
        VALUE_MAX_BYTES / note_gradient,
    );

    let usable_ratio = value(
        figures,
        "connections_by_instances_25.usable_targets_ratio.at_420",
    )?;
    let idle_us = value(figures, "idle_by_targets.us_per_second.at_2700")?;
    let peers_us = value(figures, "peers_by_instances.us_per_second.at_420")?;
    let accept_us = value(figures, "memory_by_targets.accept_us.at_2700")?;
    let control_us = idle_us + peers_us + accept_us * CHANGES_PER_DAY / DAY_S;
    add(figures, "worked.control_core_percent", control_us / 1e4);
    add(figures, "worked.accept_ms", accept_us / 1e3);
    let probes_per_s = value(figures, "idle_by_targets.probes_per_second_count.at_2700")?;
    add(figures, "worked.probes_all_targets_per_s", probes_per_s);
    add(
        figures,
        "worked.probes_shared_targets_per_s",
        probes_per_s * usable_ratio,
    );
    add(
        figures,
        "worked.orders_per_node_per_s",
        TICKETS_MAX_COUNT / TICKET_HELD_S,
    );
    add(
        figures,
        "worked.orders_per_s",
        TICKETS_MAX_COUNT / TICKET_HELD_S * NODES_COUNT,
    );
    Some(())
}

/// What queries cost a node that calls every target itself.
fn entry(figures: &mut Figures, load: &Load) -> Option<()> {
    let query_us = value(figures, "reducer_by_services.us_per_query.at_240")?;
    let reducer_cores = query_us * load.queries_per_node_per_s / 1e6;
    add(
        figures,
        "worked.reducer_core_percent",
        reducer_cores * 100.0,
    );
    let in_flight_count = load.queries_per_node_per_s * ANSWER_S;
    let query_bytes = value(figures, "memory_by_services.state_bytes.at_240")?;
    add(figures, "worked.queries_in_flight_count", in_flight_count);
    add(
        figures,
        "worked.queries_mb",
        in_flight_count * query_bytes / 1e6,
    );
    let call_us = value(figures, "process_by_services.us_per_query.gradient")?;
    let process_us = call_us * SERVICES_COUNT;
    let direct_cores = process_us * load.queries_per_node_per_s / 1e6;
    add(figures, "worked.direct_cores_per_node", direct_cores);
    add(figures, "worked.direct_cores", direct_cores * NODES_COUNT);
    add(figures, "worked.calls_per_core_per_s", 1e6 / call_us);
    Some(())
}

/// What a relay level for groups of targets costs.
fn relay(figures: &mut Figures, load: &Load) -> Option<()> {
    let groups_count = SERVICES_COUNT / SERVICES_PER_RELAY_COUNT;
    let relays_count = groups_count * ZONES_COUNT * RELAYS_PER_GROUP_COUNT;
    let exchange_us = value(figures, "frames_by_calls.us_per_exchange.intercept")? / 2.0;
    let frame_us = value(figures, "frames_by_calls.us_per_exchange.gradient")? / 2.0;
    let http_us = value(figures, "process_by_services.us_per_query.gradient")?;
    add(figures, "worked.relay_groups_count", groups_count);
    add(figures, "worked.relays_count", relays_count);

    let entry_us = groups_count * exchange_us + SERVICES_COUNT * frame_us;
    let entry_cores = entry_us * load.queries_per_node_per_s / 1e6;
    add(figures, "worked.relay_entry_cores_per_node", entry_cores);

    let senders_count = RELAYS_PER_GROUP_COUNT;
    let calls_per_sender_per_s = load.calls_per_target_per_s / senders_count;
    let gathered_count = (calls_per_sender_per_s * GATHER_S).max(1.0);
    add(figures, "worked.gathered_calls_count", gathered_count);
    let call_us = http_us / gathered_count + frame_us;
    let relay_cores = (call_us + frame_us) * QUERIES_PER_S * SERVICES_COUNT / 1e6;
    add(
        figures,
        "worked.relay_cores_per_node",
        relay_cores / NODES_COUNT,
    );
    let single_cores = (http_us + frame_us) * QUERIES_PER_S * SERVICES_COUNT / 1e6;
    add(
        figures,
        "worked.relay_single_cores_per_node",
        single_cores / NODES_COUNT,
    );
    add(
        figures,
        "worked.relay_connections_25_count",
        (25.0 / senders_count).floor(),
    );
    add(
        figures,
        "worked.relay_connections_100_count",
        (100.0 / senders_count).floor(),
    );
    Some(())
}

/// What failures and replacements cost.
fn failures(figures: &mut Figures, load: &Load) -> Option<()> {
    let lost_count = load.queries_per_node_per_s * (BALANCER_LAG_S + ANSWER_S);
    let queries_per_day = QUERIES_PER_S * DAY_S;
    add(figures, "worked.failure_queries_count", lost_count);
    let failed_ratio = FAILURES_PER_DAY * lost_count / queries_per_day;
    add(figures, "worked.failures_per_million", failed_ratio * 1e6);
    add(
        figures,
        "worked.restart_interval_s",
        DAY_S / RESTARTS_PER_DAY,
    );
    let away_count = RESTARTS_PER_DAY * REPLACEMENT_S / DAY_S;
    add(figures, "worked.replaced_nodes_count", away_count);
    let moved_ratio = value(
        figures,
        "connections_by_instances_25.moved_connections_ratio.at_420",
    )?;
    let moved_count = moved_ratio * TARGETS_COUNT * 25.0;
    add(figures, "worked.moved_connections_count", moved_count);
    let opened_per_s = 2.0 * RESTARTS_PER_DAY * moved_count / DAY_S;
    add(
        figures,
        "worked.opened_connections_per_target_per_s",
        opened_per_s / TARGETS_COUNT,
    );
    add(
        figures,
        "worked.zone_loss_load_ratio",
        ZONES_COUNT / (ZONES_COUNT - 1.0),
    );
    let peers_bytes = value(figures, "peers_by_instances.sent_bytes_per_second.at_420")?;
    add(
        figures,
        "worked.digests_all_bytes_per_s",
        peers_bytes * NODES_COUNT,
    );
    Some(())
}

fn value(figures: &Figures, name: &str) -> Option<f64> {
    figures.0.get(name)?.parse().ok()
}
