//! The daemon: a thread for the control code, a runtime for traffic, and the wiring between them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use arc_swap::ArcSwap;
use snafu::{OptionExt, ResultExt};
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Notify, watch};
use tokio::time::{MissedTickBehavior, interval, timeout};

use crate::admin::auth::Operators;
use crate::admin::server::AdminServer;
use crate::admin::{self, AdminState};
use crate::control::Event;
use crate::control::blackboard::{Blackboard, Incarnation, LocalVm};
use crate::control::command::LogField;
use crate::controller::{
    CommandSinks, ControlActor, ControlMailbox, EventSender, SharedSnapshot, control_mailbox,
};
use crate::error::{
    AdministrationSnafu, CallersSnafu, EndedSnafu, PeersSnafu, PlatformSnafu, Result, SignalsSnafu,
    SpansSnafu, ThreadsSnafu,
};
use crate::peer::{PeerClient, PeerHandlers, PeerMessage, PeerServer, PeerSockets};
use crate::settings::{Settings, VmSettings};
use crate::store::runner::PlatformRunner;
use crate::store::{Platform, etcd};
use crate::telemetry::{log_line, span};
use crate::time::Clock;
use crate::traffic::caller::{self, CallerContext, CallerListener, CallerRegistry};
use crate::traffic::home::Homes;
use crate::traffic::io::HomeIo;

/// Maximum number of worker threads of the traffic runtime.
const MAX_TRAFFIC_THREADS: usize = 8;

/// Running daemon. Dropping it ends it immediately, as a crash would.
#[derive(Debug)]
pub struct Daemon {
    components: Components,
    shutdown_timeout: Duration,
    /// Must be the last field: the components have to be dropped before their runtime.
    _runtime: TrafficRuntime,
}

/// Runtime of the traffic threads; dropping it does not wait for its tasks.
#[derive(Debug)]
struct TrafficRuntime {
    runtime: Option<Runtime>,
}

impl Drop for TrafficRuntime {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

/// Components that live as long as the daemon.
#[derive(Debug)]
struct Components {
    callers: CallerListener,
    shutdown: watch::Sender<bool>,
    admin: AdminServer,
    peer_address: SocketAddr,
    events: EventSender,
    exit: Arc<Notify>,
    _peers: PeerServer,
}

impl Daemon {
    /// Starts the daemon. It serves callers as soon as it has received a configuration.
    ///
    /// # Errors
    ///
    /// Fails when a setting, such as an address or a file, can't be used, or when threads can't be
    /// started.
    pub async fn start(settings: Settings) -> Result<Self> {
        let threads = std::thread::available_parallelism().map_or(1, usize::from);
        let runtime = Builder::new_multi_thread()
            .worker_threads(threads.min(MAX_TRAFFIC_THREADS))
            .thread_name("traffic")
            .enable_all()
            .build()
            .context(ThreadsSnafu)?;
        let shutdown_timeout = Duration::from_millis(settings.control.shutdown_timeout_ms);
        let starting = runtime.spawn(start_components(settings));
        let runtime = TrafficRuntime {
            runtime: Some(runtime),
        };
        let components = starting.await.ok().context(EndedSnafu)??;
        Ok(Self {
            components,
            shutdown_timeout,
            _runtime: runtime,
        })
    }

    /// Returns the listen address for callers, with the port that was actually bound.
    pub fn caller_address(&self) -> SocketAddr {
        self.components.callers.address
    }

    /// Returns the listen address of the administration API, with the port that was actually bound.
    pub fn admin_address(&self) -> SocketAddr {
        self.components.admin.address()
    }

    /// Returns the listen address for peers, with the port that was actually bound.
    pub fn peer_address(&self) -> SocketAddr {
        self.components.peer_address
    }

    /// Shuts the daemon down gracefully: it ends once the running requests have completed, or when
    /// `control.shutdown_timeout_ms` has elapsed.
    pub async fn stop(self) {
        let components = self.components;
        // Can't fail: the listener keeps a receiver.
        let _ = components.shutdown.send(true);
        components.events.post(Event::Shutdown);
        let stopping =
            async { tokio::join!(components.callers.stopped(), components.exit.notified()) };
        if timeout(self.shutdown_timeout, stopping).await.is_err() {
            log::warn!(
                "event=shutdown_timeout limit_ms={}",
                self.shutdown_timeout.as_millis()
            );
        }
    }

