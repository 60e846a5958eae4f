//! Starts the background tasks of an entry.

use std::io;
use std::rc::Rc;

use snafu::{ResultExt, Snafu};
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::failover::FailoverMonitor;
use super::node::Node;
use super::peers::Peers;
use super::{
    directory, discovery, limiter, listener, registration, relay, restoration, synchronization,
};

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
    spawn_local(restoration::run(Rc::clone(node)));
    spawn_local(restoration::record_settled(Rc::clone(node)));
    spawn_local(registration::run(Rc::clone(node)));
    spawn_local(synchronization::run(Rc::clone(node)));
    spawn_local(discovery::run(Rc::clone(node)));
    spawn_local(directory::run(Rc::clone(node)));
    spawn_local(Rc::clone(&peers).announce());
    spawn_local(Rc::clone(&peers).request_subleases());
    spawn_local(Rc::clone(&peers).send_queued());
    spawn_local(peers.listen());
    spawn_local(relay::run(Rc::clone(node), requests));
    spawn_local(limiter::run(Rc::clone(node)));
    spawn_local(tick(Rc::clone(node)));
    spawn_local(listener::run(Rc::clone(node), callers));
    log::info!(
        "event=started vm={} availability_zone={} callers={} peers={}",
        node.settings.vm,
        node.settings.availability_zone,
        node.settings.caller_address,
        node.settings.peer_address
    );
    Ok(())
}

/// Checks instances, failovers and readiness periodically, until the process ends.
async fn tick(node: Rc<Node>) {
    let monitor = Rc::new(FailoverMonitor::default());
    let mut undersized_since = directory::UndersizedSince::new();
    loop {
        sleep(node.settings.tick).await;
        directory::remove_missing(&node, &mut undersized_since);
        monitor.tick(&node);
        node.maintain_pools(node.settings.tick);
        node.gateways.maintain(&node.state.borrow());
        node.shed_if_isolated();
    }
}
