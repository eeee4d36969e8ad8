//! What is measured.

use crate::{figures::Figures, memory, reducer, sweep::Sweep};

/// Returns every sweep.
pub fn sweeps() -> Vec<Sweep> {
    vec![
        Sweep {
            name: "reducer_by_targets",
            size: "targets_count",
            sizes: &[10, 30, 90, 270, 810, 2700],
            quantities: reducer::QUANTITIES,
            measure: reducer::by_targets,
        },
        Sweep {
            name: "reducer_by_services",
            size: "services_per_query_count",
            sizes: &[5, 15, 30, 60, 120, 240],
            quantities: reducer::QUANTITIES,
            measure: reducer::by_services,
        },
        Sweep {
            name: "reducer_by_queries",
            size: "queries_in_flight_count",
            sizes: &[1, 8, 64, 256, 1024],
            quantities: reducer::QUANTITIES,
            measure: reducer::by_queries,
        },
        Sweep {
            name: "memory_by_targets",
            size: "targets_count",
            sizes: &[10, 90, 270, 810, 2700],
            quantities: memory::TARGET_QUANTITIES,
            measure: memory::by_targets,
        },
        Sweep {
            name: "memory_by_queries",
            size: "queries_in_flight_count",
            sizes: &[16, 64, 256, 1024],
            quantities: memory::QUERY_QUANTITIES,
            measure: memory::by_queries,
        },
        Sweep {
            name: "memory_by_services",
            size: "services_per_query_count",
            sizes: &[5, 15, 30, 60, 120, 240],
            quantities: memory::QUERY_QUANTITIES,
            measure: memory::by_services,
        },
    ]
}

/// Adds the figures that follow from others at the size of two years from now.
pub fn add_worked_out(_figures: &mut Figures) {}
