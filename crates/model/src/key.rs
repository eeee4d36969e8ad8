//! Generational keys of everything that a reducer refers to.

use slotmap::new_key_type;

new_key_type! {
    /// A caller's connection and request, as the shell numbers them.
    pub struct CallerKey;

    /// A query that is running or waiting in the reducer.
    pub struct QueryKey;

    /// One call to one target on behalf of a query.
    pub struct CallKey;

    /// A requester that waits for the outcome of a ticket, held here or by the ticket's owner.
    pub struct WaitKey;

    /// A target of the accepted configuration.
    pub struct TargetKey;

    /// A service of the accepted configuration. Each service holds one shard of a front.
    pub struct ServiceKey;

    /// A front of the gateway, chosen by host and path.
    pub struct FrontKey;

    /// A caller's request that the gateway serves.
    pub struct ExchangeKey;

    /// One request to one target on behalf of an exchange.
    pub struct AttemptKey;

    /// An availability zone of the accepted configuration.
    pub struct ZoneKey;
}
