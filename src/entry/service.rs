//! Starts the background tasks of an entry.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use futures::FutureExt;
use futures::future::LocalBoxFuture;
use snafu::{ResultExt, Snafu};
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep_until};

use super::clock;
use super::failover::FailoverMonitor;
use super::group_size::GroupSizes;
use super::node::Node;
use super::overload::Load;
use super::peers::Peers;
use super::{
    directory, discovery, limiter, listener, registration, relay, restoration, supervision,
    synchronization, transaction,
};
use crate::telemetry::metrics::metrics;

/// Result of starting an entry.
pub type Result<T, E = StartError> = std::result::Result<T, E>;

/// Error that prevents an entry from starting.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// An address can't be bound.
    #[snafu(display("can't listen on {address}: {source}; check that no other process does"))]
    Bind {
        /// Address of the listener.
        address: std::net::SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
}

/// Starts the tasks of an entry on the current thread.
///
/// # Errors
///
/// Fails when the address for callers or for other VMs can't be bound.
pub async fn start(node: &Rc<Node>) -> Result<()> {
    let address = node.settings.caller_address;
    let callers = TcpListener::bind(address)
        .await
        .context(BindSnafu { address })?;
    let address = node.settings.peer_address;
    let bound = Peers::bind(Rc::clone(node)).await;
    let (peers, requests) = bound.context(BindSnafu { address })?;
    let (callers, requests) = (Rc::new(callers), Rc::new(requests));
    spawn_tasks(node);
    spawn_peer_tasks(&peers);
    let shared = Rc::clone(node);
    supervision::spawn("relay", move || {
        relay::run(Rc::clone(&shared), Rc::clone(&requests))
    });
    let shared = Rc::clone(node);
    supervision::spawn("listener", move || {
        listener::run(Rc::clone(&shared), Rc::clone(&callers))
    });
    log::info!(
        "event=started vm={} availability_zone={} callers={} peers={}",
        node.settings.vm,
        node.settings.availability_zone,
        node.settings.caller_address,
        node.settings.peer_address
    );
    Ok(())
}

fn spawn_tasks(node: &Rc<Node>) {
    let spawn = |name, run: fn(Rc<Node>) -> LocalBoxFuture<'static, ()>| {
        let node = Rc::clone(node);
        supervision::spawn(name, move || run(Rc::clone(&node)));
    };
    spawn("restoration", |node| restoration::run(node).boxed_local());
    spawn("settled_timeline", |node| {
        restoration::record_settled(node).boxed_local()
    });
    spawn("registration", |node| registration::run(node).boxed_local());
    spawn("synchronization", |node| {
        synchronization::run(node).boxed_local()
    });
    spawn("discovery", |node| discovery::run(node).boxed_local());
    spawn("directory", |node| directory::run(node).boxed_local());
    spawn("limiter", |node| limiter::run(node).boxed_local());
    spawn("tick", |node| tick(node).boxed_local());
}

fn spawn_peer_tasks(peers: &Rc<Peers>) {
    let spawn = |name, run: fn(Rc<Peers>) -> LocalBoxFuture<'static, ()>| {
        let peers = Rc::clone(peers);
        supervision::spawn(name, move || run(Rc::clone(&peers)));
    };
    spawn("announce", |peers| peers.announce().boxed_local());
    spawn("subleases", |peers| peers.request_subleases().boxed_local());
    spawn("send_datagrams", |peers| peers.send_queued().boxed_local());
    spawn("receive_datagrams", |peers| peers.listen().boxed_local());
}

/// Checks instances, failovers and readiness periodically, until the process ends.
async fn tick(node: Rc<Node>) {
    let monitor = Rc::new(FailoverMonitor::default());
    let mut group_sizes = GroupSizes::default();
    loop {
        let due_at = Instant::now() + node.settings.tick;
        sleep_until(due_at).await;
        observe_load(&node, due_at.elapsed());
        directory::remove_missing(&node);
        group_sizes.tick(&node);
        monitor.tick(&node);
        transaction::end_evacuated(&node);
        node.maintain_pools(node.settings.tick);
        node.gateways.maintain(&node.state.borrow());
        node.shed_if_isolated();
    }
}

/// Takes a measurement of this VM's own load into account. `loop_delay` tells how much later than
/// due the event loop came to it.
fn observe_load(node: &Node, loop_delay: Duration) {
    let waiting = node.pools().iter().map(|pool| pool.slots().waiting()).sum();
    let catalog = node.catalog();
    let routes = catalog.iter().flat_map(|catalog| catalog.routes.values());
    let load = Load {
        loop_delay,
        waiting,
        objective: routes.map(|route| route.latency_objective).min(),
        can_serve: node.can_serve(),
        only_forwards: !node.state.borrow().gateway,
    };
    let mut overload = node.overload.borrow_mut();
    let (was_overloaded, was_withdrawn) = (overload.is_overloaded(), overload.is_withdrawn());
    overload.observe(&load, clock::now());
    metrics().set_loop_delay(overload.loop_delay());
    let loop_delay_ms = overload.loop_delay().as_millis();
    let (is_overloaded, is_withdrawn) = (overload.is_overloaded(), overload.is_withdrawn());
    if is_overloaded != was_overloaded {
        let event = ["overload_ended", "overload_started"][usize::from(is_overloaded)];
        log::info!("event={event} loop_delay_ms={loop_delay_ms} waiting={waiting}");
    }
    if is_withdrawn != was_withdrawn {
        let event = ["readiness_restored", "readiness_withdrawn"][usize::from(is_withdrawn)];
        log::info!("event={event} loop_delay_ms={loop_delay_ms}");
    }
}
