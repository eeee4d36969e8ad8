//! The actor that owns the reducer's state, and the messages that bring events to it.

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
use actix_http::ServiceConfig;
use awc::{Client, http::header::USER_AGENT};
use bytes::Bytes;
use model::{
    AttemptKey, CallFailure, CallKey, CallerKey, Effect, Event, HttpResponse, Kind, Level,
    LoadReport, LogLine, PlatformFailure, PlatformRead, ReplyView, RequestView, TargetKey, Timer,
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
    attempts::{Carrier, Idle, LastHead},
    callers::{self, Headers},
    client,
    clock::{self, Clock},
    effects,
    error::StartError,
    exchanges, ingress,
    metrics::{self, Metrics},
    operators,
    peers::{self, Outboxes},
    targets::{Pool, TargetReply},
    timers::{self, Timers},
    waits::{self, Waits},
};

/// The actor: the reducer's state and what its effects need.
pub struct Shell {
    pub(crate) state: State,
    /// Tells the callers' ports to let callers reconnect elsewhere.
    pub(crate) turns_away: Arc<AtomicBool>,
    pub(crate) clock: Clock,
    pub(crate) metrics: Metrics,
    pub(crate) timers: Option<Timers>,
    pub(crate) callers: SlotMap<CallerKey, CallerReply>,
    pub(crate) pools: SecondaryMap<TargetKey, Pool>,
    pub(crate) calls: SecondaryMap<CallKey, JoinHandle<()>>,
    pub(crate) outboxes: Outboxes,
    pub(crate) platform: Client,
    pub(crate) origin: String,
    pub(crate) waits: Waits,
    /// What all connections of the gateway share.
    pub(crate) client: ServiceConfig,
    pub(crate) idle: Idle,
    pub(crate) last_head: LastHead,
    /// Closes the ports before the process ends.
    pub(crate) close_ports: watch::Sender<bool>,
    pub(crate) attempts: SecondaryMap<AttemptKey, Carrier>,
    effects: Vec<Effect>,
}

/// Serves until the reducer asks for the end of the process.
///
/// # Errors
///
/// Returns an error if a port cannot be opened.
pub fn run(settings: Settings, settings_path: PathBuf) -> Result<(), StartError> {
    logs::open();
    let system = System::new();
    system.block_on(start(settings, settings_path))?;
    let ended = system.run().map_err(StartError::Serve);
    logs::close();
    ended
}

async fn start(settings: Settings, settings_path: PathBuf) -> Result<(), StartError> {
    let listen = settings.listen.clone();
    let limits = settings.query.clone();
    let gateway = settings.gateway.clone();
    let metrics = metrics::open()?;
    let registry = metrics::registry(&metrics);
    let gauges = metrics::open_gauges(&metrics);
    let incarnation = incarnation();
    let origin = format!("{}:{incarnation}", settings.instance.name);
    let user_agent = format!("balsamd/{}", settings.instance.name);
    let platform = Client::builder()
        .disable_redirects()
        .add_default_header((USER_AGENT, user_agent))
        .finish();
    let peers = TcpListener::bind(listen.peers)
        .await
        .map_err(|error| StartError::Listen("peers", listen.peers, error))?;
    let turns_away = Arc::new(AtomicBool::new(false));
    let (close_ports, closing) = watch::channel(false);
    let shell = Shell {
        turns_away: turns_away.clone(),
        state: tier::open(settings, incarnation, seed()?),
        clock: clock::system(),
        metrics,
        timers: None,
        callers: SlotMap::with_key(),
        pools: SecondaryMap::new(),
        calls: SecondaryMap::new(),
        outboxes: Outboxes::new(),
        platform,
        origin,
        waits: Waits::with_key(),
        client: client::config(),
        idle: Idle::new(),
        last_head: LastHead::default(),
        close_ports,
        attempts: SecondaryMap::new(),
        effects: Vec::new(),
    };
    let address = shell.start();
    if let Some(callers) = listen.callers {
        let turns_away = turns_away.clone();
        let closing = closing.clone();
        callers::spawn(address.clone(), callers, &limits, turns_away, closing).await?;
    }
    if let Some(gateway) = &gateway {
        ingress::spawn(address.clone(), gateway, turns_away, closing.clone()).await?;
    }
    operators::spawn(address.clone(), registry, gauges, &listen, closing).await?;
    peers::spawn_listener(address.clone(), peers);
    spawn_signals(address, settings_path)?;
    logs::write(&listening(&listen, gateway.as_ref()));
    Ok(())
}

