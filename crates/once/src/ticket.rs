//! Tickets: permissions to run one request once, valid at the process that issued them.

use std::{hash::Hasher, net::SocketAddr, time::Duration};

use rand::Rng;
use serde::Serialize;
use siphasher::sip128::{Hasher128, SipHasher24};

/// Separates the fields of an encoded ticket.
const SEPARATOR: char = '~';

/// The process that issued a ticket and alone may run its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Owner {
    /// Peer address of the instance.
    pub address: SocketAddr,
    /// Distinguishes the process from earlier and later ones of the same instance.
    pub incarnation: u64,
}

/// The contents of a ticket, without its MAC.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// The process that issued it.
    pub owner: Owner,
    /// Number of the ticket, unique and ascending within the owner.
    pub serial: u64,
    /// Time from the owner's first issue of a ticket to the issue of this one.
    pub issue_offset: Duration,
}

/// Key of the message authentication code that makes tickets unforgeable.
#[derive(Clone, Copy, Debug)]
pub struct MacKey([u64; 2]);

/// Draws a random key.
pub fn generate_mac_key(rng: &mut impl Rng) -> MacKey {
    MacKey([rng.next_u64(), rng.next_u64()])
}

/// Encodes a ticket and its MAC as a string without spaces or quotes.
pub fn encode(ticket: &Ticket, key: &MacKey) -> String {
    let fields = [
        ticket.owner.address.to_string(),
        format!("{:x}", ticket.owner.incarnation),
        format!("{:x}", ticket.serial),
        format!("{:x}", millis(ticket.issue_offset)),
        format!("{:x}", mac(ticket, key)),
    ];
    fields.join("~")
}

/// Decodes a ticket and its MAC, which is not verified.
pub fn decode(encoded: &str) -> Option<(Ticket, u128)> {
    let mut fields = encoded.split(SEPARATOR);
    let address = fields.next()?.parse().ok()?;
    let incarnation = u64::from_str_radix(fields.next()?, 16).ok()?;
    let serial = u64::from_str_radix(fields.next()?, 16).ok()?;
    let issue_offset_ms = u64::from_str_radix(fields.next()?, 16).ok()?;
    let mac = u128::from_str_radix(fields.next()?, 16).ok()?;
    if fields.next().is_some() {
        return None;
    }
    let ticket = Ticket {
        owner: Owner {
            address,
            incarnation,
        },
        serial,
        issue_offset: Duration::from_millis(issue_offset_ms),
    };
    Some((ticket, mac))
}

/// Returns the message authentication code of a ticket's fields.
pub fn mac(ticket: &Ticket, key: &MacKey) -> u128 {
    let MacKey([first, second]) = *key;
    let mut hasher = SipHasher24::new_with_keys(first, second);
    hasher.write(ticket.owner.address.to_string().as_bytes());
    hasher.write_u64(ticket.owner.incarnation);
    hasher.write_u64(ticket.serial);
    hasher.write_u64(millis(ticket.issue_offset));
    hasher.finish128().as_u128()
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
