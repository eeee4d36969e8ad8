//! What follows the end of a query: its answer, and the start of waiting queries.

use std::time::Instant;

use model::{Effect, Message, Requester};
use query::Finished;

use crate::State;

/// Answers a finished query and starts as many waiting queries as there is room for.
pub(crate) fn settle(
    state: &mut State,
    now: Instant,
    finished: Option<Finished>,
    out: &mut Vec<Effect>,
) {
    let Some(finished) = finished else { return };
    answer(finished, out);
    admit::finished(&mut state.admission);
    start_waiting(state, now, out);
    exit_if_idle(state, out);
}

/// Sends an answer to whoever waits for it.
pub(crate) fn answer(finished: Finished, out: &mut Vec<Effect>) {
    let answer = Box::new(finished.answer);
    match finished.requester {
        Requester::Caller(caller) => out.push(Effect::Answer { caller, answer }),
        Requester::Peer {
            address,
            forward_id,
        } => {
            let message = Message::ForwardAnswer { forward_id, answer };
            out.push(Effect::Send { address, message });
        }
    }
}

/// Ends the process if it is shutting down and nothing waits or runs.
pub(crate) fn exit_if_idle(state: &State, out: &mut Vec<Effect>) {
    if state.fleet.is_leaving && state.queries.queries.is_empty() {
        out.push(Effect::Exit);
    }
}

fn start_waiting(state: &mut State, now: Instant, out: &mut Vec<Effect>) {
    while let Some(key) = admit::next(&mut state.admission, &state.settings.admit) {
        let finished = query::start(&mut state.queries, &mut state.routes, now, key, out);
        let Some(finished) = finished else { continue };
        answer(finished, out);
        admit::finished(&mut state.admission);
    }
}