fn listening(listen: &settings::Listen, gateway: Option<&settings::Gateway>) -> LogLine {
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

/// Returns a number larger than that of any earlier run, as far as the machine's clock permits.
fn incarnation() -> u64 {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since_epoch.map_or(1, |age| u64::try_from(age.as_micros()).unwrap_or(u64::MAX))
}

/// Draws the seed of the reducer's random numbers from the operating system.
fn seed() -> Result<u64, StartError> {
    SysRng
        .try_next_u64()
        .map_err(|error| StartError::Random(error.to_string()))
}

fn spawn_signals(shell: actix::Addr<Shell>, settings_path: PathBuf) -> Result<(), StartError> {
    let mut terminate = signal(SignalKind::terminate()).map_err(StartError::Serve)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(StartError::Serve)?;
    let mut hangup = signal(SignalKind::hangup()).map_err(StartError::Serve)?;
    actix_rt::spawn(async move {
        loop {
            tokio::select! {
                _ = terminate.recv() => shell.do_send(LeaveWanted),
                _ = interrupt.recv() => shell.do_send(LeaveWanted),
                _ = hangup.recv() => reload(&shell, &settings_path),
            }
        }
    });
    Ok(())
}

/// Reads the settings file again.
fn reload(shell: &actix::Addr<Shell>, path: &Path) {
    match fs::read_to_string(path) {
        Ok(document) => shell.do_send(SettingsRead(document)),
        Err(error) => {
            let line = LogLine::new(Level::Warn, "settings-unreadable");
            logs::write(&line.with("message", error.to_string().as_str()));
        }
    }
}

/// The settings file as it was read again.
#[derive(Debug)]
#[derive(Message)]
#[rtype(result = "()")]
struct SettingsRead(String);

impl Handler<SettingsRead> for Shell {
    type Result = ();

    fn handle(&mut self, message: SettingsRead, context: &mut Self::Context) {
        let document = message.0.as_str();
        handle(self, context, Event::SettingsRead { document });
    }
}

impl Actor for Shell {
    type Context = Context<Shell>;

    fn started(&mut self, context: &mut Self::Context) {
        self.timers = Some(timers::spawn(context.address()));
        handle(self, context, Event::Started);
    }
}

/// Passes one event to the reducer and runs the effects.
pub(crate) fn handle(shell: &mut Shell, context: &mut Context<Shell>, event: Event<'_>) {
    let now = (shell.clock.now)();
    let mut out = std::mem::take(&mut shell.effects);
    tier::reduce(&mut shell.state, now, event, &mut out);
    let address = context.address();
    for effect in out.drain(..) {
        effects::run(shell, &address, effect);
    }
    shell.effects = out;
    let turns_away = tier::turns_callers_away(&shell.state);
    shell.turns_away.store(turns_away, Ordering::Relaxed);
    waits::settle(shell);
}

/// Where the answer to a caller goes.
#[derive(Debug)]
pub enum CallerReply {
    /// The caller sent a request.
    Answer(oneshot::Sender<model::Answer>),
    /// The caller of the gateway sent a request.
    Http(oneshot::Sender<HttpResponse>),
    /// The caller asked for tickets.
    Tickets(oneshot::Sender<Vec<String>>),
}

/// A caller's wish for tickets.
#[derive(Debug)]
#[derive(Message)]
#[rtype(result = "()")]
pub struct TicketsWanted {
    /// Number of tickets.
    pub count: u32,
    /// Where the tickets go.
    pub reply: oneshot::Sender<Vec<String>>,
}

impl Handler<TicketsWanted> for Shell {
    type Result = ();

    fn handle(&mut self, message: TicketsWanted, context: &mut Self::Context) {
        let count = message.count;
        let caller = self.callers.insert(CallerReply::Tickets(message.reply));
        handle(self, context, Event::TicketsWanted { caller, count });
    }
}

/// The end of a caller's connection before its answer.
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
        if self.callers.remove(caller).is_some() {
            handle(self, context, Event::CallerGone { caller });
        }
    }
}

