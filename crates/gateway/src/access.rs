//! Access: the organisation that a caller belongs to, if the configuration names organisations.

use std::{sync::Arc, time::Instant};

use catalog::Catalog;
use model::{Counter, Effect, ExchangeKey, FrontKey, HttpRequest, NotRunReason, Requester};
use organisation::{KeyHash, Organisation};

use crate::{Exchange, Gateway, respond};

/// Authenticates a caller and returns its request with the organisation and without the key.
///
/// # Errors
///
/// Returns `Unauthenticated` if the front is not public and the request carries no valid key.
pub(crate) fn authenticate(
    gateway: &Gateway,
    front: Option<FrontKey>,
    request: Arc<HttpRequest>,
) -> Result<Arc<HttpRequest>, NotRunReason> {
    let catalog = &gateway.catalog;
    if !catalog.organisations.is_required {
        return Ok(request);
    }
    let hash = key_hash(catalog, &request);
    let organisation = find_member(catalog, hash);
    let is_public = front.is_some_and(|front| catalog.fronts[front].is_public);
    if organisation.is_none() && !is_public {
        return Err(NotRunReason::Unauthenticated);
    }
    let name = organisation.map(|organisation| organisation.name.clone());
    Ok(identified(request, name))
}

/// Returns whether a caller's request would pass [`authenticate`].
pub fn is_authenticated(gateway: &Gateway, request: &HttpRequest) -> bool {
    let catalog = &gateway.catalog;
    if !catalog.organisations.is_required {
        return true;
    }
    let front = catalog::find_front(catalog, &request.host, &request.path);
    is_admitted(gateway, front, key_hash(catalog, request))
}

/// Returns whether the configuration in force admits a caller with this key to a front.
pub(crate) fn is_admitted(
    gateway: &Gateway,
    front: Option<FrontKey>,
    key_hash: Option<KeyHash>,
) -> bool {
    let catalog = &gateway.catalog;
    !catalog.organisations.is_required
        || find_member(catalog, key_hash).is_some()
        || front.is_some_and(|front| catalog.fronts[front].is_public)
}

fn is_public(catalog: &Catalog, request: &HttpRequest) -> bool {
    let front = catalog::find_front(catalog, &request.host, &request.path);
    front.is_some_and(|front| catalog.fronts[front].is_public)
}

/// Checks a query that another instance relays. That instance has authenticated the caller, unless
/// its version knows no organisations; its query holds the credential then.
///
/// # Errors
///
/// Returns `Unauthenticated` if the query has neither an organisation of the configuration nor a
/// valid key and its front is not public.
pub(crate) fn accept_relayed(
    gateway: &Gateway,
    front: FrontKey,
    request: &Arc<HttpRequest>,
) -> Result<Arc<HttpRequest>, NotRunReason> {
    let organisations = &gateway.catalog.organisations;
    match &request.organisation {
        Some(name) if organisations.is_required => {
            let organisation = organisation::find(organisations, name);
            let organisation = organisation.ok_or(NotRunReason::Unauthenticated)?;
            Ok(identified(request.clone(), Some(organisation.name.clone())))
        }
        _ => authenticate(gateway, Some(front), request.clone()),
    }
}

/// Returns the hash of the key that a request carries.
pub(crate) fn key_hash(catalog: &Catalog, request: &HttpRequest) -> Option<KeyHash> {
    let key = request.credential.as_ref()?.key.as_ref()?;
    Some(organisation::hash_of(&catalog.organisations, key))
}

/// Returns what is wrong with the key of a request that is not authenticated, for its log line.
pub(crate) fn key_fault(request: &HttpRequest) -> &'static str {
    match &request.credential {
        None => "absent",
        Some(credential) if credential.key.is_none() => "malformed",
        Some(_) => "unknown",
    }
}

