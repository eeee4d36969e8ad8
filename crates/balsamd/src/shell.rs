//! The actor that owns the reducer's state, start-up of the process, and the messages that the
//! actor turns into events of the reducer.

use std::{
    borrow::Cow,
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::{
        Arc, OnceLock,
        atomic::{AtomicBool, Ordering},
    },
    time::SystemTime,
};

use actix::{Actor, AsyncContext, Context, Handler, Message, System};
use awc::{Client, http::header::USER_AGENT};
use bytes::Bytes;
use model::{
    AttemptKey, CallFailure, CallKey, CallerKey, Counter, Effect, Event, ExecutionKind,
    HttpResponse, Level, LoadReport, LogLine, PlatformFailure, PlatformRead, ReplyView,
    RequestView, TargetKey, Timer,
};
use rand::{TryRng, rngs::SysRng};
use settings::Settings;
use slotmap::{SecondaryMap, SlotMap};
use tier::State;
use tokio::task::JoinHandle;
use tokio::{
    net::TcpListener,
    signal::unix::{SignalKind, signal},
    sync::{oneshot, watch},
};

use crate::{
    attempts::{ConnectionHandle, HeadCache, IdleConnections},
    callers::{self, Headers},
    calls::{Pool, TargetReply},
    client::{self, ClientConfig},
    clock::{self, Clock},
    effects,
    error::StartError,
    gateway_messages,
    http::ConnectionTracker,
    ingress, limits,
    metrics::{self, Metrics},
    operators,
    peers::{self, SendQueues},
    readiness::{self, ReadyWaiters},
    supervise::{self, OnPanic},
    timers::{self, TimerSender},
};

/// Actor that owns the reducer's state and the resources for its effects.
pub struct Shell {
    pub(crate) state: State,
    /// Whether the callers' ports close each connection after its next response, so that callers
    /// reconnect to another instance. Updated after every event.
    pub(crate) is_draining: Arc<AtomicBool>,
    pub(crate) clock: Clock,
    pub(crate) metrics: Metrics,
    pub(crate) timers: Option<TimerSender>,
    /// Senders of the responses that callers wait for.
    pub(crate) reply_senders: SlotMap<CallerKey, ReplySender>,
    pub(crate) pools: SecondaryMap<TargetKey, Pool>,
    /// Tasks of the running calls, to abort them.
    pub(crate) calls: SecondaryMap<CallKey, JoinHandle<()>>,
    pub(crate) send_queues: SendQueues,
    pub(crate) platform_client: Client,
    /// First part of `balsam-call-id`, unique to this run of the instance: `name:incarnation`.
    pub(crate) call_id_prefix: String,
    pub(crate) ready_waiters: ReadyWaiters,
    /// Configuration shared by the gateway's connections to targets and the store.
    pub(crate) connection_config: ClientConfig,
    pub(crate) idle_connections: IdleConnections,
    pub(crate) head_cache: HeadCache,
    /// Close signal of the ports, sent shortly before the process exits.
    pub(crate) close_listeners: watch::Sender<bool>,
    /// Open connections of callers.
    pub(crate) connections: ConnectionTracker,
    /// Connections that carry the running attempts.
    pub(crate) attempts: SecondaryMap<AttemptKey, ConnectionHandle>,
    /// Empty buffer, kept for its capacity; see [`dispatch`].
    effects: Vec<Effect>,
    /// Ends the process with the actor: its ports would stay open and serve nothing.
    _exit_on_panic: OnPanic<fn()>,
}

/// Runs the instance until the reducer returns [`Effect::Exit`].
///
/// # Errors
///
/// Returns an error if the instance cannot start, for example because a port cannot be opened, or
/// if the event loop fails.
pub fn run(settings: Settings, settings_path: PathBuf) -> Result<(), StartError> {
    logs::init();
    supervise::log_panics();
    let system = System::new();
    system.block_on(start(settings, settings_path))?;
    let result = system.run().map_err(StartError::Serve);
    logs::flush();
    result
}

