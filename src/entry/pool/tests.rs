use super::{Claim, Limits};

struct Case {
    name: &'static str,
    max_connections: usize,
    vms: usize,
    in_use: usize,
    crowded: bool,
    max_idle: usize,
}

#[test]
fn idle_connections_leave_every_vm_two_for_the_return_after_a_power_failure() {
    let case = |name, (max_connections, vms), in_use, crowded, max_idle| Case {
        name,
        max_connections,
        vms,
        in_use,
        crowded,
        max_idle,
    };
    // With the former rule, half of the share, the second to fourth case keep 3, 4 and 4.
    let cases = [
        case("a small share keeps one", (21, 7), 0, false, 1),
        case("a larger share is kept almost whole", (56, 8), 0, false, 5),
        case("a share of nine", (112, 12), 0, false, 7),
        case("a share of ten", (216, 21), 0, false, 8),
        case("connections in use count", (112, 12), 2, false, 5),
        case("a burst leaves half of the share", (112, 12), 9, false, 4),
        case("a full instance leaves two", (112, 12), 0, true, 2),
        case("a full instance, small share", (21, 7), 0, true, 1),
        case("more VMs than connections", (5, 8), 0, false, 1),
    ];
    for case in cases {
        let limits = Limits::divide(case.max_connections, case.vms);
        let max_idle = limits.max_idle(case.in_use, case.crowded);
        assert_eq!(max_idle, case.max_idle, "{}", case.name);
        let free = case.max_connections.saturating_sub(max_idle * case.vms);
        let enough = free >= 2 * case.vms || case.vms > case.max_connections;
        assert!(enough, "{}: {free} free", case.name);
    }
}

#[test]
fn reads_leave_a_quarter_of_the_connections_to_statements_that_need_the_primary() {
    for (max_connections, vms, full, unreserved) in [(56, 8, 14, 11), (21, 7, 6, 5), (1, 1, 1, 1)] {
        let limits = Limits::divide(max_connections, vms);
        assert_eq!(limits.max_open_for(Claim::Full), full);
        assert_eq!(limits.max_open_for(Claim::Unreserved), unreserved);
    }
}
