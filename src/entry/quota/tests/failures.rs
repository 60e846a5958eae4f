//! Limits while VMs, the store or the network between them fail.

use super::world::{Change, Setup, run};
use super::{TOLERANCE, assert_bounded};

use Change::{CutPeers, CutStore, Heal, Kill, Revoke, ScaleLimit, Start, Stop};

/// Demand on a workspace while something fails.
struct Failure {
    name: &'static str,
    demand_per_s: f64,
    changes: &'static [(u64, Change)],
    /// Largest part refused within the rate, after `settled_ms`.
    max_refused: f64,
    settled_ms: u64,
}

const FAILURES: &[Failure] = &[
    Failure {
        name: "an owner is killed",
        demand_per_s: 10.0,
        changes: &[
            (2_000, Kill(0)),
            (2_000, Kill(1)),
            (2_000, Kill(2)),
            (2_000, Kill(3)),
        ],
        max_refused: 0.001,
        settled_ms: 9_000,
    },
    Failure {
        name: "gateways stop as planned and start again",
        demand_per_s: 10.0,
        changes: &[
            (2_000, Stop(0)),
            (2_500, Stop(1)),
            (3_000, Stop(2)),
            (3_500, Stop(3)),
            (5_000, Start(0)),
            (5_200, Start(1)),
            (5_400, Start(2)),
            (5_600, Start(3)),
        ],
        max_refused: 0.001,
        settled_ms: 0,
    },
    Failure {
        name: "a third of the VMs lose the store, among them the owner or not",
        demand_per_s: 10.0,
        changes: &[(2_000, CutStore(5)), (12_000, Heal)],
        max_refused: 0.1,
        settled_ms: 0,
    },
    Failure {
        name: "the fleet is cut in two",
        demand_per_s: 6.0,
        changes: &[(2_000, CutPeers(5)), (12_000, Heal)],
        max_refused: 0.15,
        settled_ms: 4_000,
    },
    Failure {
        name: "all VMs lose the store",
        demand_per_s: 6.0,
        changes: &[(1_000, CutStore(0))],
        max_refused: 0.1,
        settled_ms: 0,
    },
    Failure {
        name: "all VMs lose the store for less than a lease lasts",
        demand_per_s: 8.0,
        changes: &[(1_000, CutStore(0)), (4_500, Heal)],
        max_refused: 0.001,
        settled_ms: 0,
    },
    Failure {
        name: "the registrations of VMs that are cut off are revoked",
        demand_per_s: 6.0,
        changes: &[
            (2_000, CutPeers(4)),
            (2_000, CutStore(4)),
            (4_000, Revoke(4)),
            (4_000, Revoke(5)),
            (4_000, Revoke(6)),
            (4_000, Revoke(7)),
        ],
        max_refused: 0.25,
        settled_ms: 0,
    },
    Failure {
        name: "all VMs are restarted",
        demand_per_s: 6.0,
        changes: &[
            (2_000, Kill(0)),
            (2_000, Kill(1)),
            (2_000, Kill(2)),
            (2_000, Kill(3)),
            (2_000, Kill(4)),
            (2_000, Kill(5)),
            (2_000, Kill(6)),
            (2_000, Kill(7)),
            (3_000, Start(0)),
            (3_000, Start(1)),
            (3_100, Start(2)),
            (3_100, Start(3)),
            (3_200, Start(4)),
            (3_300, Start(5)),
            (3_400, Start(6)),
            (3_500, Start(7)),
        ],
        max_refused: 0.1,
        settled_ms: 0,
    },
    Failure {
        name: "the limit is lowered while in use",
        demand_per_s: 100.0,
        changes: &[(5_000, ScaleLimit(0.5))],
        max_refused: 1.0,
        settled_ms: 0,
    },
];

#[test]
fn the_limit_is_kept_and_requests_are_served_while_something_fails() {
    for case in FAILURES {
        for (factor, seed) in [(1.0, 1), (1.0, 2), (10.0, 1), (10.0, 2)] {
            let setup = Setup {
                demand_per_s: vec![case.demand_per_s * factor; 8],
                changes: case.changes.to_vec(),
                loss: 0.01,
                seed,
                ..Setup::default()
            };
            let outcome = run(&setup);
            assert_bounded(&setup, &outcome, TOLERANCE);
            let refused = outcome.refused_fraction(case.settled_ms);
            let is_within = factor <= 1.0;
            assert!(
                !is_within || refused <= case.max_refused,
                "{}: refused {refused}, seed {seed}",
                case.name
            );
        }
    }
}

