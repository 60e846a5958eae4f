//! Adapter to a service that speaks the etcd v3 JSON gateway.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use futures::FutureExt;
use reqwest::{Client, Response};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::{mpsc, watch};

use super::gateway::{
    Base64, Compare, Int64, Kv, LeaseGrantRequest, LeaseRequest, LeaseResponse, PutRequest,
    RangeRequest, RangeResponse, RequestOp, Streamed, TxnRequest, TxnResponse, WatchCreateRequest,
    WatchEvent, WatchEventKind, WatchRequest, WatchResponse, prefix_end,
};
use super::{Platform, Result, WatchBatch};
use crate::configuration::{Revision, Timeline};
use crate::control::command::PlatformRequest;
use crate::control::event::{KeyValue, PlatformFailure, PlatformResponse};
use crate::control::membership::VM_LIST_PREFIX;
use crate::settings::PlatformSettings;

/// TCP keepalive interval. Keepalives end a watch whose server is no longer reachable.
const WATCH_KEEPALIVE: Duration = Duration::from_secs(5);

/// Maximum size of one watch message, in bytes.
const MAX_WATCH_BYTES: usize = 64 * 1024 * 1024;

/// Builds the adapter for the endpoints in `settings`.
///
/// # Errors
///
/// Fails when no HTTP client can be built from the system's settings.
pub fn platform(settings: &PlatformSettings) -> Result<Platform> {
    let timeout = Duration::from_millis(settings.timeout_ms);
    let http = Client::builder()
        .no_proxy()
        .connect_timeout(timeout)
        .tcp_keepalive(WATCH_KEEPALIVE)
        .tcp_nodelay(true)
        .build()
        .map_err(|error| PlatformFailure::Refused {
            reason: error.to_string(),
        })?;
    let gateway = Arc::new(Gateway {
        http,
        timeout,
        endpoints: settings.endpoints.clone(),
        preferred: AtomicUsize::new(0),
        prefix: settings.prefix.clone(),
        vm_list_prefix: settings.vm_list_prefix.clone(),
    });
    let watching = Arc::clone(&gateway);
    Ok(Platform {
        call: Arc::new(move |request| {
            let gateway = Arc::clone(&gateway);
            async move { gateway.call(request).await }.boxed()
        }),
        // The service delivers changes only.
        watch: Arc::new(move |settings, batches| {
            let gateway = Arc::clone(&watching);
            async move {
                gateway
                    .watch(&settings.prefix, settings.from, batches)
                    .await;
            }
            .boxed()
        }),
        timelines: watch::channel(Timeline::default()).1,
    })
}

#[derive(Debug)]
struct Gateway {
    http: Client,
    timeout: Duration,
    endpoints: Vec<String>,
    preferred: AtomicUsize,
    prefix: String,
    vm_list_prefix: String,
}

impl Gateway {
    async fn call(&self, request: PlatformRequest) -> Result<PlatformResponse> {
        match request {
            PlatformRequest::Get { key } => self.range(&key, None, false).await,
            PlatformRequest::List {
                prefix,
                allow_stale,
            } => {
                let end = prefix_end(&self.service_key(&prefix).0);
                self.range(&prefix, Some(Base64(end)), allow_stale).await
            }
            PlatformRequest::CompareAndSwap {
                key,
                expected,
                value,
                lease,
            } => self.compare_and_swap(&key, expected, value, lease).await,
            PlatformRequest::GrantLease { ttl } => self.grant_lease(ttl).await,
            PlatformRequest::KeepAlive { lease } => self.keep_alive(lease).await,
            PlatformRequest::Revoke { lease } => {
                let body = LeaseRequest { id: Int64(lease) };
                let _: serde_json::Value = self.post("/v3/lease/revoke", &body).await?;
                Ok(PlatformResponse::LeaseLapsed)
            }
            PlatformRequest::Watch { .. } | PlatformRequest::EndWatch { .. } => {
                Err(PlatformFailure::Refused {
                    reason: "a watch can't be sent as a call".to_owned(),
                })
            }
        }
    }

