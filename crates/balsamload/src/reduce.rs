//! The reducer: sends arrivals when they are due and counts outcomes.

use std::time::{Duration, Instant};

use model::Outcome;

use crate::{
    event::{AnswerSummary, CallCounters, Effect, Event, OutgoingRequest, RequestKey},
    schedule::{self, Arrival},
    state::{InFlightRequest, Second, State},
};

/// Tickets fetched at a time.
const TICKET_BATCH_COUNT: u32 = 100;
/// More tickets are fetched when fewer than this are unused.
const TICKET_REFILL_COUNT: usize = 50;

/// Applies an event to the state and appends the resulting effects.
pub fn reduce(state: &mut State, now: Instant, event: Event<'_>, out: &mut Vec<Effect>) {
    match event {
        Event::Started => {
            if state.options.once_percent > 0 {
                for instance in 0..state.options.instances.len() {
                    fetch_tickets(state, instance, out);
                }
            }
            out.push(Effect::ReadCounters);
            out.push(Effect::StartSecondTimer(Duration::from_secs(1)));
            send_due(state, now, out);
        }
        Event::ArrivalDue => send_due(state, now, out),
        Event::SecondElapsed => {
            out.push(Effect::ShowProgress);
            out.push(Effect::ReadCounters);
            if !state.is_finished {
                out.push(Effect::StartSecondTimer(Duration::from_secs(1)));
            }
        }
        Event::TicketsReceived { instance, tickets } => {
            receive_tickets(state, now, instance, tickets, out)
        }
        Event::Answered { request, answer } => {
            let Some(request) = state.in_flight.remove(request) else {
                return;
            };
            record_answer(state, now, request, &answer);
        }
        Event::DirectDone { request } => {
            let Some(request) = state.in_flight.remove(request) else {
                return;
            };
            let elapsed = now.saturating_duration_since(request.sent_at);
            state.stats.direct.saturating_record(micros(elapsed));
        }
        Event::Failed { request } => {
            if state.in_flight.remove(request).is_some() {
                state.stats.outcomes.failed_count += 1;
                current_second(state, now).unanswered_count += 1;
            }
        }
        Event::CountersRead { instance, counters } => {
            record_counters(state, now, instance, counters)
        }
    }
    finish_if_done(state, out);
}

/// Sends every arrival that is due, each with a direct call if asked for, and starts the timer for
/// the next one.
fn send_due(state: &mut State, now: Instant, out: &mut Vec<Effect>) {
    while let Some(arrival) = schedule::pop_due(&mut state.schedule, &state.options, now) {
        if arrival.is_at_most_once {
            state.tickets[arrival.instance]
                .waiting_arrivals
                .push(arrival);
            send_waiting(state, now, arrival.instance, out);
        } else {
            send(state, now, &arrival, None, out);
        }
        if state.options.direct.is_some() {
            let request = track_request(state, now, arrival.due_at);
            let number = arrival.number;
            out.push(Effect::CallDirect { request, number });
        }
    }
    if schedule::is_exhausted(&state.schedule) {
        return;
    }
    let delay = state.schedule.next_due_at.saturating_duration_since(now);
    out.push(Effect::StartArrivalTimer(delay));
}

fn send(
    state: &mut State,
    now: Instant,
    arrival: &Arrival,
    ticket: Option<String>,
    out: &mut Vec<Effect>,
) {
    let request = track_request(state, now, arrival.due_at);
    out.push(Effect::Send(OutgoingRequest {
        request,
        instance: arrival.instance,
        front: arrival.front,
        number: arrival.number,
        priority: arrival.priority,
        ticket,
    }));
}

fn track_request(state: &mut State, now: Instant, due_at: Instant) -> RequestKey {
    state.in_flight.insert(InFlightRequest {
        due_at,
        sent_at: now,
    })
}

/// Sends waiting arrivals while there are unused tickets, and fetches more if few are left.
fn send_waiting(state: &mut State, now: Instant, instance: usize, out: &mut Vec<Effect>) {
    while let Some(ticket) = state.tickets[instance].unused.pop() {
        if state.tickets[instance].waiting_arrivals.is_empty() {
            state.tickets[instance].unused.push(ticket);
            break;
        }
        let arrival = state.tickets[instance].waiting_arrivals.remove(0);
        send(state, now, &arrival, Some(ticket), out);
    }
    if state.tickets[instance].unused.len() < TICKET_REFILL_COUNT {
        fetch_tickets(state, instance, out);
    }
}

