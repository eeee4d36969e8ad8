//! Tickets: the right to run one request once, at one run of one instance.

use std::{hash::Hasher, net::SocketAddr, time::Duration};

use rand::Rng;
use serde::Serialize;
use siphasher::sip128::{Hasher128, SipHasher24};

/// Separates the fields of a ticket's text.
const SEPARATOR: char = '~';

/// The one run of the one instance that may run a ticket's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Owner {
    /// Peers' port of the instance.
    pub address: SocketAddr,
    /// Number of the run.
    pub incarnation: u64,
}

/// A ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// Who issued it and alone may run its request.
    pub owner: Owner,
    /// Number of the ticket within the owner's run.
    pub serial: u64,
    /// Time of issue since the owner issued its first ticket.
    pub issued: Duration,
}

/// Key of the seal that tells issued tickets from invented ones.
#[derive(Clone, Copy, Debug)]
pub struct SealKey([u64; 2]);

/// Draws a key.
pub fn draw_seal_key(rng: &mut impl Rng) -> SealKey {
    SealKey([rng.next_u64(), rng.next_u64()])
}

/// Returns the ticket as a text without spaces or quotes.
pub fn encode(ticket: &Ticket, key: &SealKey) -> String {
    let fields = [
        ticket.owner.address.to_string(),
        format!("{:x}", ticket.owner.incarnation),
        format!("{:x}", ticket.serial),
        format!("{:x}", millis(ticket.issued)),
        format!("{:x}", seal(ticket, key)),
    ];
    fields.join("~")
}

/// Reads a ticket and its seal, which is not yet compared.
pub fn decode(text: &str) -> Option<(Ticket, u128)> {
    let mut fields = text.split(SEPARATOR);
    let address = fields.next()?.parse().ok()?;
    let incarnation = u64::from_str_radix(fields.next()?, 16).ok()?;
    let serial = u64::from_str_radix(fields.next()?, 16).ok()?;
    let issued_ms = u64::from_str_radix(fields.next()?, 16).ok()?;
    let seal = u128::from_str_radix(fields.next()?, 16).ok()?;
    if fields.next().is_some() {
        return None;
    }
    let ticket = Ticket {
        owner: Owner {
            address,
            incarnation,
        },
        serial,
        issued: Duration::from_millis(issued_ms),
    };
    Some((ticket, seal))
}

/// Returns the keyed hash over all other fields.
pub fn seal(ticket: &Ticket, key: &SealKey) -> u128 {
    let SealKey([first, second]) = *key;
    let mut hasher = SipHasher24::new_with_keys(first, second);
    hasher.write(ticket.owner.address.to_string().as_bytes());
    hasher.write_u64(ticket.owner.incarnation);
    hasher.write_u64(ticket.serial);
    hasher.write_u64(millis(ticket.issued));
    hasher.finish128().as_u128()
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
