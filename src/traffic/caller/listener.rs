//! Listener for connections of callers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use bytes::BytesMut;
use snafu::{ResultExt, Snafu};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};
use tokio::task::JoinHandle;
use tokio::time::timeout;

use super::login::{LoginConnection, LoginError};
use super::negotiation::{NegotiatedConnection, Request, negotiate};
use super::plan_cache::PlanCache;
use super::registry::{CallerRegistry, CancelKey};
use super::response::{CallerError, Severity, put_error};
use super::session::CallerSession;
use super::shared::CallerShared;
use super::socket::CallerSocket;
use super::tls::{TlsError, TlsSource};
use crate::controller::SharedSnapshot;
use crate::peer::{PeerClient, PeerMessage};
use crate::settings::CallerSettings;
use crate::traffic::{Homes, dispatch};

/// Interval at which callers' keys are checked against the configuration, and certificate files for
/// changes.
const WATCH_INTERVAL: Duration = Duration::from_millis(200);
/// Time over which the connections of idle callers are closed when the VM shuts down.
const CLOSE_SPREAD: Duration = Duration::from_secs(3);
/// Delay after a failed accept, for example when no file descriptors are left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time limit for writing the error to a caller whose login is rejected.
const REJECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Result of starting the listener.
pub type Result<T, E = ListenError> = std::result::Result<T, E>;

/// Why the listener can't be started.
#[derive(Debug, Snafu)]
pub enum ListenError {
    /// The address can't be used.
    #[snafu(display("callers.listen_address {address} can't be used: {source}; choose another"))]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// The certificate or its key can't be used.
    #[snafu(display("{source}"))]
    Tls {
        /// The cause.
        source: TlsError,
    },
    /// Only one of certificate and key is set.
    #[snafu(display(
        "give both callers.tls_certificate_file and callers.tls_key_file, or neither"
    ))]
    IncompleteTls,
}

/// Settings and dependencies of the listener.
#[derive(Debug)]
pub struct CallerContext {
    /// Settings of the listener.
    pub settings: CallerSettings,
    /// Snapshot that the controller publishes.
    pub snapshot: SharedSnapshot,
    /// Homes that run on this VM.
    pub homes: Homes,
    /// Client for the other VMs.
    pub peers: PeerClient,
    /// Becomes true when the VM shuts down.
    pub shutdown: watch::Receiver<bool>,
}

/// Handle of a running listener.
#[derive(Debug)]
pub struct CallerListener {
    /// Address that callers connect to.
    pub address: SocketAddr,
    registry: Arc<CallerRegistry>,
    accept_task: JoinHandle<()>,
}

impl CallerListener {
    /// Cancels the running statement of the caller that holds the key, if it is connected to this
    /// VM.
    pub fn cancel(&self, key: CancelKey) {
        self.registry.cancel(key);
    }

    /// Returns the registry of the callers that are logged in to this VM.
    pub fn registry(&self) -> &Arc<CallerRegistry> {
        &self.registry
    }

    /// Waits until the listener has shut down and the last caller has disconnected.
    pub async fn stopped(self) {
        // The task is never aborted, so this fails only if it panics.
        let _ = self.accept_task.await;
        self.registry.wait_until_empty().await;
    }
}

/// Starts the listener.
///
/// # Errors
///
/// Fails when the address or the certificate can't be used.
pub async fn serve(context: CallerContext) -> Result<CallerListener> {
    let CallerContext {
        settings,
        snapshot,
        homes,
        peers,
        shutdown,
    } = context;
    let tls = read_tls(&settings)?;
    let address = settings.listen_address;
    let bound = TcpListener::bind(address).await;
    let listener = bound.context(BindSnafu { address })?;
    let address = listener.local_addr().context(BindSnafu { address })?;
    let registry = Arc::new(CallerRegistry::new(&snapshot.load().local.name));
    let shared = Arc::new(CallerShared {
        settings,
        snapshot,
        homes,
        peers,
        registry: Arc::clone(&registry),
        plans: PlanCache::default(),
        mock_secret: rand::random(),
        exchanges: AtomicU64::new(1),
    });
    tokio::spawn(watch_changes(
        Arc::clone(&shared),
        tls.clone(),
        shutdown.clone(),
    ));
    let acceptor = Acceptor {
        connections: Arc::new(Semaphore::new(shared.settings.max_connections)),
        logins: Arc::new(Semaphore::new(shared.settings.max_unauthenticated)),
        shared,
        tls,
    };
    let accept_task = tokio::spawn(acceptor.run(listener, shutdown));
    Ok(CallerListener {
        address,
        registry,
        accept_task,
    })
}

fn read_tls(settings: &CallerSettings) -> Result<Option<Arc<TlsSource>>> {
    match (&settings.tls_certificate_file, &settings.tls_key_file) {
        (None, None) => Ok(None),
        (Some(certificate), Some(key)) => {
            let source = TlsSource::read(certificate, key).context(TlsSnafu)?;
            Ok(Some(Arc::new(source)))
        }
        _ => IncompleteTlsSnafu.fail(),
    }
}

