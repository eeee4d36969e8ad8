//! Timers that the reducer sets: one task holds them in a delay queue.

use std::{future::poll_fn, time::Duration};

use actix::Addr;
use model::{SPAN_MAX, Timer};
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};
use tokio_util::time::DelayQueue;

use crate::{
    shell::{Shell, TimerExpired},
    supervise,
};

/// Sender of timers to set, each with its delay.
pub type TimerSender = UnboundedSender<(Timer, Duration)>;

/// Starts the task that runs the timers; it ends when the sender is dropped.
pub fn spawn(shell: Addr<Shell>) -> TimerSender {
    let (sender, receiver) = mpsc::unbounded_channel();
    actix_rt::spawn(run(shell, receiver));
    sender
}

async fn run(shell: Addr<Shell>, mut receiver: UnboundedReceiver<(Timer, Duration)>) {
    let _guard = supervise::exit_on_panic();
    let mut queue = DelayQueue::new();
    loop {
        tokio::select! {
            request = receiver.recv() => {
                let Some((timer, delay)) = request else { return };
                // A delay beyond the range of the queue would make it panic.
                queue.insert(timer, delay.min(SPAN_MAX));
            }
            Some(due) = poll_fn(|context| queue.poll_expired(context)), if !queue.is_empty() => {
                shell.do_send(TimerExpired(due.into_inner()));
            }
        }
    }
}
