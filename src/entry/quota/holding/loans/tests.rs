use super::*;
use crate::entry::datagram::TokenAnswer;
use crate::entry::quota::ledger::Limit;
use crate::name::VmName;

const LIMIT: Limit = Limit {
    rate_per_s: 80.0,
    burst: 80.0,
};

/// Part of the limit that the lender may use alone.
const SHARE: Limit = Limit {
    rate_per_s: 10.0,
    burst: 10.0,
};

struct Case {
    name: &'static str,
    /// Milliseconds since the owner last responded, if it ever has.
    granted_ms_ago: Option<u64>,
    /// Milliseconds for which the fallback share has been in use, if it is.
    fallback_ms: Option<u64>,
    wanted: u32,
    loan: Loan,
    seeks_owner: bool,
}

const CASES: [Case; 5] = [
    Case {
        name: "nothing is known about the owner",
        granted_ms_ago: None,
        fallback_ms: None,
        wanted: 2,
        loan: Loan {
            tokens: 0,
            wait_ms: 60,
        },
        seeks_owner: true,
    },
    // Guards against a request to the owner, and one to the lender, each 60 ms.
    Case {
        name: "the owner is reachable",
        granted_ms_ago: Some(900),
        fallback_ms: None,
        wanted: 2,
        loan: Loan {
            tokens: 0,
            wait_ms: 1_000,
        },
        seeks_owner: false,
    },
    Case {
        name: "the owner was reachable",
        granted_ms_ago: Some(1_100),
        fallback_ms: None,
        wanted: 2,
        loan: Loan {
            tokens: 0,
            wait_ms: 60,
        },
        seeks_owner: true,
    },
    Case {
        name: "the share has more than is wanted",
        granted_ms_ago: Some(1_100),
        fallback_ms: Some(500),
        wanted: 2,
        loan: Loan {
            tokens: 2,
            wait_ms: 20,
        },
        seeks_owner: true,
    },
    Case {
        name: "the share has a part of a token",
        granted_ms_ago: Some(1_100),
        fallback_ms: Some(50),
        wanted: 2,
        loan: Loan {
            tokens: 0,
            wait_ms: 50,
        },
        seeks_owner: true,
    },
];

#[test]
fn a_share_is_lent_only_while_the_owner_is_unreachable() {
    let owner = VmName::from("vm-1");
    for case in CASES {
        let ago = |ms| Timestamp::from_millis(100_000 - ms);
        let mut holding = Holding::new(LIMIT, ago(50_000));
        if let Some(ms) = case.granted_ms_ago {
            holding.ask(&owner, 1, ago(ms));
            let granted = TokenAnswer::Granted {
                tokens: 0,
                rest: None,
            };
            holding.receive(1, granted, 1, ago(ms));
        }
        if let Some(ms) = case.fallback_ms {
            holding.set_owner_silent(true);
            holding.without_grant_since = Some(ago(ms));
            holding.use_fallback(Some(SHARE), ago(ms));
        }
        let loan = holding.lend(case.wanted, ago(0));
        assert_eq!(loan, case.loan, "{}", case.name);
        assert_eq!(holding.is_active(), case.seeks_owner, "{}", case.name);
    }
}