/// Applies changes of the configuration and of the certificate files until the VM shuts down and no
/// caller is left.
async fn watch_changes(
    shared: Arc<CallerShared>,
    tls: Option<Arc<TlsSource>>,
    shutdown: watch::Receiver<bool>,
) {
    let mut interval = tokio::time::interval(WATCH_INTERVAL);
    let mut checked = None;
    loop {
        interval.tick().await;
        let configuration = Arc::clone(&shared.snapshot.load().configuration);
        if checked
            .as_ref()
            .is_none_or(|checked| !Arc::ptr_eq(checked, &configuration))
        {
            shared.registry.signal_withdrawn_keys(&configuration);
            checked = Some(configuration);
        }
        match tls.as_ref().map(|tls| tls.reload()) {
            Some(Ok(true)) => log::info!("event=caller_certificate_changed"),
            Some(Err(error)) => log::warn!("event=caller_certificate_unusable error={error:?}"),
            Some(Ok(false)) | None => {}
        }
        if *shutdown.borrow() && shared.registry.is_empty() {
            return;
        }
    }
}

struct Acceptor {
    shared: Arc<CallerShared>,
    tls: Option<Arc<TlsSource>>,
    connections: Arc<Semaphore>,
    logins: Arc<Semaphore>,
}

impl Acceptor {
    async fn run(self, listener: TcpListener, mut shutdown: watch::Receiver<bool>) {
        // A dropped sender also means that the process is ending.
        let stopped = async move {
            let _ = shutdown.wait_for(|stop| *stop).await;
        };
        tokio::pin!(stopped);
        loop {
            tokio::select! {
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => self.admit(stream),
                    Err(error) => {
                        log::warn!("event=caller_accept_failed error={error:?}");
                        tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                    }
                },
                () = &mut stopped => break,
            }
        }
        drop(listener);
        self.shared.registry.close_all(CLOSE_SPREAD).await;
    }

    fn admit(&self, stream: TcpStream) {
        // Responses are small and must not be delayed by Nagle's algorithm.
        let _ = stream.set_nodelay(true);
        let connection = Arc::clone(&self.connections).try_acquire_owned();
        let login = Arc::clone(&self.logins).try_acquire_owned();
        let (Ok(connection), Ok(login)) = (connection, login) else {
            reject_connection(&stream);
            return;
        };
        let (shared, tls) = (Arc::clone(&self.shared), self.tls.clone());
        tokio::spawn(async move {
            // Boxed so that an idle caller does not hold the memory of the login future.
            let session = Box::pin(log_in(stream, &shared, tls.as_deref(), login)).await;
            if let Some(session) = session {
                run(session).await;
            }
            drop(connection);
        });
    }
}

/// Sends the error for too many connections, without waiting for the caller.
fn reject_connection(stream: &TcpStream) {
    let mut out = BytesMut::new();
    let error = CallerError::new(
        "53300",
        "not run: too many connections; connect to another VM",
    );
    put_error(&mut out, Severity::Fatal, &error);
    // The send buffer of a new connection has room for the error; otherwise the connection is just
    // closed.
    let _ = stream.try_write(&out);
}

async fn log_in(
    stream: TcpStream,
    shared: &Arc<CallerShared>,
    tls: Option<&TlsSource>,
    permit: OwnedSemaphorePermit,
) -> Option<CallerSession> {
    let limit = Duration::from_millis(shared.settings.login_timeout_ms);
    let negotiated = timeout(limit, negotiate(stream, tls)).await.ok()?.ok()?;
    let NegotiatedConnection { socket, request } = negotiated;
    let startup = match request {
        Request::Cancel(key) => {
            cancel(key, shared);
            return None;
        }
        Request::LogIn(startup) => startup,
    };
    let is_plain = matches!(socket, CallerSocket::Plain(_));
    let mut connection = LoginConnection::new(socket);
    if is_plain && tls.is_some() {
        let error = CallerError::new("28000", "not over TLS; connect with sslmode=require");
        reject(connection, &error).await;
        return None;
    }
    let login = match timeout(limit, connection.log_in(startup, shared)).await {
        Ok(Ok(login)) => login,
        Ok(Err(error)) => {
            log::debug!("event=login_failed error={:?}", error.to_string());
            reject_login(connection, &error).await;
            return None;
        }
        Err(_elapsed) => return None,
    };
    drop(permit);
    connection.into_session(shared, login).await.ok()
}

async fn reject_login(connection: LoginConnection, error: &LoginError) {
    if let Some(error) = error.caller_error() {
        reject(connection, &error).await;
    }
}

async fn reject(connection: LoginConnection, error: &CallerError) {
    // A caller that does not read the error in time is disconnected without it.
    let _ = timeout(REJECT_TIMEOUT, connection.reject(error)).await;
}

/// Cancels the statement if this VM may have issued the key, and forwards the request to every
/// other VM that may have issued it.
fn cancel(key: CancelKey, shared: &CallerShared) {
    let snapshot = shared.snapshot.load();
    if key.may_belong_to(&snapshot.local.name) {
        shared.registry.cancel(key);
    }
    for vm in snapshot.peers.keys().filter(|vm| key.may_belong_to(vm)) {
        shared.peers.send(vm, PeerMessage::Cancel(key));
    }
}

async fn run(mut session: CallerSession) {
    while let Some(head) = session.next_exchange().await {
        // Boxed so that an idle caller does not hold the memory of the exchange future.
        Box::pin(dispatch::run(&mut session, head)).await;
    }
}
