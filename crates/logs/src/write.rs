//! Set-up of the logger, and writing and flushing of log lines.

use log::kv::Value;
use logforth::filter::RustLogFilter;
use model::{Level, LogLine};

use crate::appender;

/// Log target of the project's own records; records of libraries have other targets.
pub(crate) const TARGET: &str = "balsamfall";

/// Directives of the level filter: own records from info on, records of libraries from warn on.
const FILTER: &str = "warn,balsamfall=info";

/// Installs the global logger and starts its writer thread; call it once, before the first line.
pub fn init() {
    logforth::starter_log::builder()
        .dispatch(|dispatch| {
            dispatch
                .filter(RustLogFilter::from(FILTER))
                .append(appender::spawn())
        })
        .apply();
}

/// Flushes queued lines before the process exits; gives up after 200 ms.
pub fn flush() {
    log::logger().flush();
}

/// Queues one line; it is dropped if the queue is full.
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
