use std::time::Duration;

use super::{Member, OutlierRecord, ReadOutcome, Symptom, find};
use crate::name::WorkspaceName;
use crate::time::Timestamp;

const NOW: Timestamp = Timestamp::from_millis(100_000);

/// Reads of one instance: good, slow and failed ones, by the given number of workspaces.
#[derive(Clone, Copy)]
struct Reads {
    good: u32,
    slow: u32,
    failed: u32,
    workspaces: u32,
}

const fn reads(good: u32, slow: u32, failed: u32) -> Reads {
    Reads {
        good,
        slow,
        failed,
        workspaces: 4,
    }
}

fn record(reads: Reads) -> OutlierRecord {
    let mut record = OutlierRecord::default();
    let outcomes = [
        (ReadOutcome::Good, reads.good),
        (ReadOutcome::Slow, reads.slow),
        (ReadOutcome::Failed, reads.failed),
    ];
    for (outcome, count) in outcomes {
        for index in 0..count {
            let workspace = format!("workspace-{}", index % reads.workspaces);
            record.record(&WorkspaceName::from(workspace), outcome);
        }
    }
    record
}

fn find_among(records: &[OutlierRecord], primary: Option<usize>) -> Option<(usize, Symptom)> {
    let members = records.iter().enumerate();
    let members = members.map(|(index, record)| Member {
        record,
        may_be_ejected: Some(index) != primary,
        is_usable: true,
    });
    find(&members.collect::<Vec<_>>(), NOW)
}

struct Case {
    name: &'static str,
    instances: [Reads; 3],
    primary: Option<usize>,
    expected: Option<(usize, Symptom)>,
}

/// Guards against an instance that stays in use because some of its responses are good, and against
/// ejections for what isn't its fault. With the former rule, any response cleared its failures.
#[test]
fn an_instance_that_differs_from_its_peers_is_an_outlier() {
    const GOOD: Reads = reads(20, 0, 0);
    let case = |name, instances, primary, expected| Case {
        name,
        instances,
        primary,
        expected,
    };
    let one_workspace = Reads {
        workspaces: 1,
        ..reads(16, 0, 8)
    };
    let cases = [
        case("all good", [GOOD; 3], None, None),
        case(
            "15% of the reads fail",
            [GOOD, reads(34, 0, 6), GOOD],
            Some(0),
            Some((1, Symptom::Failures)),
        ),
        case(
            "most reads are slow",
            [GOOD, GOOD, reads(6, 14, 0)],
            Some(0),
            Some((2, Symptom::Slowness)),
        ),
        case(
            "some are slow, as in a queue",
            [GOOD, GOOD, reads(14, 6, 0)],
            Some(0),
            None,
        ),
        case(
            "the primary is never ejected",
            [reads(10, 0, 10), GOOD, GOOD],
            Some(0),
            None,
        ),
        case("all look bad", [reads(12, 0, 8); 3], None, None),
        case(
            "two look bad: the worse one",
            [GOOD, reads(14, 0, 6), reads(10, 0, 10)],
            Some(0),
            Some((2, Symptom::Failures)),
        ),
        case(
            "one workspace's statements fail",
            [GOOD, one_workspace, GOOD],
            Some(0),
            None,
        ),
        case("few reads", [GOOD, reads(2, 0, 2), GOOD], Some(0), None),
    ];
    for case in cases {
        let found = find_among(&case.instances.map(record), case.primary);
        assert_eq!(found, case.expected, "{}", case.name);
    }
}

#[test]
fn at_most_a_third_of_the_instances_is_ejected() {
    let bad = reads(10, 0, 10);
    for (count, most) in [(2, 0), (3, 1), (5, 1), (6, 2)] {
        let mut records: Vec<_> = (0..count).map(|_| record(bad)).collect();
        records[0] = record(reads(20, 0, 0));
        let mut ejected = 0;
        while let Some((index, _)) = find_among(&records, None) {
            records[index].eject(NOW);
            ejected += 1;
        }
        assert_eq!(ejected, most, "{count} instances");
    }
}

#[test]
fn an_instance_whose_reads_were_always_slower_is_no_outlier() {
    let mut records = [reads(20, 0, 0), reads(12, 8, 0), reads(20, 0, 0)].map(record);
    for _ in 0..200 {
        records[1].decay(Duration::from_secs(1), NOW);
        records[1].recent = record(reads(12, 8, 0)).recent;
    }
    for _ in 0..12 {
        for workspace in ["a", "b"] {
            records[1].record(&WorkspaceName::from(workspace), ReadOutcome::Slow);
        }
    }
    assert!(records[1].share(Symptom::Slowness) > 0.5);
    assert_eq!(find_among(&records, None), None);
}

/// Guards against an instance that flaps: it would get all its reads after each short ejection.
#[test]
fn ejections_double_and_the_reads_come_back_gradually() {
    let mut record = OutlierRecord::default();
    let ms = Duration::from_millis;
    let mut at = NOW;
    for seconds in [2, 4, 8, 16, 32, 32] {
        let ejection = record.eject(at);
        assert_eq!(ejection, Duration::from_secs(seconds));
        assert!(record.is_ejected(at + ejection.saturating_sub(ms(1))));
        at = at + ejection;
        record.decay(ms(100), at);
    }
    for (after_ms, share) in [(0, 0.05), (1_000, 0.05), (3_000, 0.55), (5_000, 1.0)] {
        let admitted = record.admitted_share(at + ms(after_ms));
        assert!((admitted - share).abs() < 0.01, "{after_ms} ms: {admitted}");
    }
    record.decay(ms(100), at + Duration::from_secs(31));
    assert_eq!(record.eject(at), Duration::from_secs(2), "forgotten");
}

#[test]
fn a_read_is_slow_by_its_usual_time() {
    let cases = [
        (6, 20, false),
        (6, 27, true),
        (30, 80, false),
        (30, 150, true),
    ];
    for (usual_ms, taken_ms, is_slow) in cases {
        let ms = Duration::from_millis;
        let outcome = ReadOutcome::of_completed(ms(taken_ms), ms(usual_ms));
        assert_eq!(outcome == ReadOutcome::Slow, is_slow, "{taken_ms} ms");
    }
}
