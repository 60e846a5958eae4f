//! Homes: the databases whose statements all run through this VM.

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
use registry::{Order, Registry};
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
    /// The caller has its whole answer.
    Answered,
    /// The caller was sent this refusal.
    Refused(Refusal),
    /// The caller went away before it had its answer.
    CallerLost,
}

/// The databases that this VM is the home of; cheap to clone.
#[derive(Debug, Clone)]
pub struct Homes {
    shared: Arc<Shared>,
    orders: mpsc::UnboundedSender<Order>,
}

/// What the homes of one VM share.
#[derive(Debug)]
struct Shared {
    settings: Settings,
    snapshot: SharedSnapshot,
    clock: Clock,
    events: EventSender,
    runtime: Handle,
    homes: ArcSwap<BTreeMap<DatabaseName, Arc<Home>>>,
    work: Work,
    /// Notified when work ends that someone waits for.
    ended: Arc<Notify>,
}

impl Homes {
    /// Builds the homes of a VM; they follow the databases of the snapshot until the last clone is
    /// dropped.
    ///
    /// # Panics
    ///
    /// Panics outside of a tokio runtime, on which the connections to the instances run.
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
        let (orders, receiver) = mpsc::unbounded_channel();
        runtime.spawn(Registry::new(Arc::clone(&shared)).run(receiver));
        Self { shared, orders }
    }

    /// Runs one exchange to its end; the last frame that it sends is `HomeFrame::End`.
    pub async fn run(&self, head: ExchangeHead, io: &mut HomeIo<'_>) -> ExchangeEnd {
        let _running = self.shared.work.start();
        exchange::run(&self.shared, head, io).await
    }

    /// Carries out a request of the control code; returns at once.
    pub fn request(&self, request: &TrafficRequest) {
        self.order(Order::Request(request.clone()));
    }

    /// Asks something of an instance; the answer is posted as an event.
    pub fn instance(
        &self,
        database: &DatabaseName,
        instance: &InstanceName,
        request: &InstanceRequest,
    ) {
        self.order(Order::Instance {
            database: database.clone(),
            instance: instance.clone(),
            request: request.clone(),
        });
    }

    fn order(&self, order: Order) {
        if self.orders.send(order).is_err() {
            log::debug!("event=homes_stopped");
        }
    }
}
