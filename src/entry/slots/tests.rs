use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::sync::Semaphore;
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep, sleep_until};

use super::{SlotRequest, Slots};
use crate::control::fairness::QueueClass;
use crate::traffic::RefusalReason;

/// Slots of the simulated instance.
const INSTANCE_SLOTS: usize = 4;

/// Requests that the simulated instance queues before it rejects further ones.
const INSTANCE_QUEUE: usize = 32;

/// Delay before a rejected statement is sent again.
const REJECTED_RETRY_DELAY: Duration = Duration::from_millis(15);

/// Instance that serves its queue in the order of arrival and rejects what doesn't fit.
struct Instance {
    slots: Semaphore,
    admitted: Cell<usize>,
}

impl Instance {
    /// Runs a statement; returns whether there was room for it.
    async fn run(&self, work: Duration) -> bool {
        if self.admitted.get() >= INSTANCE_SLOTS + INSTANCE_QUEUE {
            return false;
        }
        self.admitted.set(self.admitted.get() + 1);
        let slot = self.slots.acquire().await.expect("it is never closed");
        sleep(work).await;
        drop(slot);
        self.admitted.set(self.admitted.get() - 1);
        true
    }
}

/// Statements of one route and workspace.
#[derive(Clone, Copy)]
struct Route {
    priority: u8,
    workspace: &'static str,
    weight: u32,
    work: Duration,
    /// Response time within which a statement counts.
    objective: Duration,
    /// Arrivals outside the surge.
    usual_per_s: f64,
    /// Arrivals during the surge.
    per_s: f64,
}

/// Load pattern on one instance.
struct Load {
    name: &'static str,
    routes: Vec<Route>,
    /// Smallest share of each route's statements that must be served within the objective.
    min_served: Vec<f64>,
}

/// How statements wait for the instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Rule {
    /// They are sent as they arrive.
    Direct,
    /// Priorities 0 and 1 wait in one class, a flow's statements in the order of arrival, each for at
    /// most half of its objective.
    Former,
    /// As [`crate::entry::execution`] describes them to the queue.
    Current,
}

/// Number of VMs that send statements to the instance.
const VMS: usize = 8;

/// Plays usual traffic, a surge and usual traffic again through several VMs; returns the share of
/// each route's statements of the surge and the second after it that were served within their
/// objective.
async fn play(routes: &[Route], rule: Rule) -> Vec<f64> {
    const SURGE: std::ops::Range<Duration> = Duration::from_secs(10)..Duration::from_secs(20);
    const DURATION: Duration = Duration::from_secs(21);
    let instance = Rc::new(Instance {
        slots: Semaphore::new(INSTANCE_SLOTS),
        admitted: Cell::new(0),
    });
    let vms: Vec<_> = (0..VMS)
        .map(|_| Slots::new(INSTANCE_SLOTS as u32))
        .collect();
    let counts = Rc::new(RefCell::new(vec![(0_u32, 0_u32); routes.len()]));
    let started = Instant::now();
    let mut tasks = Vec::new();
    for (index, route) in routes.iter().copied().enumerate() {
        let mut random = StdRng::seed_from_u64(index as u64 + 1);
        let mut at = Duration::ZERO;
        while at < DURATION {
            let per_s = if SURGE.contains(&at) {
                route.per_s
            } else {
                route.usual_per_s
            };
            let gap_s = -random.random_range(f64::EPSILON..1.0_f64).ln() / per_s;
            at += Duration::from_secs_f64(gap_s);
            let slots = Rc::clone(&vms[random.random_range(0..VMS)]);
            let work = route.work.mul_f64(random.random_range(0.5..1.5));
            let (instance, counts) = (Rc::clone(&instance), Rc::clone(&counts));
            tasks.push(tokio::task::spawn_local(async move {
                sleep_until(started + at).await;
                let served = serve(&instance, &slots, rule, &route, work).await;
                let in_time = served && Instant::now() <= started + at + route.objective;
                if at >= SURGE.start {
                    let mut counts = counts.borrow_mut();
                    counts[index].0 += 1;
                    counts[index].1 += u32::from(in_time);
                }
            }));
        }
    }
    for task in tasks {
        task.await.unwrap();
    }
    let counts = counts.borrow();
    let shares = counts.iter();
    shares
        .map(|(all, served)| f64::from(*served) / f64::from(*all))
        .collect()
}

async fn serve(
    instance: &Instance,
    slots: &Rc<Slots>,
    rule: Rule,
    route: &Route,
    work: Duration,
) -> bool {
    let due = Instant::now() + route.objective;
    let deadline = Instant::now() + Duration::from_millis(200);
    while Instant::now() < deadline {
        let due_in = due.saturating_duration_since(Instant::now());
        let request = SlotRequest {
            workspace: route.workspace.into(),
            class: QueueClass::of_priority(route.priority),
            kind: 0,
            weight: route.weight,
            due_in,
            max_wait: due_in.max(route.objective / 2),
        };
        let slot = match rule {
            Rule::Direct => None,
            Rule::Former => Some(slots.take(&former(request, route)).await),
            Rule::Current => Some(slots.take(&request).await),
        };
        let Ok(mut slot) = slot.transpose() else {
            return false;
        };
        if let Some(slot) = &mut slot {
            slot.statement_sent();
        }
        if instance.run(work).await {
            return true;
        }
        if let Some(slot) = &mut slot {
            slot.statement_rejected();
            slots.on_rejected();
        }
        drop(slot);
        sleep(REJECTED_RETRY_DELAY).await;
    }
    false
}

