//! Actor that runs the control code: one thread owns the blackboard, handles the events posted to
//! it and executes the commands that follow.

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

/// Latest snapshot, which the traffic threads read without locking.
pub type SharedSnapshot = Arc<ArcSwap<Snapshot>>;

/// Functions that execute the commands of the control code; none of them may block.
pub struct CommandSinks {
    /// Sends a message to another VM.
    pub send: Box<dyn Fn(VmName, PeerMessage) + Send>,
    /// Calls the platform's service.
    pub platform: Box<dyn Fn(CallId, PlatformRequest) + Send>,
    /// Sends a request to an instance.
    pub instance: Box<dyn Fn(DatabaseName, InstanceName, InstanceRequest) + Send>,
    /// Sends a request to the traffic threads.
    pub traffic: Box<dyn Fn(TrafficRequest) + Send>,
    /// Ends the process.
    pub exit: Box<dyn Fn() + Send>,
}

impl fmt::Debug for CommandSinks {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("CommandSinks").finish_non_exhaustive()
    }
}

/// Handle for posting events to the control thread from any other thread.
#[derive(Debug, Clone)]
pub struct EventSender {
    address: Address<ControlActor>,
}

impl EventSender {
    /// Posts an event without blocking. The event is discarded if the control thread has ended.
    pub fn post(&self, event: Event) {
        let sending = self.address.send(Posted { event }).detach();
        // The mailbox is unbounded, so sending completes on the first poll.
        drop(sending.now_or_never());
    }
}

/// Mailbox of the control thread, created before the thread so that other components can hold
/// its [`EventSender`].
pub struct ControlMailbox {
    mailbox: Mailbox<ControlActor>,
}

impl fmt::Debug for ControlMailbox {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ControlMailbox").finish_non_exhaustive()
    }
}

/// Creates the control thread's mailbox and the handle that posts to it.
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
    sinks: CommandSinks,
    snapshot: SharedSnapshot,
}

impl ControlActor {
    /// Builds the actor, which stores a new snapshot in `snapshot` on each [`Command::Publish`].
    pub fn new(
        board: Blackboard,
        clock: Clock,
        sinks: CommandSinks,
        snapshot: SharedSnapshot,
    ) -> Self {
        Self {
            board,
            clock,
            sinks,
            snapshot,
        }
    }

    /// Runs until every [`EventSender`] has been dropped.
    pub async fn run(self, mailbox: ControlMailbox) {
        xtra::run(mailbox.mailbox, self).await;
    }

    fn execute(&self, command: Command) {
        match command {
            Command::Send { to, message } => (self.sinks.send)(to, message),
            Command::Platform { call, request } => (self.sinks.platform)(call, request),
            Command::Instance {
                database,
                instance,
                request,
            } => {
                (self.sinks.instance)(database, instance, request);
            }
            Command::Traffic(request) => (self.sinks.traffic)(request),
            Command::Log(LogEvent {
                level,
                event,
                fields,
            }) => log_line(level, event, &fields),
            Command::Exit => (self.sinks.exit)(),
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
        // Publish the snapshot first: other commands may start work that relies on it.
        if commands.contains(&Command::Publish) {
            self.snapshot.store(Arc::new(self.board.snapshot(now)));
        }
        for command in commands {
            self.execute(command);
        }
    }
}