/// Demand that reaches only some of the gateways while something fails.
struct UnevenFailure {
    name: &'static str,
    rate_per_s: f64,
    demand_per_s: &'static [f64],
    changes: &'static [(u64, Change)],
    /// Period in which requests are counted, from its start.
    from_ms: u64,
    until_ms: u64,
    max_refused: f64,
}

const UNEVEN_FAILURES: &[UnevenFailure] = &[
    // Failure: callers come to two gateways on each side of a cut, and the fallback shares of the others
    // were left unspent.
    UnevenFailure {
        name: "the fleet is cut in two, and callers come to four of eight gateways",
        rate_per_s: 16.0,
        demand_per_s: &[3.0, 0.0, 3.0, 0.0, 0.0, 3.0, 0.0, 3.0],
        changes: &[(2_000, CutPeers(4)), (12_000, Heal)],
        from_ms: 4_000,
        until_ms: 12_000,
        max_refused: 0.15,
    },
    // Failure: the one gateway that lost contact to the owner but not the store shared the limit with two
    // gateways instead of six, and the fleet exceeded it.
    UnevenFailure {
        name: "all but two lose the store, and these two each other",
        rate_per_s: 100.0,
        demand_per_s: &[10.0; 6],
        changes: &[(0, CutPeers(1)), (0, CutStore(2))],
        from_ms: 2_000,
        until_ms: 4_500,
        max_refused: 0.1,
    },
];

#[test]
fn requests_are_served_where_callers_use_some_of_the_gateways() {
    for case in UNEVEN_FAILURES {
        let mut refused = Vec::new();
        for (factor, seed) in [(1.0, 1), (1.0, 2), (1.0, 3), (10.0, 1), (10.0, 2)] {
            let demand_per_s = case.demand_per_s.iter();
            let setup = Setup {
                rate_per_s: case.rate_per_s,
                burst: case.rate_per_s,
                demand_per_s: demand_per_s.map(|demand| demand * factor).collect(),
                changes: case.changes.to_vec(),
                loss: 0.01,
                seed,
                ..Setup::default()
            };
            let outcome = run(&setup);
            assert_bounded(&setup, &outcome, TOLERANCE);
            if factor <= 1.0 {
                refused.push(outcome.refused_fraction_between(case.from_ms, case.until_ms));
            }
        }
        let mean = refused.iter().sum::<f64>() / refused.len() as f64;
        assert!(
            mean <= case.max_refused,
            "{}: refused {refused:?}",
            case.name
        );
    }
}

/// Guards against a way over the limits: a gateway that the others didn't know took itself for one of those
/// that share a limit, and kept more beside the shares of the others than the limit leaves.
#[test]
fn an_owner_that_the_others_do_not_know_keeps_what_their_shares_leave() {
    let cases: [&[(u64, Change)]; 4] = [
        &[(0, CutStore(1)), (0, Start(0))],
        &[(0, CutStore(1)), (0, CutPeers(1)), (0, Start(0))],
        &[(0, CutStore(2)), (0, Start(0)), (0, Start(1))],
        &[(0, CutStore(2)), (0, Start(0)), (2_000, Start(1))],
    ];
    for changes in cases {
        let setup = Setup {
            burst: 10.0,
            demand_per_s: vec![120.0, 0.0, 0.0, 0.0, 80.0, 90.0],
            changes: changes.to_vec(),
            ..Setup::default()
        };
        assert_bounded(&setup, &run(&setup), TOLERANCE);
    }
}

/// Guards against two owners of a limit: a gateway that had lost its registration and registered anew
/// counted the others as having seen it, because their lists lacked it as its own did.
#[test]
fn a_gateway_that_registers_anew_owns_no_limit_until_the_others_know() {
    let setup = Setup {
        burst: 10.0,
        demand_per_s: vec![120.0, 0.0, 0.0, 10.0, 35.0, 20.0],
        changes: vec![(7_250, Revoke(0)), (7_345, CutStore(1))],
        max_delay_ms: 0,
        ..Setup::default()
    };
    assert_bounded(&setup, &run(&setup), TOLERANCE);
}

/// Guards against a way over the limits: a gateway that starts took over limits whose owner had left before,
/// and kept them whole, because it didn't know whose shares the others announced.
#[test]
fn a_gateway_that_starts_keeps_less_of_the_limits_of_owners_that_left_before() {
    for start in [4_200, 4_600, 5_000] {
        let setup = Setup {
            burst: 10.0,
            demand_per_s: vec![70.0, 0.0, 0.0, 0.0, 0.0, 70.0],
            changes: vec![(0, CutStore(1)), (start, Start(0))],
            max_delay_ms: 0,
            ..Setup::default()
        };
        assert_bounded(&setup, &run(&setup), TOLERANCE);
    }
}
