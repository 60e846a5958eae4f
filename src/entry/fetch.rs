//! Fetches what a VM can learn from a gateway instead of the store.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use super::channel::{Channel, PeerRequest, PeerResponse, Result};
use super::clock;
use super::node::Node;
use super::synchronization;

/// Time limit for connecting to a gateway.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Longest time without any part of the response after which a fetch has failed.
const STALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Fetches the configuration of another VM and puts it in force if it is newer. Returns whether
/// that VM sent one.
pub async fn configuration(node: &Rc<Node>, from: SocketAddr) -> bool {
    let response = fetch(node, from, &PeerRequest::Configuration).await;
    let Ok(PeerResponse::Configuration(Some(encoded))) = response else {
        log::info!("event=configuration_unfetched from={from} answer={response:?}");
        return false;
    };
    match encoded.decompress() {
        Ok(value) => {
            log::info!(
                "event=configuration_fetched from={from} revision={}",
                encoded.revision.0
            );
            synchronization::apply_configuration(node, encoded.revision, Some(value));
            node.changed.notify_waiters();
            true
        }
        Err(error) => {
            log::warn!("event=configuration_unfetched from={from} error=\"{error}\"");
            false
        }
    }
}

/// Fetches the list of gateways from one of them.
pub async fn gateways(node: &Rc<Node>, from: SocketAddr) {
    match fetch(node, from, &PeerRequest::Gateways).await {
        Ok(PeerResponse::Gateways(list)) => {
            if node.state.borrow_mut().update_gateways(list) {
                node.changed.notify_waiters();
            }
        }
        response => log::info!("event=gateways_unfetched from={from} answer={response:?}"),
    }
}

async fn fetch(node: &Node, from: SocketAddr, request: &PeerRequest) -> Result<PeerResponse> {
    let mut channel = Channel::open(from, CONNECT_TIMEOUT).await?;
    let response = channel.fetch(request, STALL_TIMEOUT).await?;
    node.state.borrow_mut().gateway_contact_at = clock::now();
    Ok(response)
}
