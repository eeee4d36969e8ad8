//! The holder's side: requests that need a permit, questions to issuers, and their answers.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use model::{CallerKey, PermitAnswer, PermitQuestion};

use crate::{
    Output, Permit, PermitSource, Quota, Refusal,
    issue::{self, PREFETCH_TTL},
    limits::TRANSIT_MAX,
    state::{Asked, Organisation, Question, Waiting},
    view::update_routes,
};

/// Time without an answer after which the next zone is asked: a third of the longest wait of a
/// request, so that three zones can be asked.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(20);
/// Time after the question up to which requests wait for an overdue answer if no other issuer can be
/// asked: the longest wait of a request. An issuer whose machine is busy answers after tens of
/// milliseconds.
const ANSWER_WAIT: Duration = Duration::from_millis(60);
/// Time for which an issuer that did not answer, or does not issue, is not asked.
const UNREACHABLE_BACKOFF: Duration = Duration::from_millis(200);
/// Time for which an instance that is gone or issues nothing yet is not asked for any organisation. A
/// restarted one issues after seconds, and a request has time for few questions.
const UNAVAILABLE_BACKOFF: Duration = Duration::from_millis(500);
/// Most permits of one question.
const WANTED_MAX_COUNT: u32 = 1000;
/// Demand that prefetched permits cover, in seconds: several round trips between zones.
const PREFETCH_S: f64 = 0.5;

/// Handles a request of an organisation; returns whether it needs a permit.
///
/// If it does, exactly one of [`Output::Admitted`] and [`Output::Refused`] follows, in this call or
/// in a later one, unless the request is forgotten. `wait_max` is the longest time it may wait.
pub fn request(
    quota: &mut Quota,
    now: Instant,
    organisation: &str,
    caller: CallerKey,
    wait_max: Duration,
    out: &mut Vec<Output>,
) -> bool {
    let entry = quota.organisations.get_key_value(organisation);
    let Some(name) = entry.map(|(name, _)| name.clone()) else {
        return false;
    };
    if let Some(organisation) = quota.organisations.get_mut(&name) {
        organisation.counts.requests_count += 1;
        organisation.arrived_count = organisation.arrived_count.saturating_add(1);
        organisation.waiting.push_back(Waiting {
            caller,
            until: now + wait_max,
        });
    }
    quota.waiting.insert(caller, name.clone());
    advance(quota, now, &name, out);
    true
}

/// Forgets a waiting request, whose caller is gone.
pub fn forget(quota: &mut Quota, caller: CallerKey) {
    let Some(name) = quota.waiting.remove(&caller) else {
        return;
    };
    if let Some(organisation) = quota.organisations.get_mut(&name) {
        organisation
            .waiting
            .retain(|waiting| waiting.caller != caller);
    }
}

/// Refuses all waiting requests, when the instance stops.
pub fn refuse_all_waiting(quota: &mut Quota, out: &mut Vec<Output>) {
    quota.waiting.clear();
    for organisation in quota.organisations.values_mut() {
        refuse_waiting(organisation, Refusal::Unreachable, |_| true, out);
    }
}

/// Takes back the permit of a request that was not sent.
pub fn give_back(quota: &mut Quota, now: Instant, organisation: &str, permit: Permit) {
    if let Some(organisation) = quota.organisations.get_mut(organisation)
        && now < permit.expires_at
    {
        organisation.pool.push(permit);
    }
}

/// Handles the timer of a waiting request: asks the next zone if an issuer does not answer, and
/// refuses the request at its limit. Returns whether it still waits.
pub fn on_wait_timer(
    quota: &mut Quota,
    now: Instant,
    caller: CallerKey,
    out: &mut Vec<Output>,
) -> bool {
    let Some(name) = quota.waiting.get(&caller).cloned() else {
        return false;
    };
    if let Some(organisation) = quota.organisations.get_mut(&name)
        && let Some(asked) = organisation.asked
        && now >= asked.at + ANSWER_TIMEOUT
    {
        let issuer = asked.issuer;
        out.push(Output::Unanswered { issuer });
        organisation.asked = None;
        set_unreachable(organisation, asked.route_index, now);
        if let Some(route) = organisation.routes.get_mut(asked.route_index) {
            route.awaited_until = Some(asked.at + ANSWER_WAIT);
        }
    }
    advance(quota, now, &name, out);
    quota.waiting.contains_key(&caller)
}

/// Handles an instance that cannot be reached: questions to it are not answered.
pub fn on_unreachable(quota: &mut Quota, now: Instant, address: SocketAddr, out: &mut Vec<Output>) {
    set_unavailable(quota, now, address);
    let organisations = quota.organisations.iter_mut();
    let asked = organisations.filter_map(|(name, organisation)| {
        let mut is_awaited = false;
        for route in &mut organisation.routes {
            if route.issuer == Some(address) {
                is_awaited |= route.awaited_until.take().is_some();
            }
        }
        let asked = organisation.asked.filter(|asked| asked.issuer == address);
        if let Some(asked) = asked {
            organisation.asked = None;
            set_unreachable(organisation, asked.route_index, now);
        }
        (is_awaited || asked.is_some()).then(|| name.clone())
    });
    let names: Vec<Arc<str>> = asked.collect();
    for name in names {
        advance(quota, now, &name, out);
    }
}

