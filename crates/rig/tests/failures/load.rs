//! Queries that arrive while something fails.

use std::{net::SocketAddr, time::Duration};

use awc::Client;
use rig::{Reply, Rig, RigError};
use tokio::{sync::watch, task::JoinHandle};

/// Time between two queries.
const INTERVAL: Duration = Duration::from_millis(10);

/// A running load.
pub(crate) struct Load {
    rotation: watch::Sender<Vec<SocketAddr>>,
    task: JoinHandle<Result<Vec<Reply>, RigError>>,
}

/// Sends queries to the callers' ports in turn until the load is closed.
pub(crate) fn spawn(client: &Client, rotation: Vec<SocketAddr>) -> Load {
    let (rotation, places) = watch::channel(rotation);
    let task = actix_rt::spawn(send(client.clone(), places));
    Load { rotation, task }
}

/// Changes the ports that receive queries.
pub(crate) fn rotate(load: &Load, rotation: Vec<SocketAddr>) {
    load.rotation.send_replace(rotation);
}

impl Load {
    /// Ends the load and returns every reply.
    pub(crate) async fn close(self) -> Result<Vec<Reply>, RigError> {
        drop(self.rotation);
        self.task.await.expect("the load does not panic")
    }
}

async fn send(
    client: Client,
    places: watch::Receiver<Vec<SocketAddr>>,
) -> Result<Vec<Reply>, RigError> {
    let mut replies = Vec::new();
    while places.has_changed().is_ok() {
        let address = {
            let places = places.borrow();
            places[replies.len() % places.len()]
        };
        replies.push(rig::query_at(&client, address, "parts", &[], "{}").await?);
        actix_rt::time::sleep(INTERVAL).await;
    }
    Ok(replies)
}

/// Sends queries to one instance, one after the other, and returns the replies.
pub(crate) async fn ask(rig: &Rig, instance: usize, count: u32) -> Result<Vec<Reply>, RigError> {
    let mut replies = Vec::new();
    for _ in 0..count {
        replies.push(rig::query(rig, instance, "parts", &[], "{}").await?);
    }
    Ok(replies)
}

/// Tells whether a query ran and every service is part of the answer.
pub(crate) fn is_complete(reply: &Reply) -> bool {
    let coverage = &reply.body["coverage"];
    reply.status == 200 && coverage["answered_count"] == coverage["total_count"]
}

/// Returns the calls that the targets of a zone have received so far.
pub(crate) async fn received_count(rig: &Rig, zone: &str) -> Result<u64, RigError> {
    let reports = rig::target_reports(rig).await?;
    let targets = reports.as_object().into_iter().flatten();
    let in_zone = targets.filter(|(_, report)| report["zone"] == zone);
    let counts = in_zone.map(|(_, report)| &report["counts"]["received_count"]);
    Ok(counts.filter_map(|count| count.as_u64()).sum())
}

/// Returns the revision that an instance has accepted, or 0.
pub(crate) async fn revision(rig: &Rig, instance: usize) -> Result<u64, RigError> {
    let state = rig::state(rig, instance).await?;
    Ok(state["fleet"]["note"]["revision"].as_u64().unwrap_or(0))
}
