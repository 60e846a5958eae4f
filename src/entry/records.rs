//! Writes records of primaries.

use std::rc::Rc;
use std::time::Duration;

use super::agreement;
use super::keys;
use super::node::Node;
use super::record::{PrimaryRecord, VersionedRecord};
use crate::configuration::Revision;
use crate::control::command::PlatformRequest;
use crate::control::event::{KeyValue, PlatformAnswer};
use crate::name::DatabaseName;

/// Attempts at a write whose answer was lost.
const ATTEMPTS: usize = 4;

/// Pause between two attempts.
const PAUSE: Duration = Duration::from_millis(50);

/// Writes a record if the current one still has the expected revision; returns it as written.
pub async fn write(
    node: &Rc<Node>,
    database: &DatabaseName,
    expected: Revision,
    record: PrimaryRecord,
) -> Option<VersionedRecord> {
    let value = serde_json::to_vec(&record).ok()?;
    for _ in 0..ATTEMPTS {
        let key = keys::database(database);
        let request = PlatformRequest::CompareAndSwap {
            key: key.clone(),
            expected,
            value: Some(value.clone()),
            lease: None,
        };
        let revision = match node.call(request).await {
            Ok(PlatformAnswer::Swapped { revision }) => revision,
            // By a call of this VM whose answer was lost, or by another VM.
            Ok(PlatformAnswer::Conflict { current }) => {
                let current = current?;
                let revision = current.revision;
                let own = current.value.as_ref() == Some(&value);
                agreement::apply(node, current);
                if !own {
                    log::warn!(
                        "event=record_conflict database={database} revision={}",
                        revision.0
                    );
                    return None;
                }
                revision
            }
            answer => {
                log::warn!("event=record_unwritten database={database} answer={answer:?}");
                tokio::time::sleep(PAUSE).await;
                continue;
            }
        };
        let value = Some(value);
        agreement::apply(
            node,
            KeyValue {
                key,
                value,
                revision,
            },
        );
        return Some(VersionedRecord { record, revision });
    }
    None
}
