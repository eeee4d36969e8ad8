//! The reducer: what to send, and how to count what comes back.

use std::time::{Duration, Instant};

use model::Outcome;

use crate::{
    event::{AnswerSummary, Calls, Effect, Event, Outgoing, RequestKey},
    schedule::{self, Arrival},
    state::{Second, Sent, State},
};

/// Tickets that are asked for at a time.
const TICKETS_COUNT: u32 = 100;
/// Tickets left at which further ones are asked for.
const TICKETS_LOW_COUNT: usize = 50;

/// Takes in one event and appends the effects that follow from it.
pub fn reduce(state: &mut State, now: Instant, event: Event<'_>, out: &mut Vec<Effect>) {
    match event {
        Event::Started => {
            if state.options.once_percent > 0 {
                for instance in 0..state.options.instances.len() {
                    ask_for_tickets(state, instance, out);
                }
            }
            out.push(Effect::ReadCalls);
            out.push(Effect::WakeForSecond(Duration::from_secs(1)));
            arrivals(state, now, out);
        }
        Event::ArrivalDue => arrivals(state, now, out),
        Event::SecondDue => {
            out.push(Effect::Progress);
            out.push(Effect::ReadCalls);
            if !state.is_finished {
                out.push(Effect::WakeForSecond(Duration::from_secs(1)));
            }
        }
        Event::Tickets { instance, tickets } => issued(state, now, instance, tickets, out),
        Event::Answered { request, answer } => {
            let Some(sent) = state.sent.remove(request) else {
                return;
            };
            count_answer(state, now, sent, &answer);
        }
        Event::DirectDone { request } => {
            let Some(sent) = state.sent.remove(request) else {
                return;
            };
            let took = now.saturating_duration_since(sent.sent_at);
            state.tally.direct.saturating_record(micros(took));
        }
        Event::Failed { request } => {
            if state.sent.remove(request).is_some() {
                state.tally.ends.failed_count += 1;
                second(state, now).unanswered_count += 1;
            }
        }
        Event::CallsRead { instance, calls } => count_calls(state, now, instance, calls),
    }
    finish_if_done(state, out);
}

/// Sends every request that is due and asks to be woken for the next one.
fn arrivals(state: &mut State, now: Instant, out: &mut Vec<Effect>) {
    while let Some(arrival) = schedule::next(&mut state.schedule, &state.options, now) {
        if arrival.is_once {
            state.tickets[arrival.instance].waiting.push(arrival);
            send_waiting(state, now, arrival.instance, out);
        } else {
            send(state, now, &arrival, None, out);
        }
        if state.options.direct.is_some() {
            let request = note_sent(state, now, arrival.at);
            let number = arrival.number;
            out.push(Effect::CallDirect { request, number });
        }
    }
    if schedule::is_over(&state.schedule) {
        return;
    }
    let after = state.schedule.next_at.saturating_duration_since(now);
    out.push(Effect::WakeForArrival(after));
}

fn send(
    state: &mut State,
    now: Instant,
    arrival: &Arrival,
    ticket: Option<String>,
    out: &mut Vec<Effect>,
) {
    let request = note_sent(state, now, arrival.at);
    out.push(Effect::Send(Outgoing {
        request,
        instance: arrival.instance,
        front: arrival.front,
        number: arrival.number,
        priority: arrival.priority,
        ticket,
    }));
}

fn note_sent(state: &mut State, now: Instant, due_at: Instant) -> RequestKey {
    state.sent.insert(Sent {
        due_at,
        sent_at: now,
    })
}

/// Sends the requests that have been waiting for a ticket.
fn send_waiting(state: &mut State, now: Instant, instance: usize, out: &mut Vec<Effect>) {
    while let Some(ticket) = state.tickets[instance].free.pop() {
        if state.tickets[instance].waiting.is_empty() {
            state.tickets[instance].free.push(ticket);
            break;
        }
        let arrival = state.tickets[instance].waiting.remove(0);
        send(state, now, &arrival, Some(ticket), out);
    }
    if state.tickets[instance].free.len() < TICKETS_LOW_COUNT {
        ask_for_tickets(state, instance, out);
    }
}

