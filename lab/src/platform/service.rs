//! HTTP handlers of the configuration service.

use std::sync::Arc;
use std::time::Duration;

use axum::body::Body;
use axum::extract::State;
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing::post;
use axum::{Json, Router};
use futures::stream;
use serde_json::{Value, json};
use tokio::time::Instant;

use super::faults::{CallKind, Outage};
use super::shared::Shared;
use super::store::Store;
use super::wire::{self, LeaseRequest, Operation, PutRequest, RangeRequest, TxnRequest};

/// Interval at which expired leases are removed.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(50);

pub(super) fn router(shared: Arc<Shared>) -> Router {
    Router::new()
        .route("/v3/kv/range", post(range))
        .route("/v3/kv/put", post(put))
        .route("/v3/kv/deleterange", post(delete_range))
        .route("/v3/kv/txn", post(txn))
        .route("/v3/lease/grant", post(grant))
        .route("/v3/lease/keepalive", post(keep_alive))
        .route("/v3/lease/revoke", post(revoke))
        .route("/v3/kv/lease/revoke", post(revoke))
        .route("/v3/watch", post(super::watch::watch))
        .with_state(shared)
}

/// Removes expired leases until the service is dropped.
pub(super) async fn expire_leases(shared: std::sync::Weak<Shared>) {
    let mut interval = tokio::time::interval(EXPIRY_INTERVAL);
    loop {
        interval.tick().await;
        let Some(shared) = shared.upgrade() else {
            return;
        };
        if shared.store().expire(Instant::now()) {
            shared.notify_watches();
        }
    }
}

/// Error: the request refers to a lease that does not exist.
struct LeaseNotFound;

pub(super) type SharedState = State<Arc<Shared>>;

async fn range(State(shared): SharedState, Json(request): Json<RangeRequest>) -> Response {
    if let Some(refused) = admit(&shared, CallKind::Range).await {
        return refused;
    }
    let response = range_response(&shared.store(), &request);
    Json(response).into_response()
}

async fn put(State(shared): SharedState, Json(request): Json<PutRequest>) -> Response {
    if let Some(refused) = admit(&shared, CallKind::Put).await {
        return refused;
    }
    let response = {
        let mut store = shared.store();
        store.next_revision();
        if store.put(request.key.0, request.value.0, request.lease.0) {
            Ok(json!({ "header": wire::header(store.revision) }))
        } else {
            Err(LeaseNotFound)
        }
    };
    shared.notify_watches();
    respond(&shared, response)
}

async fn delete_range(State(shared): SharedState, Json(request): Json<RangeRequest>) -> Response {
    if let Some(refused) = admit(&shared, CallKind::DeleteRange).await {
        return refused;
    }
    let response = {
        let mut store = shared.store();
        store.next_revision();
        let deleted = store.delete(&request.range());
        json!({ "header": wire::header(store.revision), "deleted": deleted.to_string() })
    };
    shared.notify_watches();
    respond(&shared, Ok(response))
}

async fn txn(State(shared): SharedState, Json(request): Json<TxnRequest>) -> Response {
    if let Some(refused) = admit(&shared, CallKind::Txn).await {
        return refused;
    }
    let response = run_txn(&mut shared.store(), &request);
    shared.notify_watches();
    respond(&shared, response)
}

fn run_txn(store: &mut Store, request: &TxnRequest) -> Result<Value, LeaseNotFound> {
    let succeeded = request
        .compare
        .iter()
        .all(|compare| compare.holds(store.get(&compare.key.0)));
    let operations = if succeeded {
        &request.success
    } else {
        &request.failure
    };
    let writes =
        |operation: &Operation| operation.put.is_some() || operation.delete_range.is_some();
    let leases = operations
        .iter()
        .filter_map(|operation| operation.put.as_ref())
        .map(|put| put.lease.0);
    if leases.into_iter().any(|lease| !store.has_lease(lease)) {
        return Err(LeaseNotFound);
    }
    if operations.iter().any(writes) {
        store.next_revision();
    }
    let mut responses = Vec::new();
    for operation in operations {
        if let Some(put) = &operation.put {
            store.put(put.key.0.clone(), put.value.0.clone(), put.lease.0);
            responses.push(json!({ "response_put": { "header": wire::header(store.revision) } }));
        } else if let Some(range) = &operation.range {
            responses.push(json!({ "response_range": range_response(store, range) }));
        } else if let Some(range) = &operation.delete_range {
            let deleted = store.delete(&range.range());
            responses.push(json!({ "response_delete_range": { "deleted": deleted.to_string() } }));
        }
    }
    let mut response = json!({ "header": wire::header(store.revision), "responses": responses });
    if succeeded {
        response["succeeded"] = json!(true);
    }
    Ok(response)
}

