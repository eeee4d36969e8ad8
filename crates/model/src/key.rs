//! Generational keys, by which events and effects refer to entries of the reducer and the shell.

use slotmap::new_key_type;

new_key_type! {
    /// A request of a caller that the shell holds open until it is answered.
    pub struct CallerKey;

    /// A query that is queued or running.
    pub struct QueryKey;

    /// One call to one target on behalf of a query.
    pub struct CallKey;

    /// A requester that waits for the outcome of a ticket of this or another instance.
    pub struct WaitKey;

    /// A target of the accepted configuration.
    pub struct TargetKey;

    /// A service of the accepted configuration, which holds one shard of a front.
    pub struct ServiceKey;

    /// A front of the gateway, selected by host and path.
    pub struct FrontKey;

    /// A caller's request that the gateway is serving.
    pub struct ExchangeKey;

    /// One request to one target on behalf of an exchange.
    pub struct AttemptKey;

    /// An availability zone of the accepted configuration.
    pub struct ZoneKey;
}