/// Handles an issuer's answer. Returns whether it was expected.
pub fn on_answer(
    quota: &mut Quota,
    now: Instant,
    from: SocketAddr,
    answer: &PermitAnswer,
    out: &mut Vec<Output>,
) -> bool {
    if pending::accept(&quota.questions, Some(from), answer.question_id).is_none() {
        return false;
    }
    let Some(question) = pending::remove(&mut quota.questions, answer.question_id) else {
        return false;
    };
    let Some(organisation) = quota.organisations.get_mut(&question.organisation) else {
        return true;
    };
    let asked = organisation.asked;
    if asked.is_some_and(|asked| asked.question_id == answer.question_id) {
        organisation.asked = None;
    }
    let is_late = now >= question.asked_at + TRANSIT_MAX;
    if !answer.is_issuer && !is_late {
        set_unavailable(quota, now, from);
    }
    let Some(organisation) = quota.organisations.get_mut(&question.organisation) else {
        return true;
    };
    if !is_late && organisation.lowered_count == question.lowered_count {
        add_permits(organisation, from, &question, answer);
    }
    let mut routes = organisation.routes.iter_mut();
    if let Some(route) = routes.find(|route| route.zone == question.zone && !is_late) {
        route.awaited_until = None;
        route.is_unreachable = !answer.is_issuer;
        route.refused_until = if !answer.is_issuer {
            Some(now + UNAVAILABLE_BACKOFF)
        } else if answer.granted_count < question.wanted_count {
            Some(now + answer.wait)
        } else {
            None
        };
    }
    let name = question.organisation;
    advance(quota, now, &name, out);
    true
}

fn add_permits(
    organisation: &mut Organisation,
    issuer: SocketAddr,
    question: &Question,
    answer: &PermitAnswer,
) {
    let permit = Permit {
        expires_at: question.asked_at + TRANSIT_MAX,
        source: None,
    };
    let granted_count = answer.granted_count.min(question.wanted_count);
    organisation.pool.extend((0..granted_count).map(|_| permit));
    let permit = Permit {
        expires_at: question.asked_at + PREFETCH_TTL,
        source: Some(PermitSource {
            issuer,
            grant_id: answer.grant_id,
        }),
    };
    let prefetched_count = answer.prefetched_count.min(question.prefetch_count);
    organisation
        .pool
        .extend((0..prefetched_count).map(|_| permit));
}

/// Keeps all organisations from asking an instance for a while.
fn set_unavailable(quota: &mut Quota, now: Instant, address: SocketAddr) {
    let organisations = quota.organisations.values_mut();
    let routes = organisations.flat_map(|organisation| &mut organisation.routes);
    for route in routes.filter(|route| route.issuer == Some(address)) {
        route.refused_until = Some(now + UNAVAILABLE_BACKOFF);
        route.is_unreachable = true;
    }
}

fn set_unreachable(organisation: &mut Organisation, route_index: usize, now: Instant) {
    if let Some(route) = organisation.routes.get_mut(route_index) {
        route.refused_until = Some(now + UNREACHABLE_BACKOFF);
        route.is_unreachable = true;
    }
}

/// Serves the waiting requests from the pool, asks the next issuer, or refuses them.
pub(crate) fn advance(quota: &mut Quota, now: Instant, name: &Arc<str>, out: &mut Vec<Output>) {
    let Some(organisation) = quota.organisations.get_mut(name) else {
        return;
    };
    update_routes(&quota.view, organisation, now);
    let first = out.len();
    let to_ask = serve_or_select(quota.address, &quota.view, organisation, now, out);
    for output in &out[first..] {
        if let Output::Admitted { caller, .. } | Output::Refused { caller, .. } = output {
            quota.waiting.remove(caller);
        }
    }
    let Some((route_index, issuer)) = to_ask else {
        return;
    };
    let waiting_count = u32::try_from(organisation.waiting.len()).unwrap_or(u32::MAX);
    let wanted_count = waiting_count.min(WANTED_MAX_COUNT);
    let prefetch_count = prefetch_count(organisation);
    ask(
        quota,
        now,
        name,
        (route_index, issuer),
        (wanted_count, prefetch_count),
        out,
    );
}

/// Registers a question to an issuer and reports it.
pub(crate) fn ask(
    quota: &mut Quota,
    now: Instant,
    name: &Arc<str>,
    (route_index, issuer): (usize, SocketAddr),
    (wanted_count, prefetch_count): (u32, u32),
    out: &mut Vec<Output>,
) {
    let Some(organisation) = quota.organisations.get_mut(name) else {
        return;
    };
    let question = Question {
        organisation: name.clone(),
        zone: organisation.routes[route_index].zone.clone(),
        lowered_count: organisation.lowered_count,
        wanted_count,
        prefetch_count,
        asked_at: now,
    };
    let question_id = pending::register(&mut quota.questions, issuer, question);
    organisation.asked = Some(Asked {
        question_id,
        route_index,
        issuer,
        at: now,
    });
    let question = PermitQuestion {
        question_id,
        organisation: name.to_string(),
        wanted_count,
        prefetch_count,
    };
    out.push(Output::Ask { issuer, question });
}

