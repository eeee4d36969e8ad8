//! The list of sweeps.

use crate::{
    connections, frames, idle, memory, peers, process, readers, reducer, sweep::Sweep, tickets,
};

/// Returns all sweeps, in the order in which they run.
pub fn sweeps() -> Vec<Sweep> {
    vec![
        Sweep {
            name: "reducer_by_targets",
            parameter: "targets_count",
            sizes: &[10, 30, 120, 270, 810, 2700],
            quantities: reducer::QUANTITIES,
            measure: reducer::by_targets,
        },
        Sweep {
            name: "reducer_by_services",
            parameter: "services_per_query_count",
            sizes: &[5, 15, 30, 60, 120, 240],
            quantities: reducer::QUANTITIES,
            measure: reducer::by_services,
        },
        Sweep {
            name: "reducer_by_queries",
            parameter: "queries_in_flight_count",
            sizes: &[1, 8, 64, 256, 1024],
            quantities: reducer::QUANTITIES,
            measure: reducer::by_queries,
        },
        Sweep {
            name: "memory_by_targets",
            parameter: "targets_count",
            sizes: &[10, 120, 270, 810, 2700],
            quantities: memory::TARGET_QUANTITIES,
            measure: memory::by_targets,
        },
        Sweep {
            name: "memory_by_queries",
            parameter: "queries_in_flight_count",
            sizes: &[16, 64, 256, 1024],
            quantities: memory::QUERY_QUANTITIES,
            measure: memory::by_queries,
        },
        Sweep {
            name: "memory_by_services",
            parameter: "services_per_query_count",
            sizes: &[5, 15, 30, 60, 120, 240],
            quantities: memory::QUERY_QUANTITIES,
            measure: memory::by_services,
        },
        Sweep {
            name: "memory_by_tickets",
            parameter: "used_tickets_count",
            sizes: &[250, 1000, 4000, 16000],
            quantities: tickets::QUANTITIES,
            measure: tickets::by_tickets,
        },
        Sweep {
            name: "idle_by_targets",
            parameter: "targets_count",
            sizes: &[10, 120, 270, 810, 2700],
            quantities: idle::QUANTITIES,
            measure: idle::by_targets,
        },
        Sweep {
            name: "peers_by_instances",
            parameter: "instances_count",
            sizes: &[3, 9, 50, 150, 420],
            quantities: peers::QUANTITIES,
            measure: peers::by_instances,
        },
        Sweep {
            name: "frames_by_calls",
            parameter: "calls_per_exchange_count",
            sizes: &[1, 4, 16, 64, 256],
            quantities: frames::QUANTITIES,
            measure: frames::by_calls,
        },
        Sweep {
            name: "process_by_services",
            parameter: "services_per_query_count",
            sizes: &[5, 10, 20, 40, 60],
            quantities: process::QUANTITIES,
            measure: process::by_services,
        },
        Sweep {
            name: "readers_by_instances",
            parameter: "instances_count",
            sizes: &[5, 9, 50, 150, 420],
            quantities: readers::QUANTITIES,
            measure: readers::by_instances,
        },
        Sweep {
            name: "connections_by_instances_25",
            parameter: "instances_count",
            sizes: &[3, 9, 30, 90, 210, 420],
            quantities: connections::QUANTITIES,
            measure: connections::by_instances_25,
        },
        Sweep {
            name: "connections_by_instances_100",
            parameter: "instances_count",
            sizes: &[3, 9, 30, 90, 210, 420],
            quantities: connections::QUANTITIES,
            measure: connections::by_instances_100,
        },
    ]
}