async fn start(settings: Settings, settings_path: PathBuf) -> Result<(), StartError> {
    let listen = settings.listen.clone();
    let query = settings.query.clone();
    let instance = settings.instance.clone();
    let gateway = settings.gateway.clone();
    let metrics = metrics::create()?;
    let registry = metrics::registry(&metrics);
    let gauges = metrics::create_gauges(&metrics);
    let limits = limits::new(&instance, metrics::create_input(&metrics));
    let incarnation = incarnation();
    let call_id_prefix = format!("{}:{incarnation}", settings.instance.name);
    let user_agent = format!("balsamd/{}", settings.instance.name);
    let platform_client = Client::builder()
        .disable_redirects()
        .add_default_header((USER_AGENT, user_agent))
        .finish();
    let peers_address = listen.peers_bind.unwrap_or(listen.peers);
    let peers = TcpListener::bind(peers_address)
        .await
        .map_err(|error| StartError::Listen("peers", peers_address, error))?;
    let is_draining = Arc::new(AtomicBool::new(false));
    let (close_listeners, close_signal) = watch::channel(false);
    let connections = ConnectionTracker::open();
    let shell = Shell {
        is_draining: is_draining.clone(),
        state: tier::new_state(settings, incarnation, draw_seed()?),
        clock: clock::system(),
        metrics,
        timers: None,
        reply_senders: SlotMap::with_key(),
        pools: SecondaryMap::new(),
        calls: SecondaryMap::new(),
        send_queues: SendQueues::new(),
        platform_client,
        call_id_prefix,
        ready_waiters: ReadyWaiters::with_key(),
        connection_config: client::config(),
        idle_connections: IdleConnections::new(),
        head_cache: HeadCache::default(),
        close_listeners,
        connections: connections.clone(),
        attempts: SecondaryMap::new(),
        effects: Vec::new(),
        _exit_on_panic: supervise::exit_on_panic(),
    };
    let address = shell.start();
    if let Some(callers) = listen.callers {
        let is_draining = is_draining.clone();
        let close_signal = close_signal.clone();
        let connections = connections.clone();
        callers::spawn(
            address.clone(),
            callers,
            &query,
            limits.clone(),
            is_draining,
            close_signal,
            connections,
        )
        .await?;
    }
    if let Some(gateway) = &gateway {
        let close_signal = close_signal.clone();
        ingress::spawn(
            address.clone(),
            gateway,
            limits.clone(),
            is_draining,
            close_signal,
            connections,
        )
        .await?;
    }
    let operators_limits = limits.clone();
    operators::spawn(
        address.clone(),
        registry,
        gauges,
        &listen,
        operators_limits,
        close_signal,
    )
    .await?;
    peers::spawn_listener(address.clone(), peers, limits);
    spawn_signal_handler(address, settings_path)?;
    logs::write(&listening_line(&listen, gateway.as_ref()));
    Ok(())
}

fn listening_line(listen: &settings::Listen, gateway: Option<&settings::Gateway>) -> LogLine {
    let mut line = LogLine::new(Level::Info, "listening");
    if let Some(callers) = listen.callers {
        line = line.with("callers", callers.to_string().as_str());
    }
    if let Some(gateway) = gateway {
        line = line.with("gateway", gateway.listen.to_string().as_str());
    }
    line.with("operators", listen.operators.to_string().as_str())
        .with("peers", listen.peers.to_string().as_str())
}

/// Returns the incarnation of this run: microseconds since the Unix epoch, so that it exceeds that
/// of every earlier run unless the system clock was set back.
fn incarnation() -> u64 {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since_epoch.map_or(1, |age| u64::try_from(age.as_micros()).unwrap_or(u64::MAX))
}

/// Reads the seed of the reducer's random number generator from the operating system.
fn draw_seed() -> Result<u64, StartError> {
    SysRng
        .try_next_u64()
        .map_err(|error| StartError::Random(error.to_string()))
}

