//! Callers at work: each sends one order after the other until the load is closed.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::Duration,
};

use awc::Client;
use futures_util::future::join_all;
use rig::Rig;
use tokio::task::JoinHandle;

use crate::{
    caller::{self, Effect, End, Event, Policy},
    exchange,
};

/// Callers at the same time.
pub const CALLERS_COUNT: u32 = 16;
/// Time between two orders of one caller.
const PAUSE: Duration = Duration::from_millis(5);

/// What all callers share.
struct Shared {
    policy: Policy,
    priority: String,
    places: Vec<SocketAddr>,
    /// Whether the balancer sends callers to a place.
    is_listed: Vec<AtomicBool>,
    orders_count: AtomicU32,
    is_closing: AtomicBool,
}

/// The running callers.
pub struct Load {
    shared: Arc<Shared>,
    callers: Vec<JoinHandle<Vec<(u32, End)>>>,
}

impl Load {
    /// Lets the balancer list an instance or not.
    pub fn list(&self, instance: usize, is_listed: bool) {
        self.shared.is_listed[instance].store(is_listed, Ordering::Relaxed);
    }

    /// Waits for the orders in flight and returns the end of each.
    pub async fn close(self) -> Vec<(u32, End)> {
        self.shared.is_closing.store(true, Ordering::Relaxed);
        let ends = join_all(self.callers).await;
        ends.into_iter().flatten().flatten().collect()
    }
}

/// Starts the callers.
pub fn spawn(rig: &Rig, policy: Policy, priority: &str) -> Load {
    let targets = rig.note.fleet.services.iter();
    let targets = targets.flat_map(|service| service.targets.iter().map(|one| one.address));
    let places: Vec<SocketAddr> = match policy {
        Policy::Tier => rig.instances.iter().map(|one| one.callers).collect(),
        Policy::Naive => targets.collect(),
    };
    let shared = Arc::new(Shared {
        policy,
        priority: priority.to_owned(),
        is_listed: places.iter().map(|_| AtomicBool::new(true)).collect(),
        places,
        orders_count: AtomicU32::new(0),
        is_closing: AtomicBool::new(false),
    });
    let callers = (0..CALLERS_COUNT).map(|_| actix_rt::spawn(call(shared.clone())));
    Load {
        callers: callers.collect(),
        shared,
    }
}

async fn call(shared: Arc<Shared>) -> Vec<(u32, End)> {
    let client = Client::builder().disable_redirects().finish();
    let mut ends = Vec::new();
    while !shared.is_closing.load(Ordering::Relaxed) {
        let number = shared.orders_count.fetch_add(1, Ordering::Relaxed);
        ends.push((number, order(&shared, &client, number).await));
        tokio::time::sleep(PAUSE).await;
    }
    ends
}

async fn order(shared: &Shared, client: &Client, number: u32) -> End {
    let mut order = caller::open(shared.policy, number);
    let mut event = Event::Started;
    let body = body(number);
    loop {
        event = match caller::reduce(&mut order, event) {
            Effect::FetchTicket { place } => {
                exchange::fetch_ticket(client, address(shared, place)).await
            }
            Effect::Send { place, ticket } => match ticket {
                Some(ticket) => {
                    let instance = address(shared, place);
                    exchange::send_to_instance(client, instance, &ticket, &shared.priority, &body)
                        .await
                }
                None => {
                    let call_id = format!("caller:1:{number}-{place}");
                    let target = address(shared, place);
                    exchange::send_to_target(client, target, &call_id, &body).await
                }
            },
            Effect::End(end) => return end,
        };
    }
}

/// Returns the address of a place, or of the next one that the balancer lists.
fn address(shared: &Shared, place: u32) -> SocketAddr {
    let places_count = shared.places.len();
    let first = place as usize % places_count;
    let mut order = (0..places_count).map(|step| (first + step) % places_count);
    let listed = order.find(|&place| shared.is_listed[place].load(Ordering::Relaxed));
    shared.places[listed.unwrap_or(first)]
}

/// Returns the content of an order, by which the ledger identifies it.
pub fn body(number: u32) -> String {
    format!("{{\"order\":{number}}}")
}
