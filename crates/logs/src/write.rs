//! Opening the log and writing to it.

use log::kv::Value;
use logforth::filter::RustLogFilter;
use model::{Level, LogLine};

use crate::bounded;

/// Target of the project's own lines.
pub(crate) const TARGET: &str = "balsamfall";

/// What is written: the project's own lines from info on, those of libraries from warn on.
const FILTER: &str = "warn,balsamfall=info";

/// Directs the log of the process to standard output.
pub fn open() {
    logforth::starter_log::builder()
        .dispatch(|dispatch| {
            dispatch
                .filter(RustLogFilter::from(FILTER))
                .append(bounded::spawn())
        })
        .apply();
}

/// Waits a moment for the last lines to be written, at the end of the process.
pub fn close() {
    log::logger().flush();
}

/// Writes one line.
pub fn write(line: &LogLine) {
    let level = match line.level {
        Level::Warn => log::Level::Warn,
        Level::Info => log::Level::Info,
        Level::Debug => log::Level::Debug,
    };
    if !log::log_enabled!(target: TARGET, level) {
        return;
    }
    let fields: Vec<(&str, String)> = line
        .fields
        .iter()
        .map(|(name, value)| (name.as_str(), value.to_string()))
        .collect();
    let pairs: Vec<(&str, Value<'_>)> = fields
        .iter()
        .map(|(name, value)| (*name, Value::from(value.as_str())))
        .collect();
    log::logger().log(
        &log::Record::builder()
            .level(level)
            .target(TARGET)
            .args(format_args!("{}", line.name))
            .key_values(&pairs.as_slice())
            .build(),
    );
}