/// Handles signals: SIGTERM and SIGINT shut the instance down, SIGHUP reloads the settings file.
fn spawn_signal_handler(
    shell: actix::Addr<Shell>,
    settings_path: PathBuf,
) -> Result<(), StartError> {
    let mut terminate = signal(SignalKind::terminate()).map_err(StartError::Serve)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(StartError::Serve)?;
    let mut hangup = signal(SignalKind::hangup()).map_err(StartError::Serve)?;
    #[cfg(debug_assertions)]
    spawn_panic_injection(shell.clone())?;
    actix_rt::spawn(async move {
        let _guard = supervise::exit_on_panic();
        loop {
            tokio::select! {
                _ = terminate.recv() => shell.do_send(ShutdownRequested),
                _ = interrupt.recv() => shell.do_send(ShutdownRequested),
                _ = hangup.recv() => reload(&shell, &settings_path),
            }
        }
    });
    Ok(())
}

/// Makes the actor panic at SIGUSR1 and a vital task at SIGUSR2, for tests of debug builds.
#[cfg(debug_assertions)]
fn spawn_panic_injection(shell: actix::Addr<Shell>) -> Result<(), StartError> {
    let mut of_actor = signal(SignalKind::user_defined1()).map_err(StartError::Serve)?;
    let mut of_task = signal(SignalKind::user_defined2()).map_err(StartError::Serve)?;
    actix_rt::spawn(async move {
        let _guard = supervise::exit_on_panic();
        tokio::select! {
            _ = of_actor.recv() => shell.do_send(InjectedPanic),
            _ = of_task.recv() => panic!("injected into a task"),
        }
    });
    Ok(())
}

/// Makes the actor panic.
#[cfg(debug_assertions)]
#[derive(Debug)]
#[derive(Message)]
#[rtype(result = "()")]
struct InjectedPanic;

#[cfg(debug_assertions)]
impl Handler<InjectedPanic> for Shell {
    type Result = ();

    fn handle(&mut self, _: InjectedPanic, _: &mut Self::Context) {
        panic!("injected into the actor");
    }
}

/// Reads the settings file again; if that fails, the old settings stay in force.
fn reload(shell: &actix::Addr<Shell>, path: &Path) {
    match fs::read_to_string(path) {
        Ok(document) => shell.do_send(SettingsRead(document)),
        Err(error) => {
            let line = LogLine::new(Level::Warn, "settings-unreadable");
            logs::write(&line.with("message", error.to_string().as_str()));
        }
    }
}

/// Contents of the settings file, read again after SIGHUP and not yet parsed.
#[derive(Debug)]
#[derive(Message)]
#[rtype(result = "()")]
struct SettingsRead(String);

impl Handler<SettingsRead> for Shell {
    type Result = ();

    fn handle(&mut self, message: SettingsRead, context: &mut Self::Context) {
        let document = message.0.as_str();
        dispatch(self, context, Event::SettingsRead { document });
    }
}

impl Actor for Shell {
    type Context = Context<Shell>;

    fn started(&mut self, context: &mut Self::Context) {
        self.timers = Some(timers::spawn(context.address()));
        dispatch(self, context, Event::Started);
    }
}

/// Passes one event to the reducer and runs the effects that it returns.
pub(crate) fn dispatch(shell: &mut Shell, context: &mut Context<Shell>, event: Event<'_>) {
    let now = (shell.clock.now)();
    let mut effects = std::mem::take(&mut shell.effects);
    tier::reduce(&mut shell.state, now, event, &mut effects);
    let address = context.address();
    for effect in effects.drain(..) {
        effects::run(shell, &address, effect);
    }
    shell.effects = effects;
    let is_draining = tier::is_draining_callers(&shell.state);
    shell.is_draining.store(is_draining, Ordering::Relaxed);
    readiness::answer_ready(shell);
}

/// Sender of the response to a caller, by the kind of its request.
#[derive(Debug)]
pub enum ReplySender {
    /// A query to the callers' port.
    Answer(oneshot::Sender<model::Answer>),
    /// A request to the gateway's port.
    Http(oneshot::Sender<HttpResponse>),
    /// A request for tickets.
    Tickets(oneshot::Sender<Vec<String>>),
}

