//! Brings an exchange to the home of its database: on this VM, or over one hop.

use std::time::Duration;

use tokio::time::Instant;

use super::caller::{CallerSession, HOME_RETRY_AFTER};
use super::{CallerFrame, ExchangeHead, HomeFrame, HomeIo, Refusal, RefusalReason};
use crate::name::VmName;
use crate::peer::CallerEnd;
use crate::peer::stream::{StreamError, StreamSender};
use crate::telemetry::span::{Hop, Span};

/// Time for which an exchange that has not run is brought to another home.
const MOVE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time between looking up a home again.
const LOOKUP_INTERVAL: Duration = Duration::from_millis(20);

/// How one attempt to run an exchange ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Attempt {
    /// The caller has its answer, or has gone.
    Ended,
    /// The exchange was refused.
    Refused(Refusal),
}

/// Where the home of a database is.
enum Place {
    Here,
    Peer(VmName),
    Unknown,
}

/// Runs one exchange to its end.
pub(crate) async fn run(session: &mut CallerSession, mut head: ExchangeHead) {
    // The caller is told in time to ask again elsewhere.
    let budget = Duration::from_millis(head.budget_ms / 2).min(MOVE_TIMEOUT);
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
        let may_move = refusal.reason == RefusalReason::HomeUnknown && session.rewind();
        if !may_move || Instant::now() + LOOKUP_INTERVAL >= deadline {
            session.end_exchange(Some(refusal));
            return;
        }
        if !pause(session).await {
            session.end_exchange(None);
            return;
        }
    }
}

/// Waits before the home is looked up again; returns whether the caller still wants its answer.
async fn pause(session: &mut CallerSession) -> bool {
    let until = Instant::now() + LOOKUP_INTERVAL;
    tokio::time::timeout_at(until, session.cancelled())
        .await
        .is_err()
}

async fn attempt(session: &mut CallerSession, head: &ExchangeHead) -> Attempt {
    match place(session, head) {
        Place::Here => {
            let homes = session.homes();
            // What the end says reached the session as frames.
            let end = homes.run(head.clone(), &mut HomeIo::Local(session)).await;
            log::trace!("event=exchange_ended place=here end={end:?}");
            outcome(session)
        }
        Place::Peer(vm) => {
            let peers = session.peers();
            let mut head = head.clone();
            let mut span = Span::start(Hop::Forward, head.traceparent.as_deref());
            span.set("vm", vm.to_string());
            head.traceparent = span.traceparent();
            match peers.open(&vm, head).await {
                Ok(end) => forward(session, end).await,
                Err(error) => {
                    log::debug!(
                        "event=peer_unreachable vm={vm} error={:?}",
                        error.to_string()
                    );
                    Attempt::Refused(home_unknown())
                }
            }
        }
        Place::Unknown => Attempt::Refused(home_unknown()),
    }
}

fn place(session: &CallerSession, head: &ExchangeHead) -> Place {
    let snapshot = session.snapshot();
    match snapshot.homes.get(&head.database) {
        Some(home) if home.vm == snapshot.local.name => Place::Here,
        Some(home) => Place::Peer(home.vm.clone()),
        None => Place::Unknown,
    }
}

fn home_unknown() -> Refusal {
    Refusal::retry(RefusalReason::HomeUnknown, HOME_RETRY_AFTER)
}

/// Tells from the session how an exchange ended that the home says no more about.
fn outcome(session: &CallerSession) -> Attempt {
    match session.refused() {
        Some(refusal) => Attempt::Refused(refusal),
        None if session.is_open() => Attempt::Refused(lost(session)),
        None => Attempt::Ended,
    }
}

/// Returns the refusal of an exchange whose home was lost.
fn lost(session: &CallerSession) -> Refusal {
    if session.has_sent() {
        log::debug!("event=exchange_lost");
        Refusal::last(RefusalReason::AnswerLost)
    } else {
        home_unknown()
    }
}

/// Passes frames both ways. Answers are taken while a frame waits for room in the window, so that
/// a long request and its long answer do not wait for each other.
async fn forward(session: &mut CallerSession, mut end: CallerEnd) -> Attempt {
    let sender = end.sender();
    let mut pending = None;
    let mut is_sending = true;
    loop {
        tokio::select! {
            biased;
            frame = end.recv() => {
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
                if pending.take() == Some(CallerFrame::Gone) {
                    return Attempt::Ended;
                }
                // The home may have ended the stream; its last frames are still to be taken.
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