fn range_response(store: &Store, request: &RangeRequest) -> Value {
    let found = store.range(&request.range());
    let count = found.len();
    let limit = if request.limit.0 > 0 {
        request.limit.0 as usize
    } else {
        usize::MAX
    };
    let items: Vec<_> = found.iter().take(limit).map(wire::item).collect();
    let mut response = json!({ "header": wire::header(store.revision) });
    if count > 0 {
        response["kvs"] = json!(items);
        response["count"] = json!(count.to_string());
    }
    if count > limit {
        response["more"] = json!(true);
    }
    response
}

async fn grant(State(shared): SharedState, Json(request): Json<LeaseRequest>) -> Response {
    if let Some(refused) = admit(&shared, CallKind::LeaseGrant).await {
        return refused;
    }
    let ttl = request.ttl.0.max(1);
    let response = {
        let mut store = shared.store();
        let id = store.grant(
            request.id.0,
            Duration::from_secs(ttl as u64),
            Instant::now(),
        );
        json!({ "header": wire::header(store.revision), "ID": id.to_string(), "TTL": ttl.to_string() })
    };
    respond(&shared, Ok(response))
}

async fn keep_alive(State(shared): SharedState, Json(request): Json<LeaseRequest>) -> Response {
    if let Some(refused) = admit(&shared, CallKind::KeepAlive).await {
        return refused;
    }
    let response = {
        let mut store = shared.store();
        let ttl = store.keep_alive(request.id.0, Instant::now());
        let mut result =
            json!({ "header": wire::header(store.revision), "ID": request.id.0.to_string() });
        if let Some(ttl) = ttl {
            result["TTL"] = json!(ttl.as_secs().to_string());
        }
        json!({ "result": result })
    };
    respond(&shared, Ok(response))
}

async fn revoke(State(shared): SharedState, Json(request): Json<LeaseRequest>) -> Response {
    if let Some(refused) = admit(&shared, CallKind::LeaseRevoke).await {
        return refused;
    }
    let response = {
        let mut store = shared.store();
        if store.revoke(request.id.0) {
            Ok(json!({ "header": wire::header(store.revision) }))
        } else {
            Err(LeaseNotFound)
        }
    };
    shared.notify_watches();
    respond(&shared, response)
}

/// Counts a call and applies the injected outage and delay. Returns the error response when the
/// call is refused.
pub(super) async fn admit(shared: &Shared, kind: CallKind) -> Option<Response> {
    shared.faults.count(kind);
    shared.faults.wait_while_hanging().await;
    if shared.faults.outage() == Outage::Refuse {
        let body =
            json!({ "error": "service unavailable", "code": 14, "message": "service unavailable" });
        return Some((StatusCode::SERVICE_UNAVAILABLE, Json(body)).into_response());
    }
    shared.faults.delay().await;
    None
}

/// Builds the response, or one that breaks the connection when responses are to be dropped.
fn respond(shared: &Shared, response: Result<Value, LeaseNotFound>) -> Response {
    if shared.faults.take_dropped_response() {
        let broken = stream::once(async {
            Err::<String, _>(std::io::Error::other("response dropped by fault injection"))
        });
        return Body::from_stream(broken).into_response();
    }
    match response {
        Ok(response) => Json(response).into_response(),
        Err(LeaseNotFound) => lease_not_found(),
    }
}

fn lease_not_found() -> Response {
    let message = "etcdserver: requested lease not found";
    (
        StatusCode::NOT_FOUND,
        Json(json!({ "error": message, "code": 5, "message": message })),
    )
        .into_response()
}
