use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::*;
use crate::entry::record::VmRecord;
use crate::name::ZoneName;

const OTHERS: usize = 7;

fn vm(index: usize) -> VmName {
    VmName::from(format!("vm-{index}"))
}

fn status(unreachable: Option<&VmName>) -> LimitStatus {
    LimitStatus {
        lease: 1,
        gateways_digest: 1,
        unreachable_owners: unreachable.map_or(0, owner_bit),
        says_goodbye: false,
    }
}

fn record() -> VmRecord {
    VmRecord {
        lease: 1,
        peer_address: SocketAddr::from(([10, 0, 0, 1], 1)),
        availability_zone: ZoneName::from("a"),
        cpu_share: 1.0,
    }
}

struct Case {
    name: &'static str,
    /// Gateway that the others announce as unreachable.
    unreachable: Option<usize>,
    /// Gateway that has left the list, and the milliseconds since then.
    left: Option<(usize, u64)>,
    /// Milliseconds since this owner started the bucket.
    started_ms: u64,
    lowers_rate: bool,
}

fn cases() -> [Case; 5] {
    [
        Case {
            name: "nobody uses a fallback",
            unreachable: None,
            left: None,
            started_ms: 60_000,
            lowers_rate: false,
        },
        Case {
            name: "the others can't reach another owner",
            unreachable: Some(1),
            left: None,
            started_ms: 60_000,
            lowers_rate: false,
        },
        Case {
            name: "the others can't reach this owner",
            unreachable: Some(0),
            left: None,
            started_ms: 60_000,
            lowers_rate: true,
        },
        Case {
            name: "the limits of the unreachable one, which has left",
            unreachable: Some(8),
            left: Some((8, 3_000)),
            started_ms: 2_900,
            lowers_rate: true,
        },
        Case {
            name: "limits that this owner had before the other one left",
            unreachable: Some(8),
            left: Some((8, 3_000)),
            started_ms: 3_100,
            lowers_rate: false,
        },
    ]
}

/// Guards against a gateway that is gone for good while the store is down: all holders used the
/// fallback of its limits, and the other owners kept a quarter of theirs for six seconds.
/// And against an owner that lowered all of its limits because it had taken over a few, and forgot after
/// two seconds that others still used their shares of these.
#[test]
fn an_owner_lowers_its_rate_only_for_those_that_cannot_reach_it() {
    for case in cases() {
        let now = Timestamp::from_millis(100_000);
        let mut fallback = FallbackUse::default();
        let others: Vec<_> = (1..=OTHERS).map(vm).collect();
        let mut ownership = Ownership::new(vm(0));
        ownership.update(&listed(OTHERS + 1, 1), Some(1), |_| now, now);
        let unreachable = case.unreachable.map(vm);
        for other in &others {
            let status = status(unreachable.as_ref());
            fallback.record_status(other, &status, now);
        }
        if let Some((index, ago_ms)) = case.left {
            let left_at = Timestamp::from_millis(100_000 - ago_ms);
            fallback.record_left(&vm(index), false, left_at);
            fallback.record_status(&vm(index), &status(None), now);
        }
        let started_at = Timestamp::from_millis(100_000 - case.started_ms);
        let owners = fallback.owners_of(&vm(0), started_at, ownership.others(), now);
        let factor = fallback.owner_factor(owners, &ownership, now);
        assert_eq!(factor < 0.5, case.lowers_rate, "{}: {factor}", case.name);
    }
}

fn listed(count: usize, lease: u64) -> BTreeMap<VmName, VmRecord> {
    let record = VmRecord { lease, ..record() };
    (0..count)
        .map(|index| (vm(index), record.clone()))
        .collect()
}

/// Guards against an owner that counts itself among those that share its limits although the others have
/// dropped it from their lists since.
#[test]
fn an_owner_that_registers_again_is_unknown_to_those_that_knew_its_former_registration() {
    let now = Timestamp::from_millis(100_000);
    let mut fallback = FallbackUse::default();
    let mut ownership = Ownership::new(vm(0));
    ownership.update(&listed(OTHERS + 1, 1), Some(1), |_| now, now);
    for index in 1..=OTHERS {
        ownership.record_digest(&vm(index), ownership.digest());
    }
    ownership.update(&listed(0, 1), None, |_| now, now);
    ownership.update(&listed(1, 2), Some(2), |_| now, now);
    for index in 1..=OTHERS {
        fallback.record_status(&vm(index), &status(Some(&vm(1))), now);
        fallback.record_left(&vm(index), false, now);
    }
    let owners = fallback.owners_of(&vm(0), now, ownership.others(), now);
    let factor = fallback.owner_factor(owners, &ownership, now);
    assert!(factor <= 1.0 - FALLBACK_FACTOR + TOLERANCE, "{factor}");
}

/// Guards against a former owner whose bit is that of a gateway in the list.
#[test]
fn an_owner_that_has_just_started_counts_announcements_for_gateways_that_it_hears() {
    let now = Timestamp::from_millis(100_000);
    let mut fallback = FallbackUse::default();
    fallback.record_first_list(now);
    let mut ownership = Ownership::new(vm(0));
    ownership.update(&listed(OTHERS + 1, 1), Some(1), |_| now, now);
    for index in 1..=OTHERS {
        fallback.record_status(&vm(index), &status(Some(&vm(1))), now);
    }
    let owners = fallback.owners_of(&vm(0), now, ownership.others(), now);
    let factor = fallback.owner_factor(owners, &ownership, now);
    assert!(factor < 0.5, "{factor}");
}
