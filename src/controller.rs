//! Runs the control code: one thread owns the blackboard and carries out its commands.

use std::fmt;
use std::sync::Arc;

use arc_swap::ArcSwap;
use futures::FutureExt;
use xtra::{Actor, Address, Context, Handler, Mailbox};

use crate::control::blackboard::CallId;
use crate::control::command::{InstanceRequest, LogEvent, PlatformRequest, TrafficRequest};
use crate::control::{self, Blackboard, Command, Event, Snapshot};
use crate::name::{DatabaseName, InstanceName, VmName};
use crate::peer::PeerMessage;
use crate::telemetry::log_line;
use crate::time::Clock;

/// Snapshot that the traffic threads read without waiting.
pub type SharedSnapshot = Arc<ArcSwap<Snapshot>>;

/// Where the commands of the control code go; each function must return at once.
pub struct Outlets {
    /// Sends a message to another VM.
    pub send: Box<dyn Fn(VmName, PeerMessage) + Send>,
    /// Calls the platform's service.
    pub platform: Box<dyn Fn(CallId, PlatformRequest) + Send>,
    /// Asks something of an instance.
    pub instance: Box<dyn Fn(DatabaseName, InstanceName, InstanceRequest) + Send>,
    /// Tells the traffic threads something.
    pub traffic: Box<dyn Fn(TrafficRequest) + Send>,
    /// Ends the process.
    pub exit: Box<dyn Fn() + Send>,
}

impl fmt::Debug for Outlets {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Outlets").finish_non_exhaustive()
    }
}

/// Handle through which everything outside the control thread posts events.
#[derive(Debug, Clone)]
pub struct EventSender {
    address: Address<ControlActor>,
}

impl EventSender {
    /// Posts an event; it is dropped when the control thread has ended.
    pub fn post(&self, event: Event) {
        let sending = self.address.send(Posted { event }).detach();
        // The mailbox is unbounded, so that sending completes at once.
        drop(sending.now_or_never());
    }
}

/// Mailbox of the control thread, made before the thread so that others can hold its address.
pub struct ControlMailbox {
    mailbox: Mailbox<ControlActor>,
}

impl fmt::Debug for ControlMailbox {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ControlMailbox").finish_non_exhaustive()
    }
}

/// Makes the control thread's mailbox and the handle that posts to it.
pub fn control_mailbox() -> (EventSender, ControlMailbox) {
    let (address, mailbox) = Mailbox::unbounded();
    (EventSender { address }, ControlMailbox { mailbox })
}

struct Posted {
    event: Event,
}

/// Actor that owns the blackboard.
#[derive(Debug)]
pub struct ControlActor {
    board: Blackboard,
    clock: Clock,
    outlets: Outlets,
    snapshot: SharedSnapshot,
}

impl ControlActor {
    /// Builds the actor; `snapshot` is replaced whenever a controller asks for it.
    pub fn new(
        board: Blackboard,
        clock: Clock,
        outlets: Outlets,
        snapshot: SharedSnapshot,
    ) -> Self {
        Self {
            board,
            clock,
            outlets,
            snapshot,
        }
    }

    /// Runs until every [`EventSender`] has been dropped.
    pub async fn run(self, mailbox: ControlMailbox) {
        xtra::run(mailbox.mailbox, self).await;
    }

    fn carry_out(&self, command: Command) {
        match command {
            Command::Send { to, message } => (self.outlets.send)(to, message),
            Command::Platform { call, request } => (self.outlets.platform)(call, request),
            Command::Instance {
                database,
                instance,
                request,
            } => {
                (self.outlets.instance)(database, instance, request);
            }
            Command::Traffic(request) => (self.outlets.traffic)(request),
            Command::Log(LogEvent {
                level,
                event,
                fields,
            }) => log_line(level, event, &fields),
            Command::Exit => (self.outlets.exit)(),
            Command::Publish => {}
        }
    }
}

impl Actor for ControlActor {
    type Stop = ();

    async fn stopped(self) {}
}

impl Handler<Posted> for ControlActor {
    type Return = ();

    async fn handle(&mut self, message: Posted, _ctx: &mut Context<Self>) {
        let now = self.clock.now();
        let commands = control::handle(&mut self.board, &message.event, now);
        // The snapshot comes first: a command may lead to work that relies on it.
        if commands.contains(&Command::Publish) {
            self.snapshot.store(Arc::new(self.board.snapshot(now)));
        }
        for command in commands {
            self.carry_out(command);
        }
    }
}
