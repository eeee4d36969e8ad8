//! Log lines on standard error: one line of key=value pairs for each event.

use logforth::{append, layout::LogfmtLayout, record::LevelFilter};
use model::{Level, LogLine};

/// Directs the log of the process to standard error.
pub fn open() {
    logforth::starter_log::builder()
        .dispatch(|dispatch| {
            dispatch
                .filter(LevelFilter::MoreSevereEqual(logforth::record::Level::Info))
                .append(append::Stderr::default().with_layout(LogfmtLayout::default()))
        })
        .apply();
}

/// Writes one line.
pub fn write(line: &LogLine) {
    let level = match line.level {
        Level::Warn => log::Level::Warn,
        Level::Info => log::Level::Info,
        Level::Debug => log::Level::Debug,
    };
    if !log::log_enabled!(level) {
        return;
    }
    let fields: Vec<(&str, String)> = line
        .fields
        .iter()
        .map(|(name, value)| (name.as_str(), value.to_string()))
        .collect();
    let pairs: Vec<(&str, log::kv::Value<'_>)> = fields
        .iter()
        .map(|(name, value)| (*name, log::kv::Value::from(value.as_str())))
        .collect();
    log::logger().log(
        &log::Record::builder()
            .level(level)
            .target("balsamd")
            .args(format_args!("{}", line.name))
            .key_values(&pairs.as_slice())
            .build(),
    );
}