fn fetch_tickets(state: &mut State, instance: usize, out: &mut Vec<Effect>) {
    let tickets = &mut state.tickets[instance];
    if std::mem::replace(&mut tickets.is_fetching, true) {
        return;
    }
    out.push(Effect::FetchTickets {
        instance,
        count: TICKET_BATCH_COUNT,
    });
}

/// Stores fetched tickets and sends waiting arrivals.
///
/// If the fetch failed, the waiting arrivals are counted as failed.
fn receive_tickets(
    state: &mut State,
    now: Instant,
    instance: usize,
    tickets: &[String],
    out: &mut Vec<Effect>,
) {
    state.tickets[instance].is_fetching = false;
    if tickets.is_empty() {
        let failed = std::mem::take(&mut state.tickets[instance].waiting_arrivals);
        state.stats.outcomes.failed_count += failed.len() as u64;
        current_second(state, now).unanswered_count += failed.len() as u64;
        return;
    }
    state.tickets[instance].unused.extend_from_slice(tickets);
    if !state.tickets[instance].waiting_arrivals.is_empty() {
        send_waiting(state, now, instance, out);
    }
}

fn record_answer(
    state: &mut State,
    now: Instant,
    request: InFlightRequest,
    answer: &AnswerSummary,
) {
    let latency_us = micros(now.saturating_duration_since(request.due_at));
    let service_us = micros(now.saturating_duration_since(request.sent_at));
    let stats = &mut state.stats;
    stats.outcomes.mixed_up_count += u64::from(answer.mixed_up_count);
    stats.outcomes.untrue_count += u64::from(!answer.is_coverage_consistent);
    let is_answered = match answer.outcome {
        Outcome::Ran if answer.answered_count == answer.total_count => {
            stats.outcomes.complete_count += 1;
            true
        }
        Outcome::Ran => {
            stats.outcomes.partial_count += 1;
            true
        }
        Outcome::NotRun(reason) => {
            *stats
                .outcomes
                .refusals
                .entry(model::variant_name(&reason))
                .or_default() += 1;
            false
        }
        Outcome::Unknown(reason) => {
            *stats
                .outcomes
                .unknowns
                .entry(model::variant_name(&reason))
                .or_default() += 1;
            false
        }
    };
    if !is_answered {
        current_second(state, now).unanswered_count += 1;
        return;
    }
    stats.latency.saturating_record(latency_us);
    stats.service_time.saturating_record(service_us);
    let second = current_second(state, now);
    second.answers_count += 1;
    second.answered_count += u64::from(answer.answered_count);
    second.total_count += u64::from(answer.total_count);
    second.latency_max_us = second.latency_max_us.max(latency_us);
}

/// Adds the increase of an instance's counters since the last read to the current second.
fn record_counters(state: &mut State, now: Instant, instance: usize, counters: CallCounters) {
    let Some(last) = state.last_counters.get_mut(instance) else {
        return;
    };
    let Some(before) = last.replace(counters) else {
        return;
    };
    // A decrease means that the instance has restarted and its counters with it.
    let increase = |after: f64, before: f64| {
        if after < before {
            after
        } else {
            after - before
        }
    };
    let second = &mut current_second(state, now).calls;
    second.primary_count += increase(counters.primary_count, before.primary_count);
    second.hedge_count += increase(counters.hedge_count, before.hedge_count);
    second.retry_count += increase(counters.retry_count, before.retry_count);
}

fn finish_if_done(state: &mut State, out: &mut Vec<Effect>) {
    let is_waiting = state
        .tickets
        .iter()
        .any(|tickets| !tickets.waiting_arrivals.is_empty());
    let is_done =
        schedule::is_exhausted(&state.schedule) && state.in_flight.is_empty() && !is_waiting;
    if !is_done || state.is_finished {
        return;
    }
    state.is_finished = true;
    out.push(Effect::Finish);
}

fn current_second(state: &mut State, now: Instant) -> &mut Second {
    let elapsed = now.saturating_duration_since(state.started_at).as_secs();
    let index = usize::try_from(elapsed).unwrap_or(usize::MAX);
    let seconds = &mut state.stats.seconds;
    if seconds.len() <= index {
        seconds.resize(index + 1, Second::default());
    }
    &mut seconds[index]
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