    async fn range(
        &self,
        key: &str,
        range_end: Option<Base64>,
        serializable: bool,
    ) -> Result<PlatformResponse> {
        let body = RangeRequest {
            key: self.service_key(key),
            range_end,
            serializable,
        };
        let response: RangeResponse = self.post("/v3/kv/range", &body).await?;
        let keys = response
            .kvs
            .into_iter()
            .filter_map(|kv| self.key_value(kv))
            .collect();
        Ok(PlatformResponse::Found {
            keys,
            revision: Revision(response.header.revision.0),
        })
    }

    async fn compare_and_swap(
        &self,
        key: &str,
        expected: Revision,
        value: Option<Vec<u8>>,
        lease: Option<u64>,
    ) -> Result<PlatformResponse> {
        let key = self.service_key(key);
        let read = RangeRequest {
            key: key.clone(),
            range_end: None,
            serializable: false,
        };
        let write = match value {
            Some(value) => RequestOp::Put(PutRequest {
                key: key.clone(),
                value: Base64(value),
                lease: lease.map(Int64),
            }),
            None => RequestOp::DeleteRange(read.clone()),
        };
        let mod_revision = Int64(expected.0);
        let body = TxnRequest {
            compare: vec![Compare {
                key,
                target: "MOD",
                result: "EQUAL",
                mod_revision,
            }],
            success: vec![write],
            failure: vec![RequestOp::Range(read)],
        };
        let response: TxnResponse = self.post("/v3/kv/txn", &body).await?;
        if response.succeeded {
            let revision = Revision(response.header.revision.0);
            return Ok(PlatformResponse::Swapped { revision });
        }
        let found = response
            .responses
            .into_iter()
            .find_map(|op| op.response_range);
        let current = found.and_then(|range| range.kvs.into_iter().next());
        Ok(PlatformResponse::Conflict {
            current: current.and_then(|kv| self.key_value(kv)),
        })
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<PlatformResponse> {
        let seconds = ttl.as_millis().div_ceil(1_000);
        let body = LeaseGrantRequest {
            ttl: Int64(u64::try_from(seconds).unwrap_or(u64::MAX)),
        };
        let response: LeaseResponse = self.post("/v3/lease/grant", &body).await?;
        Ok(lease_result(&response))
    }

    async fn keep_alive(&self, lease: u64) -> Result<PlatformResponse> {
        let body = LeaseRequest { id: Int64(lease) };
        let streamed: Streamed<LeaseResponse> = self.post("/v3/lease/keepalive", &body).await?;
        Ok(lease_result(&streamed.result.unwrap_or_default()))
    }

    async fn watch(&self, prefix: &str, from: Revision, batches: mpsc::Sender<WatchBatch>) {
        let key = self.service_key(prefix);
        let range_end = Base64(prefix_end(&key.0));
        let start_revision = Int64(from.0);
        let create_request = WatchCreateRequest {
            key,
            range_end,
            start_revision,
        };
        let body = WatchRequest { create_request };
        let endpoint = self.endpoint(self.preferred.load(Ordering::Relaxed));
        let sending = self
            .http
            .post(format!("{endpoint}/v3/watch"))
            .json(&body)
            .send();
        let Ok(Ok(mut response)) = tokio::time::timeout(self.timeout, sending).await else {
            self.prefer_next();
            return;
        };
        let mut buffer = Vec::new();
        while let Ok(Some(chunk)) = response.chunk().await {
            buffer.extend_from_slice(&chunk);
            let Some(end) = buffer.iter().rposition(|&byte| byte == b'\n') else {
                if buffer.len() > MAX_WATCH_BYTES {
                    return;
                }
                continue;
            };
            let lines: Vec<u8> = buffer.drain(..=end).collect();
            for line in lines
                .split(|&byte| byte == b'\n')
                .filter(|line| !line.is_empty())
            {
                let Some(batch) = self.watch_batch(line) else {
                    return;
                };
                if !batch.keys.is_empty() && batches.send(batch).await.is_err() {
                    return;
                }
            }
        }
    }

    /// Decodes one watch message; returns `None` when the watch was cancelled or is malformed.
    fn watch_batch(&self, line: &[u8]) -> Option<WatchBatch> {
        let message: Streamed<WatchResponse> = serde_json::from_slice(line).ok()?;
        let response = message.result.filter(|response| !response.canceled)?;
        let revisions = response.events.iter().map(|event| event.kv.mod_revision.0);
        let revision = Revision(revisions.max().unwrap_or_default());
        let events = response.events.into_iter();
        let keys = events.filter_map(|event| self.changed_key(event)).collect();
        Some(WatchBatch { keys, revision })
    }

    fn changed_key(&self, event: WatchEvent) -> Option<KeyValue> {
        let key = self.key_value(event.kv)?;
        match event.kind {
            WatchEventKind::Put => Some(key),
            WatchEventKind::Delete => Some(KeyValue { value: None, ..key }),
        }
    }

    async fn post<B: Serialize + Sync, A: DeserializeOwned>(
        &self,
        path: &str,
        body: &B,
    ) -> Result<A> {
        let first = self.preferred.load(Ordering::Relaxed);
        let mut failure = PlatformFailure::Unreachable;
        for offset in 0..self.endpoints.len().max(1) {
            let endpoint = self.endpoint(first + offset);
            let request = self.http.post(format!("{endpoint}{path}")).json(body);
            failure = match request.timeout(self.timeout).send().await {
                Ok(response) => return decode(response).await,
                Err(error) if error.is_connect() => PlatformFailure::Unreachable,
                Err(_) => PlatformFailure::NoAnswer,
            };
            self.prefer_next();
            // A write that may have taken effect must not be retried on another endpoint.
            if failure == PlatformFailure::NoAnswer {
                break;
            }
        }
        Err(failure)
    }

    fn endpoint(&self, index: usize) -> &str {
        let index = index % self.endpoints.len().max(1);
        self.endpoints
            .get(index)
            .map_or("", |endpoint| endpoint.trim_end_matches('/'))
    }

    fn prefer_next(&self) {
        self.preferred.fetch_add(1, Ordering::Relaxed);
    }

    fn service_key(&self, key: &str) -> Base64 {
        let text = match key.strip_prefix(VM_LIST_PREFIX) {
            Some(rest) => format!("{}{rest}", self.vm_list_prefix),
            None => format!("{}{key}", self.prefix),
        };
        Base64(text.into_bytes())
    }

    fn key_value(&self, kv: Kv) -> Option<KeyValue> {
        let text = String::from_utf8(kv.key.0).ok()?;
        let key = match text.strip_prefix(&self.vm_list_prefix) {
            Some(rest) => format!("{VM_LIST_PREFIX}{rest}"),
            None => text.strip_prefix(&self.prefix)?.to_owned(),
        };
        let revision = Revision(kv.mod_revision.0);
        Some(KeyValue {
            key,
            value: Some(kv.value.0),
            revision,
        })
    }
}

fn lease_result(response: &LeaseResponse) -> PlatformResponse {
    if response.ttl.0 == 0 {
        return PlatformResponse::LeaseLapsed;
    }
    PlatformResponse::Lease {
        lease: response.id.0,
        ttl: Duration::from_secs(response.ttl.0),
    }
}

async fn decode<A: DeserializeOwned>(response: Response) -> Result<A> {
    let status = response.status();
    if status.is_server_error() {
        return Err(PlatformFailure::NoAnswer);
    }
    if !status.is_success() {
        let reason = response.text().await.unwrap_or_else(|_| status.to_string());
        return Err(PlatformFailure::Refused { reason });
    }
    response
        .json()
        .await
        .map_err(|_error| PlatformFailure::NoAnswer)
}
