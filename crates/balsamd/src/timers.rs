//! The timers of the reducer.

use std::{future::poll_fn, time::Duration};

use actix::Addr;
use model::Timer;
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};
use tokio_util::time::DelayQueue;

use crate::shell::{Shell, TimerDue};

/// Where to set timers.
pub type Timers = UnboundedSender<(Timer, Duration)>;

/// Starts the task that keeps the timers; it ends when the sender is dropped.
pub fn spawn(shell: Addr<Shell>) -> Timers {
    let (sender, receiver) = mpsc::unbounded_channel();
    actix_rt::spawn(keep(shell, receiver));
    sender
}

async fn keep(shell: Addr<Shell>, mut receiver: UnboundedReceiver<(Timer, Duration)>) {
    let mut queue = DelayQueue::new();
    loop {
        tokio::select! {
            request = receiver.recv() => {
                let Some((timer, after)) = request else { return };
                queue.insert(timer, after);
            }
            Some(due) = poll_fn(|context| queue.poll_expired(context)), if !queue.is_empty() => {
                shell.do_send(TimerDue(due.into_inner()));
            }
        }
    }
}
