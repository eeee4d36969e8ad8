//! The actor that owns the state, feeds events to the reducer and executes the effects.

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

pub use crate::request::{OwnedCall, OwnedCommand, OwnedRequest};
use crate::{
    commands::Options,
    effect::{Effect, Reply, Timer},
    event::{ConnectionKey, Event, RequestKey, TargetKey},
    http, reduce, request,
    state::{self, State},
};

/// Delay before another attempt to bind a target's port.
const LISTEN_RETRY_DELAY: Duration = Duration::from_millis(200);

/// The actor that owns all state and connections.
pub struct Shell {
    state: State,
    requests: SlotMap<RequestKey, oneshot::Sender<Reply>>,
    listeners: SecondaryMap<TargetKey, JoinHandle<()>>,
    connections: SlotMap<ConnectionKey, Connection>,
}

/// A connection to a target.
struct Connection {
    target: TargetKey,
    // Moved into the task once the connection is served.
    stream: Option<TcpStream>,
    task: Option<JoinHandle<()>>,
}

/// Runs the fake platform and targets until the process is terminated.
///
/// # Errors
///
/// Returns an error if the port of the platform or the control port cannot be bound.
pub fn run(
    options: &Options,
    note: &Note,
    document: String,
    instances: String,
) -> std::io::Result<()> {
    logs::init();
    let system = System::new();
    let mut state = state::new(note, document, options.seed);
    state.platform.instances = instances.into();
    system.block_on(async {
        let shell = Shell {
            state,
            requests: SlotMap::with_key(),
            listeners: SecondaryMap::new(),
            connections: SlotMap::with_key(),
        }
        .start();
        http::spawn_platform(shell.clone(), options.platform)?;
        http::spawn_control(shell.clone(), options.control)?;
        // Handling this event opens every target's port, so the line logged below means readiness.
        // A port that cannot be bound yet is retried.
        let _ = shell.send(Started).await;
        Ok::<(), std::io::Error>(())
    })?;
    logs::write(
        &LogLine::new(Level::Info, "listening")
            .with("platform", options.platform.to_string().as_str())
            .with("control", options.control.to_string().as_str()),
    );
    system.run()
}

impl Actor for Shell {
    type Context = Context<Shell>;
}

/// Starts the targets; sent once, as the first message.
#[derive(Debug)]
#[derive(Message)]
#[rtype(result = "()")]
struct Started;

impl Handler<Started> for Shell {
    type Result = ();

    fn handle(&mut self, _: Started, context: &mut Self::Context) {
        process_event(self, context, Event::Started);
    }
}

/// An HTTP request with the channel for its reply.
#[derive(Debug)]
#[derive(Message)]
#[rtype(result = "()")]
pub struct IncomingRequest {
    /// The request.
    pub request: OwnedRequest,
    /// Channel for the reply; closed without one if the request is dropped.
    pub reply_sender: oneshot::Sender<Reply>,
}

impl Handler<IncomingRequest> for Shell {
    type Result = ();

    fn handle(&mut self, message: IncomingRequest, context: &mut Self::Context) {
        let request = self.requests.insert(message.reply_sender);
        process_event(self, context, request::as_event(request, &message.request));
    }
}

/// A target's listener accepted a connection.
#[derive(Debug)]
#[derive(Message)]
#[rtype(result = "()")]
struct ConnectionAccepted {
    target: TargetKey,
    stream: TcpStream,
}

impl Handler<ConnectionAccepted> for Shell {
    type Result = ();

    fn handle(&mut self, message: ConnectionAccepted, context: &mut Self::Context) {
        let target = message.target;
        let connection = self.connections.insert(Connection {
            target,
            stream: Some(message.stream),
            task: None,
        });
        let event = Event::ConnectionOpened { connection, target };
        process_event(self, context, event);
    }
}

/// The server of a connection has ended.
#[derive(Debug)]
#[derive(Message)]
#[rtype(result = "()")]
struct ConnectionClosed(ConnectionKey);

impl Handler<ConnectionClosed> for Shell {
    type Result = ();

    fn handle(&mut self, message: ConnectionClosed, context: &mut Self::Context) {
        let connection = message.0;
        self.connections.remove(connection);
        process_event(self, context, Event::ConnectionClosed { connection });
    }
}

/// Passes an event to the reducer and executes the resulting effects.
fn process_event(shell: &mut Shell, context: &mut Context<Shell>, event: Event<'_>) {
    let mut out = Vec::new();
    reduce::reduce(&mut shell.state, Instant::now(), event, &mut out);
    for effect in out {
        run_effect(shell, context, effect);
    }
}

fn run_effect(shell: &mut Shell, context: &mut Context<Shell>, effect: Effect) {
    match effect {
        Effect::Listen { target, address } => listen(shell, context, target, address),
        Effect::CloseTarget { target } => close_target(shell, target),
        Effect::ServeConnection { connection, delay } => serve(shell, context, connection, delay),
        Effect::CloseConnection { connection } => {
            shell.connections.remove(connection);
        }
        Effect::StartTimer { timer, delay } => {
            if delay.is_zero() {
                process_event(shell, context, timer_event(timer));
                return;
            }
            context.run_later(delay, move |shell, context| {
                process_event(shell, context, timer_event(timer));
            });
        }
        Effect::Reply { request, reply } => {
            let Some(sender) = shell.requests.remove(request) else {
                return;
            };
            // Sending fails if the client has disconnected; the reply is then discarded.
            let _ = sender.send(reply);
        }
        Effect::DropRequest { request } => {
            shell.requests.remove(request);
        }
        Effect::Log(line) => logs::write(&line),
    }
}

fn timer_event(timer: Timer) -> Event<'static> {
    match timer {
        Timer::Execution(request) => Event::ExecutionFinished { request },
        Timer::Watch(request) => Event::WatchExpired { request },
        Timer::Restart(target) => Event::RestartDue { target },
        Timer::InstancesLag => Event::InstancesLagElapsed,
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
            // Replies are small, so Nagle's algorithm would only delay them.
            let _ = stream.set_nodelay(true);
            actor.do_send(ConnectionAccepted { target, stream });
        }
    });
    shell.listeners.insert(target, task);
}

fn close_target(shell: &mut Shell, target: TargetKey) {
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

fn serve(shell: &mut Shell, context: &mut Context<Shell>, key: ConnectionKey, delay: Duration) {
    let Some(connection) = shell.connections.get_mut(key) else {
        return;
    };
    let Some(stream) = connection.stream.take() else {
        return;
    };
    let target = connection.target;
    let actor = context.address();
    let task = actix_rt::spawn(async move {
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        http::serve_target(actor.clone(), target, stream).await;
        actor.do_send(ConnectionClosed(key));
    });
    connection.task = Some(task);
}