/// Returns the priority rank of a request: that of the organisation, or else of the front.
pub(crate) fn effective_rank(
    catalog: &Catalog,
    organisation: Option<&str>,
    front_rank: u32,
) -> u32 {
    let organisation =
        organisation.and_then(|name| organisation::find(&catalog.organisations, name));
    let rank = organisation.and_then(|organisation| organisation.rank);
    rank.unwrap_or(front_rank)
}

/// Applies a new configuration to the requests in progress: those of callers that it does not
/// admit, and that no target can have received, end.
pub fn on_configuration(gateway: &mut Gateway, now: Instant, out: &mut Vec<Effect>) {
    let Gateway {
        catalog, exchanges, ..
    } = gateway;
    for exchange in exchanges.values_mut() {
        update_access(catalog, exchange);
    }
    let exchanges = exchanges.iter();
    let ended =
        exchanges.filter(|(_, exchange)| exchange.is_revoked && respond::is_unsent(exchange));
    let ended: Vec<ExchangeKey> = ended.map(|(key, _)| key).collect();
    for key in ended {
        respond::finish(gateway, now, key, out);
    }
}

fn update_access(catalog: &Catalog, exchange: &mut Exchange) {
    if !catalog.organisations.is_required {
        exchange.is_revoked = false;
        return;
    }
    // The request still holds a credential if no organisations were named when it arrived.
    exchange.key_hash = exchange.key_hash.or(key_hash(catalog, &exchange.request));
    let front = catalog.fronts.get(exchange.front);
    let is_public = match front {
        Some(front) => front.is_public,
        None => is_public(catalog, &exchange.request),
    };
    let organisation = match exchange.requester {
        Requester::Caller(_) => find_member(catalog, exchange.key_hash),
        Requester::Peer { .. } => relayed_member(catalog, exchange),
    };
    // On a public front too, the key that another instance has read may still be valid.
    let is_relayed_member =
        matches!(exchange.requester, Requester::Peer { .. }) && exchange.organisation.is_some();
    exchange.is_revoked = organisation.is_none() && (!is_public || is_relayed_member);
    if !exchange.is_revoked {
        exchange.organisation = organisation.map(|organisation| organisation.name.clone());
    }
    if let Some(front) = front {
        let organisation = exchange.organisation.as_deref();
        exchange.rank = effective_rank(catalog, organisation, front.shedding_rank);
    }
    exchange.request = identified(exchange.request.clone(), exchange.organisation.clone());
}

/// Returns the organisation of a relayed query. This instance does not know the caller's key, unless
/// the query held it on arrival, so a query of an organisation that has lost a key since counts as
/// not admitted: as far as it is not sent, the instance that relayed it runs it itself, and decides
/// by the key.
fn relayed_member<'a>(catalog: &'a Catalog, exchange: &Exchange) -> Option<&'a Organisation> {
    let name = match &exchange.organisation {
        Some(name) if exchange.key_hash.is_none() => name,
        _ => return find_member(catalog, exchange.key_hash),
    };
    let organisation = organisation::find(&catalog.organisations, name)?;
    (organisation.key_removed_in_version <= exchange.version).then_some(organisation)
}

fn find_member(catalog: &Catalog, hash: Option<KeyHash>) -> Option<&Organisation> {
    organisation::find_by_hash(&catalog.organisations, hash?)
}

/// Returns a request with its organisation and without what the caller sent as such.
fn identified(request: Arc<HttpRequest>, organisation: Option<Arc<str>>) -> Arc<HttpRequest> {
    let is_stripped = request.credential.is_none() && request.stated_organisation.is_empty();
    if is_stripped && request.organisation == organisation {
        return request;
    }
    let mut request = Arc::unwrap_or_clone(request);
    request.credential = None;
    request.stated_organisation.clear();
    request.organisation = organisation;
    Arc::new(request)
}

/// Counts a request that is refused because it carries no valid key.
pub(crate) fn count_unauthenticated(out: &mut Vec<Effect>) {
    out.push(Effect::Count {
        counter: Counter::UnauthenticatedRequests,
        amount_count: 1,
    });
}
