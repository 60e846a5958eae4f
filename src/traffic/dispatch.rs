//! Routes an exchange to the home of its database: on this VM, or on another one over one hop.

use std::time::Duration;

use tokio::time::Instant;

use super::caller::{CallerSession, HOME_RETRY_AFTER};
use super::{CallerFrame, ExchangeHead, HomeFrame, HomeIo, Refusal, RefusalReason};
use crate::name::VmName;
use crate::peer::CallerStream;
use crate::peer::stream::{StreamError, StreamSender};
use crate::telemetry::span::{Hop, Span};

/// Longest time for which an exchange that has not run is retried at another home.
const REDIRECT_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval between two lookups of a home.
const LOOKUP_INTERVAL: Duration = Duration::from_millis(20);

/// How one attempt to run an exchange ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Attempt {
    /// The caller received the complete response, or has disconnected.
    Ended,
    /// The exchange was refused.
    Refused(Refusal),
}

/// Location of a database's home.
enum HomeLocation {
    Local,
    Peer(VmName),
    Unknown,
}

/// Runs one exchange to completion.
pub(crate) async fn run(session: &mut CallerSession, mut head: ExchangeHead) {
    // Use at most half of the budget, so that a refused caller has time to retry elsewhere.
    let budget = Duration::from_millis(head.budget_ms / 2).min(REDIRECT_TIMEOUT);
    let deadline = Instant::now() + budget;
    let mut span = Span::start(Hop::Caller, head.traceparent.as_deref());
    span.set("workspace", head.workspace.to_string());
    span.set("database", head.database.to_string());
    head.traceparent = span.traceparent();
    loop {
        let Attempt::Refused(refusal) = attempt(session, &head).await else {
            session.end_exchange(None);
            return;
        };
        span.fail(&refusal.reason);
        let may_retry = refusal.reason == RefusalReason::HomeUnknown && session.rewind();
        if !may_retry || Instant::now() + LOOKUP_INTERVAL >= deadline {
            session.end_exchange(Some(refusal));
            return;
        }
        if !wait_before_lookup(session).await {
            session.end_exchange(None);
            return;
        }
    }
}

/// Waits before the home is looked up again; returns `false` when the caller cancels meanwhile.
async fn wait_before_lookup(session: &mut CallerSession) -> bool {
    let until = Instant::now() + LOOKUP_INTERVAL;
    tokio::time::timeout_at(until, session.cancelled())
        .await
        .is_err()
}

async fn attempt(session: &mut CallerSession, head: &ExchangeHead) -> Attempt {
    match locate_home(session, head) {
        HomeLocation::Local => {
            let homes = session.homes();
            // The session has already received the outcome as frames.
            let end = homes.run(head.clone(), &mut HomeIo::Local(session)).await;
            log::trace!("event=exchange_ended place=here end={end:?}");
            outcome(session)
        }
        HomeLocation::Peer(vm) => {
            let peers = session.peers();
            let mut head = head.clone();
            let mut span = Span::start(Hop::Forward, head.traceparent.as_deref());
            span.set("vm", vm.to_string());
            head.traceparent = span.traceparent();
            match peers.open(&vm, head).await {
                Ok(stream) => forward(session, stream).await,
                Err(error) => {
                    log::debug!(
                        "event=peer_unreachable vm={vm} error={:?}",
                        error.to_string()
                    );
                    Attempt::Refused(home_unknown())
                }
            }
        }
        HomeLocation::Unknown => Attempt::Refused(home_unknown()),
    }
}

fn locate_home(session: &CallerSession, head: &ExchangeHead) -> HomeLocation {
    let snapshot = session.snapshot();
    match snapshot.homes.get(&head.database) {
        Some(home) if home.vm == snapshot.local.name => HomeLocation::Local,
        Some(home) => HomeLocation::Peer(home.vm.clone()),
        None => HomeLocation::Unknown,
    }
}

fn home_unknown() -> Refusal {
    Refusal::with_retry(RefusalReason::HomeUnknown, HOME_RETRY_AFTER)
}

/// Determines from the session's state how an exchange ended, once the home sends nothing more.
fn outcome(session: &CallerSession) -> Attempt {
    match session.refused() {
        Some(refusal) => Attempt::Refused(refusal),
        None if session.is_open() => Attempt::Refused(home_lost(session)),
        None => Attempt::Ended,
    }
}

/// Returns the refusal for an exchange whose home was lost.
fn home_lost(session: &CallerSession) -> Refusal {
    if session.has_sent() {
        log::debug!("event=exchange_lost");
        Refusal::without_retry(RefusalReason::AnswerLost)
    } else {
        home_unknown()
    }
}

/// Forwards frames in both directions. Responses are received while a frame waits for space in the
/// window, so that a long request and its long response can't block each other.
async fn forward(session: &mut CallerSession, mut stream: CallerStream) -> Attempt {
    let sender = stream.sender();
    let mut pending = None;
    let mut is_sending = true;
    loop {
        tokio::select! {
            biased;
            frame = stream.recv() => {
                let ended = matches!(frame, Err(_) | Ok(HomeFrame::End));
                if let Ok(frame) = frame
                    && session.send(frame).await.is_err()
                {
                    return Attempt::Ended;
                }
                if ended {
                    return outcome(session);
                }
            }
            sent = send_pending(&sender, pending.as_ref()), if pending.is_some() => {
                if pending.take() == Some(CallerFrame::Disconnected) {
                    return Attempt::Ended;
                }
                // The home may have ended the stream; its last frames still have to be received.
                is_sending &= sent.is_ok();
            }
            frame = session.recv(), if pending.is_none() && is_sending => {
                let Ok(frame) = frame else {
                    return Attempt::Ended;
                };
                pending = Some(frame);
            }
        }
    }
}

async fn send_pending(
    sender: &StreamSender<CallerFrame>,
    pending: Option<&CallerFrame>,
) -> Result<(), StreamError> {
    match pending {
        Some(frame) => sender.send(frame.clone()).await,
        None => Ok(()),
    }
}
