//! Strikes of the gateway's attempts: losses seen on their connections, ends of targets learned from
//! the store, and executions that clear them.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use model::{AttemptKey, Effect, ServiceKey, TargetKey};

use crate::{State, quarantine, quarantine::Strike};

/// Time between a request and the end of its target that is assumed if the end was silent. Longer
/// than it takes to send all parts of a query, and shorter than until a hedge or a repetition.
const SILENT_END_DELAY: Duration = Duration::from_millis(10);

/// Records a strike for an attempt whose target may have ended while it executed the request.
pub(crate) fn record_lost_attempt(
    state: &mut State,
    now: Instant,
    key: AttemptKey,
    out: &mut Vec<Effect>,
) {
    let Some(gateway) = &state.gateway else {
        return;
    };
    let attempt = gateway.attempts.get(key);
    let Some(attempt) = attempt.filter(|attempt| !attempt.is_strike) else {
        return;
    };
    let exchange = gateway.exchanges.get(attempt.exchange);
    let request = exchange.map(|exchange| exchange.request.clone());
    let target = gateway.catalog.targets.get(attempt.target);
    let target = target.map(|target| target.id.clone());
    let service = service_name(state, attempt.service);
    let strike = Strike {
        fingerprint: attempt.fingerprint,
        request_id: request.as_ref().map_or("", |request| &request.request_id),
        service: service.as_deref().unwrap_or_default(),
        target: target.as_deref().unwrap_or_default(),
        sent_at: attempt.sent_at,
        lost_at: now,
    };
    quarantine::record_strike(state, now, &strike, out);
}

/// Records the strikes of a target that has ended, because another one has answered at its address.
pub(crate) fn record_replaced_target(
    state: &mut State,
    now: Instant,
    key: AttemptKey,
    out: &mut Vec<Effect>,
) {
    let gateway = state.gateway.as_ref();
    let attempt = gateway.and_then(|gateway| gateway.attempts.get(key));
    if let Some(target) = attempt.map(|attempt| attempt.target) {
        record_ended_target(state, now, target, out);
    }
}

/// Records a strike for each attempt that a target has left without a reply, now that it is known
/// to have ended.
pub(crate) fn record_ended_target(
    state: &mut State,
    now: Instant,
    target: TargetKey,
    out: &mut Vec<Effect>,
) {
    let Some(gateway) = &mut state.gateway else {
        return;
    };
    let unresolved = gateway::take_unresolved(gateway, now, target);
    let id = gateway.catalog.targets.get(target);
    let id = id.map_or_else(|| Arc::from(""), |target| target.id.clone());
    for attempt in unresolved {
        let service = service_name(state, attempt.service);
        let strike = Strike {
            fingerprint: attempt.fingerprint,
            request_id: "",
            service: service.as_deref().unwrap_or_default(),
            target: &id,
            sent_at: attempt.sent_at,
            lost_at: attempt.sent_at + SILENT_END_DELAY,
        };
        quarantine::record_strike(state, now, &strike, out);
    }
}

/// Records that a target has executed the request of an attempt, which clears the strikes of its
/// service.
pub(crate) fn record_execution(
    state: &mut State,
    now: Instant,
    key: AttemptKey,
    out: &mut Vec<Effect>,
) {
    let gateway = state.gateway.as_ref();
    let Some(attempt) = gateway.and_then(|gateway| gateway.attempts.get(key)) else {
        return;
    };
    let Some(service) = service_name(state, attempt.service) else {
        return;
    };
    let fingerprint = attempt.fingerprint;
    once::record_execution(&mut state.once, now, fingerprint, &service);
    quarantine::clear_strikes(state, now, fingerprint, &service, out);
}

/// Returns the name of a service, unless it is no longer known.
fn service_name(state: &State, service: ServiceKey) -> Option<Arc<str>> {
    let gateway = state.gateway.as_ref()?;
    let service = gateway.catalog.services.get(service)?;
    Some(service.name.clone())
}
