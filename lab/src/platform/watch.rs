//! Watches of the configuration service.

use axum::Json;
use axum::body::Body;
use axum::extract::State;
use axum::response::{IntoResponse, Response};
use futures::stream;
use serde_json::{Value, json};

use super::faults::{CallKind, Outage};
use super::service::{Shell, admit};
use super::wire::{self, RangeRequest, WatchRequest};

pub(super) async fn watch(State(shared): Shell, Json(request): Json<WatchRequest>) -> Response {
    if let Some(refused) = admit(&shared, CallKind::Watch).await {
        return refused;
    }
    let create = request.create_request;
    let range = RangeRequest {
        key: create.key,
        range_end: create.range_end,
        ..RangeRequest::default()
    }
    .range();
    let now = shared.store().revision;
    let from = if create.start_revision.0 > 0 {
        create.start_revision.0
    } else {
        now + 1
    };
    let created = json!({ "result": { "header": wire::header(now), "created": true } });
    let revisions = shared.revisions();
    let state = (Some(created), shared, range, from, revisions);
    let lines = stream::unfold(
        state,
        |(first, shared, range, mut from, mut revisions)| async move {
            if let Some(created) = first {
                return Some((
                    Ok::<_, std::io::Error>(line(&created)),
                    (None, shared, range, from, revisions),
                ));
            }
            loop {
                shared.faults.wait_while_hanging().await;
                if shared.faults.outage() == Outage::Refuse {
                    return None;
                }
                let (changes, revision) = {
                    let store = shared.store();
                    (store.changes_from(from, &range), store.revision)
                };
                if !changes.is_empty() {
                    let events: Vec<_> = changes.iter().map(wire::change).collect();
                    from = revision + 1;
                    let answer =
                        json!({ "result": { "header": wire::header(revision), "events": events } });
                    return Some((Ok(line(&answer)), (None, shared, range, from, revisions)));
                }
                tokio::select! {
                    result = revisions.changed() => result.ok()?,
                    () = shared.faults.changed() => {}
                }
            }
        },
    );
    Body::from_stream(lines).into_response()
}

fn line(value: &Value) -> String {
    format!("{value}\n")
}