/// A caller's request.
#[derive(Debug)]
#[derive(Message)]
#[rtype(result = "()")]
pub struct CallerRequest {
    /// Name of the front.
    pub front: String,
    /// Parameters.
    pub headers: Headers,
    /// The query.
    pub body: Bytes,
    /// Where the answer goes.
    pub reply: oneshot::Sender<model::Answer>,
    /// Receives the key of the caller, for the report that it has gone.
    pub key: Arc<OnceLock<CallerKey>>,
}

impl Handler<CallerRequest> for Shell {
    type Result = ();

    fn handle(&mut self, message: CallerRequest, context: &mut Self::Context) {
        let caller = self.callers.insert(CallerReply::Answer(message.reply));
        // The cell belongs to this message alone, so it is empty.
        let _ = message.key.set(caller);
        let headers = &message.headers;
        let kind = match headers.ticket.as_deref() {
            None => Kind::Idempotent,
            Some(ticket) => Kind::Once { ticket },
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
        handle(self, context, Event::Request { caller, request });
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
                handle(self, context, Event::Reply { call, reply });
            }
            &Err(failure) => handle(self, context, Event::CallFailed { call, failure }),
        }
    }
}

/// The end of a load probe.
#[derive(Debug)]
#[derive(Message)]
#[rtype(result = "()")]
pub struct LoadAnswered {
    /// The target.
    pub target: TargetKey,
    /// The report or the failure.
    pub result: Result<LoadReport, CallFailure>,
}

impl Handler<LoadAnswered> for Shell {
    type Result = ();

    fn handle(&mut self, message: LoadAnswered, context: &mut Self::Context) {
        let target = message.target;
        let event = match message.result {
            Ok(report) => Event::Load { target, report },
            Err(failure) => Event::LoadFailed { target, failure },
        };
        handle(self, context, event);
    }
}

/// A timer that is due.
#[derive(Debug)]
#[derive(Message)]
#[rtype(result = "()")]
pub struct TimerDue(pub Timer);

impl Handler<TimerDue> for Shell {
    type Result = ();

    fn handle(&mut self, message: TimerDue, context: &mut Self::Context) {
        handle(self, context, Event::Timer(message.0));
    }
}

/// A message of another instance.
#[derive(Debug)]
#[derive(Message)]
#[rtype(result = "()")]
pub struct PeerMessage(pub model::Message);

impl Handler<PeerMessage> for Shell {
    type Result = ();

    fn handle(&mut self, message: PeerMessage, context: &mut Self::Context) {
        if let model::Message::StoreChanges(changes) = &message.0 {
            exchanges::store_shared(self, context, changes);
            return;
        }
        handle(
            self,
            context,
            Event::Peer {
                message: Cow::Borrowed(&message.0),
            },
        );
    }
}

/// The loss of the connection to another instance.
#[derive(Debug)]
#[derive(Message)]
#[rtype(result = "()")]
pub struct PeerUnreachable(pub SocketAddr);

impl Handler<PeerUnreachable> for Shell {
    type Result = ();

    fn handle(&mut self, message: PeerUnreachable, context: &mut Self::Context) {
        handle(self, context, Event::PeerUnreachable { address: message.0 });
    }
}

/// A value of the platform.
#[derive(Clone, Debug)]
pub struct PlatformValue {
    /// The platform's version of the value.
    pub version: u64,
    /// The value.
    pub body: Bytes,
}

/// The end of a read of the platform.
#[derive(Debug)]
#[derive(Message)]
#[rtype(result = "()")]
pub struct PlatformAnswer {
    /// The read.
    pub read: PlatformRead,
    /// The value or the failure.
    pub result: Result<PlatformValue, PlatformFailure>,
}

impl Handler<PlatformAnswer> for Shell {
    type Result = ();

    fn handle(&mut self, message: PlatformAnswer, context: &mut Self::Context) {
        let read = message.read;
        let event = match (&message.result, read) {
            (&Err(failure), _) => Event::PlatformFailed { read, failure },
            (Ok(value), PlatformRead::WatchNote { .. }) => Event::PlatformNote {
                version: value.version,
                body: &value.body,
            },
            (Ok(value), PlatformRead::Instances) => Event::PlatformInstances { body: &value.body },
        };
        handle(self, context, event);
    }
}

/// A signal to shut down.
#[derive(Debug)]
#[derive(Message)]
#[rtype(result = "()")]
pub struct LeaveWanted;

impl Handler<LeaveWanted> for Shell {
    type Result = ();

    fn handle(&mut self, _: LeaveWanted, context: &mut Self::Context) {
        handle(self, context, Event::Leave);
    }
}
