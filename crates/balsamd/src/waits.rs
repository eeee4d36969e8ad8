//! Operators' requests that wait until the instance is ready at a revision.

use std::time::Duration;

use actix::{AsyncContext, Context, Handler, Message};
use model::Revision;
use slotmap::{SlotMap, new_key_type};
use tokio::sync::oneshot;

use crate::shell::Shell;

new_key_type! {
    /// A request that waits.
    pub struct WaitKey;
}

/// Requests that wait.
pub type Waits = SlotMap<WaitKey, Wait>;

/// A request that waits until the instance is ready.
#[derive(Debug)]
pub struct Wait {
    at_least_revision: Revision,
    reply: oneshot::Sender<bool>,
}

/// Asks whether the instance is ready to serve, waiting for it if need be.
#[derive(Debug)]
#[derive(Message)]
#[rtype(result = "()")]
pub struct ReadyWanted {
    /// Revision that the instance must have accepted.
    pub at_least_revision: Revision,
    /// Longest time to wait.
    pub wait: Duration,
    /// Where the reply goes.
    pub reply: oneshot::Sender<bool>,
}

impl Handler<ReadyWanted> for Shell {
    type Result = ();

    fn handle(&mut self, message: ReadyWanted, context: &mut Context<Shell>) {
        let wait = Wait {
            at_least_revision: message.at_least_revision,
            reply: message.reply,
        };
        let is_met = is_met(self, &wait);
        if is_met || message.wait.is_zero() {
            answer(wait, is_met);
            return;
        }
        let key = self.waits.insert(wait);
        context.run_later(message.wait, move |shell, _| {
            if let Some(wait) = shell.waits.remove(key) {
                answer(wait, false);
            }
        });
    }
}

/// Answers every request whose wait is over.
pub fn settle(shell: &mut Shell) {
    if shell.waits.is_empty() {
        return;
    }
    let met = shell
        .waits
        .iter()
        .filter_map(|(key, wait)| is_met(shell, wait).then_some(key));
    let met: Vec<WaitKey> = met.collect();
    for key in met {
        if let Some(wait) = shell.waits.remove(key) {
            answer(wait, true);
        }
    }
}

fn is_met(shell: &Shell, wait: &Wait) -> bool {
    tier::is_ready(&shell.state) && tier::revision(&shell.state) >= wait.at_least_revision
}

fn answer(wait: Wait, is_ready: bool) {
    // The operator may have closed the connection; then nobody needs the answer.
    let _ = wait.reply.send(is_ready);
}
