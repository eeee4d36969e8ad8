//! Long-polling readiness requests: they wait until the instance is ready at a revision.

use std::time::Duration;

use actix::{AsyncContext, Context, Handler, Message};
use model::Revision;
use slotmap::{SlotMap, new_key_type};
use tokio::sync::oneshot;

use crate::shell::Shell;

new_key_type! {
    /// Key of a waiting readiness request.
    pub struct ReadyWaiterKey;
}

/// Waiting readiness requests.
pub type ReadyWaiters = SlotMap<ReadyWaiterKey, ReadyWaiter>;

/// A readiness request that waits for its answer.
#[derive(Debug)]
pub struct ReadyWaiter {
    at_least_revision: Revision,
    reply: oneshot::Sender<bool>,
}

/// Asks whether the instance is ready, and waits until it is or the time-out expires.
#[derive(Debug)]
#[derive(Message)]
#[rtype(result = "()")]
pub struct AwaitReady {
    /// Lowest configuration revision that the instance must have accepted; 0 accepts any.
    pub at_least_revision: Revision,
    /// Longest wait; with zero the answer comes at once.
    pub wait: Duration,
    /// Receives whether the instance is ready.
    pub reply: oneshot::Sender<bool>,
}

impl Handler<AwaitReady> for Shell {
    type Result = ();

    fn handle(&mut self, message: AwaitReady, context: &mut Context<Shell>) {
        let waiter = ReadyWaiter {
            at_least_revision: message.at_least_revision,
            reply: message.reply,
        };
        let is_ready = is_ready_for(self, &waiter);
        if is_ready || message.wait.is_zero() {
            answer(waiter, is_ready);
            return;
        }
        let key = self.ready_waiters.insert(waiter);
        context.run_later(message.wait, move |shell, _| {
            if let Some(waiter) = shell.ready_waiters.remove(key) {
                answer(waiter, false);
            }
        });
    }
}

/// Answers the waiting requests whose condition is now met; called after every event.
pub fn answer_ready(shell: &mut Shell) {
    if shell.ready_waiters.is_empty() {
        return;
    }
    let ready = shell
        .ready_waiters
        .iter()
        .filter_map(|(key, waiter)| is_ready_for(shell, waiter).then_some(key));
    let ready: Vec<ReadyWaiterKey> = ready.collect();
    for key in ready {
        if let Some(waiter) = shell.ready_waiters.remove(key) {
            answer(waiter, true);
        }
    }
}

fn is_ready_for(shell: &Shell, waiter: &ReadyWaiter) -> bool {
    tier::is_ready(&shell.state) && tier::revision(&shell.state) >= waiter.at_least_revision
}

fn answer(waiter: ReadyWaiter, is_ready: bool) {
    // Fails if the operator has closed the connection; the answer is then not needed.
    let _ = waiter.reply.send(is_ready);
}