    /// Ends the daemon immediately, as a crash would.
    pub fn kill(self) {
        drop(self);
    }
}

/// Waits until the process receives SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails when the signal handlers can't be installed.
pub async fn wait_for_signal() -> Result<()> {
    let mut terminate = signal(SignalKind::terminate()).context(SignalsSnafu)?;
    let mut interrupt = signal(SignalKind::interrupt()).context(SignalsSnafu)?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

async fn start_components(settings: Settings) -> Result<Components> {
    span::start(&settings.telemetry, &settings.vm.name).context(SpansSnafu)?;
    let local = local_vm(&settings.vm);
    let clock = Clock::start();
    let board = Blackboard::new(local.clone(), settings.control.clone());
    let snapshot = Arc::new(ArcSwap::from_pointee(board.snapshot(clock.now())));
    let (events, mailbox) = control_mailbox();

    let sockets = PeerSockets::bind(&settings.peers, &local)
        .await
        .context(PeersSnafu)?;
    let peer_address = sockets.address();
    let peers = sockets.client(Arc::clone(&snapshot));
    let homes = Homes::new(
        settings.clone(),
        Arc::clone(&snapshot),
        clock,
        events.clone(),
    );
    let platform = etcd::platform(&settings.platform).context(PlatformSnafu)?;
    let admin = start_admin(&settings, Arc::clone(&snapshot), platform.clone()).await?;
    let runner = PlatformRunner::new(platform, clock, events.clone());
    let exit = Arc::new(Notify::new());

    let command_sinks = command_sinks(peers.clone(), runner, homes.clone(), Arc::clone(&exit));
    let actor = ControlActor::new(board, clock, command_sinks, Arc::clone(&snapshot));
    let tick = Duration::from_millis(settings.control.tick_ms);
    start_control(actor, mailbox, events.clone(), tick)?;
    let (shutdown, stopping) = watch::channel(false);
    let callers = CallerContext {
        settings: settings.callers.clone(),
        snapshot,
        homes: homes.clone(),
        peers: peers.clone(),
        shutdown: stopping,
    };
    let callers = caller::serve(callers).await.context(CallersSnafu)?;
    let registry = Arc::clone(callers.registry());
    let server = sockets.serve(peer_handlers(events.clone(), homes, registry));

    let started = [
        LogField {
            name: "vm",
            value: local.name.to_string(),
        },
        LogField {
            name: "peer_address",
            value: peer_address.to_string(),
        },
    ];
    log_line(log::Level::Info, "started", &started);
    Ok(Components {
        callers,
        shutdown,
        admin,
        peer_address,
        events,
        exit,
        _peers: server,
    })
}

async fn start_admin(
    settings: &Settings,
    snapshot: SharedSnapshot,
    platform: Platform,
) -> Result<AdminServer> {
    let operators = Operators::new(&settings.administration.tokens);
    let router = admin::router(AdminState::new(snapshot, platform, operators));
    let starting = AdminServer::start(&settings.administration, router).await;
    starting.context(AdministrationSnafu)
}

fn local_vm(settings: &VmSettings) -> LocalVm {
    // The start time in milliseconds serves as the incarnation: it is greater for a later start
    // unless the machine's clock was set back to before the earlier one.
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    LocalVm {
        name: settings.name.clone(),
        incarnation: Incarnation(u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)),
        availability_zone: settings.availability_zone.clone(),
        region: settings.region.clone(),
        cell: settings.cell.clone(),
    }
}

fn command_sinks(
    peers: PeerClient,
    runner: PlatformRunner,
    homes: Homes,
    exit: Arc<Notify>,
) -> CommandSinks {
    let instances = homes.clone();
    CommandSinks {
        send: Box::new(move |to, message| peers.send(&to, message)),
        platform: Box::new(move |call, request| runner.start(call, request)),
        instance: Box::new(move |database, instance, request| {
            instances.request_instance(&database, &instance, &request);
        }),
        traffic: Box::new(move |request| homes.request(&request)),
        exit: Box::new(move || exit.notify_one()),
    }
}

fn peer_handlers(events: EventSender, homes: Homes, callers: Arc<CallerRegistry>) -> PeerHandlers {
    PeerHandlers {
        message: Box::new(move |from, incarnation, message| match message {
            PeerMessage::Cancel(key) => callers.cancel(key),
            message => events.post(Event::Peer {
                from,
                incarnation,
                message,
            }),
        }),
        exchange: Box::new(move |head, mut stream| {
            let homes = homes.clone();
            tokio::spawn(async move {
                let ended = homes.run(head, &mut HomeIo::Remote(&mut stream)).await;
                log::trace!("event=exchange_ended place=peer end={ended:?}");
            });
        }),
    }
}

/// Runs the control code on a thread of its own until the traffic runtime is shut down.
fn start_control(
    actor: ControlActor,
    mailbox: ControlMailbox,
    events: EventSender,
    tick: Duration,
) -> Result<()> {
    let runtime = Builder::new_current_thread()
        .enable_time()
        .build()
        .context(ThreadsSnafu)?;
    // A task of the traffic runtime owns the sender: shutting that runtime down drops it, which
    // ends the control thread.
    let (alive, mut ended) = watch::channel(());
    tokio::spawn(async move {
        let _alive = alive;
        std::future::pending::<()>().await;
    });
    let ticking = async move {
        let mut ticks = interval(tick);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            events.post(Event::Tick);
        }
    };
    let running = async move {
        tokio::select! {
            () = actor.run(mailbox) => {}
            () = ticking => {}
            _ = ended.changed() => {}
        }
    };
    let thread = std::thread::Builder::new().name("control".to_owned());
    thread
        .spawn(move || runtime.block_on(running))
        .context(ThreadsSnafu)?;
    Ok(())
}
