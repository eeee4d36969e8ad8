//! A reducer whose events and clock are controlled by the test.

use std::time::{Duration, Instant};

use crate::{
    event::{Effect, Event, RequestKey},
    options::Options,
    reduce::reduce,
    state::{self, State},
};

pub(crate) fn options() -> Options {
    Options {
        instances: vec!["127.0.0.1:1".parse().expect("an address")],
        operators: vec!["127.0.0.1:2".parse().expect("an address")],
        fronts: vec!["parts".to_owned()],
        service: Some("parts-1".to_owned()),
        direct: None,
        rate_per_s: 100.0,
        duration: Duration::from_secs(1),
        timeout: Duration::from_millis(500),
        urgent_percent: 0,
        deferrable_percent: 0,
        once_percent: 0,
        seed: 3,
        is_echo_checked: false,
        is_quiet: true,
        json: None,
        svg: None,
    }
}

pub(crate) fn new_state(options: &Options, now: Instant) -> State {
    state::new(options, now).expect("the histograms have valid bounds")
}

pub(crate) fn process_event(state: &mut State, now: Instant, event: Event<'_>) -> Vec<Effect> {
    let mut out = Vec::new();
    reduce(state, now, event, &mut out);
    out
}

pub(crate) fn sent_requests(out: &[Effect]) -> Vec<RequestKey> {
    let sent = out.iter().filter_map(|effect| match effect {
        Effect::Send(outgoing) => Some(outgoing.request),
        _ => None,
    });
    sent.collect()
}
