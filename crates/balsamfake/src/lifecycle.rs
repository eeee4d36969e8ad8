//! The lifecycle of a target's process: connections, crashes and restarts.

use model::{Level, LogLine, TargetPhase};

use crate::{
    effect::{Effect, Timer},
    event::{ConnectionKey, TargetKey},
    ledger::{self, ExecutionState},
    state::State,
};

/// Opens the port of a target.
pub fn listen(state: &State, key: TargetKey, out: &mut Vec<Effect>) {
    let Some(target) = state.targets.get(key) else {
        return;
    };
    out.push(Effect::Listen {
        target: key,
        address: target.address,
    });
}

/// Accepts a connection, or closes it if the target is down or at its connection limit.
pub fn accept_connection(
    state: &mut State,
    connection: ConnectionKey,
    key: TargetKey,
    out: &mut Vec<Effect>,
) {
    let open_count = open_connections_count(state, key);
    let Some(target) = state.targets.get_mut(key) else {
        return;
    };
    if !target.is_up || open_count >= u64::from(target.behaviour.connections_max_count) {
        target.counts.connections_refused_count += 1;
        out.push(Effect::CloseConnection { connection });
        return;
    }
    let counts = &mut target.counts;
    counts.connections_opened_count += 1;
    counts.connections_peak_count = counts.connections_peak_count.max(open_count + 1);
    state.connections.insert(connection, key);
    out.push(Effect::ServeConnection {
        connection,
        delay: target.behaviour.connect_cost,
    });
}

/// Returns the number of open connections to a target.
pub fn open_connections_count(state: &State, key: TargetKey) -> u64 {
    let open = state.connections.values().filter(|&&target| target == key);
    open.count() as u64
}

/// Crashes a target: all its calls and connections are dropped, and a restart is scheduled.
///
/// Does nothing if the target is already down.
pub fn crash(state: &mut State, key: TargetKey, out: &mut Vec<Effect>) {
    let Some(target) = state.targets.get_mut(key).filter(|target| target.is_up) else {
        return;
    };
    target.is_up = false;
    target.counts.crashes_count += 1;
    let lost = std::mem::take(&mut target.running).into_iter();
    let lost = lost.chain(std::mem::take(&mut target.queue));
    for request in lost {
        if let Some(call) = state.calls.remove(request) {
            ledger::record_end(
                &mut state.ledger,
                call.ledger_index,
                ExecutionState::Crashed,
            );
        }
        out.push(Effect::DropRequest { request });
    }
    state.connections.retain(|_, &mut target| target != key);
    out.push(Effect::CloseTarget { target: key });
    out.push(Effect::StartTimer {
        timer: Timer::Restart(key),
        delay: target.behaviour.restart_after,
    });
    let line = LogLine::new(Level::Info, "target-crashed").with("target", target.name.as_str());
    out.push(Effect::Log(line));
}

/// Restarts a crashed target in cold start, as a new incarnation.
pub fn restart(state: &mut State, key: TargetKey, out: &mut Vec<Effect>) {
    let Some(target) = state.targets.get_mut(key).filter(|target| !target.is_up) else {
        return;
    };
    target.is_up = true;
    target.incarnation += 1;
    target.phase = TargetPhase::Cold;
    target.warm_up_calls_count = 0;
    listen(state, key, out);
}
