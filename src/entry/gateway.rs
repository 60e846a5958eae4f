//! Connections to one gateway and its health, at a VM that forwards tasks to it.

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

/// Time limit for connecting to a gateway.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Idle time after which a connection to a gateway is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(8);

/// Time for which a gateway that declined a task ranks behind the others.
const DECLINED_PENALTY: Duration = Duration::from_millis(500);

/// Time limit of a ping to a gateway that isn't known to be healthy.
const PING_TIMEOUT: Duration = Duration::from_millis(200);

/// Delay between the time limit of a ping and the next ping.
const PING_DELAY: Duration = Duration::from_millis(50);

/// Gateway with the idle connections to it and the evidence about its health.
#[derive(Debug)]
pub struct Gateway {
    vm: VmName,
    address: SocketAddr,
    lease: u64,
    idle: RefCell<Vec<Channel>>,
    health: RefCell<Health>,
    pinged_at: Cell<Option<Instant>>,
    declined_at: Cell<Option<Instant>>,
    became_unreachable: Notify,
    /// Whether [`Gateway::abandon_if_unreachable`] has acted on the latest evidence.
    is_abandoned: Cell<bool>,
}

/// Connection to a gateway. When dropped, it returns to the idle ones if it is reusable, and is
/// closed otherwise.
#[derive(Debug)]
pub struct PooledChannel {
    gateway: Rc<Gateway>,
    channel: Option<Channel>,
    is_reusable: bool,
}

impl Gateway {
    /// Builds a gateway without connections and without evidence about its health.
    pub fn new(vm: VmName, record: &VmRecord) -> Self {
        Self {
            vm,
            address: record.peer_address,
            lease: record.lease,
            idle: RefCell::default(),
            health: RefCell::default(),
            pinged_at: Cell::new(None),
            declined_at: Cell::new(None),
            became_unreachable: Notify::new(),
            is_abandoned: Cell::new(false),
        }
    }

    /// Returns whether the registration belongs to the same process of the VM.
    pub const fn is_same_process(&self, record: &VmRecord) -> bool {
        self.lease == record.lease
    }

    /// Returns the name of the gateway's VM.
    pub const fn vm(&self) -> &VmName {
        &self.vm
    }

    /// Takes an idle connection or opens one.
    ///
    /// # Errors
    ///
    /// Fails when the gateway can't be reached; nothing was sent.
    pub async fn take(self: &Rc<Self>) -> Result<PooledChannel> {
        loop {
            let idle = self.idle.borrow_mut().pop();
            let channel = match idle {
                Some(channel) if channel.is_usable(IDLE_TIMEOUT) => channel,
                Some(_) => continue,
                None => Channel::open(self.address, CONNECT_TIMEOUT).await?,
            };
            return Ok(PooledChannel::new(Rc::clone(self), channel));
        }
    }

    /// Records evidence about the gateway's health. When it becomes unreachable, its idle
    /// connections are closed and [`Gateway::wait_until_unreachable`] returns.
    pub fn record_health(&self, update: impl FnOnce(&mut Health, Timestamp)) {
        update(&mut self.health.borrow_mut(), clock::now());
        self.is_abandoned.set(false);
        self.abandon_if_unreachable();
    }

    /// Closes the idle connections and wakes the tasks that wait for a reply, once for each piece of
    /// evidence by which the gateway is unreachable.
    fn abandon_if_unreachable(&self) {
        if self.verdict() == Verdict::Unreachable && !self.is_abandoned.replace(true) {
            self.idle.borrow_mut().clear();
            self.became_unreachable.notify_waiters();
        }
    }

    /// Waits until the gateway counts as unreachable.
    pub async fn wait_until_unreachable(&self) {
        self.became_unreachable.notified().await;
    }

    /// Records that the gateway declined a task.
    pub fn record_decline(&self) {
        self.declined_at.set(Some(Instant::now()));
    }

    /// Returns whether the gateway hasn't declined a task recently.
    pub fn accepts_tasks(&self) -> bool {
        let declined = self.declined_at.get();
        declined.is_none_or(|at| at.elapsed() >= DECLINED_PENALTY)
    }

    /// Returns the health of the gateway according to the evidence recorded.
    pub fn verdict(&self) -> Verdict {
        self.health.borrow().verdict(clock::now())
    }

    /// Closes connections that exceeded the idle time limit, and pings the gateway in the
    /// background if it isn't healthy.
    pub fn maintain(self: &Rc<Self>) {
        // Two failures in quick succession count only once some time has passed.
        self.abandon_if_unreachable();
        let mut idle = self.idle.borrow_mut();
        idle.retain(|channel| channel.is_usable(IDLE_TIMEOUT));
        drop(idle);
        let pinged = self.pinged_at.get();
        let pinged = pinged.is_some_and(|at| at.elapsed() < PING_DELAY + PING_TIMEOUT);
        if self.verdict() != Verdict::Healthy && !pinged {
            self.pinged_at.set(Some(Instant::now()));
            let gateway = Rc::clone(self);
            tokio::task::spawn_local(async move { gateway.ping().await });
        }
    }

    /// Pings the VM on a new connection, because an existing one may have failed silently.
    async fn ping(&self) {
        let pinging = async {
            let mut channel = Channel::open(self.address, PING_TIMEOUT).await?;
            channel
                .call(&PeerRequest::Ping, Instant::now() + PING_TIMEOUT)
                .await
        };
        match pinging.await {
            Ok(_) => self.record_health(Health::on_response),
            Err(error) => {
                log::info!("event=gateway_silent vm={} error=\"{error}\"", self.vm);
                self.record_health(Health::on_failed);
            }
        }
    }
}

impl PooledChannel {
    const fn new(gateway: Rc<Gateway>, channel: Channel) -> Self {
        Self {
            gateway,
            channel: Some(channel),
            is_reusable: true,
        }
    }

    /// Returns the gateway that the connection leads to.
    pub const fn gateway(&self) -> &Rc<Gateway> {
        &self.gateway
    }

    /// Returns the connection itself.
    ///
    /// # Panics
    ///
    /// Never: the connection is only taken out on drop.
    pub fn channel(&mut self) -> &mut Channel {
        self.channel
            .as_mut()
            .expect("the connection is only taken out on drop")
    }

    /// Records whether the connection may serve another session, because it has no outstanding
    /// reply and no open transaction.
    pub fn set_reusable(&mut self, is_reusable: bool) {
        self.is_reusable = is_reusable;
    }
}

impl Drop for PooledChannel {
    fn drop(&mut self) {
        if let Some(channel) = self.channel.take().filter(|_| self.is_reusable) {
            self.gateway.idle.borrow_mut().push(channel);
        }
    }
}

#[cfg(test)]
mod tests;
