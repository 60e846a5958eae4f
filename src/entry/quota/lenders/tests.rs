use super::*;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(100_000 + ms)
}

struct Case {
    name: &'static str,
    /// Gateways asked before, with the time of the response and the loan; `None` if it was lost.
    asked: &'static [(&'static str, u64, Option<Loan>)],
    at_ms: u64,
    next: Option<&'static str>,
    may_lend: bool,
}

const NONE: Option<Loan> = Some(Loan {
    tokens: 0,
    wait_ms: 300,
});
const ONE: Option<Loan> = Some(Loan {
    tokens: 1,
    wait_ms: 100,
});

const CASES: [Case; 5] = [
    Case {
        name: "nobody was asked",
        asked: &[],
        at_ms: 0,
        next: Some("a"),
        may_lend: true,
    },
    Case {
        name: "one had no token",
        asked: &[("a", 0, NONE)],
        at_ms: 10,
        next: Some("b"),
        may_lend: true,
    },
    Case {
        name: "both had none",
        asked: &[("a", 0, NONE), ("b", 10, NONE)],
        at_ms: 20,
        next: None,
        may_lend: false,
    },
    Case {
        name: "the one that lent is due first",
        asked: &[("a", 0, NONE), ("b", 10, ONE)],
        at_ms: 120,
        next: Some("b"),
        may_lend: true,
    },
    Case {
        name: "a lost response",
        asked: &[("a", 0, None), ("b", 100, NONE)],
        at_ms: 450,
        next: Some("b"),
        may_lend: true,
    },
];

#[test]
fn the_gateway_available_for_longest_is_asked() {
    let candidates = ["a", "b"].map(VmName::from);
    for case in CASES {
        let mut lenders = Lenders::default();
        for (nonce, (vm, at_ms, loan)) in (1..).zip(case.asked) {
            lenders.next(candidates.iter(), |vm| vm, at(*at_ms));
            lenders.record_sent(nonce, VmName::from(*vm), at(*at_ms));
            if let Some(loan) = loan {
                lenders.receive(nonce, *loan, at(*at_ms));
            }
        }
        let next = lenders.next(candidates.iter(), |vm| vm, at(case.at_ms));
        let next = next.map(VmName::to_string);
        assert_eq!(next.as_deref(), case.next, "{}", case.name);
        assert_eq!(
            lenders.may_lend(at(case.at_ms)),
            case.may_lend,
            "{}",
            case.name
        );
    }
}
