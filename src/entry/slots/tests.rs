use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::sync::Semaphore;
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep, sleep_until};

use super::{SlotRequest, Slots, class};
use crate::configuration::RouteClass;
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

/// Statements of one route.
#[derive(Clone, Copy)]
struct Route {
    priority: u8,
    workspace: &'static str,
    work: Duration,
    /// Response time within which a statement counts.
    objective: Duration,
    /// Arrivals before the surge.
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

/// Plays usual traffic and then a surge through several VMs; returns the share of each route's
/// statements of the surge that were served within their objective. Without `uses_slots`, statements are sent as they arrive.
async fn play(load: &Load, uses_slots: bool) -> Vec<f64> {
    const VMS: usize = 6;
    const SURGE_AT: Duration = Duration::from_secs(10);
    const DURATION: Duration = Duration::from_secs(25);
    let instance = Rc::new(Instance {
        slots: Semaphore::new(INSTANCE_SLOTS),
        admitted: Cell::new(0),
    });
    let vms: Vec<_> = (0..VMS)
        .map(|_| Slots::new(INSTANCE_SLOTS as u32))
        .collect();
    let counts = Rc::new(RefCell::new(vec![(0_u32, 0_u32); load.routes.len()]));
    let started = Instant::now();
    let mut tasks = Vec::new();
    for (index, route) in load.routes.iter().copied().enumerate() {
        let mut random = StdRng::seed_from_u64(index as u64 + 1);
        let mut at = Duration::ZERO;
        while at < DURATION {
            let per_s = if at < SURGE_AT {
                route.usual_per_s
            } else {
                route.per_s
            };
            let gap_s = -random.random_range(f64::EPSILON..1.0_f64).ln() / per_s;
            at += Duration::from_secs_f64(gap_s);
            let slots = Rc::clone(&vms[random.random_range(0..VMS)]);
            let work = route.work.mul_f64(random.random_range(0.5..1.5));
            let (instance, counts) = (Rc::clone(&instance), Rc::clone(&counts));
            tasks.push(tokio::task::spawn_local(async move {
                sleep_until(started + at).await;
                let served = serve(&instance, uses_slots.then_some(&slots), &route, work).await;
                let in_time = served && Instant::now() <= started + at + route.objective;
                if at >= SURGE_AT {
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
    slots: Option<&Rc<Slots>>,
    route: &Route,
    work: Duration,
) -> bool {
    let deadline = Instant::now() + Duration::from_millis(200);
    while Instant::now() < deadline {
        let slot = match slots {
            Some(slots) => {
                let within = route.objective / 2;
                match slots
                    .take(&request(route.workspace, route.priority, within))
                    .await
                {
                    Ok(slot) => Some(slot),
                    Err(_) => return false,
                }
            }
            None => None,
        };
        if instance.run(work).await {
            return true;
        }
        drop(slot);
        if let Some(slots) = slots {
            slots.on_rejected();
        }
        sleep(REJECTED_RETRY_DELAY).await;
    }
    false
}

fn request(workspace: &str, priority: u8, max_wait: Duration) -> SlotRequest {
    SlotRequest {
        workspace: workspace.into(),
        class: class(priority),
        weight: 10,
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
            .run_until(async { (play(&load, false).await, play(&load, true).await) })
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
fn the_class_of_a_route_follows_its_priority() {
    let cases = [
        (0, RouteClass::Urgent),
        (1, RouteClass::Urgent),
        (2, RouteClass::Normal),
        (3, RouteClass::Background),
    ];
    for (priority, expected) in cases {
        assert_eq!(class(priority), expected, "priority {priority}");
    }
}
