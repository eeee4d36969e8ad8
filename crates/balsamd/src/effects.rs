//! Execution of the effects that the reducer returns.

use std::{sync::Arc, time::Duration};

use actix::{Addr, System};
use model::Effect;

use crate::{
    attempts, calls, metrics, peers, platform_reads,
    shell::{CallEnded, ReplySender, Shell},
    store_reads, supervise,
};

/// Time after the close signal in which callers whose connections have been accepted may still
/// send a request, which is refused.
const EXIT_DELAY_MIN: Duration = Duration::from_millis(100);
/// Longest time between the close signal and the exit of the process. Connections that carry a
/// request end with its response, so what is open after this time is idle or does not read. The
/// host may kill the process 500 ms after the signal.
const EXIT_DELAY_MAX: Duration = Duration::from_millis(400);

/// Runs one effect.
pub fn run(shell: &mut Shell, address: &Addr<Shell>, effect: Effect) {
    match effect {
        Effect::Call(call) => match shell.pools.get(call.target) {
            Some(pool) => {
                let task = calls::spawn_call(address, pool, &call, &shell.call_id_prefix);
                shell.calls.insert(call.call, task);
            }
            None => {
                let result = Err(model::CallFailure::NotSent);
                address.do_send(CallEnded {
                    call: call.call,
                    result,
                });
            }
        },
        Effect::Cancel { call, target } => {
            let Some(pool) = shell.pools.get(target) else {
                return;
            };
            calls::spawn_cancel(pool, call, &shell.call_id_prefix);
        }
        Effect::DropCall { call, .. } => {
            let Some(task) = shell.calls.remove(call) else {
                return;
            };
            task.abort();
            let result = Err(model::CallFailure::ConnectionLost);
            address.do_send(CallEnded { call, result });
        }
        Effect::Answer { caller, answer } => {
            let Some(ReplySender::Answer(reply)) = shell.reply_senders.remove(caller) else {
                return;
            };
            // Fails if the caller has closed its connection; the answer is then not needed.
            let _ = reply.send(*answer);
        }
        Effect::Tickets { caller, tickets } => {
            let Some(ReplySender::Tickets(reply)) = shell.reply_senders.remove(caller) else {
                return;
            };
            // Fails if the caller has closed its connection; its tickets then expire unused.
            let _ = reply.send(tickets);
        }
        Effect::ResizePool {
            target,
            address,
            connections_count,
        } => {
            if connections_count == 0 {
                shell.pools.remove(target);
                return;
            }
            shell
                .pools
                .insert(target, calls::open_pool(address, connections_count));
        }
        Effect::ProbeLoad {
            target,
            connections_count,
        } => {
            let Some(pool) = shell.pools.get(target) else {
                return;
            };
            calls::spawn_probe(address, pool, target, connections_count);
        }
        Effect::Send {
            address: peer,
            mut message,
        } => {
            if let model::Message::Relay(relay) = &mut message {
                relay.request = Arc::new(platform::encode_relayed(&relay.request));
            }
            peers::send(&mut shell.send_queues, address, peer, &message);
        }
        Effect::Reconnect { address: peer } => peers::disconnect(&mut shell.send_queues, peer),
        Effect::ReadPlatform(read) => {
            let settings = &shell.state.settings.platform;
            platform_reads::spawn_read(address, &shell.platform_client, settings, read);
        }
        Effect::Attempt(call) => {
            let attempt = call.attempt;
            let handle = attempts::send(
                &mut shell.idle_connections,
                address,
                &shell.connection_config,
                &mut shell.head_cache,
                call,
            );
            shell.attempts.insert(attempt, handle);
        }
        Effect::DropAttempt { attempt, .. } => {
            if let Some(handle) = shell.attempts.remove(attempt) {
                attempts::close(handle);
            }
        }
        Effect::Disconnect { target } => {
            // Dropping the handles, which hold the only senders, closes idle connections.
            shell.idle_connections.remove(target);
        }
        Effect::Respond { caller, response } => {
            let Some(ReplySender::Http(reply)) = shell.reply_senders.remove(caller) else {
                return;
            };
            // Fails if the caller has closed its connection; the response is then not needed.
            let _ = reply.send(*response);
        }
        Effect::ReadStore { read, timeout } => {
            if let Some(gateway) = &shell.state.settings.gateway {
                let config = &shell.connection_config;
                store_reads::spawn_read(address, config, gateway.store, read, timeout);
            }
        }
        Effect::SetTimer { timer, after } => {
            let Some(timers) = &shell.timers else { return };
            // Cannot fail: the timer task runs as long as the shell holds the sender.
            let _ = timers.send((timer, after));
        }
        Effect::Log(line) => logs::write(&line),
        Effect::Count {
            counter,
            amount_count,
        } => {
            metrics::add(&mut shell.metrics, counter, amount_count);
        }
        Effect::RecordTiming { timing, took } => metrics::record(&mut shell.metrics, timing, took),
        Effect::Exit => exit(shell),
    }
}

/// Exits the process once the callers' connections have ended. Meanwhile the ports accept no
/// connections, so that callers connect elsewhere. Repeated calls have no effect.
fn exit(shell: &Shell) {
    if shell.close_listeners.send_replace(true) {
        return;
    }
    let system = System::current();
    let connections = shell.connections.clone();
    actix_rt::spawn(async move {
        let _guard = supervise::exit_on_panic();
        actix_rt::time::sleep(EXIT_DELAY_MIN).await;
        let rest = EXIT_DELAY_MAX - EXIT_DELAY_MIN;
        // Elapses if connections are idle.
        let _ = actix_rt::time::timeout(rest, connections.all_closed()).await;
        system.stop();
    });
}
