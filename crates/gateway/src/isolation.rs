//! Detection of isolation: a network partition that leaves this instance too few targets.
//!
//! The instances of an availability zone that is cut off from the others reach only the targets of
//! their own zone. They cannot answer queries that need more targets, while instances of other zones
//! can. So they refuse such queries at once, and report to the platform that they are not ready.
//! Targets that are down look the same, but then the other zones are still in contact and refusing
//! callers would gain nothing; so isolation requires the loss of that contact.

use std::time::Instant;

use catalog::{Eligibility, Front, Route};
use model::{Effect, ExchangeKey, Level, LogLine, ServiceKey, TargetKey};

use crate::{Gateway, PartState, health, respond::finish};

/// Updates the isolation state, and logs and handles its changes.
pub(crate) fn update(gateway: &mut Gateway, now: Instant, out: &mut Vec<Effect>) {
    let was_isolated = gateway.is_isolated;
    // During isolation callers go to other instances, so no request would show that targets are
    // reachable again. Hence only renewed contact with another zone ends the isolation.
    gateway.is_isolated =
        gateway.is_cut_off && (was_isolated || has_unservable_front(gateway, now));
    match (was_isolated, gateway.is_isolated) {
        (false, true) => {
            out.push(Effect::Log(log_line(gateway, "isolated")));
            finish_unattainable(gateway, now, out);
        }
        (true, false) => {
            for health in gateway.health.values_mut() {
                health::reset_backoff(health);
            }
            out.push(Effect::Log(log_line(gateway, "isolation-over")));
        }
        _ => {}
    }
}

/// Returns whether a front's requests can be answered with the targets that are reachable.
pub(crate) fn can_serve(gateway: &Gateway, now: Instant, front: &Front) -> bool {
    let is_reachable = |service: ServiceKey| is_service_reachable(gateway, now, service);
    match &front.route {
        Route::Split(parts) => parts.iter().any(|&(service, _)| is_reachable(service)),
        Route::Gather {
            services,
            parts_min_count,
            ..
        } => {
            let reachable = services.iter().filter(|&&service| is_reachable(service));
            reachable.count() >= *parts_min_count as usize
        }
    }
}

/// Returns whether a front with recent requests cannot be served.
fn has_unservable_front(gateway: &Gateway, now: Instant) -> bool {
    let mut used = gateway.front_stats.iter().filter(|(_, stats)| {
        let [current, previous] = stats.timeouts_max;
        !current.max(previous).is_zero()
    });
    used.any(|(front, _)| {
        let front = gateway.catalog.fronts.get(front);
        front.is_some_and(|front| !can_serve(gateway, now, front))
    })
}

fn is_service_reachable(gateway: &Gateway, now: Instant, service: ServiceKey) -> bool {
    let Some(service) = gateway.catalog.services.get(service) else {
        return false;
    };
    service.targets.iter().any(|&target| {
        let is_out = catalog::eligibility(&gateway.catalog, target, now) == Eligibility::Out;
        !is_out && is_target_reachable(gateway, target)
    })
}

fn is_target_reachable(gateway: &Gateway, target: TargetKey) -> bool {
    let health = gateway.health.get(target);
    !health.is_some_and(health::is_unreachable)
}

/// Ends the exchanges that cannot get enough parts any more, so that their callers retry at another
/// instance.
fn finish_unattainable(gateway: &mut Gateway, now: Instant, out: &mut Vec<Effect>) {
    let exchanges = gateway.exchanges.iter();
    let unattainable = exchanges.filter(|(_, exchange)| {
        let pending = exchange.parts.iter();
        let pending = pending.filter(|part| matches!(part.state, PartState::Pending));
        let possible = pending.filter(|part| is_service_reachable(gateway, now, part.service));
        let possible_count = u32::try_from(possible.count()).unwrap_or(u32::MAX);
        exchange.relay.is_none()
            && exchange.is_idempotent
            && exchange.answered_count + possible_count < exchange.parts_min_count
    });
    let unattainable: Vec<ExchangeKey> = unattainable.map(|(key, _)| key).collect();
    for key in unattainable {
        finish(gateway, now, key, out);
    }
}

fn log_line(gateway: &Gateway, name: &str) -> LogLine {
    let health = gateway.health.values();
    let unreachable = health.filter(|health| health::is_unreachable(health));
    LogLine::new(Level::Warn, name)
        .with("version", gateway.catalog.version)
        .with("targets_count", gateway.catalog.targets.len() as u64)
        .with("unreached_count", unreachable.count() as u64)
        .with("exchanges_count", gateway.exchanges.len() as u64)
}
