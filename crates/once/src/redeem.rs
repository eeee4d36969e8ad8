//! Issuing and redeeming tickets.

use std::{net::SocketAddr, time::Instant};

use model::{Answer, NotRunReason, Outcome, UnknownReason, WaitKey};

use crate::{
    OnceState, Ticket, TicketEntry, TicketState,
    outcomes::{evict_oldest, remove_expired},
    ticket,
};

/// Upper bound of the requesters that wait for the outcome of one ticket.
const WAITERS_PER_TICKET_MAX_COUNT: usize = 16;

/// What to do with a request, according to its ticket.
#[derive(Debug, PartialEq, Eq)]
pub enum TicketDecision<'a> {
    /// Run the request: it is the first under its ticket, which is now redeemed.
    Run,
    /// Repeat this stored answer: the request has ended.
    Ended(&'a Answer),
    /// Wait for the outcome: the request is queued or running.
    Running,
    /// Forward the request to the ticket's owner at this peer address.
    ForwardTo(SocketAddr),
    /// Answer with this outcome without running the request.
    Refuse(Outcome),
}

/// Issues tickets that can be redeemed until the retention period has passed.
pub fn issue(once: &mut OnceState, now: Instant, count: u32) -> Vec<String> {
    let epoch = *once.epoch.get_or_insert(now);
    let first_serial = once.next_serial;
    once.next_serial += u64::from(count);
    let tickets = (first_serial..once.next_serial).map(|serial| {
        let ticket = Ticket {
            owner: once.owner,
            serial,
            issue_offset: now.saturating_duration_since(epoch),
        };
        ticket::encode(&ticket, &once.mac_key)
    });
    tickets.collect()
}

/// Looks up the ticket of a request and redeems it on its first use.
///
/// After [`TicketDecision::Run`], the outcome of the request must be stored with
/// [`store_outcome`](crate::store_outcome), even if it is a refusal, so that a resend never runs a
/// request that was reported as "not run".
pub fn redeem<'a>(
    once: &'a mut OnceState,
    settings: &settings::Once,
    now: Instant,
    encoded_ticket: &str,
    fingerprint: u64,
) -> TicketDecision<'a> {
    let Some((ticket, mac)) = ticket::decode(encoded_ticket) else {
        return TicketDecision::Refuse(Outcome::NotRun(NotRunReason::BadTicket));
    };
    if ticket.owner.address != once.owner.address {
        return TicketDecision::ForwardTo(ticket.owner.address);
    }
    if ticket.owner.incarnation != once.owner.incarnation {
        return TicketDecision::Refuse(Outcome::Unknown(UnknownReason::OwnerGone));
    }
    if mac != ticket::mac(&ticket, &once.mac_key) {
        return TicketDecision::Refuse(Outcome::NotRun(NotRunReason::BadTicket));
    }
    remove_expired(once, settings, now);
    if once.tickets.contains_key(&ticket.serial) {
        return resend_decision(&once.tickets[&ticket.serial], fingerprint);
    }
    let issued_at = once.epoch.unwrap_or(now) + ticket.issue_offset;
    let age = now.saturating_duration_since(issued_at);
    if ticket.serial < once.forgotten_below || age >= 2 * settings.ticket_retention {
        return TicketDecision::Refuse(Outcome::Unknown(UnknownReason::Forgotten));
    }
    if age >= settings.ticket_retention {
        return TicketDecision::Refuse(Outcome::NotRun(NotRunReason::TicketExpired));
    }
    evict_oldest(once, settings);
    if ticket.serial < once.forgotten_below {
        return TicketDecision::Refuse(Outcome::Unknown(UnknownReason::Forgotten));
    }
    let entry = TicketEntry {
        fingerprint,
        issued_at,
        state: TicketState::Running {
            waiters: Vec::new(),
        },
    };
    once.tickets.insert(ticket.serial, entry);
    TicketDecision::Run
}

fn resend_decision(entry: &TicketEntry, fingerprint: u64) -> TicketDecision<'_> {
    if entry.fingerprint != fingerprint {
        return TicketDecision::Refuse(Outcome::NotRun(NotRunReason::BadTicket));
    }
    match &entry.state {
        TicketState::Ended { answer } => TicketDecision::Ended(answer),
        TicketState::Running { waiters } if waiters.len() >= WAITERS_PER_TICKET_MAX_COUNT => {
            TicketDecision::Refuse(Outcome::Unknown(UnknownReason::InProgress))
        }
        TicketState::Running { .. } => TicketDecision::Running,
    }
}

/// Adds a requester that waits for the outcome of a ticket for which [`redeem`] returned
/// [`TicketDecision::Running`].
pub fn add_waiter(once: &mut OnceState, encoded_ticket: &str, waiter: WaitKey) {
    let Some((ticket, _)) = ticket::decode(encoded_ticket) else {
        return;
    };
    let Some(entry) = once.tickets.get_mut(&ticket.serial) else {
        return;
    };
    if let TicketState::Running { waiters } = &mut entry.state {
        waiters.push(waiter);
    }
}
