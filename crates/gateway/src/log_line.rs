//! Parts of log lines that several modules write.

use std::time::Instant;

use model::{Level, LogLine, TargetKey};

use crate::Gateway;

/// Returns the time since `since` in whole milliseconds, rounded down.
pub(crate) fn elapsed_ms(now: Instant, since: Instant) -> u64 {
    u64::try_from(now.saturating_duration_since(since).as_millis()).unwrap_or(u64::MAX)
}

/// Returns a log line with the identifier of a target and its service.
pub(crate) fn target_log_line(gateway: &Gateway, target: TargetKey, name: &str) -> LogLine {
    let target = gateway.catalog.targets.get(target);
    let id = target.map_or("", |target| &*target.id);
    let service = target.and_then(|target| gateway.catalog.services.get(target.service));
    let service = service.map_or("", |service| &*service.name);
    LogLine::new(Level::Info, name)
        .with("target", id)
        .with("service", service)
}