/// A caller's request for tickets.
#[derive(Debug)]
#[derive(Message)]
#[rtype(result = "()")]
pub struct IssueTickets {
    /// Number of tickets.
    pub count: u32,
    /// Receives the tickets; none if the instance is shutting down.
    pub reply: oneshot::Sender<Vec<String>>,
}

impl Handler<IssueTickets> for Shell {
    type Result = ();

    fn handle(&mut self, message: IssueTickets, context: &mut Self::Context) {
        let count = message.count;
        let caller = self
            .reply_senders
            .insert(ReplySender::Tickets(message.reply));
        dispatch(self, context, Event::TicketsRequested { caller, count });
    }
}

/// A caller closed its connection before the answer. The cell holds the caller's key.
#[derive(Debug)]
#[derive(Message)]
#[rtype(result = "()")]
pub struct CallerGone(pub Arc<OnceLock<CallerKey>>);

impl Handler<CallerGone> for Shell {
    type Result = ();

    fn handle(&mut self, message: CallerGone, context: &mut Self::Context) {
        let Some(&caller) = message.0.get() else {
            return;
        };
        if self.reply_senders.remove(caller).is_some() {
            dispatch(self, context, Event::CallerGone { caller });
        }
    }
}

/// A query from the callers' port.
#[derive(Debug)]
#[derive(Message)]
#[rtype(result = "()")]
pub struct CallerRequest {
    /// Name of the front, from the path.
    pub front: String,
    /// Parameters from the headers.
    pub headers: Headers,
    /// The query, a JSON document.
    pub body: Bytes,
    /// Receives the answer.
    pub reply: oneshot::Sender<model::Answer>,
    /// Receives the key of the caller, for [`CallerGone`].
    pub key: Arc<OnceLock<CallerKey>>,
}

impl Handler<CallerRequest> for Shell {
    type Result = ();

    fn handle(&mut self, message: CallerRequest, context: &mut Self::Context) {
        let caller = self
            .reply_senders
            .insert(ReplySender::Answer(message.reply));
        // Only this handler sets the cell, and once, so this cannot fail.
        let _ = message.key.set(caller);
        let headers = &message.headers;
        let kind = match headers.ticket.as_deref() {
            None => ExecutionKind::Idempotent,
            Some(ticket) => ExecutionKind::Once { ticket },
        };
        let request = RequestView {
            request_id: &headers.request_id,
            front: &message.front,
            service: headers.service.as_deref(),
            priority: headers.priority,
            kind,
            timeout: headers.timeout,
            body: &message.body,
        };
        dispatch(self, context, Event::Request { caller, request });
    }
}

/// The end of a call to a target.
#[derive(Debug)]
#[derive(Message)]
#[rtype(result = "()")]
pub struct CallEnded {
    /// The call.
    pub call: CallKey,
    /// The reply or the failure.
    pub result: Result<TargetReply, CallFailure>,
}

impl Handler<CallEnded> for Shell {
    type Result = ();

    fn handle(&mut self, message: CallEnded, context: &mut Self::Context) {
        let call = message.call;
        self.calls.remove(call);
        match &message.result {
            Ok(reply) => {
                let reply = ReplyView {
                    status: reply.status,
                    snapshot: reply.snapshot,
                    body: &reply.body,
                    load: reply.load,
                };
                dispatch(self, context, Event::Reply { call, reply });
            }
            &Err(failure) => dispatch(self, context, Event::CallFailed { call, failure }),
        }
    }
}

/// The end of one load probe.
#[derive(Debug)]
#[derive(Message)]
#[rtype(result = "()")]
pub struct ProbeEnded {
    /// The target.
    pub target: TargetKey,
    /// The load report or the failure.
    pub result: Result<LoadReport, CallFailure>,
}

impl Handler<ProbeEnded> for Shell {
    type Result = ();

