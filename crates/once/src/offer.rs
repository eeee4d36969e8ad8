//! Issue and first use of tickets.

use std::{net::SocketAddr, time::Instant};

use model::{Answer, NotRunReason, Outcome, UnknownReason, WaitKey};

use crate::{
    OnceState, Row, RowState, Ticket,
    hold::{forget_expired, make_room},
    ticket,
};

/// Resends of one ticket that wait for its outcome at the same time.
const WAITS_PER_TICKET_MAX_COUNT: usize = 16;

/// What follows from the ticket of a request.
#[derive(Debug, PartialEq, Eq)]
pub enum Verdict<'a> {
    /// The request is the first under its ticket and may run now; the ticket is spent.
    Run,
    /// The request has ended; this was its answer.
    Ended(&'a Answer),
    /// The request waits or runs.
    Running,
    /// Only another instance can tell.
    Elsewhere(SocketAddr),
    /// The request does not run here.
    Refuse(Outcome),
}

/// Issues tickets that can be used from now until the retention period has passed.
pub fn issue(once: &mut OnceState, now: Instant, count: u32) -> Vec<String> {
    let epoch = *once.epoch.get_or_insert(now);
    let first_serial = once.next_serial;
    once.next_serial += u64::from(count);
    let tickets = (first_serial..once.next_serial).map(|serial| {
        let ticket = Ticket {
            owner: once.owner,
            serial,
            issued: now.saturating_duration_since(epoch),
        };
        ticket::encode(&ticket, &once.seal_key)
    });
    tickets.collect()
}

/// Decides what a request may do under its ticket and, if it may run, spends the ticket.
///
/// A ticket is spent by its first use, whatever comes of it: a refusal is stored like any other
/// outcome, so "not run" stays true for ever.
pub fn offer<'a>(
    once: &'a mut OnceState,
    settings: &settings::Once,
    now: Instant,
    text: &str,
    fingerprint: u64,
) -> Verdict<'a> {
    let Some((ticket, seal)) = ticket::decode(text) else {
        return Verdict::Refuse(Outcome::NotRun(NotRunReason::BadTicket));
    };
    if ticket.owner.address != once.owner.address {
        return Verdict::Elsewhere(ticket.owner.address);
    }
    if ticket.owner.incarnation != once.owner.incarnation {
        return Verdict::Refuse(Outcome::Unknown(UnknownReason::OwnerGone));
    }
    if seal != ticket::seal(&ticket, &once.seal_key) {
        return Verdict::Refuse(Outcome::NotRun(NotRunReason::BadTicket));
    }
    forget_expired(once, settings, now);
    if once.rows.contains_key(&ticket.serial) {
        return used(&once.rows[&ticket.serial], fingerprint);
    }
    let issued_at = once.epoch.unwrap_or(now) + ticket.issued;
    let age = now.saturating_duration_since(issued_at);
    if ticket.serial < once.forgotten_below || age >= 2 * settings.ticket_retention {
        return Verdict::Refuse(Outcome::Unknown(UnknownReason::Forgotten));
    }
    if age >= settings.ticket_retention {
        return Verdict::Refuse(Outcome::NotRun(NotRunReason::TicketExpired));
    }
    make_room(once, settings);
    if ticket.serial < once.forgotten_below {
        return Verdict::Refuse(Outcome::Unknown(UnknownReason::Forgotten));
    }
    let row = Row {
        fingerprint,
        issued_at,
        state: RowState::Running { waits: Vec::new() },
    };
    once.rows.insert(ticket.serial, row);
    Verdict::Run
}

fn used(row: &Row, fingerprint: u64) -> Verdict<'_> {
    if row.fingerprint != fingerprint {
        return Verdict::Refuse(Outcome::NotRun(NotRunReason::BadTicket));
    }
    match &row.state {
        RowState::Ended { answer } => Verdict::Ended(answer),
        RowState::Running { waits } if waits.len() >= WAITS_PER_TICKET_MAX_COUNT => {
            Verdict::Refuse(Outcome::Unknown(UnknownReason::InProgress))
        }
        RowState::Running { .. } => Verdict::Running,
    }
}

/// Adds a resend to those that wait for the outcome of a ticket that [`offer`] found running.
pub fn wait(once: &mut OnceState, text: &str, wait: WaitKey) {
    let Some((ticket, _)) = ticket::decode(text) else {
        return;
    };
    let Some(row) = once.rows.get_mut(&ticket.serial) else {
        return;
    };
    if let RowState::Running { waits } = &mut row.state {
        waits.push(wait);
    }
}
