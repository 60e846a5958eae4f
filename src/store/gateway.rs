//! Messages of the etcd v3 JSON gateway, with bytes as base64 and 64-bit integers as text.
//!
//! Source: the gRPC gateway's mapping of etcd's `rpc.proto`.

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Bytes that are encoded as base64.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Base64(pub(crate) Vec<u8>);

impl Serialize for Base64 {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&BASE64_STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Base64 {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        BASE64_STANDARD
            .decode(text)
            .map(Self)
            .map_err(serde::de::Error::custom)
    }
}

/// 64-bit integer that is encoded as text; JSON numbers are accepted as well.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Int64(pub(crate) u64);

impl Serialize for Int64 {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for Int64 {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        #[derive(Deserialize)]
        #[serde(untagged)]
        enum Form {
            Text(String),
            Number(u64),
        }
        match Form::deserialize(deserializer)? {
            Form::Text(text) => text.parse().map(Self).map_err(serde::de::Error::custom),
            Form::Number(number) => Ok(Self(number)),
        }
    }
}

/// Header of every response.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub(crate) struct Header {
    pub(crate) revision: Int64,
}

/// Key with its value.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub(crate) struct Kv {
    pub(crate) key: Base64,
    pub(crate) value: Base64,
    pub(crate) mod_revision: Int64,
}

#[derive(Debug, Clone, Serialize)]
pub(crate) struct RangeRequest {
    pub(crate) key: Base64,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) range_end: Option<Base64>,
    /// Whether the queried member may respond from its local, possibly stale data.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub(crate) serializable: bool,
}

#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub(crate) struct RangeResponse {
    pub(crate) header: Header,
    pub(crate) kvs: Vec<Kv>,
}

#[derive(Debug, Clone, Serialize)]
pub(crate) struct Compare {
    pub(crate) key: Base64,
    pub(crate) target: &'static str,
    pub(crate) result: &'static str,
    pub(crate) mod_revision: Int64,
}

#[derive(Debug, Clone, Serialize)]
pub(crate) struct PutRequest {
    pub(crate) key: Base64,
    pub(crate) value: Base64,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) lease: Option<Int64>,
}

#[derive(Debug, Clone, Serialize)]
pub(crate) enum RequestOp {
    #[serde(rename = "request_range")]
    Range(RangeRequest),
    #[serde(rename = "request_put")]
    Put(PutRequest),
    #[serde(rename = "request_delete_range")]
    DeleteRange(RangeRequest),
}

#[derive(Debug, Clone, Serialize)]
pub(crate) struct TxnRequest {
    pub(crate) compare: Vec<Compare>,
    pub(crate) success: Vec<RequestOp>,
    pub(crate) failure: Vec<RequestOp>,
}

#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub(crate) struct ResponseOp {
    pub(crate) response_range: Option<RangeResponse>,
}

#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub(crate) struct TxnResponse {
    pub(crate) header: Header,
    pub(crate) succeeded: bool,
    pub(crate) responses: Vec<ResponseOp>,
}

#[derive(Debug, Clone, Serialize)]
pub(crate) struct LeaseGrantRequest {
    #[serde(rename = "TTL")]
    pub(crate) ttl: Int64,
}

#[derive(Debug, Clone, Serialize)]
pub(crate) struct LeaseRequest {
    #[serde(rename = "ID")]
    pub(crate) id: Int64,
}

#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub(crate) struct LeaseResponse {
    #[serde(rename = "ID")]
    pub(crate) id: Int64,
    #[serde(rename = "TTL")]
    pub(crate) ttl: Int64,
}

/// Envelope of each message in a streaming response.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub(crate) struct Streamed<T> {
    pub(crate) result: Option<T>,
}

#[derive(Debug, Clone, Serialize)]
pub(crate) struct WatchRequest {
    pub(crate) create_request: WatchCreateRequest,
}

#[derive(Debug, Clone, Serialize)]
pub(crate) struct WatchCreateRequest {
    pub(crate) key: Base64,
    pub(crate) range_end: Base64,
    pub(crate) start_revision: Int64,
}

#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub(crate) struct WatchResponse {
    pub(crate) canceled: bool,
    pub(crate) events: Vec<WatchEvent>,
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub(crate) enum WatchEventKind {
    #[default]
    Put,
    Delete,
}

#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub(crate) struct WatchEvent {
    #[serde(rename = "type")]
    pub(crate) kind: WatchEventKind,
    pub(crate) kv: Kv,
}

/// Returns the end of the range of keys that start with a prefix.
pub(crate) fn prefix_end(prefix: &[u8]) -> Vec<u8> {
    let mut end = prefix.to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return end;
        }
    }
    // No greater prefix exists: the gateway reads a single zero byte as an unbounded range end.
    vec![0]
}

#[cfg(test)]
mod tests;
