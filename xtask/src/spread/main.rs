//! `cargo xtask spread`: measures the propagation of configurations and the cost of membership.
//!
//! The reducers of all instances exchange messages in memory. Time is simulated, so that rounds,
//! bytes, messages and reads are the same in every run; only processor time and memory differ.
//!
//! Invariants:
//! - seeds, sizes and schedules are fixed;
//! - byte counts are those of encoded frames, with their length prefix.

mod fixtures;
mod measure;
mod simulation;
mod targets;

use std::process::ExitCode;

use bpaf::{Parser, construct, long};

/// Numbers of instances of the measured fleets.
const FLEET_SIZES_COUNT: [usize; 4] = [9, 50, 150, 420];
/// Shares of messages between instances that are lost.
const LOSS_RATIOS: [f64; 3] = [0.0, 0.1, 0.3];

/// Rates of requests to all services at which the detection of a stopped target is measured.
const REQUESTS_PER_S: [u32; 5] = [0, 1, 4, 20, 100];

/// Command-line arguments.
#[derive(Clone, Debug)]
struct Arguments {
    instances_count: Option<usize>,
}

fn main() -> ExitCode {
    let arguments = arguments()
        .to_options()
        .descr("Measure the propagation of configurations and the cost of membership")
        .run();
    let fleet_sizes = FLEET_SIZES_COUNT.into_iter();
    let fleet_sizes = fleet_sizes.filter(|instances_count| {
        arguments
            .instances_count
            .is_none_or(|only| only == *instances_count)
    });
    for instances_count in fleet_sizes {
        for loss_ratio in LOSS_RATIOS {
            println!("{}", measure::propagation(instances_count, loss_ratio));
            println!(
                "{}",
                measure::propagation_from_one(instances_count, loss_ratio)
            );
        }
        println!("{}", measure::cost(instances_count));
        println!("{}", measure::detection(instances_count, 0.0));
        println!("{}", measure::detection(instances_count, 0.1));
    }
    for requests_per_s in REQUESTS_PER_S {
        println!("{}", targets::detection(requests_per_s));
    }
    println!("{}", measure::acceptance());
    ExitCode::SUCCESS
}

fn arguments() -> impl Parser<Arguments> {
    let instances_count = long("size")
        .help("Measure only fleets of COUNT instances")
        .argument::<usize>("COUNT")
        .optional();
    construct!(Arguments { instances_count })
}
