//! One gateway, as a VM that forwards to it sees it.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

use super::channel::{Channel, PeerRequest, Result};
use super::clock;
use super::health::{Health, Verdict};
use super::record::VmRecord;
use crate::name::VmName;
use crate::time::Timestamp;

/// Longest time to connect to a gateway.
const CONNECT_WITHIN: Duration = Duration::from_millis(250);

/// Idle time after which a connection to a gateway is closed.
const IDLE_LIMIT: Duration = Duration::from_secs(8);

/// Time for which a gateway that left a task to another is asked last.
const DECLINED_PAUSE: Duration = Duration::from_millis(500);

/// Longest time for a doubtful gateway to show that it lives.
const PING_WITHIN: Duration = Duration::from_millis(250);

/// Pause between two questions to a doubtful gateway.
const PING_PAUSE: Duration = Duration::from_millis(150);

/// Gateway with the connections to it and the evidence about it.
#[derive(Debug)]
pub struct Gateway {
    vm: VmName,
    address: SocketAddr,
    lease: u64,
    idle: RefCell<Vec<Channel>>,
    health: RefCell<Health>,
    asked_at: Cell<Option<Instant>>,
    declined_at: Cell<Option<Instant>>,
    lost: Notify,
}

/// Connection to a gateway; goes back when dropped, but for one in the middle of something.
#[derive(Debug)]
pub struct ChannelLease {
    gateway: Rc<Gateway>,
    channel: Option<Channel>,
    is_settled: bool,
}

impl Gateway {
    /// Builds a gateway that nothing is known of.
    pub fn new(vm: VmName, record: &VmRecord) -> Self {
        Self {
            vm,
            address: record.peer_address,
            lease: record.lease,
            idle: RefCell::default(),
            health: RefCell::default(),
            asked_at: Cell::new(None),
            declined_at: Cell::new(None),
            lost: Notify::new(),
        }
    }

    /// Returns whether the registration is that of the same process.
    pub const fn is_of(&self, record: &VmRecord) -> bool {
        self.lease == record.lease
    }

    /// Returns the VM's name.
    pub const fn vm(&self) -> &VmName {
        &self.vm
    }

    /// Takes an idle connection or opens one.
    ///
    /// # Errors
    ///
    /// Fails when the gateway can't be reached; nothing was sent.
    pub async fn take(self: &Rc<Self>) -> Result<ChannelLease> {
        loop {
            let idle = self.idle.borrow_mut().pop();
            let channel = match idle {
                Some(channel) if channel.is_usable(IDLE_LIMIT) => channel,
                Some(_) => continue,
                None => Channel::open(self.address, CONNECT_WITHIN).await?,
            };
            return Ok(ChannelLease::new(Rc::clone(self), channel));
        }
    }

    /// Records evidence about the gateway; ends the waits that may go elsewhere once it counts as
    /// unreachable.
    pub fn note_health(&self, note: impl FnOnce(&mut Health, Timestamp)) {
        note(&mut self.health.borrow_mut(), clock::now());
        if self.verdict() == Verdict::Unreachable {
            self.idle.borrow_mut().clear();
            self.lost.notify_waiters();
        }
    }

    /// Waits until the gateway counts as unreachable.
    pub async fn lost(&self) {
        self.lost.notified().await;
    }

    /// Records that the gateway left a task to another.
    pub fn note_declined(&self) {
        self.declined_at.set(Some(Instant::now()));
    }

    /// Returns whether the gateway left no task to another lately.
    pub fn is_willing(&self) -> bool {
        let declined = self.declined_at.get();
        declined.is_none_or(|at| at.elapsed() >= DECLINED_PAUSE)
    }

    /// Returns what the evidence about the gateway says.
    pub fn verdict(&self) -> Verdict {
        self.health.borrow().verdict(clock::now())
    }

    /// Closes connections that have been idle for long; asks a doubtful gateway whether it lives.
    pub fn tidy(self: &Rc<Self>) {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|channel| channel.is_usable(IDLE_LIMIT));
        drop(idle);
        let asked = self.asked_at.get();
        let asked = asked.is_some_and(|at| at.elapsed() < PING_PAUSE + PING_WITHIN);
        if self.verdict() != Verdict::Healthy && !asked {
            self.asked_at.set(Some(Instant::now()));
            let gateway = Rc::clone(self);
            tokio::task::spawn_local(async move { gateway.ping().await });
        }
    }

    /// Asks on a new connection whether the VM lives: an old one may have gone silent.
    async fn ping(&self) {
        let asking = async {
            let mut channel = Channel::open(self.address, PING_WITHIN).await?;
            channel
                .ask(&PeerRequest::Ping, Instant::now() + PING_WITHIN)
                .await
        };
        match asking.await {
            Ok(_) => self.note_health(Health::heard),
            Err(error) => {
                log::info!("event=gateway_silent vm={} error=\"{error}\"", self.vm);
                self.note_health(Health::failed);
            }
        }
    }
}

impl ChannelLease {
    const fn new(gateway: Rc<Gateway>, channel: Channel) -> Self {
        Self {
            gateway,
            channel: Some(channel),
            is_settled: true,
        }
    }

    /// Returns the gateway.
    pub const fn gateway(&self) -> &Rc<Gateway> {
        &self.gateway
    }

    /// Returns the connection.
    ///
    /// # Panics
    ///
    /// Never: the connection is there until the lease is dropped.
    pub fn channel(&mut self) -> &mut Channel {
        self.channel.as_mut().expect("a lease holds its connection")
    }

    /// Records whether the connection may serve another session: no answer is outstanding on it
    /// and no transaction open.
    pub fn set_settled(&mut self, is_settled: bool) {
        self.is_settled = is_settled;
    }
}

impl Drop for ChannelLease {
    fn drop(&mut self) {
        if let Some(channel) = self.channel.take().filter(|_| self.is_settled) {
            self.gateway.idle.borrow_mut().push(channel);
        }
    }
}
