//! The load: concurrent callers, each of which sends one order after the other until the
//! load is stopped.

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
    caller::{self, Effect, Event, FinalOutcome, Policy},
    http,
};

/// Number of concurrent callers.
pub const CALLERS_COUNT: u32 = 16;
/// Pause of a caller between two orders.
const ORDER_PAUSE: Duration = Duration::from_millis(5);

/// State shared by all callers.
struct Shared {
    policy: Policy,
    priority: String,
    endpoints: Vec<SocketAddr>,
    /// Whether the simulated load balancer routes callers to an endpoint, by index.
    is_listed: Vec<AtomicBool>,
    orders_count: AtomicU32,
    is_stopping: AtomicBool,
}

/// A running load.
pub struct Load {
    shared: Arc<Shared>,
    callers: Vec<JoinHandle<Vec<(u32, FinalOutcome)>>>,
}

impl Load {
    /// Adds an instance to the load balancer or removes it.
    pub fn set_listed(&self, instance: usize, is_listed: bool) {
        self.shared.is_listed[instance].store(is_listed, Ordering::Relaxed);
    }

    /// Stops sending, waits for orders in flight and returns the number and outcome of each order.
    pub async fn finish(self) -> Vec<(u32, FinalOutcome)> {
        self.shared.is_stopping.store(true, Ordering::Relaxed);
        let outcomes = join_all(self.callers).await;
        outcomes.into_iter().flatten().flatten().collect()
    }
}

/// Starts the callers.
pub fn spawn(rig: &Rig, policy: Policy, priority: &str) -> Load {
    let targets = rig.note.fleet.services.iter();
    let targets = targets.flat_map(|service| service.targets.iter().map(|one| one.address));
    let endpoints: Vec<SocketAddr> = match policy {
        Policy::Tier => rig.instances.iter().map(|one| one.callers).collect(),
        Policy::Naive => targets.collect(),
    };
    let shared = Arc::new(Shared {
        policy,
        priority: priority.to_owned(),
        is_listed: endpoints.iter().map(|_| AtomicBool::new(true)).collect(),
        endpoints,
        orders_count: AtomicU32::new(0),
        is_stopping: AtomicBool::new(false),
    });
    let callers = (0..CALLERS_COUNT).map(|_| actix_rt::spawn(run_caller(shared.clone())));
    Load {
        callers: callers.collect(),
        shared,
    }
}

async fn run_caller(shared: Arc<Shared>) -> Vec<(u32, FinalOutcome)> {
    let client = Client::builder().disable_redirects().finish();
    let mut outcomes = Vec::new();
    while !shared.is_stopping.load(Ordering::Relaxed) {
        let number = shared.orders_count.fetch_add(1, Ordering::Relaxed);
        outcomes.push((number, run_order(&shared, &client, number).await));
        tokio::time::sleep(ORDER_PAUSE).await;
    }
    outcomes
}

async fn run_order(shared: &Shared, client: &Client, number: u32) -> FinalOutcome {
    let mut order = caller::new_order(shared.policy, number);
    let mut event = Event::Started;
    let body = order_body(number);
    loop {
        event = match caller::reduce(&mut order, event) {
            Effect::FetchTicket { endpoint_index } => {
                http::fetch_ticket(client, endpoint_address(shared, endpoint_index)).await
            }
            Effect::Send {
                endpoint_index,
                ticket,
            } => match ticket {
                Some(ticket) => {
                    let instance = endpoint_address(shared, endpoint_index);
                    http::send_to_instance(client, instance, &ticket, &shared.priority, &body).await
                }
                None => {
                    let call_id = format!("caller:1:{number}-{endpoint_index}");
                    let target = endpoint_address(shared, endpoint_index);
                    http::send_to_target(client, target, &call_id, &body).await
                }
            },
            Effect::Finish(outcome) => return outcome,
        };
    }
}

/// Returns the address of an endpoint, or of the next one that the load balancer lists. The index
/// wraps around; if none is listed, its own endpoint is used.
fn endpoint_address(shared: &Shared, endpoint_index: u32) -> SocketAddr {
    let endpoints_count = shared.endpoints.len();
    let first = endpoint_index as usize % endpoints_count;
    let mut candidates = (0..endpoints_count).map(|step| (first + step) % endpoints_count);
    let listed = candidates.find(|&index| shared.is_listed[index].load(Ordering::Relaxed));
    shared.endpoints[listed.unwrap_or(first)]
}

/// Returns the body of an order, which identifies it in the ledger.
pub fn order_body(number: u32) -> String {
    format!("{{\"order\":{number}}}")
}
