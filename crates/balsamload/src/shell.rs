//! Feeds events to the reducer and executes its effects.

use std::time::{Duration, Instant};

use awc::Client;
use indicatif::{ProgressBar, ProgressStyle};
use tokio::sync::mpsc::{self, UnboundedSender};

use crate::{
    client,
    error::LoadError,
    event::{AnswerSummary, CallCounters, Effect, Event, RequestKey},
    options::Options,
    reduce,
    state::{self, State},
};

/// An event in the channel to the reducer, which receives it as a borrowed [`Event`].
///
/// An answer that could not be read is `None`, a direct call that was not executed `false`.
enum OwnedEvent {
    ArrivalDue,
    SecondElapsed,
    TicketsReceived(usize, Vec<String>),
    Answered(RequestKey, Option<AnswerSummary>),
    DirectReplied(RequestKey, bool),
    CountersRead(usize, CallCounters),
}

struct Shell {
    client: Client,
    options: Options,
    sender: UnboundedSender<OwnedEvent>,
    progress: ProgressBar,
    is_finished: bool,
}

/// Runs a load until it has finished and returns its state.
///
/// # Errors
///
/// Returns an error if the load cannot be started.
pub fn run(options: &Options) -> Result<State, LoadError> {
    let system = actix_rt::System::new();
    system.block_on(run_load(options))
}

async fn run_load(options: &Options) -> Result<State, LoadError> {
    let (sender, mut receiver) = mpsc::unbounded_channel();
    let mut shell = Shell {
        client: client::create(),
        options: options.clone(),
        sender,
        progress: progress_bar(options),
        is_finished: false,
    };
    let mut state = state::new(options, Instant::now())?;
    process_event(&mut shell, &mut state, Event::Started);
    while !shell.is_finished {
        let Some(event) = receiver.recv().await else {
            break;
        };
        process_event(&mut shell, &mut state, as_event(&event));
    }
    shell.progress.finish_and_clear();
    Ok(state)
}

fn as_event(event: &OwnedEvent) -> Event<'_> {
    match event {
        OwnedEvent::ArrivalDue => Event::ArrivalDue,
        OwnedEvent::SecondElapsed => Event::SecondElapsed,
        OwnedEvent::TicketsReceived(instance, tickets) => Event::TicketsReceived {
            instance: *instance,
            tickets,
        },
        &OwnedEvent::Answered(request, Some(answer)) => Event::Answered { request, answer },
        &OwnedEvent::DirectReplied(request, true) => Event::DirectDone { request },
        &OwnedEvent::Answered(request, None) | &OwnedEvent::DirectReplied(request, false) => {
            Event::Failed { request }
        }
        &OwnedEvent::CountersRead(instance, counters) => Event::CountersRead { instance, counters },
    }
}

fn process_event(shell: &mut Shell, state: &mut State, event: Event<'_>) {
    let mut out = Vec::new();
    reduce::reduce(state, Instant::now(), event, &mut out);
    for effect in out {
        run_effect(shell, state, effect);
    }
}

fn run_effect(shell: &mut Shell, state: &State, effect: Effect) {
    let sender = shell.sender.clone();
    let client = shell.client.clone();
    let options = &shell.options;
    match effect {
        Effect::Send(outgoing) => {
            let request = outgoing.request;
            let sending = client::send(client, options.clone(), outgoing);
            spawn(sender, async move {
                Some(OwnedEvent::Answered(request, sending.await))
            });
        }
        Effect::CallDirect { request, number } => {
            let Some(address) = options.direct else {
                return;
            };
            let calling = client::call_direct(client, address, options.timeout, number);
            spawn(sender, async move {
                Some(OwnedEvent::DirectReplied(request, calling.await))
            });
        }
        Effect::FetchTickets { instance, count } => {
            let fetching = client::fetch_tickets(client, options.instances[instance], count);
            spawn(sender, async move {
                Some(OwnedEvent::TicketsReceived(instance, fetching.await))
            });
        }
        Effect::ReadCounters => {
            for (instance, &address) in options.operators.iter().enumerate() {
                let reading = client::read_counters(client.clone(), address);
                spawn(sender.clone(), async move {
                    Some(OwnedEvent::CountersRead(instance, reading.await?))
                });
            }
        }
        Effect::StartArrivalTimer(delay) => send_after(sender, delay, OwnedEvent::ArrivalDue),
        Effect::StartSecondTimer(delay) => send_after(sender, delay, OwnedEvent::SecondElapsed),
        Effect::ShowProgress => show_progress(shell, state),
        Effect::Finish => shell.is_finished = true,
    }
}

fn send_after(sender: UnboundedSender<OwnedEvent>, delay: Duration, event: OwnedEvent) {
    spawn(sender, async move {
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        Some(event)
    });
}

fn spawn(
    sender: UnboundedSender<OwnedEvent>,
    future: impl Future<Output = Option<OwnedEvent>> + 'static,
) {
    actix_rt::spawn(async move {
        let Some(event) = future.await else { return };
        // The receiver is gone once the load has finished; late events are discarded.
        let _ = sender.send(event);
    });
}

/// Creates the progress bar, which is drawn only on a terminal.
fn progress_bar(options: &Options) -> ProgressBar {
    if options.is_quiet {
        return ProgressBar::hidden();
    }
    let bar = ProgressBar::new(options.duration.as_secs());
    let style = ProgressStyle::with_template("{bar:30} {pos}/{len} s {msg}");
    if let Ok(style) = style {
        bar.set_style(style);
    }
    bar
}

fn show_progress(shell: &Shell, state: &State) {
    shell.progress.inc(1);
    let stats = &state.stats;
    shell.progress.set_message(format!(
        "{} sent, {} complete, {} partial, {} failed, p99 {} us",
        state.schedule.arrivals_count,
        stats.outcomes.complete_count,
        stats.outcomes.partial_count,
        stats.outcomes.failed_count,
        stats.latency.value_at_quantile(0.99),
    ));
}
