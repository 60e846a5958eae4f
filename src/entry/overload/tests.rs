use super::*;

/// Measurements over a time, and what must hold at its end.
struct Step {
    duration_ms: u64,
    loop_delay_ms: u64,
    waiting: usize,
    /// Number of declined ones among 80 tasks.
    declined: usize,
    is_withdrawn: bool,
}

struct Case {
    name: &'static str,
    only_forwards: bool,
    steps: Vec<Step>,
}

const fn step(duration_ms: u64, loop_delay_ms: u64, waiting: usize, declined: usize) -> Step {
    Step {
        duration_ms,
        loop_delay_ms,
        waiting,
        declined,
        is_withdrawn: false,
    }
}

fn cases() -> Vec<Case> {
    vec![
        Case {
            name: "a gateway declines a small part while it is late, more while statements wait",
            only_forwards: false,
            steps: vec![
                step(60_000, 5, 9, 0),
                step(3_000, 80, 0, 10),
                step(3_000, 80, 9, 20),
                step(5_000, 3, 9, 0),
            ],
        },
        Case {
            name: "between the two thresholds, the state stays",
            only_forwards: false,
            steps: vec![
                step(60_000, 25, 0, 0),
                step(3_000, 80, 0, 10),
                step(10_000, 25, 0, 10),
                step(10_000, 0, 0, 0),
            ],
        },
        Case {
            name: "one suspension is no overload",
            only_forwards: true,
            steps: vec![
                step(60_000, 2, 0, 0),
                step(100, 9_000, 0, 0),
                step(2_000, 2, 0, 0),
            ],
        },
        Case {
            name: "a VM that forwards asks for a pause, and is ready again after it",
            only_forwards: true,
            steps: vec![
                step(60_000, 2, 0, 0),
                Step {
                    is_withdrawn: true,
                    ..step(4_000, 90, 0, 10)
                },
                step(6_000, 90, 0, 10),
            ],
        },
    ]
}

/// Guards against a slow VM that takes as much work as the others, and against one that hands all
/// of its work on.
#[test]
fn a_late_vm_takes_less_work() {
    for case in cases() {
        let mut overload = Overload::default();
        let mut now_ms = 1_000;
        for (index, step) in case.steps.iter().enumerate() {
            let end_ms = now_ms + step.duration_ms;
            while now_ms < end_ms {
                now_ms += 100;
                let load = Load {
                    loop_delay: Duration::from_millis(step.loop_delay_ms),
                    waiting: step.waiting,
                    objective: Some(Duration::from_millis(150)),
                    can_serve: true,
                    only_forwards: case.only_forwards,
                };
                overload.observe(&load, Timestamp::from_millis(now_ms));
            }
            let declined = (0..80).filter(|_| overload.declines_task()).count();
            let context = format!("{}, step {index}", case.name);
            assert!(
                declined.abs_diff(step.declined) <= 1,
                "{context}: {declined}"
            );
            assert_eq!(overload.is_withdrawn(), step.is_withdrawn, "{context}");
        }
    }
}