/// Returns how many permits this instance should hold beyond those in its pool. Where less than one
/// request is expected within the time they cover, none.
pub(crate) fn prefetch_count(organisation: &Organisation) -> u32 {
    let needed_count = (organisation.demand_per_s * PREFETCH_S) as usize;
    let missing_count = needed_count.saturating_sub(organisation.pool.len());
    u32::try_from(missing_count)
        .unwrap_or(u32::MAX)
        .min(WANTED_MAX_COUNT)
}

/// Serves what the pool and this instance's own bucket permit; returns the issuer to ask for the
/// rest, if one can be asked.
fn serve_or_select(
    own_address: SocketAddr,
    view: &crate::view::View,
    organisation: &mut Organisation,
    now: Instant,
    out: &mut Vec<Output>,
) -> Option<(usize, SocketAddr)> {
    loop {
        let is_unknown = organisation.routes.iter().any(|route| route.is_unreachable)
            || organisation.asked.is_some();
        let refusal = match is_unknown {
            true => Refusal::Unreachable,
            false => Refusal::OverCap(shortest_wait(organisation, now)),
        };
        refuse_waiting(organisation, refusal, |until| now >= until, out);
        serve_from_pool(organisation, now, out);
        if organisation.waiting.is_empty() || organisation.asked.is_some() {
            return None;
        }
        let mut routes = organisation.routes.iter();
        let askable = routes.position(|route| route.refused_until.is_none_or(|at| now >= at));
        let Some(index) = askable else {
            let mut awaited = organisation.routes.iter().filter_map(|r| r.awaited_until);
            if awaited.any(|until| now < until) {
                return None;
            }
            let is_unreachable = organisation.routes.iter().any(|route| route.is_unreachable);
            let refusal = match is_unreachable || organisation.routes.is_empty() {
                true => Refusal::Unreachable,
                false => Refusal::OverCap(shortest_wait(organisation, now)),
            };
            refuse_waiting(organisation, refusal, |_| true, out);
            return None;
        };
        match organisation.routes[index].issuer {
            None => set_unreachable(organisation, index, now),
            Some(issuer) if issuer == own_address => {
                take_own(view, organisation, index, now);
            }
            Some(issuer) => return Some((index, issuer)),
        }
    }
}

/// Takes permits from this instance's own bucket.
fn take_own(view: &crate::view::View, organisation: &mut Organisation, index: usize, now: Instant) {
    let wanted_count = u32::try_from(organisation.waiting.len()).unwrap_or(u32::MAX);
    let granted = issue::grant(view, organisation, now, (wanted_count, 0), 0);
    let Some(granted) = granted else {
        return set_unreachable(organisation, index, now);
    };
    let permit = Permit {
        expires_at: now + TRANSIT_MAX,
        source: None,
    };
    organisation
        .pool
        .extend((0..granted.granted_count).map(|_| permit));
    let route = &mut organisation.routes[index];
    route.is_unreachable = false;
    route.refused_until = (granted.granted_count < wanted_count).then_some(now + granted.wait);
}

/// Spends permits of the pool, those that expire first before the others.
fn serve_from_pool(organisation: &mut Organisation, now: Instant, out: &mut Vec<Output>) {
    organisation.pool.retain(|permit| now < permit.expires_at);
    while !organisation.waiting.is_empty() {
        let permits = organisation.pool.iter().enumerate();
        let first = permits.min_by_key(|(_, permit)| permit.expires_at);
        let Some((index, _)) = first else {
            return;
        };
        let permit = organisation.pool.swap_remove(index);
        if let Some(waiting) = organisation.waiting.pop_front() {
            organisation.counts.admitted_count += 1;
            out.push(Output::Admitted {
                caller: waiting.caller,
                permit: Some(permit),
            });
        }
    }
}

fn shortest_wait(organisation: &Organisation, now: Instant) -> Duration {
    let untils = organisation.routes.iter();
    let untils = untils.filter_map(|route| route.refused_until);
    let waits = untils.map(|until| until.saturating_duration_since(now));
    waits.min().unwrap_or_default()
}

fn refuse_waiting(
    organisation: &mut Organisation,
    refusal: Refusal,
    is_refused: impl Fn(Instant) -> bool,
    out: &mut Vec<Output>,
) {
    let counts = &mut organisation.counts;
    organisation.waiting.retain(|waiting| {
        if !is_refused(waiting.until) {
            return true;
        }
        match refusal {
            Refusal::OverCap(_) => counts.over_cap_count += 1,
            Refusal::Unreachable => counts.unreachable_count += 1,
        }
        out.push(Output::Refused {
            caller: waiting.caller,
            refusal,
        });
        false
    });
}
