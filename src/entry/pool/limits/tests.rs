use super::{Claim, Limits, Sharing};

struct Case {
    name: &'static str,
    max_connections: usize,
    sharing: Sharing,
    in_use: usize,
    crowded: bool,
    max_idle: usize,
}

const fn near(near: usize, far: usize) -> Sharing {
    let is_near = true;
    Sharing { near, far, is_near }
}

const fn far(near: usize, far: usize) -> Sharing {
    let is_near = false;
    Sharing { near, far, is_near }
}

fn case(
    name: &'static str,
    (max_connections, sharing): (usize, Sharing),
    in_use: usize,
    crowded: bool,
    max_idle: usize,
) -> Case {
    Case {
        name,
        max_connections,
        sharing,
        in_use,
        crowded,
        max_idle,
    }
}

/// Guards against gateways that open connections again and again (with half of an equal share, 3 are
/// kept of 56 connections at 8 gateways), and against gateways that find the instance full when they
/// return.
#[test]
fn idle_connections_are_kept_where_they_are_used_and_some_stay_free() {
    let cases = [
        case("a small share keeps one", (21, near(3, 4)), 0, false, 1),
        case("a small share elsewhere", (21, far(3, 4)), 0, false, 1),
        case("no gateway is near", (56, far(0, 8)), 0, false, 5),
        case("a near gateway", (56, near(2, 6)), 0, false, 12),
        case("a far gateway", (56, far(2, 6)), 0, false, 2),
        case("a near gateway of 12", (112, near(3, 9)), 0, false, 16),
        case("a far gateway of 12", (112, far(3, 9)), 0, false, 4),
        case("a near gateway of 9", (82, near(3, 6)), 0, false, 14),
        case("a far gateway of 24", (216, far(6, 18)), 0, false, 4),
        case("those in use count", (112, near(3, 9)), 4, false, 12),
        case("half stays in a burst", (112, near(3, 9)), 12, false, 9),
        case("a full instance", (112, near(3, 9)), 0, true, 2),
        case("a full instance, small share", (21, near(3, 4)), 0, true, 1),
        case("more VMs than connections", (5, far(0, 8)), 0, false, 1),
    ];
    for case in cases {
        let limits = Limits::divide(case.max_connections, case.sharing);
        let max_idle = limits.max_idle(case.in_use, case.crowded);
        assert_eq!(max_idle, case.max_idle, "{}", case.name);
    }
}

#[test]
fn every_gateway_finds_two_connections_when_all_return_after_a_power_failure() {
    for (max_connections, near_count, far_count) in [
        (21, 3, 4),
        (56, 2, 6),
        (73, 2, 6),
        (112, 3, 9),
        (216, 6, 18),
    ] {
        let kept = |sharing| Limits::divide(max_connections, sharing).max_idle(0, false);
        let kept = near_count * kept(near(near_count, far_count))
            + far_count * kept(far(near_count, far_count));
        let needed = 2 * (near_count + far_count);
        assert!(
            kept + needed <= max_connections,
            "{kept} of {max_connections}"
        );
    }
}

#[test]
fn reads_leave_a_quarter_of_the_connections_to_statements_that_need_the_primary() {
    let cases = [
        (56, far(0, 8), 14, 11),
        (21, near(3, 4), 6, 5),
        (1, near(1, 0), 1, 1),
    ];
    for (max_connections, sharing, full, unreserved) in cases {
        let limits = Limits::divide(max_connections, sharing);
        assert_eq!(limits.max_open_for(Claim::Full), full);
        assert_eq!(limits.max_open_for(Claim::Unreserved), unreserved);
    }
}
