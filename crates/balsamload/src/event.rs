//! Inputs and outputs of the reducer.

use std::time::Duration;

use model::{Outcome, Priority};
use slotmap::new_key_type;

new_key_type! {
    /// A request or direct call in flight.
    pub struct RequestKey;
}

/// The parts of an answer that are counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerSummary {
    /// Whether the request ran.
    pub outcome: Outcome,
    /// Services whose result is in the answer.
    pub answered_count: u32,
    /// Services that should contribute to the answer.
    pub total_count: u32,
    /// Results that do not echo the query; 0 if echoes are not checked.
    pub mixed_up_count: u32,
    /// Whether the stated coverage matches the results.
    pub is_coverage_consistent: bool,
}

/// Calls that an instance has sent to targets, by reason.
#[derive(Clone, Copy, Debug, PartialEq, Default)]
pub struct CallCounters {
    /// First calls to a service on behalf of a query.
    pub primary_count: f64,
    /// Hedged calls, sent because another call is late.
    pub hedge_count: f64,
    /// Retries, sent because another call failed.
    pub retry_count: f64,
}

/// An input of the reducer.
#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
    /// The load starts; always the first event.
    Started,
    /// The arrival timer has expired.
    ArrivalDue,
    /// The second timer has expired.
    SecondElapsed,
    /// A fetch of tickets has ended.
    TicketsReceived {
        /// Index of the instance in the options.
        instance: usize,
        /// The tickets; empty if the fetch failed.
        tickets: &'a [String],
    },
    /// An answer arrived.
    Answered {
        /// The request.
        request: RequestKey,
        /// Its summary.
        answer: AnswerSummary,
    },
    /// A direct call was executed and its reply arrived.
    DirectDone {
        /// The request.
        request: RequestKey,
    },
    /// A request got no readable answer, or a direct call was not executed.
    Failed {
        /// The request.
        request: RequestKey,
    },
    /// The counters of an instance were read.
    CountersRead {
        /// Index of the instance's operator port in the options.
        instance: usize,
        /// The counters.
        counters: CallCounters,
    },
}

/// A request to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingRequest {
    /// Key under which the answer is reported.
    pub request: RequestKey,
    /// Index of the instance in the options.
    pub instance: usize,
    /// Index of the front in the options.
    pub front: usize,
    /// Unique number, sent in the body and expected in the echo.
    pub number: u64,
    /// Priority for load shedding.
    pub priority: Priority,
    /// Ticket; present on at-most-once requests only.
    pub ticket: Option<String>,
}

/// An action that the shell executes.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a request to an instance.
    Send(OutgoingRequest),
    /// Call the target directly.
    CallDirect {
        /// Key under which the reply is reported.
        request: RequestKey,
        /// Unique number, sent in the body.
        number: u64,
    },
    /// Fetch tickets from an instance.
    FetchTickets {
        /// Index of the instance in the options.
        instance: usize,
        /// Number of tickets to ask for.
        count: u32,
    },
    /// Read the call counters from every operator port.
    ReadCounters,
    /// Deliver [`Event::ArrivalDue`] after a delay.
    StartArrivalTimer(Duration),
    /// Deliver [`Event::SecondElapsed`] after a delay.
    StartSecondTimer(Duration),
    /// Update the progress bar.
    ShowProgress,
    /// Stop: all arrivals are sent and counted.
    Finish,
}
