use std::time::Duration;

use super::*;

const LIMITS: InputLimits = InputLimits {
    max_connections: 4,
    max_unopened: 2,
    max_pending_bytes: 1_000,
};

/// What happens to a connection, which is named by its position in order of arrival.
enum Step {
    Add(Peer),
    Open(usize),
    Pending(usize, usize),
    Remove(usize),
}

use Step::{Add, Open, Pending, Remove};

struct Case {
    name: &'static str,
    /// Steps, 100 ms apart.
    steps: Vec<Step>,
    /// Connections that are closed, in order.
    closed: Vec<(usize, Cause)>,
}

fn caller() -> Step {
    Add(Peer::Caller)
}

fn connection_cases() -> Vec<Case> {
    vec![
        Case {
            name: "open sessions that are idle stay, and the newest arrival ends",
            steps: vec![
                caller(),
                Open(0),
                caller(),
                Open(1),
                Add(Peer::Vm),
                Add(Peer::Vm),
                caller(),
            ],
            closed: vec![(4, Cause::Connections)],
        },
        Case {
            name: "a peer that sends nothing ends before a newer arrival does",
            steps: vec![
                Add(Peer::Vm),
                Add(Peer::Vm),
                caller(),
                Open(2),
                caller(),
                caller(),
            ],
            closed: vec![(3, Cause::Connections)],
        },
        Case {
            name: "the oldest of those that send nothing ends, one for each arrival",
            steps: vec![caller(), caller(), caller(), caller(), Open(2), caller()],
            closed: vec![(0, Cause::Unopened), (1, Cause::Unopened)],
        },
        Case {
            name: "a session that ends makes room",
            steps: vec![
                caller(),
                Open(0),
                caller(),
                Remove(1),
                caller(),
                Open(2),
                caller(),
                caller(),
            ],
            closed: vec![],
        },
    ]
}

fn input_cases() -> Vec<Case> {
    vec![
        Case {
            name: "a message that arrives slowly costs more than a larger one that has just begun",
            steps: vec![
                caller(),
                Open(0),
                Pending(0, 200),
                Pending(0, 300),
                caller(),
                Open(1),
                Pending(1, 400),
                Pending(1, 800),
            ],
            closed: vec![(0, Cause::PendingInput)],
        },
        Case {
            name: "a completed message no longer counts",
            steps: vec![
                caller(),
                Open(0),
                Pending(0, 900),
                Pending(0, 0),
                caller(),
                Open(1),
                Pending(1, 900),
            ],
            closed: vec![],
        },
        Case {
            name: "what a closed connection held is free at once, and it isn't chosen again",
            steps: vec![
                Add(Peer::Vm),
                Pending(0, 1_100),
                Pending(0, 1_200),
                Add(Peer::Vm),
                Pending(1, 900),
                Remove(0),
                Pending(1, 1_000),
            ],
            closed: vec![(0, Cause::PendingInput)],
        },
    ]
}

/// Guards against peers that exhaust memory or descriptors, and against closing others for them.
#[test]
fn the_costliest_connection_ends_beyond_a_bound() {
    for case in connection_cases().into_iter().chain(input_cases()) {
        let mut budget = InputBudget::new(LIMITS);
        let (mut keys, mut closed) = (Vec::new(), Vec::new());
        let mut now = Timestamp::from_millis(1_000);
        for step in case.steps {
            now = now + Duration::from_millis(100);
            let eviction = match step {
                Add(peer) => {
                    let (key, eviction) = budget.add(peer, now);
                    keys.push(key);
                    eviction
                }
                Open(index) => {
                    budget.open(keys[index]);
                    None
                }
                Pending(index, bytes) => budget.set_pending(keys[index], bytes, now),
                Remove(index) => {
                    budget.remove(keys[index]);
                    None
                }
            };
            closed.extend(eviction.map(|eviction| {
                let index = keys.iter().position(|key| *key == eviction.connection);
                (index.unwrap(), eviction.cause)
            }));
        }
        assert_eq!(closed, case.closed, "{}", case.name);
        for key in keys {
            budget.remove(key);
        }
        assert_eq!((budget.connections(), budget.pending_bytes()), (0, 0));
    }
}
