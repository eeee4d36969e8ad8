//! The issuer's side: grants from the bucket, and returned permits.

use std::{collections::VecDeque, net::SocketAddr, sync::Arc, time::Instant};

use model::{PermitAnswer, PermitQuestion, PermitReturn, SPAN_MAX};

use crate::{
    Output, Quota,
    limits::WINDOW,
    state::{Bucket, Grant, Organisation},
    view::{View, issuing_since},
};

/// Time for which a prefetched permit may be held: the window of the bound, within which the
/// reserve is counted.
pub(crate) const PREFETCH_TTL: std::time::Duration = WINDOW;
/// Shortest wait that an issuer states. Less than a permit may be missing than the resolution of a
/// duration covers; a wait of zero would have the holder ask again at the same instant.
const WAIT_MIN: std::time::Duration = std::time::Duration::from_millis(1);
/// Ratio of the bucket that prefetching leaves for requests that wait.
const PREFETCH_FLOOR_RATIO: f64 = 0.5;

/// What an issuer grants.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Granted {
    pub(crate) granted_count: u32,
    pub(crate) prefetched_count: u32,
    /// Time until the bucket holds a permit again; zero if all that was wanted is granted.
    pub(crate) wait: std::time::Duration,
}

/// Answers a holder's question.
pub fn on_question(
    quota: &mut Quota,
    now: Instant,
    holder: SocketAddr,
    question: &PermitQuestion,
    out: &mut Vec<Output>,
) {
    let mut answer = PermitAnswer {
        question_id: question.question_id,
        granted_count: 0,
        prefetched_count: 0,
        grant_id: 0,
        wait: std::time::Duration::ZERO,
        is_issuer: false,
    };
    let entry = quota.organisations.get_key_value(&*question.organisation);
    if let Some(name) = entry.map(|(name, _)| name.clone())
        && let Some(organisation) = quota.organisations.get_mut(&name)
    {
        let wanted = (question.wanted_count, question.prefetch_count);
        let held_count = held_count(organisation, &mut quota.grants, now);
        if let Some(granted) = grant(&quota.view, organisation, now, wanted, held_count) {
            answer.is_issuer = true;
            answer.granted_count = granted.granted_count;
            answer.prefetched_count = granted.prefetched_count;
            answer.wait = granted.wait;
            if granted.prefetched_count > 0 {
                answer.grant_id = record_grant(quota, now, holder, &name, &granted);
            }
        }
    }
    out.push(Output::Answer { holder, answer });
}

fn record_grant(
    quota: &mut Quota,
    now: Instant,
    holder: SocketAddr,
    name: &Arc<str>,
    granted: &Granted,
) -> u64 {
    let entry = Grant {
        organisation: name.clone(),
        granted_count: granted.prefetched_count,
        expires_at: now + PREFETCH_TTL,
    };
    let grant_id = pending::register(&mut quota.grants, holder, entry);
    let organisation = quota.organisations.get_mut(name);
    if let Some(bucket) = organisation.and_then(|organisation| organisation.bucket.as_mut()) {
        bucket.held.push_back(grant_id);
    }
    grant_id
}

/// Returns the prefetched permits that may still be held, and forgets grants that have expired.
fn held_count(
    organisation: &mut Organisation,
    grants: &mut pending::Requests<Grant>,
    now: Instant,
) -> u32 {
    let Some(bucket) = &mut organisation.bucket else {
        return 0;
    };
    let mut held_count: u32 = 0;
    bucket.held.retain(|&number| {
        let grant = pending::accept(grants, None, number);
        match grant.filter(|grant| now < grant.expires_at) {
            Some(grant) => {
                held_count = held_count.saturating_add(grant.granted_count);
                true
            }
            None => {
                pending::remove(grants, number);
                false
            }
        }
    });
    held_count
}

/// Grants permits from this instance's bucket; `None` if it does not issue.
///
/// `wanted` are the permits for waiting requests and those ahead of need.
pub(crate) fn grant(
    view: &View,
    organisation: &mut Organisation,
    now: Instant,
    wanted: (u32, u32),
    held_count: u32,
) -> Option<Granted> {
    let Some(since) = issuing_since(view, organisation, now) else {
        organisation.bucket = None;
        return None;
    };
    let limits = organisation.limits;
    let bucket = organisation.bucket.get_or_insert_with(|| Bucket {
        level_count: 0.0,
        at: since,
        held: VecDeque::new(),
    });
    accrue(bucket, &limits, now);
    let available = |level_count: f64| level_count.max(0.0) as u32;
    let granted_count = wanted.0.min(available(bucket.level_count));
    bucket.level_count -= f64::from(granted_count);
    // A predecessor may have granted prefetched permits that are still held.
    let may_prefetch = now >= since + PREFETCH_TTL;
    let spare = bucket.level_count - limits.bucket_max_count * PREFETCH_FLOOR_RATIO;
    let reserve = limits.reserve_count.saturating_sub(held_count);
    let prefetched_count = match may_prefetch {
        true => wanted.1.min(reserve).min(available(spare)),
        false => 0,
    };
    bucket.level_count -= f64::from(prefetched_count);
    let wait = match granted_count < wanted.0 {
        true => {
            let wait_s = (1.0 - bucket.level_count).max(0.0) / limits.per_s;
            std::time::Duration::from_secs_f64(wait_s.min(SPAN_MAX.as_secs_f64())).max(WAIT_MIN)
        }
        false => std::time::Duration::ZERO,
    };
    let issued_count = u64::from(granted_count) + u64::from(prefetched_count);
    organisation.counts.issued_count += issued_count;
    Some(Granted {
        granted_count,
        prefetched_count,
        wait,
    })
}

/// Adds the permits that have accrued since the last time.
pub(crate) fn accrue(bucket: &mut Bucket, limits: &crate::Limits, now: Instant) {
    let elapsed = now.saturating_duration_since(bucket.at);
    let level_count = bucket.level_count + elapsed.as_secs_f64() * limits.per_s;
    bucket.level_count = level_count.min(limits.bucket_max_count);
    bucket.at = bucket.at.max(now);
}

/// Puts returned permits back into the bucket they were granted from.
///
/// A grant is returned at most once, by its holder, and within the time for which it counts as
/// held; what arrives otherwise is ignored, and the permits are lost.
pub fn on_return(quota: &mut Quota, now: Instant, holder: SocketAddr, permits: &PermitReturn) {
    if pending::accept(&quota.grants, Some(holder), permits.grant_id).is_none() {
        return;
    }
    let Some(grant) = pending::remove(&mut quota.grants, permits.grant_id) else {
        return;
    };
    if now >= grant.expires_at {
        return;
    }
    let Some(organisation) = quota.organisations.get_mut(&grant.organisation) else {
        return;
    };
    let limits = organisation.limits;
    let Some(bucket) = &mut organisation.bucket else {
        return;
    };
    // A bucket that was emptied since does not contain the grant.
    let Some(index) = bucket.held.iter().position(|&id| id == permits.grant_id) else {
        return;
    };
    bucket.held.remove(index);
    let unused_count = permits.unused_count.min(grant.granted_count);
    accrue(bucket, &limits, now);
    let level_count = bucket.level_count + f64::from(unused_count);
    bucket.level_count = level_count.min(limits.bucket_max_count);
    let counts = &mut organisation.counts;
    counts.issued_count = counts.issued_count.saturating_sub(u64::from(unused_count));
}
