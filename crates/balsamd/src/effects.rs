//! Runs the effects of the reducer.

use std::time::Duration;

use actix::{Addr, System};
use model::Effect;

use crate::{
    attempts, metrics, notes, peers,
    shell::{CallEnded, CallerReply, Shell},
    store, targets,
};

/// Time between the closing of the ports and the end of the process, in which what was accepted
/// before is read and answered.
const CLOSED_BEFORE_EXIT: Duration = Duration::from_millis(100);

/// Runs one effect.
pub fn run(shell: &mut Shell, address: &Addr<Shell>, effect: Effect) {
    match effect {
        Effect::Call(call) => match shell.pools.get(call.target) {
            Some(pool) => {
                let running = targets::spawn_call(address, pool, &call, &shell.origin);
                shell.calls.insert(call.call, running);
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
            targets::spawn_cancel(pool, call, &shell.origin);
        }
        Effect::Abandon { call, .. } => {
            let Some(running) = shell.calls.remove(call) else {
                return;
            };
            running.abort();
            let result = Err(model::CallFailure::ConnectionLost);
            address.do_send(CallEnded { call, result });
        }
        Effect::Answer { caller, answer } => {
            let Some(CallerReply::Answer(reply)) = shell.callers.remove(caller) else {
                return;
            };
            // The caller may have closed its connection; then nobody needs the answer.
            let _ = reply.send(*answer);
        }
        Effect::Tickets { caller, tickets } => {
            let Some(CallerReply::Tickets(reply)) = shell.callers.remove(caller) else {
                return;
            };
            // The caller may have closed its connection; its tickets expire unused.
            let _ = reply.send(tickets);
        }
        Effect::Pool {
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
                .insert(target, targets::open(address, connections_count));
        }
        Effect::AskLoad {
            target,
            connections_count,
        } => {
            let Some(pool) = shell.pools.get(target) else {
                return;
            };
            targets::spawn_probe(address, pool, target, connections_count);
        }
        Effect::Send {
            address: peer,
            message,
        } => {
            peers::send(&mut shell.outboxes, address, peer, &message);
        }
        Effect::Reconnect { address: peer } => peers::disconnect(&mut shell.outboxes, peer),
        Effect::ReadPlatform(read) => {
            let settings = &shell.state.settings.platform;
            notes::spawn_read(address, &shell.platform, settings, read);
        }
        Effect::Attempt(call) => {
            let attempt = call.attempt;
            let carrier = attempts::send(
                &mut shell.idle,
                address,
                &shell.client,
                &mut shell.last_head,
                call,
            );
            shell.attempts.insert(attempt, carrier);
        }
        Effect::DropAttempt { attempt, .. } => {
            if let Some(carrier) = shell.attempts.remove(attempt) {
                attempts::close(carrier);
            }
        }
        Effect::Disconnect { target } => {
            // Idle connections close when nobody can send on them any more.
            shell.idle.remove(target);
        }
        Effect::Respond { caller, response } => {
            let Some(CallerReply::Http(reply)) = shell.callers.remove(caller) else {
                return;
            };
            // The caller may have closed its connection; then nobody needs the response.
            let _ = reply.send(*response);
        }
        Effect::ReadStore(read) => {
            if let Some(gateway) = &shell.state.settings.gateway {
                store::spawn_read(address, &shell.client, gateway.store, read);
            }
        }
        Effect::SetTimer { timer, after } => {
            let Some(timers) = &shell.timers else { return };
            // The task that keeps the timers lives as long as the shell.
            let _ = timers.send((timer, after));
        }
        Effect::Log(line) => logs::write(&line),
        Effect::Count {
            counter,
            amount_count,
        } => {
            metrics::add(&mut shell.metrics, counter, amount_count);
        }
        Effect::Time { timing, took } => metrics::record(&mut shell.metrics, timing, took),
        Effect::Exit => exit(shell),
    }
}

/// Ends the process. The ports close first, so that callers turn elsewhere instead of sending what
/// nobody reads any more.
fn exit(shell: &Shell) {
    if shell.close_ports.send_replace(true) {
        return;
    }
    let system = System::current();
    actix_rt::spawn(async move {
        actix_rt::time::sleep(CLOSED_BEFORE_EXIT).await;
        system.stop();
    });
}
