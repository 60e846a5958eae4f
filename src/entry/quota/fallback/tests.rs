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
        let gateways = (0..=OTHERS).map(|index| (vm(index), record())).collect();
        ownership.update(&gateways, Some(1), |_| now, now);
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
