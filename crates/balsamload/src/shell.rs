//! Feeds the reducer and runs its effects.

use std::time::{Duration, Instant};

use awc::Client;
use indicatif::{ProgressBar, ProgressStyle};
use tokio::sync::mpsc::{self, UnboundedSender};

use crate::{
    client,
    error::LoadError,
    event::{AnswerSummary, Calls, Effect, Event, RequestKey},
    options::Options,
    reduce,
    state::{self, State},
};

/// What came in, owned while it waits for the reducer.
enum Arrived {
    ArrivalDue,
    SecondDue,
    Tickets(usize, Vec<String>),
    Answered(RequestKey, Option<AnswerSummary>),
    Direct(RequestKey, bool),
    Calls(usize, Calls),
}

struct Shell {
    client: Client,
    options: Options,
    sender: UnboundedSender<Arrived>,
    progress: ProgressBar,
    is_over: bool,
}

/// Runs a load to its end.
///
/// # Errors
///
/// Returns an error if the load cannot be started.
pub fn run(options: &Options) -> Result<State, LoadError> {
    let system = actix_rt::System::new();
    system.block_on(drive(options))
}

async fn drive(options: &Options) -> Result<State, LoadError> {
    let (sender, mut receiver) = mpsc::unbounded_channel();
    let mut shell = Shell {
        client: client::open(),
        options: options.clone(),
        sender,
        progress: progress(options),
        is_over: false,
    };
    let mut state = state::open(options, Instant::now())?;
    feed(&mut shell, &mut state, Event::Started);
    while !shell.is_over {
        let Some(arrived) = receiver.recv().await else {
            break;
        };
        feed(&mut shell, &mut state, event(&arrived));
    }
    shell.progress.finish_and_clear();
    Ok(state)
}

fn event(arrived: &Arrived) -> Event<'_> {
    match arrived {
        Arrived::ArrivalDue => Event::ArrivalDue,
        Arrived::SecondDue => Event::SecondDue,
        Arrived::Tickets(instance, tickets) => Event::Tickets {
            instance: *instance,
            tickets,
        },
        &Arrived::Answered(request, Some(answer)) => Event::Answered { request, answer },
        &Arrived::Direct(request, true) => Event::DirectDone { request },
        &Arrived::Answered(request, None) | &Arrived::Direct(request, false) => {
            Event::Failed { request }
        }
        &Arrived::Calls(instance, calls) => Event::CallsRead { instance, calls },
    }
}

fn feed(shell: &mut Shell, state: &mut State, event: Event<'_>) {
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
                Some(Arrived::Answered(request, sending.await))
            });
        }
        Effect::CallDirect { request, number } => {
            let Some(address) = options.direct else {
                return;
            };
            let calling = client::call_direct(client, address, options.timeout, number);
            spawn(sender, async move {
                Some(Arrived::Direct(request, calling.await))
            });
        }
        Effect::FetchTickets { instance, count } => {
            let fetching = client::fetch_tickets(client, options.instances[instance], count);
            spawn(sender, async move {
                Some(Arrived::Tickets(instance, fetching.await))
            });
        }
        Effect::ReadCalls => {
            for (instance, &address) in options.operators.iter().enumerate() {
                let reading = client::read_calls(client.clone(), address);
                spawn(sender.clone(), async move {
                    Some(Arrived::Calls(instance, reading.await?))
                });
            }
        }
        Effect::WakeForArrival(after) => wake(sender, after, Arrived::ArrivalDue),
        Effect::WakeForSecond(after) => wake(sender, after, Arrived::SecondDue),
        Effect::Progress => show(shell, state),
        Effect::Finish => shell.is_over = true,
    }
}

fn wake(sender: UnboundedSender<Arrived>, after: Duration, arrived: Arrived) {
    spawn(sender, async move {
        if !after.is_zero() {
            tokio::time::sleep(after).await;
        }
        Some(arrived)
    });
}

fn spawn(
    sender: UnboundedSender<Arrived>,
    waiting: impl Future<Output = Option<Arrived>> + 'static,
) {
    actix_rt::spawn(async move {
        let Some(arrived) = waiting.await else { return };
        // Nobody listens once the load is over.
        let _ = sender.send(arrived);
    });
}

/// The bar draws itself only on a terminal.
fn progress(options: &Options) -> ProgressBar {
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

fn show(shell: &Shell, state: &State) {
    shell.progress.inc(1);
    let tally = &state.tally;
    shell.progress.set_message(format!(
        "{} sent, {} complete, {} partial, {} failed, p99 {} us",
        state.schedule.arrivals_count,
        tally.ends.complete_count,
        tally.ends.partial_count,
        tally.ends.failed_count,
        tally.latency.value_at_quantile(0.99),
    ));
}
