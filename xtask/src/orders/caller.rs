//! A caller's course of one order: a reducer over what it learns.

use model::Outcome;

/// Attempts of one order.
const ATTEMPTS_MAX_COUNT: u32 = 4;

/// How callers go about an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Fetches a ticket and repeats the order under this ticket, through other instances, while its
    /// outcome is unknown.
    Tier,
    /// Sends the order to a target and repeats it at another one on any error.
    Naive,
}

/// One order.
#[derive(Clone, Debug)]
pub struct Order {
    /// How the caller goes about it.
    pub policy: Policy,
    /// Place of the instance or target that is asked next; counts on at each failure.
    pub place: u32,
    /// The ticket, once it has one.
    pub ticket: Option<String>,
    /// Attempts so far.
    pub attempts_count: u32,
}

/// What the caller learns.
#[derive(Clone, Debug)]
pub enum Event {
    /// The order is due.
    Started,
    /// An instance handed out a ticket or refused.
    Ticket(Option<String>),
    /// An answer arrived.
    Answered(Outcome),
    /// No answer arrived.
    NoReply,
}

/// What the caller does.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Ask an instance for a ticket.
    FetchTicket {
        /// Place of the instance.
        place: u32,
    },
    /// Send the order.
    Send {
        /// Place of the instance or target.
        place: u32,
        /// The ticket.
        ticket: Option<String>,
    },
    /// The order has ended.
    End(End),
}

/// How an order ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// It ran.
    Ran,
    /// It did not run.
    NotRun,
    /// The caller does not know.
    Unknown,
}

/// Returns a new order.
pub fn open(policy: Policy, place: u32) -> Order {
    Order {
        policy,
        place,
        ticket: None,
        attempts_count: 0,
    }
}

/// Takes in one event and returns what follows.
pub fn reduce(order: &mut Order, event: Event) -> Effect {
    match event {
        Event::Started => first(order),
        Event::Ticket(Some(ticket)) => {
            order.ticket = Some(ticket);
            send(order)
        }
        Event::Ticket(None) => {
            order.place += 1;
            order.attempts_count += 1;
            match order.attempts_count < ATTEMPTS_MAX_COUNT {
                true => first(order),
                false => Effect::End(End::NotRun),
            }
        }
        Event::Answered(Outcome::Ran) => Effect::End(End::Ran),
        Event::Answered(Outcome::NotRun(_)) if order.policy == Policy::Tier => {
            Effect::End(End::NotRun)
        }
        Event::Answered(_) | Event::NoReply => again(order),
    }
}

fn first(order: &Order) -> Effect {
    match order.policy {
        Policy::Tier => Effect::FetchTicket { place: order.place },
        Policy::Naive => send(order),
    }
}

fn again(order: &mut Order) -> Effect {
    order.place += 1;
    order.attempts_count += 1;
    match order.attempts_count < ATTEMPTS_MAX_COUNT {
        true => send(order),
        false => Effect::End(End::Unknown),
    }
}

fn send(order: &Order) -> Effect {
    Effect::Send {
        place: order.place,
        ticket: order.ticket.clone(),
    }
}
