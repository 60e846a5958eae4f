//! Watches of the configuration service.

use axum::Json;
use axum::body::Body;
use axum::extract::State;
use axum::response::{IntoResponse, Response};
use futures::stream;
use serde_json::{Value, json};

use super::faults::{CallKind, Outage};
use super::service::{SharedState, admit};
use super::wire::{self, RangeRequest, WatchRequest};

pub(super) async fn watch(
    State(shared): SharedState,
    Json(request): Json<WatchRequest>,
) -> Response {
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
    let current_revision = shared.store().revision;
    let next_revision = if create.start_revision.0 > 0 {
        create.start_revision.0
    } else {
        current_revision + 1
    };
    let created =
        json!({ "result": { "header": wire::header(current_revision), "created": true } });
    let revisions = shared.revisions();
    let state = (Some(created), shared, range, next_revision, revisions);
    let lines = stream::unfold(
        state,
        |(first, shared, range, mut next_revision, mut revisions)| async move {
            if let Some(created) = first {
                return Some((
                    Ok::<_, std::io::Error>(line(&created)),
                    (None, shared, range, next_revision, revisions),
                ));
            }
            loop {
                shared.faults.wait_while_hanging().await;
                if shared.faults.outage() == Outage::Refuse {
                    return None;
                }
                let (changes, revision) = {
                    let store = shared.store();
                    (store.changes_from(next_revision, &range), store.revision)
                };
                if !changes.is_empty() {
                    let events: Vec<_> = changes.iter().map(wire::change).collect();
                    next_revision = revision + 1;
                    let response =
                        json!({ "result": { "header": wire::header(revision), "events": events } });
                    return Some((
                        Ok(line(&response)),
                        (None, shared, range, next_revision, revisions),
                    ));
                }
                tokio::select! {
                    result = revisions.changed() => result.ok()?,
                    () = shared.faults.outage_changed() => {}
                }
            }
        },
    );
    Body::from_stream(lines).into_response()
}

fn line(value: &Value) -> String {
    format!("{value}\n")
}
