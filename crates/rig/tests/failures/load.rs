//! Load during a failure, and checks of its results.

use std::{net::SocketAddr, time::Duration};

use awc::Client;
use rig::{Reply, Rig, RigError};
use tokio::{sync::watch, task::JoinHandle};

/// Time between a reply and the next query.
const QUERY_INTERVAL: Duration = Duration::from_millis(10);

/// A task that sends queries until it is closed.
pub(crate) struct Load {
    addresses: watch::Sender<Vec<SocketAddr>>,
    task: JoinHandle<Result<Vec<Reply>, RigError>>,
}

/// Starts a load that sends one query at a time to the callers' ports, round-robin.
pub(crate) fn spawn(client: &Client, addresses: Vec<SocketAddr>) -> Load {
    let (addresses, receiver) = watch::channel(addresses);
    let task = actix_rt::spawn(send_queries(client.clone(), receiver));
    Load { addresses, task }
}

/// Replaces the callers' ports that receive queries.
pub(crate) fn set_addresses(load: &Load, addresses: Vec<SocketAddr>) {
    load.addresses.send_replace(addresses);
}

impl Load {
    /// Stops the load and returns every reply.
    pub(crate) async fn close(self) -> Result<Vec<Reply>, RigError> {
        drop(self.addresses);
        self.task.await.expect("the load task does not panic")
    }
}

async fn send_queries(
    client: Client,
    addresses: watch::Receiver<Vec<SocketAddr>>,
) -> Result<Vec<Reply>, RigError> {
    let mut replies = Vec::new();
    while addresses.has_changed().is_ok() {
        let address = {
            let addresses = addresses.borrow();
            addresses[replies.len() % addresses.len()]
        };
        replies.push(rig::query_at(&client, address, "parts", &[], "{}").await?);
        actix_rt::time::sleep(QUERY_INTERVAL).await;
    }
    Ok(replies)
}

/// Sends `count` queries to one instance, one after the other, and returns the replies.
pub(crate) async fn query_repeatedly(
    rig: &Rig,
    instance: usize,
    count: u32,
) -> Result<Vec<Reply>, RigError> {
    let mut replies = Vec::new();
    for _ in 0..count {
        replies.push(rig::query(rig, instance, "parts", &[], "{}").await?);
    }
    Ok(replies)
}

/// Returns whether a query ran and its answer covers every service.
pub(crate) fn is_complete(reply: &Reply) -> bool {
    let coverage = &reply.body["coverage"];
    reply.status == 200 && coverage["answered_count"] == coverage["total_count"]
}

/// Returns the number of calls that the targets of a zone have received so far.
pub(crate) async fn received_count(rig: &Rig, zone: &str) -> Result<u64, RigError> {
    let reports = rig::target_reports(rig).await?;
    let targets = reports.as_object().into_iter().flatten();
    let in_zone = targets.filter(|(_, report)| report["zone"] == zone);
    let counts = in_zone.map(|(_, report)| &report["counts"]["received_count"]);
    Ok(counts.filter_map(|count| count.as_u64()).sum())
}

/// Returns the revision that an instance has accepted, or 0 if it has none.
pub(crate) async fn accepted_revision(rig: &Rig, instance: usize) -> Result<u64, RigError> {
    let state = rig::state(rig, instance).await?;
    Ok(state["fleet"]["note"]["revision"].as_u64().unwrap_or(0))
}
