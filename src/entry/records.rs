//! Writes the records of primaries to the store.

use std::rc::Rc;
use std::time::Duration;

use super::keys;
use super::node::Node;
use super::record::{PrimaryRecord, VersionedRecord};
use super::synchronization;
use crate::configuration::Revision;
use crate::control::command::PlatformRequest;
use crate::control::event::{KeyValue, PlatformResponse};
use crate::name::DatabaseName;

/// Number of attempts at a write that the store doesn't respond to.
const MAX_ATTEMPTS: usize = 4;

/// Delay between two attempts at a write.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Writes a record of the current timeline if the store's one still has the expected revision.
/// Returns the record with its new revision; `None` when another VM wrote first, the store was
/// restored or didn't respond.
pub async fn write(
    node: &Rc<Node>,
    database: &DatabaseName,
    expected: Revision,
    record: PrimaryRecord,
) -> Option<VersionedRecord> {
    // In another timeline, another record may have the number that is expected.
    if expected.number() > 0 && expected.timeline() != record.timeline {
        log::warn!(
            "event=record_outdated database={database} expected_timeline={} timeline={}",
            expected.timeline().0,
            record.timeline.0
        );
        return None;
    }
    let value = serde_json::to_vec(&record).ok()?;
    for _ in 0..MAX_ATTEMPTS {
        let key = keys::database(database);
        let request = PlatformRequest::CompareAndSwap {
            key: key.clone(),
            expected,
            value: Some(value.clone()),
            lease: None,
        };
        let revision = match node.call(request).await {
            Ok(PlatformResponse::Swapped { revision }) => revision,
            // The record was changed by another VM, or by an earlier attempt whose response was
            // lost. The latter counts as success.
            Ok(PlatformResponse::Conflict { current }) => {
                let current = current?;
                let revision = current.revision;
                let written_here = current.value.as_ref() == Some(&value);
                synchronization::apply(node, current);
                if !written_here {
                    log::warn!(
                        "event=record_conflict database={database} revision={}",
                        revision.0
                    );
                    return None;
                }
                revision
            }
            response => {
                log::warn!("event=record_unwritten database={database} answer={response:?}");
                tokio::time::sleep(RETRY_DELAY).await;
                continue;
            }
        };
        let value = Some(value);
        synchronization::apply(
            node,
            KeyValue {
                key,
                value,
                revision,
            },
        );
        let written = VersionedRecord::new(record, revision);
        return Some(written).filter(VersionedRecord::is_reliable);
    }
    None
}
