//! The actor that owns the state of the stand-ins.

use std::{net::SocketAddr, time::Duration};

use actix::{Actor, AsyncContext, Context, Handler, Message, System};
use bytes::Bytes;
use note::Note;
use slotmap::SlotMap;
use tokio::sync::oneshot;

use crate::{
    commands::Command,
    effect::Effect,
    event::{Event, RequestKey},
    http, reduce,
    state::{self, State},
};

/// The actor.
pub struct Shell {
    state: State,
    requests: SlotMap<RequestKey, oneshot::Sender<Effect>>,
}

/// Plays the platform and the targets until the process is ended.
///
/// # Errors
///
/// Returns an error if a port cannot be opened.
pub fn run(command: &Command, note: Note, document: String) -> std::io::Result<()> {
    let targets: Vec<(String, SocketAddr)> = note
        .fleet
        .services
        .iter()
        .flat_map(|service| &service.targets)
        .map(|target| (target.name.clone(), target.address))
        .collect();
    let system = System::new();
    system.block_on(async {
        let state = state::open(&note, document, command.seed);
        let shell = Shell {
            state,
            requests: SlotMap::with_key(),
        }
        .start();
        http::spawn(shell, command.platform, targets)
    })?;
    system.run()
}

impl Actor for Shell {
    type Context = Context<Shell>;
}

/// What an HTTP request asks for.
#[derive(Clone, Debug)]
pub enum Ask {
    /// A call to a target.
    Call {
        /// Name of the target.
        target: String,
        /// Snapshot to read.
        snapshot: Option<u64>,
        /// The query.
        body: Bytes,
    },
    /// A target's load report.
    Load {
        /// Name of the target.
        target: String,
    },
    /// The published value.
    Watch {
        /// Version that the reader has.
        after_version: u64,
        /// Longest time to wait.
        wait: Duration,
    },
    /// A new published value.
    Publish {
        /// The value.
        body: Bytes,
    },
}

/// An HTTP request and where its reply goes.
#[derive(Debug, Message)]
#[rtype(result = "()")]
pub struct Request {
    /// What is asked for.
    pub ask: Ask,
    /// Where the reply goes.
    pub reply: oneshot::Sender<Effect>,
}

impl Handler<Request> for Shell {
    type Result = ();

    fn handle(&mut self, message: Request, context: &mut Self::Context) {
        let request = self.requests.insert(message.reply);
        let event = match &message.ask {
            Ask::Call {
                target,
                snapshot,
                body,
            } => Event::Call {
                request,
                target,
                snapshot: *snapshot,
                body,
            },
            Ask::Load { target } => Event::LoadWanted { request, target },
            Ask::Watch {
                after_version,
                wait,
            } => {
                context.run_later(*wait, move |shell, context| {
                    shell.handle_event(context, Event::WatchExpired { request });
                });
                Event::Watch {
                    request,
                    after_version: *after_version,
                }
            }
            Ask::Publish { body } => Event::Publish { request, body },
        };
        self.handle_event(context, event);
    }
}

impl Shell {
    fn handle_event(&mut self, context: &mut Context<Shell>, event: Event<'_>) {
        let mut out = Vec::new();
        reduce::reduce(&mut self.state, event, &mut out);
        for effect in out {
            self.run(context, effect);
        }
    }

    fn run(&mut self, context: &mut Context<Shell>, effect: Effect) {
        let request = match &effect {
            Effect::Execute { request, after } => {
                let request = *request;
                context.run_later(*after, move |shell, context| {
                    shell.handle_event(context, Event::Executed { request });
                });
                return;
            }
            Effect::Reply { request, .. }
            | Effect::Load { request, .. }
            | Effect::Value { request, .. }
            | Effect::NotFound { request } => *request,
        };
        let Some(reply) = self.requests.remove(request) else {
            return;
        };
        // The other side may have closed its connection; then nobody needs the reply.
        let _ = reply.send(effect);
    }
}
