//! The actor that owns the state of the stand-ins and runs the effects.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use actix::{Actor, AsyncContext, Context, Handler, Message, System};
use model::{Level, LogLine};
use note::Note;
use slotmap::{SecondaryMap, SlotMap};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::oneshot,
    task::JoinHandle,
};

pub use crate::ask::{Ask, OwnedCall, Steering};
use crate::{
    ask,
    commands::Command,
    effect::{Due, Effect, Reply},
    event::{ConnectionKey, Event, RequestKey, TargetKey},
    http, reduce,
    state::{self, State},
};

/// Time between two attempts to open a target's port.
const LISTEN_RETRY_DELAY: Duration = Duration::from_millis(200);

/// The actor.
pub struct Shell {
    state: State,
    requests: SlotMap<RequestKey, oneshot::Sender<Reply>>,
    listeners: SecondaryMap<TargetKey, JoinHandle<()>>,
    connections: SlotMap<ConnectionKey, Connection>,
}

/// A connection to a target.
struct Connection {
    target: TargetKey,
    // Taken when the connection is served.
    stream: Option<TcpStream>,
    task: Option<JoinHandle<()>>,
}

/// Plays the platform and the targets until the process is ended.
///
/// # Errors
///
/// Returns an error if a port cannot be opened.
pub fn run(
    command: &Command,
    note: &Note,
    document: String,
    instances: String,
) -> std::io::Result<()> {
    logs::open();
    let system = System::new();
    let mut state = state::open(note, document, command.seed);
    state.platform.instances = instances.into();
    system.block_on(async {
        let shell = Shell {
            state,
            requests: SlotMap::with_key(),
            listeners: SecondaryMap::new(),
            connections: SlotMap::with_key(),
        }
        .start();
        http::spawn_platform(shell.clone(), command.platform)?;
        http::spawn_control(shell.clone(), command.control)?;
        // Every target's port is open once the first event has been handled.
        let _ = shell.send(Started).await;
        Ok::<(), std::io::Error>(())
    })?;
    logs::write(
        &LogLine::new(Level::Info, "listening")
            .with("platform", command.platform.to_string().as_str())
            .with("control", command.control.to_string().as_str()),
    );
    system.run()
}

impl Actor for Shell {
    type Context = Context<Shell>;
}

/// The start of the process.
#[derive(Debug)]
#[derive(Message)]
#[rtype(result = "()")]
struct Started;

impl Handler<Started> for Shell {
    type Result = ();

    fn handle(&mut self, _: Started, context: &mut Self::Context) {
        handle(self, context, Event::Started);
    }
}

/// An HTTP request and where its reply goes.
#[derive(Debug)]
#[derive(Message)]
#[rtype(result = "()")]
pub struct Request {
    /// What is asked for.
    pub ask: Ask,
    /// Where the reply goes.
    pub reply: oneshot::Sender<Reply>,
}

impl Handler<Request> for Shell {
    type Result = ();

    fn handle(&mut self, message: Request, context: &mut Self::Context) {
        let request = self.requests.insert(message.reply);
        handle(self, context, ask::event(request, &message.ask));
    }
}

/// A connection that somebody opened.
#[derive(Debug)]
#[derive(Message)]
#[rtype(result = "()")]
struct Accepted {
    target: TargetKey,
    stream: TcpStream,
}

impl Handler<Accepted> for Shell {
    type Result = ();

    fn handle(&mut self, message: Accepted, context: &mut Self::Context) {
        let target = message.target;
        let connection = self.connections.insert(Connection {
            target,
            stream: Some(message.stream),
            task: None,
        });
        let event = Event::ConnectionOpened { connection, target };
        handle(self, context, event);
    }
}

/// A connection that the other side closed.
#[derive(Debug)]
#[derive(Message)]
#[rtype(result = "()")]
struct Closed(ConnectionKey);

impl Handler<Closed> for Shell {
    type Result = ();

    fn handle(&mut self, message: Closed, context: &mut Self::Context) {
        let connection = message.0;
        self.connections.remove(connection);
        handle(self, context, Event::ConnectionClosed { connection });
    }
}

/// Passes one event to the reducer and runs the effects.
fn handle(shell: &mut Shell, context: &mut Context<Shell>, event: Event<'_>) {
    let mut out = Vec::new();
    reduce::reduce(&mut shell.state, Instant::now(), event, &mut out);
    for effect in out {
        run_effect(shell, context, effect);
    }
}

fn run_effect(shell: &mut Shell, context: &mut Context<Shell>, effect: Effect) {
    match effect {
        Effect::Listen { target, address } => listen(shell, context, target, address),
        Effect::Vanish { target } => vanish(shell, target),
        Effect::Serve { connection, after } => serve(shell, context, connection, after),
        Effect::Close { connection } => {
            shell.connections.remove(connection);
        }
        Effect::Delay { due, after } => {
            if after.is_zero() {
                handle(shell, context, due_event(due));
                return;
            }
            context.run_later(after, move |shell, context| {
                handle(shell, context, due_event(due));
            });
        }
        Effect::Reply { request, reply } => {
            let Some(sender) = shell.requests.remove(request) else {
                return;
            };
            // The other side may have closed its connection; then nobody needs the reply.
            let _ = sender.send(reply);
        }
        Effect::Drop { request } => {
            shell.requests.remove(request);
        }
        Effect::Log(line) => logs::write(&line),
    }
}

fn due_event(due: Due) -> Event<'static> {
    match due {
        Due::Executed(request) => Event::Executed { request },
        Due::WatchExpired(request) => Event::WatchExpired { request },
        Due::Restart(target) => Event::RestartDue { target },
        Due::Instances => Event::InstancesDue,
    }
}

fn listen(shell: &mut Shell, context: &mut Context<Shell>, target: TargetKey, address: SocketAddr) {
    let listener = std::net::TcpListener::bind(address).and_then(|listener| {
        listener.set_nonblocking(true)?;
        TcpListener::from_std(listener)
    });
    let listener = match listener {
        Ok(listener) => listener,
        Err(error) => {
            let line = LogLine::new(Level::Warn, "port-not-open")
                .with("address", address.to_string().as_str())
                .with("error", error.to_string().as_str());
            logs::write(&line);
            context.run_later(LISTEN_RETRY_DELAY, move |shell, context| {
                listen(shell, context, target, address);
            });
            return;
        }
    };
    let actor = context.address();
    let task = actix_rt::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            // Replies are small; waiting to fill a segment only delays them.
            let _ = stream.set_nodelay(true);
            actor.do_send(Accepted { target, stream });
        }
    });
    shell.listeners.insert(target, task);
}

fn vanish(shell: &mut Shell, target: TargetKey) {
    if let Some(task) = shell.listeners.remove(target) {
        task.abort();
    }
    shell.connections.retain(|_, connection| {
        if connection.target != target {
            return true;
        }
        if let Some(task) = connection.task.take() {
            task.abort();
        }
        false
    });
}

fn serve(shell: &mut Shell, context: &mut Context<Shell>, key: ConnectionKey, after: Duration) {
    let Some(connection) = shell.connections.get_mut(key) else {
        return;
    };
    let Some(stream) = connection.stream.take() else {
        return;
    };
    let target = connection.target;
    let actor = context.address();
    let task = actix_rt::spawn(async move {
        if !after.is_zero() {
            tokio::time::sleep(after).await;
        }
        http::serve_target(actor.clone(), target, stream).await;
        actor.do_send(Closed(key));
    });
    connection.task = Some(task);
}