/// Changes a request so that it waits by the former rule: with objectives equally far away, the
/// order in a flow is that of arrival.
fn former(request: SlotRequest, route: &Route) -> SlotRequest {
    SlotRequest {
        class: QueueClass::of_priority(route.priority.max(1)),
        due_in: Duration::from_hours(1),
        max_wait: route.objective / 2,
        ..request
    }
}

fn request(workspace: &str, priority: u8, max_wait: Duration) -> SlotRequest {
    SlotRequest {
        workspace: workspace.into(),
        class: QueueClass::of_priority(priority),
        kind: 0,
        weight: 10,
        due_in: 2 * max_wait,
        max_wait,
    }
}

const fn route(
    priority: u8,
    workspace: &'static str,
    work_ms: u64,
    [usual_per_s, per_s]: [f64; 2],
) -> Route {
    Route {
        priority,
        workspace,
        weight: 10,
        work: Duration::from_millis(work_ms),
        objective: Duration::from_millis(200 * priority as u64),
        usual_per_s,
        per_s,
    }
}

#[tokio::test(start_paused = true)]
async fn urgent_statements_and_calm_workspaces_are_served_while_an_instance_is_overloaded() {
    // The instance completes 4 / 24 ms = 167 average statements a second.
    let loads = [
        Load {
            name: "0.6 times capacity",
            routes: vec![
                route(1, "a", 8, [25.0, 25.0]),
                route(2, "a", 24, [90.0, 90.0]),
            ],
            min_served: vec![0.99, 0.99],
        },
        Load {
            name: "1.6 times capacity",
            routes: vec![
                route(1, "a", 8, [25.0, 60.0]),
                route(2, "a", 24, [90.0, 240.0]),
            ],
            min_served: vec![0.97, 0.5],
        },
        Load {
            name: "a workspace at 8 times its usual",
            routes: vec![
                route(2, "calm", 24, [30.0, 30.0]),
                route(2, "hot", 24, [30.0, 240.0]),
            ],
            min_served: vec![0.97, 0.4],
        },
    ];
    for load in loads {
        let (direct, queued) = LocalSet::new()
            .run_until(async {
                let direct = play(&load.routes, Rule::Direct).await;
                (direct, play(&load.routes, Rule::Current).await)
            })
            .await;
        for (index, min_served) in load.min_served.iter().enumerate() {
            let (direct, queued) = (direct[index], queued[index]);
            let report = format!("{}, route {index}: {direct} -> {queued}", load.name);
            assert!(queued >= *min_served, "{report}");
        }
        assert!(
            queued[0] + 0.005 >= direct[0],
            "{}: {direct:?} -> {queued:?}",
            load.name
        );
    }
}

/// Statements of the three routes of a deployment at one busy instance: service time with 5 ms for a
/// new connection with every third statement, objective, usual rate.
struct Deployment {
    name: &'static str,
    saves: (u64, u64, f64),
    sessions: (u64, u64, f64),
    views: (u64, u64, f64),
}

const LONG_VIEWS: Deployment = Deployment {
    name: "views with an objective of 1 s",
    saves: (11, 150, 18.0),
    sessions: (23, 250, 85.0),
    views: (35, 1_000, 31.0),
};

const SHORT_VIEWS: Deployment = Deployment {
    name: "views with an objective of 0.5 s",
    saves: (10, 150, 20.0),
    sessions: (20, 250, 92.0),
    views: (31, 500, 40.0),
};

impl Deployment {
    /// Builds the routes of a workspace with a share of the usual rates. During the surge, the
    /// rates of saves, sessions and views are multiplied by the factors.
    fn workspace(&self, workspace: &'static str, share: f64, surge: [f64; 3]) -> Vec<Route> {
        let routes = [(0, self.saves), (1, self.sessions), (2, self.views)];
        let routes = routes.into_iter().zip(surge);
        let route = |((priority, (work_ms, objective_ms, per_s)), factor): ((u8, _), f64)| Route {
            priority,
            workspace,
            weight: (100.0 * share) as u32,
            work: Duration::from_millis(work_ms),
            objective: Duration::from_millis(objective_ms),
            usual_per_s: per_s * share,
            per_s: per_s * share * factor,
        };
        routes.map(route).collect()
    }
}

/// Surge of a deployment's load on one instance.
struct Surge {
    name: &'static str,
    deployment: Deployment,
    /// Factors on saves, sessions and views of the workspaces "hot" and "calm".
    hot: [f64; 3],
    calm: [f64; 3],
    /// Smallest shares served in time: saves, sessions and views of "hot", then of "calm".
    min_served: [f64; 6],
}

