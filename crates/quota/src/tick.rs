//! Changes of the caps, and periodic work.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use model::{PermitReturn, UsageCap};

use crate::{
    Output, Quota,
    hold::{ask, prefetch_count},
    issue::accrue,
    limits::{PARTS_MAX_COUNT, TRANSIT_MAX},
    state::{Organisation, new_organisation},
    view::update_routes,
};

/// Remaining time at which an unused prefetched permit is returned: longer than a message between
/// zones and two ticks take.
const RETURN_BEFORE: Duration = Duration::from_secs(1);
/// Time constant of the moving average of the demand.
const DEMAND_AVERAGED_OVER_S: f64 = 2.0;

/// Sets the caps of the configuration in force; an organisation that is missing has none.
pub fn set_caps<'a>(
    quota: &mut Quota,
    now: Instant,
    caps: impl Iterator<Item = (&'a str, UsageCap)>,
    out: &mut Vec<Output>,
) {
    let mut old = std::mem::take(&mut quota.organisations);
    let parts_count = quota.view.zones.len().min(PARTS_MAX_COUNT);
    for (name, cap) in caps {
        let entry = old.remove_entry(name);
        let (name, mut organisation) = entry.unwrap_or_else(|| {
            let organisation = new_organisation(name, cap, parts_count);
            (Arc::from(name), organisation)
        });
        if organisation.cap != cap {
            change_cap(&mut organisation, now, cap);
        }
        update_routes(&quota.view, &mut organisation, now);
        quota.organisations.insert(name, organisation);
    }
    for organisation in old.into_values() {
        for waiting in organisation.waiting {
            quota.waiting.remove(&waiting.caller);
            out.push(Output::Admitted {
                caller: waiting.caller,
                permit: None,
            });
        }
    }
}

/// Replaces a cap. What accrued by the old one stays as far as the new one permits; a lower one
/// drops the permits that are held.
fn change_cap(organisation: &mut Organisation, now: Instant, cap: UsageCap) {
    let old = organisation.cap;
    if cap.per_s < old.per_s || cap.burst_count < old.burst_count {
        organisation.pool.clear();
        organisation.lowered_count += 1;
    }
    let limits = organisation.limits;
    if let Some(bucket) = &mut organisation.bucket {
        accrue(bucket, &limits, now);
    }
    organisation.cap = cap;
    let parts_count = organisation.routes.len();
    organisation.limits = crate::limits(&cap, parts_count);
    if let Some(bucket) = &mut organisation.bucket {
        let max_count = organisation.limits.bucket_max_count;
        bucket.level_count = bucket.level_count.min(max_count);
    }
    for route in &mut organisation.routes {
        route.refused_until = None;
    }
}

/// Records that the process has resumed from a pause: it starts to issue anew, since others may
/// have issued meanwhile and its view of the fleet is old.
pub fn on_pause(quota: &mut Quota, now: Instant) {
    quota.view.resumed_at = Some(now);
    quota.view.ready_at = None;
    for organisation in quota.organisations.values_mut() {
        organisation.bucket = None;
    }
}

/// Returns unused permits, asks for permits ahead of need, and forgets what has expired.
///
/// `elapsed` is the time since the last tick.
pub fn tick(quota: &mut Quota, now: Instant, elapsed: Duration, out: &mut Vec<Output>) {
    pending::retain(&mut quota.questions, |question| {
        now < question.asked_at + TRANSIT_MAX
    });
    pending::retain(&mut quota.grants, |grant| now < grant.expires_at);
    let elapsed_s = elapsed.as_secs_f64().max(0.001);
    let weight = 1.0 - (-elapsed_s / DEMAND_AVERAGED_OVER_S).exp();
    let mut to_ask = Vec::new();
    for (name, organisation) in &mut quota.organisations {
        let arrived_count = std::mem::take(&mut organisation.arrived_count);
        let per_s = f64::from(arrived_count) / elapsed_s;
        organisation.demand_per_s += (per_s - organisation.demand_per_s) * weight;
        return_unused(organisation, now, out);
        if let Some(first) = organisation.routes.first()
            && organisation.asked.is_none()
            && first.refused_until.is_none_or(|at| now >= at)
            && let Some(issuer) = first.issuer
            && issuer != quota.address
            && prefetch_count(organisation) > 0
        {
            to_ask.push((name.clone(), issuer, prefetch_count(organisation)));
        }
        let is_over = |at: Instant| now >= at + TRANSIT_MAX;
        if organisation.asked.is_some_and(|asked| is_over(asked.at)) {
            organisation.asked = None;
        }
    }
    for (name, issuer, count) in to_ask {
        ask(quota, now, &name, (0, issuer), (0, count), out);
    }
}

fn return_unused(organisation: &mut Organisation, now: Instant, out: &mut Vec<Output>) {
    let mut unused = BTreeMap::new();
    organisation.pool.retain(|permit| {
        let is_due = now + RETURN_BEFORE >= permit.expires_at;
        match permit.source {
            Some(source) if is_due && now < permit.expires_at => {
                *unused.entry((source.issuer, source.grant_id)).or_insert(0) += 1;
                false
            }
            _ => now < permit.expires_at,
        }
    });
    for ((issuer, grant_id), unused_count) in unused {
        let permits = PermitReturn {
            grant_id,
            unused_count,
        };
        out.push(Output::Return { issuer, permits });
    }
}
