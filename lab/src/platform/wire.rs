//! JSON bodies of the service, as in the etcd JSON gateway: keys and values are encoded in base64,
//! and 64-bit numbers as strings.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Deserializer, Serialize};
use serde_json::{Value, json};

use super::store::{Change, Item, KeyRange};

/// 64-bit number, accepted as a JSON string or a JSON number.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Number(pub(super) i64);

impl<'de> Deserialize<'de> for Number {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let value = Value::deserialize(deserializer)?;
        let number = value.as_i64().or_else(|| value.as_str()?.parse().ok());
        number
            .map(Self)
            .ok_or_else(|| serde::de::Error::custom("expected a 64-bit number"))
    }
}

/// Bytes, encoded in base64.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct Bytes(pub(super) Vec<u8>);

impl<'de> Deserialize<'de> for Bytes {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        STANDARD
            .decode(text)
            .map(Self)
            .map_err(serde::de::Error::custom)
    }
}

#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub(super) struct RangeRequest {
    pub(super) key: Bytes,
    #[serde(alias = "rangeEnd")]
    pub(super) range_end: Bytes,
    pub(super) limit: Number,
}

impl RangeRequest {
    pub(super) fn range(&self) -> KeyRange {
        KeyRange {
            key: self.key.0.clone(),
            end: self.range_end.0.clone(),
        }
    }
}

#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub(super) struct PutRequest {
    pub(super) key: Bytes,
    pub(super) value: Bytes,
    pub(super) lease: Number,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub(super) enum Target {
    #[default]
    Version,
    Create,
    Mod,
    Value,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub(super) enum Comparison {
    #[default]
    Equal,
    Greater,
    Less,
    NotEqual,
}

#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub(super) struct Compare {
    pub(super) key: Bytes,
    pub(super) target: Target,
    pub(super) result: Comparison,
    pub(super) version: Number,
    #[serde(alias = "createRevision")]
    pub(super) create_revision: Number,
    #[serde(alias = "modRevision")]
    pub(super) mod_revision: Number,
    pub(super) value: Bytes,
}

impl Compare {
    pub(super) fn holds(&self, item: Option<&Item>) -> bool {
        let ordering = match self.target {
            Target::Version => item.map_or(0, |item| item.version).cmp(&self.version.0),
            Target::Create => item
                .map_or(0, |item| item.create_revision)
                .cmp(&self.create_revision.0),
            Target::Mod => item
                .map_or(0, |item| item.mod_revision)
                .cmp(&self.mod_revision.0),
            Target::Value => match item {
                Some(item) => item.value.cmp(&self.value.0),
                None => return false,
            },
        };
        match self.result {
            Comparison::Equal => ordering.is_eq(),
            Comparison::Greater => ordering.is_gt(),
            Comparison::Less => ordering.is_lt(),
            Comparison::NotEqual => ordering.is_ne(),
        }
    }
}

#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub(super) struct Operation {
    #[serde(rename = "request_range", alias = "requestRange")]
    pub(super) range: Option<RangeRequest>,
    #[serde(rename = "request_put", alias = "requestPut")]
    pub(super) put: Option<PutRequest>,
    #[serde(rename = "request_delete_range", alias = "requestDeleteRange")]
    pub(super) delete_range: Option<RangeRequest>,
}

#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub(super) struct TxnRequest {
    pub(super) compare: Vec<Compare>,
    pub(super) success: Vec<Operation>,
    pub(super) failure: Vec<Operation>,
}

#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub(super) struct LeaseRequest {
    #[serde(rename = "ID")]
    pub(super) id: Number,
    #[serde(rename = "TTL")]
    pub(super) ttl: Number,
}

#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub(super) struct WatchCreate {
    pub(super) key: Bytes,
    #[serde(alias = "rangeEnd")]
    pub(super) range_end: Bytes,
    #[serde(alias = "startRevision")]
    pub(super) start_revision: Number,
}

#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub(super) struct WatchRequest {
    #[serde(alias = "createRequest")]
    pub(super) create_request: WatchCreate,
}

/// Header of every response.
#[derive(Debug, Clone, Serialize)]
pub(super) struct Header {
    cluster_id: &'static str,
    member_id: &'static str,
    revision: String,
    raft_term: &'static str,
}

pub(super) fn header(revision: i64) -> Header {
    Header {
        cluster_id: "1",
        member_id: "1",
        revision: revision.to_string(),
        raft_term: "1",
    }
}

pub(super) fn item(item: &Item) -> Value {
    let mut value = json!({
        "key": STANDARD.encode(&item.key),
        "mod_revision": item.mod_revision.to_string(),
    });
    let fields = [
        ("create_revision", item.create_revision),
        ("version", item.version),
        ("lease", item.lease),
    ];
    // The etcd gateway omits fields that are zero or empty.
    for (name, number) in fields.into_iter().filter(|(_, number)| *number != 0) {
        value[name] = json!(number.to_string());
    }
    if !item.value.is_empty() {
        value["value"] = json!(STANDARD.encode(&item.value));
    }
    value
}

pub(super) fn change(change: &Change) -> Value {
    let kv = item(&change.item);
    if change.deleted {
        json!({ "type": "DELETE", "kv": kv })
    } else {
        json!({ "kv": kv })
    }
}
