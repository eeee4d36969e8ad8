//! The handling of one order by its caller, as a reducer: events in, the next effect out.

use model::Outcome;

/// Attempts per order, including refused requests for a ticket.
const ATTEMPTS_MAX_COUNT: u32 = 4;

/// How callers send an order and retry it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Fetches a ticket and, while the outcome is unknown, retries the order with the same ticket
    /// through other instances.
    Tier,
    /// Sends the order directly to a target and retries it at another target on any error.
    Naive,
}

/// State of one order.
#[derive(Clone, Debug)]
pub struct Order {
    /// How the order is sent and retried.
    pub policy: Policy,
    /// Index of the instance or target to use next; incremented by each failed attempt.
    pub endpoint_index: u32,
    /// The ticket, once one has been fetched; always absent with [`Policy::Naive`].
    pub ticket: Option<String>,
    /// Failed attempts so far.
    pub attempts_count: u32,
}

/// Input of the reducer.
#[derive(Clone, Debug)]
pub enum Event {
    /// The order is to be sent.
    Started,
    /// A ticket, or `None` if the instance refused or did not answer.
    Ticket(Option<String>),
    /// An answer arrived, with this outcome.
    Answered(Outcome),
    /// The connection failed or timed out, or the answer has no valid outcome.
    NoReply,
}

/// Output of the reducer.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Fetch a ticket from an instance.
    FetchTicket {
        /// Index of the instance.
        endpoint_index: u32,
    },
    /// Send the order.
    Send {
        /// Index of the instance or target.
        endpoint_index: u32,
        /// The ticket; `None` sends the order directly to a target.
        ticket: Option<String>,
    },
    /// The order has this final outcome.
    Finish(FinalOutcome),
}

/// The final outcome of an order as its caller knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalOutcome {
    /// The order was executed.
    Ran,
    /// The order was not executed and will not be.
    NotRun,
    /// The order may have been executed.
    Unknown,
}

/// Returns a new order.
pub fn new_order(policy: Policy, endpoint_index: u32) -> Order {
    Order {
        policy,
        endpoint_index,
        ticket: None,
        attempts_count: 0,
    }
}

/// Updates an order by one event and returns the next effect.
pub fn reduce(order: &mut Order, event: Event) -> Effect {
    match event {
        Event::Started => start(order),
        Event::Ticket(Some(ticket)) => {
            order.ticket = Some(ticket);
            send(order)
        }
        Event::Ticket(None) => {
            order.endpoint_index += 1;
            order.attempts_count += 1;
            match order.attempts_count < ATTEMPTS_MAX_COUNT {
                true => start(order),
                false => Effect::Finish(FinalOutcome::NotRun),
            }
        }
        Event::Answered(Outcome::Ran) => Effect::Finish(FinalOutcome::Ran),
        Event::Answered(Outcome::NotRun(_)) if order.policy == Policy::Tier => {
            Effect::Finish(FinalOutcome::NotRun)
        }
        Event::Answered(_) | Event::NoReply => retry(order),
    }
}

fn start(order: &Order) -> Effect {
    match order.policy {
        Policy::Tier => Effect::FetchTicket {
            endpoint_index: order.endpoint_index,
        },
        Policy::Naive => send(order),
    }
}

fn retry(order: &mut Order) -> Effect {
    order.endpoint_index += 1;
    order.attempts_count += 1;
    match order.attempts_count < ATTEMPTS_MAX_COUNT {
        true => send(order),
        false => Effect::Finish(FinalOutcome::Unknown),
    }
}

fn send(order: &Order) -> Effect {
    Effect::Send {
        endpoint_index: order.endpoint_index,
        ticket: order.ticket.clone(),
    }
}
