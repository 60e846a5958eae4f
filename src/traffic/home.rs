//! Homes: the databases whose statements are all executed through this VM.

mod admission;
mod allowances;
mod choose;
mod confirm;
mod database;
mod exchange;
mod registry;
mod relay;
mod release;
mod schedule;
mod state;
mod work;

use std::collections::BTreeMap;
use std::sync::Arc;

use arc_swap::ArcSwap;
use tokio::runtime::Handle;
use tokio::sync::{Notify, mpsc};

use database::Home;
use registry::{Command, Registry};
use work::Work;

use crate::control::command::{InstanceRequest, TrafficRequest};
use crate::controller::{EventSender, SharedSnapshot};
use crate::name::{DatabaseName, InstanceName};
use crate::settings::Settings;
use crate::time::Clock;
use crate::traffic::io::HomeIo;
use crate::traffic::{ExchangeHead, Refusal};

/// How an exchange ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExchangeEnd {
    /// The caller received the complete response.
    Answered,
    /// The caller was sent this refusal.
    Refused(Refusal),
    /// The caller disconnected before it received the complete response.
    CallerLost,
}

/// Handle to the databases that this VM is the home of; cheap to clone.
#[derive(Debug, Clone)]
pub struct Homes {
    shared: Arc<Shared>,
    commands: mpsc::UnboundedSender<Command>,
}

/// Resources shared by all homes of one VM.
#[derive(Debug)]
struct Shared {
    settings: Settings,
    snapshot: SharedSnapshot,
    clock: Clock,
    events: EventSender,
    runtime: Handle,
    homes: ArcSwap<BTreeMap<DatabaseName, Arc<Home>>>,
    work: Work,
    /// Notified when a count of running exchanges that the registry waits for has reached zero.
    ended: Arc<Notify>,
}

impl Homes {
    /// Starts the homes of a VM. Homes are added and removed as the databases in the snapshot
    /// change, until the last clone of this handle is dropped.
    ///
    /// # Panics
    ///
    /// Panics outside of a tokio runtime; the connections to the instances run on that runtime.
    pub fn new(
        settings: Settings,
        snapshot: SharedSnapshot,
        clock: Clock,
        events: EventSender,
    ) -> Self {
        let runtime = Handle::current();
        let ended = Arc::new(Notify::new());
        let shared = Arc::new(Shared {
            settings,
            snapshot,
            clock,
            events,
            runtime: runtime.clone(),
            homes: ArcSwap::default(),
            work: Work::new(Arc::clone(&ended)),
            ended,
        });
        let (commands, receiver) = mpsc::unbounded_channel();
        runtime.spawn(Registry::new(Arc::clone(&shared)).run(receiver));
        Self { shared, commands }
    }

    /// Runs one exchange to completion; the last frame that it sends is `HomeFrame::End`.
    pub async fn run(&self, head: ExchangeHead, io: &mut HomeIo<'_>) -> ExchangeEnd {
        let _running = self.shared.work.start();
        exchange::run(&self.shared, head, io).await
    }

    /// Queues a request of the control code and returns without waiting for it.
    pub fn request(&self, request: &TrafficRequest) {
        self.command(Command::Request(request.clone()));
    }

    /// Queues a request to an instance; the result is posted as an event.
    pub fn request_instance(
        &self,
        database: &DatabaseName,
        instance: &InstanceName,
        request: &InstanceRequest,
    ) {
        self.command(Command::Instance {
            database: database.clone(),
            instance: instance.clone(),
            request: request.clone(),
        });
    }

    fn command(&self, command: Command) {
        if self.commands.send(command).is_err() {
            log::debug!("event=homes_stopped");
        }
    }
}
