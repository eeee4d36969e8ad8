//! The command line.

use std::{net::SocketAddr, path::PathBuf, process::ExitCode, time::Duration};

use bpaf::{Parser, construct, long};

use crate::{options::Options, report, shell};

/// Exit code if requests failed, results did not match their query or coverage was inconsistent.
const EXIT_FAILED_REQUESTS: u8 = 3;

/// Parses the command line; exits with a message if it is invalid.
pub fn parse() -> Options {
    options()
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Open-loop load generator for a fleet")
        .footer(
            "Exit codes: 0 no request failed; 1 the load or its report failed; \
             3 requests failed, results did not match their query or coverage was inconsistent",
        )
        .run()
}

/// Runs the load and writes the reports.
pub fn run(options: &Options) -> ExitCode {
    let state = match shell::run(options) {
        Ok(state) => state,
        Err(error) => {
            eprintln!("error: {error}");
            return ExitCode::FAILURE;
        }
    };
    let report = report::build(options, &state);
    if let Err(error) = report::write(options, &report) {
        eprintln!("error: {error}");
        return ExitCode::FAILURE;
    }
    if report.outcomes.failed_count + report.outcomes.mixed_up_count + report.outcomes.untrue_count
        > 0
    {
        return ExitCode::from(EXIT_FAILED_REQUESTS);
    }
    ExitCode::SUCCESS
}

fn options() -> impl Parser<Options> {
    let instances = long("instance")
        .help("Address of an instance's caller port; repeatable")
        .argument::<SocketAddr>("ADDRESS")
        .some("at least one --instance is needed");
    let operators = long("operators")
        .help("Address of an instance's operator port, for call counters; repeatable")
        .argument::<SocketAddr>("ADDRESS")
        .many();
    let fronts = long("front")
        .help("Front to send queries to; repeatable")
        .argument::<String>("NAME")
        .some("at least one --front is needed");
    let service = long("service")
        .help("Service for at-most-once requests")
        .argument::<String>("NAME")
        .optional();
    let direct = long("direct")
        .help("Target to call directly once per arrival, as a baseline")
        .argument::<SocketAddr>("ADDRESS")
        .optional();
    let rate_per_s = long("rate")
        .help("Mean arrivals per second")
        .argument::<f64>("NUMBER")
        .guard(
            |rate| *rate > 0.0 && *rate <= 1e6,
            "must be above 0 and at most 1000000",
        )
        .fallback(50.0);
    let duration = duration_of(
        "duration-s",
        "Duration of the load in seconds",
        10_000,
        1000,
    );
    let timeout = duration_of(
        "timeout-ms",
        "Timeout of a request in milliseconds",
        1000,
        1,
    );
    let urgent_percent = percent("urgent-percent", "Percentage of urgent requests");
    let deferrable_percent = percent("deferrable-percent", "Percentage of deferrable requests");
    let once_percent = percent("once-percent", "Percentage of at-most-once requests");
    let seed = long("seed")
        .help("Seed of the arrivals and the mix of requests")
        .argument::<u64>("NUMBER")
        .fallback(1);
    let is_echo_checked = long("check-echo")
        .help("Require that every result echoes its query, as results of balsamfake do")
        .switch();
    let is_quiet = long("quiet")
        .help("Show neither progress nor table")
        .switch();
    let json = file("json", "Write the report in JSON to this file");
    let svg = file("svg", "Write the charts in SVG to this file");
    construct!(Options {
        instances,
        operators,
        fronts,
        service,
        direct,
        rate_per_s,
        duration,
        timeout,
        urgent_percent,
        deferrable_percent,
        once_percent,
        seed,
        is_echo_checked,
        is_quiet,
        json,
        svg,
    })
    .guard(
        |options| options.once_percent == 0 || options.service.is_some(),
        "--once-percent needs --service",
    )
    .guard(
        |options| options.urgent_percent + options.deferrable_percent <= 100,
        "--urgent-percent and --deferrable-percent must not exceed 100 in sum",
    )
}

fn duration_of(
    name: &'static str,
    help: &'static str,
    fallback_ms: u64,
    unit_ms: u64,
) -> impl Parser<Duration> {
    long(name)
        .help(help)
        .argument::<u64>("NUMBER")
        .guard(
            |number| (1..=86_400).contains(number),
            "must be from 1 to 86400",
        )
        .map(move |number| number * unit_ms)
        .fallback(fallback_ms)
        .map(Duration::from_millis)
}

fn percent(name: &'static str, help: &'static str) -> impl Parser<u32> {
    long(name)
        .help(help)
        .argument::<u32>("PERCENT")
        .guard(|percent| *percent <= 100, "must be from 0 to 100")
        .fallback(0)
}

fn file(name: &'static str, help: &'static str) -> impl Parser<Option<PathBuf>> {
    long(name).help(help).argument::<PathBuf>("FILE").optional()
}