fn ask_for_tickets(state: &mut State, instance: usize, out: &mut Vec<Effect>) {
    let tickets = &mut state.tickets[instance];
    if std::mem::replace(&mut tickets.is_asked, true) {
        return;
    }
    out.push(Effect::FetchTickets {
        instance,
        count: TICKETS_COUNT,
    });
}

/// Takes in tickets. If there are none, the requests that wait for one have failed.
fn issued(
    state: &mut State,
    now: Instant,
    instance: usize,
    tickets: &[String],
    out: &mut Vec<Effect>,
) {
    state.tickets[instance].is_asked = false;
    if tickets.is_empty() {
        let lost = std::mem::take(&mut state.tickets[instance].waiting);
        state.tally.ends.failed_count += lost.len() as u64;
        second(state, now).unanswered_count += lost.len() as u64;
        return;
    }
    state.tickets[instance].free.extend_from_slice(tickets);
    if !state.tickets[instance].waiting.is_empty() {
        send_waiting(state, now, instance, out);
    }
}

fn count_answer(state: &mut State, now: Instant, sent: Sent, answer: &AnswerSummary) {
    let latency_us = micros(now.saturating_duration_since(sent.due_at));
    let service_us = micros(now.saturating_duration_since(sent.sent_at));
    let tally = &mut state.tally;
    tally.ends.mixed_up_count += u64::from(answer.mixed_up_count);
    tally.ends.untrue_count += u64::from(!answer.is_coverage_true);
    let is_answered = match answer.outcome {
        Outcome::Ran if answer.answered_count == answer.total_count => {
            tally.ends.complete_count += 1;
            true
        }
        Outcome::Ran => {
            tally.ends.partial_count += 1;
            true
        }
        Outcome::NotRun(reason) => {
            *tally
                .ends
                .refusals
                .entry(model::to_word(&reason))
                .or_default() += 1;
            false
        }
        Outcome::Unknown(reason) => {
            *tally
                .ends
                .unknowns
                .entry(model::to_word(&reason))
                .or_default() += 1;
            false
        }
    };
    if !is_answered {
        second(state, now).unanswered_count += 1;
        return;
    }
    tally.latency.saturating_record(latency_us);
    tally.service.saturating_record(service_us);
    let second = second(state, now);
    second.answers_count += 1;
    second.answered_count += u64::from(answer.answered_count);
    second.total_count += u64::from(answer.total_count);
    second.latency_max_us = second.latency_max_us.max(latency_us);
}

/// Adds what the counters of an instance have grown by to the present second.
fn count_calls(state: &mut State, now: Instant, instance: usize, calls: Calls) {
    let Some(last) = state.calls.get_mut(instance) else {
        return;
    };
    let Some(before) = last.replace(calls) else {
        return;
    };
    // Counters that went back belong to an instance that has restarted.
    let growth = |after: f64, before: f64| {
        if after < before {
            after
        } else {
            after - before
        }
    };
    let second = &mut second(state, now).calls;
    second.primary_count += growth(calls.primary_count, before.primary_count);
    second.hedge_count += growth(calls.hedge_count, before.hedge_count);
    second.retry_count += growth(calls.retry_count, before.retry_count);
}

fn finish_if_done(state: &mut State, out: &mut Vec<Effect>) {
    let is_waiting = state.tickets.iter().any(|one| !one.waiting.is_empty());
    let is_done = schedule::is_over(&state.schedule) && state.sent.is_empty() && !is_waiting;
    if !is_done || state.is_finished {
        return;
    }
    state.is_finished = true;
    out.push(Effect::Finish);
}

fn second(state: &mut State, now: Instant) -> &mut Second {
    let passed = now.saturating_duration_since(state.began_at).as_secs();
    let place = usize::try_from(passed).unwrap_or(usize::MAX);
    let seconds = &mut state.tally.seconds;
    if seconds.len() <= place {
        seconds.resize(place + 1, Second::default());
    }
    &mut seconds[place]
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