const fn surge(
    deployment: Deployment,
    name: &'static str,
    [hot, calm]: [[f64; 3]; 2],
    min_served: [f64; 6],
) -> Surge {
    Surge {
        name,
        deployment,
        hot,
        calm,
        min_served,
    }
}

fn surges() -> [Surge; 7] {
    [
        surge(
            LONG_VIEWS,
            "usual load",
            [[1.0; 3]; 2],
            [0.99, 0.99, 0.99, 0.99, 0.99, 0.99],
        ),
        surge(
            LONG_VIEWS,
            "views at 2.1 times their usual",
            [[1.0, 1.0, 2.1]; 2],
            [0.98, 0.90, 0.90, 0.97, 0.95, 0.90],
        ),
        surge(
            LONG_VIEWS,
            "saves at 1.7 times their usual",
            [[1.7, 1.0, 1.0]; 2],
            [0.99, 0.99, 0.99, 0.99, 0.99, 0.99],
        ),
        surge(
            LONG_VIEWS,
            "a workspace at 6 times its usual",
            [[6.0; 3], [1.0; 3]],
            [0.82, 0.38, 0.25, 0.90, 0.84, 0.82],
        ),
        surge(
            SHORT_VIEWS,
            "views at 2.1 times their usual",
            [[1.0, 1.0, 2.1]; 2],
            [0.95, 0.90, 0.72, 0.97, 0.95, 0.78],
        ),
        surge(
            SHORT_VIEWS,
            "saves at 1.7 times their usual",
            [[1.7, 1.0, 1.0]; 2],
            [0.99, 0.98, 0.98, 0.99, 0.99, 0.98],
        ),
        surge(
            SHORT_VIEWS,
            "a workspace at 6 times its usual",
            [[6.0; 3], [1.0; 3]],
            [0.92, 0.40, 0.24, 0.95, 0.88, 0.66],
        ),
    ]
}

/// Guards against saves that wait behind five times as many reads, in bursts and beside a hot
/// workspace.
#[tokio::test(start_paused = true)]
async fn saves_meet_their_objective_beside_bursts_of_less_urgent_routes() {
    for case in surges() {
        let mut routes = case.deployment.workspace("hot", 0.25, case.hot);
        routes.extend(case.deployment.workspace("calm", 0.75, case.calm));
        let (former, current) = LocalSet::new()
            .run_until(async {
                let former = play(&routes, Rule::Former).await;
                (former, play(&routes, Rule::Current).await)
            })
            .await;
        let report = format!(
            "{}, {}: {former:.3?} -> {current:.3?}",
            case.deployment.name, case.name
        );
        println!("{report}");
        let meets = |served: &[f64]| {
            let mut pairs = served.iter().zip(&case.min_served);
            pairs.all(|(served, min)| served >= min)
        };
        assert!(meets(&current), "{report}");
        // The former rule served saves later than the less urgent routes.
        assert!(!meets(&former), "{report}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_statement_that_can_not_start_in_time_is_refused_at_once() {
    LocalSet::new()
        .run_until(async {
            let slots = Slots::new(1);
            let within = Duration::from_millis(200);
            for _ in 0..4 {
                let slot = slots.take(&request("a", 2, within)).await.unwrap();
                sleep(Duration::from_millis(150)).await;
                drop(slot);
            }
            let _running = slots.take(&request("a", 2, within)).await.unwrap();
            let mut waiting = Vec::new();
            for _ in 0..3 {
                let slots = Rc::clone(&slots);
                waiting.push(tokio::task::spawn_local(async move {
                    slots
                        .take(&request("a", 2, Duration::from_secs(5)))
                        .await
                        .is_ok()
                }));
            }
            tokio::task::yield_now().await;
            assert_eq!(slots.waiting(), 3);
            let asked_at = Instant::now();
            let refused = slots.take(&request("a", 2, within)).await.unwrap_err();
            assert_eq!(refused.reason, RefusalReason::DeadlineUnreachable);
            assert!(refused.retry_after.unwrap() >= within);
            assert!(asked_at.elapsed().is_zero());
        })
        .await;
}

#[tokio::test(start_paused = true)]
async fn a_cancelled_statement_leaves_its_slot_to_the_next() {
    LocalSet::new()
        .run_until(async {
            let slots = Slots::new(1);
            let within = Duration::from_secs(1);
            let running = slots.take(&request("a", 2, within)).await.unwrap();
            let cancelled = request("a", 2, within);
            let cancelled = tokio::time::timeout(Duration::from_millis(10), slots.take(&cancelled));
            cancelled.await.expect_err("the only slot is taken");
            assert_eq!(slots.waiting(), 0);
            drop(running);
            slots.take(&request("b", 1, within)).await.unwrap();
        })
        .await;
}

#[test]
fn each_priority_waits_in_a_class_of_its_own() {
    let cases = [
        (0, QueueClass::Critical),
        (1, QueueClass::Urgent),
        (2, QueueClass::Normal),
        (3, QueueClass::Background),
        (9, QueueClass::Background),
    ];
    for (priority, expected) in cases {
        assert_eq!(QueueClass::of_priority(priority), expected, "{priority}");
    }
}
