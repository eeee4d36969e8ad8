//! Measures how configurations spread and what the exchange costs: `cargo xtask spread`.
//!
//! Reducers of whole instances are joined in memory. Time is simulated, so rounds, bytes, messages
//! and reads are the same in every run; only processor time and memory differ.
//!
//! Invariants:
//! - seeds, sizes and schedules are fixed;
//! - bytes are those of the encoded frames with their length prefix.

mod documents;
mod measure;
mod targets;
mod world;

use std::process::ExitCode;

use bpaf::{Parser, construct, long};

/// Instances of the fleets that are measured.
const SIZES_COUNT: [usize; 4] = [9, 50, 150, 420];
/// Shares of the messages that are lost.
const LOSSES_RATIO: [f64; 3] = [0.0, 0.1, 0.3];

/// Requests to all services with which the detection of a stopped target is measured.
const REQUESTS_PER_S: [u32; 5] = [0, 1, 4, 20, 100];

/// What the command is asked to do.
#[derive(Clone, Debug)]
struct Arguments {
    size_count: Option<usize>,
}

fn main() -> ExitCode {
    let arguments = arguments()
        .to_options()
        .descr("Spreading of configurations and the cost of the exchange")
        .run();
    let sizes = SIZES_COUNT.into_iter();
    let sizes = sizes.filter(|size| arguments.size_count.is_none_or(|only| only == *size));
    for size_count in sizes {
        for loss_ratio in LOSSES_RATIO {
            println!("{}", measure::spread(size_count, loss_ratio));
            println!("{}", measure::spread_from_one(size_count, loss_ratio));
        }
        println!("{}", measure::cost(size_count));
        println!("{}", measure::detection(size_count, 0.0));
        println!("{}", measure::detection(size_count, 0.1));
    }
    for requests_per_s in REQUESTS_PER_S {
        println!("{}", targets::detection(requests_per_s));
    }
    println!("{}", measure::acceptance());
    ExitCode::SUCCESS
}

fn arguments() -> impl Parser<Arguments> {
    let size_count = long("size")
        .help("Measure only fleets of COUNT instances")
        .argument::<usize>("COUNT")
        .optional();
    construct!(Arguments { size_count })
}
