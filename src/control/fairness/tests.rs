use std::collections::BTreeMap;

use proptest::prelude::*;

use super::*;
use crate::configuration::RouteClass;

const FAR: Timestamp = Timestamp::from_millis(60_000);
const STATEMENT: Duration = Duration::from_millis(10);

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn arrival(workspace: &str, class: RouteClass) -> Arrival {
    Arrival {
        workspace: workspace.into(),
        class: class.into(),
        kind: 0,
        weight: 1,
        due: None,
        deadline: FAR,
    }
}

fn normal(workspace: &str) -> Arrival {
    arrival(workspace, RouteClass::Normal)
}

/// Runs every waiting request for `cost`; returns the tickets in the order in which they started.
fn run_all(queue: &mut FairQueue<&'static str>, cost: Duration) -> Vec<&'static str> {
    let mut order = Vec::new();
    while let Some(started) = queue.start(at(0)) {
        order.push(started.ticket);
        queue.finish(started.run, cost, at(0));
    }
    order
}

#[test]
fn slots_are_never_exceeded() {
    let mut queue = FairQueue::new(FairQueueSettings::default(), 2);
    for _ in 0..5 {
        queue.enter(&normal("a"), "a", at(0)).unwrap();
    }
    let first = queue.start(at(0)).unwrap();
    queue.start(at(0)).unwrap();
    assert!(queue.start(at(0)).is_none());
    queue.finish(first.run, STATEMENT, at(0));
    assert!(queue.start(at(0)).is_some());
    assert_eq!((queue.running(), queue.waiting()), (2, 2));
}

#[test]
fn slot_time_is_shared_by_weight() {
    struct Case {
        weight: u32,
        cost_ms: u64,
        served: usize,
    }
    let cases = [
        Case {
            weight: 1,
            cost_ms: 10,
            served: 20,
        },
        Case {
            weight: 3,
            cost_ms: 10,
            served: 30,
        },
        Case {
            weight: 1,
            cost_ms: 40,
            served: 8,
        },
    ];
    for case in cases {
        let mut queue = FairQueue::new(FairQueueSettings::default(), 1);
        for _ in 0..100 {
            queue.enter(&normal("a"), "a", at(0)).unwrap();
            let weighted = Arrival {
                weight: case.weight,
                ..normal("b")
            };
            queue.enter(&weighted, "b", at(0)).unwrap();
        }
        let mut served = BTreeMap::new();
        for _ in 0..40 {
            let started = queue.start(at(0)).unwrap();
            *served.entry(started.ticket).or_insert(0_usize) += 1;
            let cost_ms = if started.ticket == "b" {
                case.cost_ms
            } else {
                10
            };
            queue.finish(started.run, Duration::from_millis(cost_ms), at(0));
        }
        assert!(
            served["b"].abs_diff(case.served) <= 1,
            "{served:?}, expected {}",
            case.served
        );
    }
}

#[test]
fn a_workspace_with_a_long_queue_delays_another_by_at_most_one_statement() {
    let mut queue = FairQueue::new(FairQueueSettings::default(), 1);
    for _ in 0..500 {
        queue.enter(&normal("large"), "large", at(0)).unwrap();
    }
    for _ in 0..50 {
        let started = queue.start(at(0)).unwrap();
        queue.finish(started.run, STATEMENT, at(0));
    }
    queue.enter(&normal("small"), "small", at(0)).unwrap();
    let order = run_all(&mut queue, STATEMENT);
    let place = order.iter().position(|ticket| *ticket == "small").unwrap();
    assert!(place <= 1, "served after {place} others");
}

#[test]
fn urgent_requests_go_first_and_other_classes_keep_their_share() {
    let mut queue = FairQueue::new(FairQueueSettings::default(), 1);
    for _ in 0..200 {
        queue
            .enter(&arrival("a", RouteClass::Urgent), "urgent", at(0))
            .unwrap();
        queue.enter(&normal("b"), "normal", at(0)).unwrap();
        queue
            .enter(&arrival("c", RouteClass::Background), "background", at(0))
            .unwrap();
    }
    let order = run_all(&mut queue, STATEMENT);
    let count = |ticket| {
        order[..100]
            .iter()
            .filter(|served| **served == ticket)
            .count()
    };
    assert_eq!(order[0], "urgent");
    assert!(count("urgent") >= 74, "{}", count("urgent"));
    assert!(count("normal") >= 18, "{}", count("normal"));
    assert!(count("background") >= 3, "{}", count("background"));
}

#[test]
fn slow_statements_of_one_workspace_leave_a_slot_free() {
    let mut queue = FairQueue::new(FairQueueSettings::default(), 3);
    for _ in 0..200 {
        queue.enter(&normal("quick"), "quick", at(0)).unwrap();
        run_all(&mut queue, Duration::from_millis(2));
    }
    queue.enter(&normal("slow"), "slow", at(0)).unwrap();
    run_all(&mut queue, Duration::from_secs(1));
    for _ in 0..10 {
        queue.enter(&normal("slow"), "slow", at(0)).unwrap();
    }
    let running = std::iter::from_fn(|| queue.start(at(0))).count();
    assert_eq!(running, 2);
    queue.enter(&normal("quick"), "quick", at(0)).unwrap();
    assert_eq!(queue.start(at(0)).unwrap().ticket, "quick");
}

/// Guards against an instance that counts as slow because connections to it are opened, and against
/// a workspace that opens many connections at the others' expense.
#[test]
fn opening_a_connection_is_charged_to_the_workspace_and_not_to_the_instance() {
    let after_opening = Cost {
        held: STATEMENT * 4,
        duration: Some(STATEMENT),
    };
    let mut queue = FairQueue::new(FairQueueSettings::default(), 1);
    for _ in 0..100 {
        queue.enter(&normal("opens"), "opens", at(0)).unwrap();
        queue.enter(&normal("reuses"), "reuses", at(0)).unwrap();
    }
    let mut served = BTreeMap::new();
    for _ in 0..40 {
        let started = queue.start(at(0)).unwrap();
        *served.entry(started.ticket).or_insert(0) += 1;
        let cost = if started.ticket == "opens" {
            after_opening
        } else {
            Cost::from(STATEMENT)
        };
        queue.finish(started.run, cost, at(0));
    }
    assert_eq!(served["opens"] * 4, served["reuses"], "{served:?}");

    let mut queue = FairQueue::new(FairQueueSettings::default(), 4);
    for round in 0..200 {
        queue.enter(&normal("a"), "a", at(0)).unwrap();
        let run = queue.start(at(0)).unwrap().run;
        // If the time for the connection counted, it would be 40 ms in the second half, and the limit
        // would fall.
        let cost = if round >= 100 {
            after_opening
        } else {
            Cost::from(STATEMENT)
        };
        queue.finish(run, cost, at(0));
    }
    assert_eq!(queue.concurrency(), 4);
}

#[test]
fn a_request_that_can_not_start_in_time_is_refused_at_entry() {
    let mut queue = FairQueue::new(FairQueueSettings::default(), 1);
    for _ in 0..30 {
        queue.enter(&normal("a"), "a", at(0)).unwrap();
        run_all(&mut queue, STATEMENT);
    }
    for _ in 0..10 {
        queue.enter(&normal("a"), "a", at(0)).unwrap();
    }
    let short_deadline = Arrival {
        deadline: at(50),
        ..normal("a")
    };
    let shed = queue
        .enter(&short_deadline, "short deadline", at(0))
        .unwrap_err();
    assert_eq!(shed.refusal.reason, RefusalReason::DeadlineUnreachable);
    assert!(shed.refusal.retry_after.unwrap() >= Duration::from_millis(90));
    let other = Arrival {
        deadline: at(50),
        ..normal("b")
    };
    assert!(
        queue.enter(&other, "b", at(0)).is_ok(),
        "a request of another workspace can start in time"
    );
}

#[test]
fn a_full_queue_sheds_the_least_urgent_first() {
    struct Case {
        waiting: RouteClass,
        arriving: RouteClass,
        shed: Option<&'static str>,
    }
    use RouteClass::{Background, Normal, Urgent};
    let cases = [
        Case {
            waiting: Background,
            arriving: Normal,
            shed: Some("waiting"),
        },
        Case {
            waiting: Background,
            arriving: Urgent,
            shed: Some("waiting"),
        },
        Case {
            waiting: Normal,
            arriving: Urgent,
            shed: Some("waiting"),
        },
        Case {
            waiting: Normal,
            arriving: Normal,
            shed: Some("waiting"),
        },
        Case {
            waiting: Normal,
            arriving: Background,
            shed: None,
        },
        Case {
            waiting: Urgent,
            arriving: Normal,
            shed: None,
        },
    ];
    let settings = FairQueueSettings {
        max_waiting: 4,
        max_waiting_per_flow: 4,
    };
    for case in cases {
        let mut queue = FairQueue::new(settings, 1);
        for _ in 0..4 {
            queue
                .enter(&arrival("a", case.waiting), "waiting", at(0))
                .unwrap();
        }
        let result = queue.enter(&arrival("b", case.arriving), "arriving", at(0));
        let shed = match result {
            Ok(entered) => entered.shed.map(|shed| shed.ticket),
            Err(refused) => {
                assert_eq!(refused.refusal.reason, RefusalReason::Overloaded);
                None
            }
        };
        assert_eq!(shed, case.shed, "{} before {}", case.waiting, case.arriving);
        assert_eq!(queue.waiting(), 4);
    }
}

#[test]
fn a_request_past_its_deadline_is_refused() {
    let mut queue = FairQueue::new(FairQueueSettings::default(), 1);
    let short = Arrival {
        deadline: at(100),
        ..normal("a")
    };
    queue.enter(&short, "short", at(0)).unwrap();
    queue.enter(&normal("a"), "long", at(0)).unwrap();
    assert_eq!(queue.next_deadline(), Some(at(100)));
    assert!(queue.expire(at(99)).is_empty());
    let expired = queue.expire(at(100));
    assert_eq!(expired.len(), 1);
    assert_eq!(expired[0].ticket, "short");
    assert_eq!(queue.start(at(0)).unwrap().ticket, "long");
}

/// Guards against an order in which the least urgent requests, or those with five times the traffic,
/// starve or overtake.
#[test]
fn each_class_in_use_keeps_its_part_of_the_slot_time() {
    use QueueClass::{Background, Critical, Normal, Urgent};
    struct Case {
        waiting: Vec<QueueClass>,
        /// Smallest number of 100 started requests, by class.
        min_started: Vec<usize>,
    }
    let cases = [
        // As before there was a class for priority 0.
        Case {
            waiting: vec![Urgent, Normal],
            min_started: vec![79, 19],
        },
        Case {
            waiting: vec![Critical, Urgent],
            min_started: vec![59, 39],
        },
        Case {
            waiting: vec![Critical, Normal],
            min_started: vec![79, 19],
        },
        Case {
            waiting: vec![Critical, Urgent, Normal],
            min_started: vec![46, 30, 19],
        },
        Case {
            waiting: vec![Critical, Urgent, Normal, Background],
            min_started: vec![44, 28, 18, 4],
        },
    ];
    for case in cases {
        let mut queue = FairQueue::new(FairQueueSettings::default(), 1);
        for _ in 0..100 {
            for class in &case.waiting {
                let arrival = Arrival {
                    class: *class,
                    ..normal("a")
                };
                queue.enter(&arrival, class.into(), at(0)).unwrap();
            }
        }
        let order = run_all(&mut queue, STATEMENT);
        assert_eq!(order[0], <&str>::from(case.waiting[0]));
        for (class, min_started) in case.waiting.iter().zip(&case.min_started) {
            let class = <&str>::from(class);
            let started = order[..100].iter().filter(|ticket| **ticket == class);
            let started = started.count();
            let waiting = &case.waiting;
            assert!(started >= *min_started, "{class} of {waiting:?}: {started}");
        }
    }
}

/// Guards against slot time that is spent on responses that come too late while others would still
/// be in time.
#[test]
fn requests_start_by_the_time_left_and_late_ones_last() {
    struct Case {
        name: &'static str,
        /// Workspace, priority, time at which the response is due.
        arrivals: Vec<(&'static str, u8, Option<u64>)>,
        now_ms: u64,
        /// Places in `arrivals`.
        order: Vec<usize>,
    }
    let cases = [
        Case {
            name: "least time left first",
            arrivals: vec![
                ("a", 1, Some(900)),
                ("a", 1, Some(500)),
                ("a", 1, Some(800)),
            ],
            now_ms: 0,
            order: vec![1, 2, 0],
        },
        Case {
            name: "without an objective by arrival",
            arrivals: vec![("a", 1, None), ("a", 1, None)],
            now_ms: 0,
            order: vec![0, 1],
        },
        Case {
            name: "late ones after less urgent ones that are in time",
            arrivals: vec![
                ("a", 0, Some(100)),
                ("a", 0, Some(700)),
                ("b", 2, Some(900)),
            ],
            now_ms: 200,
            order: vec![1, 2, 0],
        },
        Case {
            name: "late ones by class, then by age",
            arrivals: vec![("a", 2, Some(90)), ("b", 1, Some(120)), ("b", 1, Some(110))],
            now_ms: 200,
            order: vec![2, 1, 0],
        },
    ];
    for case in cases {
        let mut queue = FairQueue::new(FairQueueSettings::default(), 1);
        for (place, (workspace, priority, due_ms)) in case.arrivals.into_iter().enumerate() {
            let arrival = Arrival {
                class: QueueClass::of_priority(priority),
                due: due_ms.map(at),
                ..normal(workspace)
            };
            queue.enter(&arrival, place, at(0)).unwrap();
        }
        let mut order = Vec::new();
        while let Some(started) = queue.start(at(case.now_ms)) {
            order.push(started.ticket);
            queue.finish(started.run, Duration::from_millis(2), at(case.now_ms));
        }
        assert_eq!(order, case.order, "{}", case.name);
    }
}

/// Guards against requests that wait until their deadline only to be refused then.
#[test]
fn waiting_requests_are_refused_as_soon_as_they_can_not_start_in_time() {
    struct Case {
        name: &'static str,
        /// Durations of the statements that end while ten others wait.
        ended_ms: &'static [u64],
        review_ms: u64,
        refused: std::ops::RangeInclusive<usize>,
    }
    let cases = [
        Case {
            name: "as fast as estimated",
            ended_ms: &[10],
            review_ms: 10,
            refused: 0..=0,
        },
        Case {
            name: "slower than estimated",
            ended_ms: &[80, 80, 80],
            review_ms: 30,
            refused: 5..=8,
        },
        Case {
            name: "nothing ends any more",
            ended_ms: &[],
            review_ms: 80,
            refused: 10..=10,
        },
    ];
    for case in cases {
        let mut queue = FairQueue::new(FairQueueSettings::default(), 1);
        for _ in 0..30 {
            queue.enter(&normal("a"), "a", at(0)).unwrap();
            run_all(&mut queue, STATEMENT);
        }
        queue.enter(&normal("a"), "a", at(0)).unwrap();
        let mut running = queue.start(at(0)).unwrap();
        let waiting = Arrival {
            deadline: at(130),
            ..normal("a")
        };
        let count = 10 + case.ended_ms.len();
        let entered = (0..count).map(|_| queue.enter(&waiting, "a", at(0)).unwrap().waiter);
        let waiters: Vec<_> = entered.collect();
        let now = at(case.review_ms);
        for ended_ms in case.ended_ms {
            queue.finish(running.run, Duration::from_millis(*ended_ms), now);
            running = queue.start(now).unwrap();
        }
        let refused = waiters
            .iter()
            .map(|waiter| queue.review(*waiter, now).len());
        let refused: usize = refused.sum();
        assert!(case.refused.contains(&refused), "{}: {refused}", case.name);
    }
}

/// Guards against a limit that falls, and stays low, at an instance that is as fast as ever: because
/// short and long statements alternate, or because connections are opened.
#[test]
fn only_an_instance_that_is_slower_than_usual_lowers_the_limit() {
    struct Case {
        name: &'static str,
        /// Kind, time that the slot was held, and time that the instance took, in ms, in turn.
        statements: [(u64, u64, u64); 2],
        limit: usize,
    }
    let cases = [
        Case {
            name: "short and long statements",
            statements: [(1, 1, 1), (2, 18, 18)],
            limit: 4,
        },
        Case {
            name: "connections opened for every other statement",
            statements: [(1, 6, 6), (1, 30, 6)],
            limit: 4,
        },
        Case {
            name: "a slow instance",
            statements: [(1, 6, 6), (1, 30, 30)],
            limit: 1,
        },
    ];
    // Runs the statements with the cost and kind that are given.
    let limit = |statements: &[(u64, Cost)]| {
        let mut queue = FairQueue::new(FairQueueSettings::default(), 4);
        for (kind, cost) in statements.iter().cycle().take(200).copied() {
            let arrival = Arrival {
                kind,
                ..normal("a")
            };
            queue.enter(&arrival, "a", at(0)).unwrap();
            let run = queue.start(at(0)).unwrap().run;
            queue.finish(run, cost, at(0));
        }
        queue.concurrency()
    };
    for case in cases {
        let current = case.statements.map(|(kind, held_ms, duration_ms)| {
            let cost = Cost {
                held: Duration::from_millis(held_ms),
                duration: Some(Duration::from_millis(duration_ms)),
            };
            (kind, cost)
        });
        let former = case.statements;
        let former = former.map(|(_, held_ms, _)| (0, Duration::from_millis(held_ms).into()));
        assert_eq!(limit(&current), case.limit, "{}", case.name);
        assert_eq!(limit(&former), 1, "{}, by the former rule", case.name);
    }
}

#[derive(Debug, Clone)]
enum Step {
    Enter {
        workspace: u8,
        class: u8,
        due_ms: Option<u64>,
        deadline_ms: u64,
    },
    Cancel(usize),
    Review(usize),
    Start,
    Finish {
        run: usize,
        cost_ms: u64,
    },
    Expire(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (0_u8..5, 0_u8..4, prop::option::of(1_u64..300), 1_u64..500)
            .prop_map(|(workspace, class, due_ms, deadline_ms)| {
                Step::Enter { workspace, class, due_ms, deadline_ms }
            }),
        1 => (0_usize..20).prop_map(Step::Cancel),
        1 => (0_usize..20).prop_map(Step::Review),
        3 => Just(Step::Start),
        3 => (0_usize..4, 1_u64..200).prop_map(|(run, cost_ms)| Step::Finish { run, cost_ms }),
        1 => (1_u64..50).prop_map(Step::Expire),
    ];
    prop::collection::vec(step, 1..300)
}

proptest! {
    /// Every request is started, refused or removed exactly once, and none remains once all slots
    /// are free.
    #[test]
    fn every_request_ends_exactly_once(steps in steps()) {
        let settings = FairQueueSettings { max_waiting: 12, max_waiting_per_flow: 6 };
        let mut queue = FairQueue::new(settings, 3);
        let (mut now, mut entered, mut ended) = (at(0), 0_usize, 0_usize);
        let (mut waiters, mut runs) = (Vec::new(), Vec::new());
        for step in steps {
            match step {
                Step::Enter { workspace, class, due_ms, deadline_ms } => {
                    entered += 1;
                    let arrival = Arrival {
                        workspace: format!("workspace-{workspace}").into(),
                        class: QueueClass::of_priority(class),
                        kind: 0,
                        weight: 1 + u32::from(workspace),
                        due: due_ms.map(|millis| now + Duration::from_millis(millis)),
                        deadline: now + Duration::from_millis(deadline_ms),
                    };
                    match queue.enter(&arrival, (), now) {
                        Ok(accepted) => {
                            ended += usize::from(accepted.shed.is_some());
                            waiters.push(accepted.waiter);
                        }
                        Err(_refused) => ended += 1,
                    }
                }
                Step::Cancel(place) => {
                    let gone = waiters.get(place).and_then(|waiter| queue.cancel(*waiter));
                    ended += usize::from(gone.is_some());
                }
                Step::Review(place) => {
                    let waiter = waiters.get(place);
                    ended += waiter.map_or(0, |waiter| queue.review(*waiter, now).len());
                }
                Step::Start => {
                    if let Some(started) = queue.start(now) {
                        ended += 1;
                        runs.push(started.run);
                    }
                }
                Step::Finish { run, cost_ms } => {
                    if run < runs.len() {
                        queue.finish(runs.remove(run), Duration::from_millis(cost_ms), now);
                    }
                }
                Step::Expire(millis) => {
                    now = now + Duration::from_millis(millis);
                    ended += queue.expire(now).len();
                }
            }
            prop_assert!(queue.running() <= 3 && queue.waiting() <= 12);
            prop_assert_eq!(queue.waiting(), entered - ended);
        }
        for run in runs {
            queue.finish(run, STATEMENT, now);
        }
        while let Some(started) = queue.start(now) {
            ended += 1;
            queue.finish(started.run, STATEMENT, now);
        }
        prop_assert_eq!(ended, entered);
        prop_assert!(queue.classes.iter().all(|class| class.weight == 0));
        prop_assert!(queue.late.is_empty() && queue.late_backlog.is_zero());
        prop_assert!(queue.classes.iter().all(|class| class.backlog.is_zero()));
    }
}

/// Guards against decisions whose cost grows with the number of waiting requests. To be run alone and
/// optimised: `cargo test --release -p currantlb --lib -- --ignored a_decision`.
#[test]
#[ignore = "measures time"]
fn a_decision_at_1000_waiting_requests_takes_less_than_2_us() {
    const ROUNDS: u32 = 100_000;
    let limit = if cfg!(debug_assertions) {
        Duration::from_micros(20)
    } else {
        Duration::from_micros(2)
    };
    let mut queue = FairQueue::new(FairQueueSettings::default(), 4);
    let enter = |queue: &mut FairQueue<()>, place: u32, now: Timestamp| {
        let arrival = Arrival {
            workspace: format!("workspace-{}", place % 80).into(),
            class: QueueClass::of_priority((place % 3) as u8),
            kind: 0,
            weight: 1 + place % 7,
            due: Some(now + Duration::from_secs(5)),
            deadline: now + Duration::from_secs(10),
        };
        queue.enter(&arrival, (), now).map(|entered| entered.waiter)
    };
    let mut waiter = enter(&mut queue, 0, at(0)).unwrap();
    for place in 1..1_000 {
        waiter = enter(&mut queue, place, at(0)).unwrap();
    }
    let mut runs: Vec<_> = std::iter::from_fn(|| queue.start(at(0))).collect();
    let mut decisions = 0;
    let begun = std::time::Instant::now();
    for round in 0..ROUNDS {
        let now = at(u64::from(round) / 100);
        let run = runs.remove(0).run;
        queue.finish(run, Duration::from_millis(1), now);
        runs.extend(queue.start(now));
        waiter = enter(&mut queue, round, now).unwrap_or(waiter);
        queue.review(waiter, now);
        decisions += 4;
    }
    let mean = begun.elapsed() / decisions;
    println!("{mean:?} a decision, {} waiting", queue.waiting());
    assert!(queue.waiting() > 900 && mean < limit, "{mean:?}");
}
