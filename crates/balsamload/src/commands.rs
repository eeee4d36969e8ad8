//! The command line.

use std::{net::SocketAddr, path::PathBuf, process::ExitCode, time::Duration};

use bpaf::{Parser, construct, long};

use crate::{options::Options, report, shell};

/// Exit code if requests failed or results were mixed up.
const EXIT_FAILED_REQUESTS: u8 = 3;

/// Reads the command line; exits with a message if it is wrong.
pub fn parse() -> Options {
    options()
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Open-loop load for a fleet")
        .footer(
            "Exit codes: 0 every request was answered or refused; 1 the load could not be run; \
             3 requests failed, results were mixed up or coverage was untrue",
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
        .help("Callers' port of an instance, once for each")
        .argument::<SocketAddr>("ADDRESS")
        .some("at least one --instance is needed");
    let operators = long("operators")
        .help("Operators' port of an instance, once for each; shows the extra load")
        .argument::<SocketAddr>("ADDRESS")
        .many();
    let fronts = long("front")
        .help("Front to ask, once for each")
        .argument::<String>("NAME")
        .some("at least one --front is needed");
    let service = long("service")
        .help("Service for requests that run at most once")
        .argument::<String>("NAME")
        .optional();
    let direct = long("direct")
        .help("Target to call directly as often, for comparison")
        .argument::<SocketAddr>("ADDRESS")
        .optional();
    let rate_per_s = long("rate")
        .help("Requests in one second")
        .argument::<f64>("NUMBER")
        .guard(|rate| *rate > 0.0 && *rate <= 1e6, "must be above 0")
        .fallback(50.0);
    let duration = duration_of("duration-s", "Seconds of load", 10_000, 1000);
    let timeout = duration_of("timeout-ms", "Timeout of a request", 1000, 1);
    let urgent_percent = percent("urgent-percent", "Share of urgent requests");
    let deferrable_percent = percent("deferrable-percent", "Share of deferrable requests");
    let once_percent = percent("once-percent", "Share of requests that run at most once");
    let seed = long("seed")
        .help("Seed of the schedule")
        .argument::<u64>("NUMBER")
        .fallback(1);
    let is_echo_checked = long("check-echo")
        .help("Require that every result repeats its query, as the stand-ins do")
        .switch();
    let is_quiet = long("quiet")
        .help("Show neither progress nor table")
        .switch();
    let json = file("json", "Where the report in JSON goes");
    let svg = file("svg", "Where the charts go");
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
        "--urgent-percent and --deferrable-percent exceed 100 together",
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
