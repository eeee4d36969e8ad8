//! What can happen while the load runs, and what the program does.

use std::time::Duration;

use model::{Outcome, Priority};
use slotmap::new_key_type;

new_key_type! {
    /// A request that has been sent.
    pub struct RequestKey;
}

/// What an answer says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerSummary {
    /// Whether the request ran.
    pub outcome: Outcome,
    /// Services in the answer.
    pub answered_count: u32,
    /// Services asked.
    pub total_count: u32,
    /// Results that do not repeat the query.
    pub mixed_up_count: u32,
    /// Whether the stated coverage agrees with the results.
    pub is_coverage_consistent: bool,
}

/// Counters of an instance that show the extra load.
#[derive(Clone, Copy, Debug, PartialEq, Default)]
pub struct CallCounters {
    /// First calls to a service on behalf of a query.
    pub primary_count: f64,
    /// Calls sent because another one is late.
    pub hedge_count: f64,
    /// Calls sent because another one failed.
    pub retry_count: f64,
}

/// One thing that happened.
#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
    /// The load begins.
    Started,
    /// The next arrival is due.
    ArrivalDue,
    /// A second has passed.
    SecondElapsed,
    /// An instance handed out tickets; none if it refused.
    TicketsReceived {
        /// Number of the instance.
        instance: usize,
        /// The tickets.
        tickets: &'a [String],
    },
    /// An answer arrived.
    Answered {
        /// The request.
        request: RequestKey,
        /// What it says.
        answer: AnswerSummary,
    },
    /// A direct call was executed.
    DirectDone {
        /// The request.
        request: RequestKey,
    },
    /// A request got no answer that could be read.
    Failed {
        /// The request.
        request: RequestKey,
    },
    /// The counters of an instance were read.
    CountersRead {
        /// Number of the instance.
        instance: usize,
        /// The counters.
        counters: CallCounters,
    },
}

/// A request to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingRequest {
    /// Key that the answer repeats.
    pub request: RequestKey,
    /// Number of the instance.
    pub instance: usize,
    /// Number of the front.
    pub front: usize,
    /// Number that sets the query apart from all others.
    pub number: u64,
    /// Importance under overload.
    pub priority: Priority,
    /// Ticket of a request that runs at most once.
    pub ticket: Option<String>,
}

/// One thing for the shell to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a request to an instance.
    Send(OutgoingRequest),
    /// Call the target directly.
    CallDirect {
        /// Key that the reply repeats.
        request: RequestKey,
        /// Number that sets the query apart from all others.
        number: u64,
    },
    /// Ask an instance for tickets.
    FetchTickets {
        /// Number of the instance.
        instance: usize,
        /// How many.
        count: u32,
    },
    /// Read the counters of every instance.
    ReadCounters,
    /// Deliver [`Event::ArrivalDue`] after a delay.
    StartArrivalTimer(Duration),
    /// Deliver [`Event::SecondElapsed`] after a delay.
    StartSecondTimer(Duration),
    /// Show how far the load has got.
    ShowProgress,
    /// The load is over and everything is counted.
    Finish,
}