    fn handle(&mut self, message: ProbeEnded, context: &mut Self::Context) {
        let target = message.target;
        let event = match message.result {
            Ok(report) => Event::Load { target, report },
            Err(failure) => Event::LoadFailed { target, failure },
        };
        dispatch(self, context, event);
    }
}

/// A timer has expired.
#[derive(Debug)]
#[derive(Message)]
#[rtype(result = "()")]
pub struct TimerExpired(pub Timer);

impl Handler<TimerExpired> for Shell {
    type Result = ();

    fn handle(&mut self, message: TimerExpired, context: &mut Self::Context) {
        dispatch(self, context, Event::Timer(message.0));
    }
}

/// A message from another instance.
#[derive(Debug)]
#[derive(Message)]
#[rtype(result = "()")]
pub struct PeerMessage(pub model::Message);

impl Handler<PeerMessage> for Shell {
    type Result = ();

    fn handle(&mut self, mut message: PeerMessage, context: &mut Self::Context) {
        if let model::Message::Relay(relay) = &mut message.0 {
            platform::separate_relayed(Arc::make_mut(&mut relay.request));
        }
        if let model::Message::StoreChanges(changes) = &message.0 {
            gateway_messages::dispatch_shared_changes(self, context, changes);
            return;
        }
        dispatch(
            self,
            context,
            Event::Peer {
                message: Cow::Borrowed(&message.0),
            },
        );
    }
}

/// The connection to the instance at this address failed, or its send queue is full.
#[derive(Debug)]
#[derive(Message)]
#[rtype(result = "()")]
pub struct PeerUnreachable(pub SocketAddr);

impl Handler<PeerUnreachable> for Shell {
    type Result = ();

    fn handle(&mut self, message: PeerUnreachable, context: &mut Self::Context) {
        dispatch(self, context, Event::PeerUnreachable { address: message.0 });
    }
}

/// A value read from the platform's configuration service.
#[derive(Clone, Debug)]
pub struct PlatformValue {
    /// Version of the value at the platform; 0 if the platform states none.
    pub version: u64,
    /// The value, not yet parsed.
    pub body: Bytes,
}

/// The end of a read of the platform's configuration service.
#[derive(Debug)]
#[derive(Message)]
#[rtype(result = "()")]
pub struct PlatformReadEnded {
    /// The read.
    pub read: PlatformRead,
    /// The value or the failure.
    pub result: Result<PlatformValue, PlatformFailure>,
}

impl Handler<PlatformReadEnded> for Shell {
    type Result = ();

    fn handle(&mut self, message: PlatformReadEnded, context: &mut Self::Context) {
        let read = message.read;
        let event = match (&message.result, read) {
            (&Err(failure), _) => Event::PlatformFailed { read, failure },
            (Ok(value), PlatformRead::WatchNote { .. }) => Event::PlatformNote {
                version: value.version,
                body: &value.body,
            },
            (Ok(value), PlatformRead::Instances) => Event::PlatformInstances { body: &value.body },
        };
        dispatch(self, context, event);
    }
}

/// A message from another instance that was refused, and why.
#[derive(Debug)]
#[derive(Message)]
#[rtype(result = "()")]
pub struct PeerMessageRefused(pub String);

impl Handler<PeerMessageRefused> for Shell {
    type Result = ();

    fn handle(&mut self, message: PeerMessageRefused, _: &mut Self::Context) {
        let line = LogLine::new(Level::Warn, "peer-message-refused");
        logs::write(&line.with("reason", message.0.as_str()));
        metrics::add(&mut self.metrics, Counter::RefusedInputs, 1);
    }
}

/// A request to shut down, by SIGTERM or SIGINT.
#[derive(Debug)]
#[derive(Message)]
#[rtype(result = "()")]
pub struct ShutdownRequested;

impl Handler<ShutdownRequested> for Shell {
    type Result = ();

    fn handle(&mut self, _: ShutdownRequested, context: &mut Self::Context) {
        dispatch(self, context, Event::ShutdownRequested);
    }
}
