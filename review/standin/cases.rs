//! The cases. Each returns whether its rule held.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::consumers::{Consumers, HOST, KEY};
use crate::database::{Database, SERVICE};
use crate::json;
use crate::platform::{Cloud, Store};
use crate::record::Record;
use crate::vm::Vm;

/// Key of the failover lease in the platform's store.
const FAILOVER_LEASE: &str = "own/duty";

/// Milliseconds from the claim of the failover lease until the machine that holds it is disturbed,
/// unless the environment variable `DISTURBED_AFTER_MS` names others.
const DISTURBED_AFTER_MS: u64 = 450;

/// Time for which a machine is frozen: the dose of the site file.
const FREEZE_TIME: Duration = Duration::from_secs(4);

/// Time for which a machine is partitioned: the dose of the site file.
const CUT_TIME: Duration = Duration::from_millis(5_500);

/// Time for which a crashed instance is down: the dose of the site file is 7 s.
const CRASH_TIME: Duration = Duration::from_millis(6_700);

/// Time for which the rule is observed after the disruption has ended.
const OBSERVED_FOR: Duration = Duration::from_secs(4);

const SESSIONS_PER_VM: usize = 2;

struct Deployment {
    store: Arc<Store>,
    cloud: Arc<Cloud>,
    database: Arc<Database>,
    vms: Vec<Vm>,
    consumers: Arc<Consumers>,
    record: Arc<Record>,
}

pub fn run(case: &str, folder: &Path, trouble: bool) -> Result<bool, String> {
    let record = Arc::new(Record::new());
    record.note(format!("case {case}, trouble: {trouble}"));
    let temporary = std::env::temp_dir().join(format!("currantlb-review-{}", std::process::id()));
    std::fs::create_dir_all(&temporary).map_err(|error| error.to_string())?;
    let result = Deployment::start(&temporary, &record).and_then(|deployment| {
        let result = match case {
            "frozen-holder" => frozen_holder(&deployment, trouble),
            "held-up-call" => held_up_call(&deployment, trouble),
            "joining-replica" => joining_replica(&deployment, trouble),
            "line-feed" => line_feed(&deployment, trouble),
            _ => Err(format!("no such case: {case}")),
        };
        for vm in &deployment.vms {
            record.append(vm.log_lines());
        }
        result
    });
    let _ = std::fs::remove_dir_all(&temporary);
    match &result {
        Ok(violations) => violations.iter().for_each(|line| record.note(line)),
        Err(reason) => record.note(format!("couldn't run: {reason}")),
    }
    record.write(folder)?;
    result.map(|violations| violations.is_empty())
}

/// The VM that replaces a crashed primary is frozen for some seconds while it collects the
/// replicas' positions.
fn frozen_holder(deployment: &Deployment, trouble: bool) -> Result<Vec<String>, String> {
    let crashed = deployment.database.primary().ok_or("no primary")?;
    let crashed_at = Instant::now();
    let holder = deployment.crash_primary()?;
    thread::sleep(disturbed_after());
    if trouble {
        holder.freeze()?;
    }
    thread::sleep(FREEZE_TIME);
    if trouble {
        holder.thaw()?;
    }
    deployment.restart(&crashed, crashed_at)?;
    thread::sleep(OBSERVED_FOR);
    deployment
        .consumers
        .await_served(50, Duration::from_secs(10))?;
    Ok(deployment.cloud.violations())
}

/// The VM that replaces a crashed primary is partitioned from the platform while it collects the
/// replicas' positions. It has replaced another primary before, so that its connection to the
/// platform is open.
fn held_up_call(deployment: &Deployment, trouble: bool) -> Result<Vec<String>, String> {
    let crashed = deployment.database.primary().ok_or("no primary")?;
    let crashed_at = Instant::now();
    deployment.crash_primary()?;
    deployment.restart(&crashed, crashed_at)?;
    thread::sleep(Duration::from_secs(4));
    let crashed = deployment.database.primary().ok_or("no primary")?;
    let crashed_at = Instant::now();
    let holder = deployment.crash_primary()?;
    thread::sleep(disturbed_after());
    if trouble {
        holder.cut();
    }
    thread::sleep(CUT_TIME);
    if trouble {
        holder.heal();
    }
    deployment.restart(&crashed, crashed_at)?;
    thread::sleep(OBSERVED_FOR);
    deployment
        .consumers
        .await_served(50, Duration::from_secs(10))?;
    Ok(deployment.cloud.violations())
}

/// A replica is replaced as planned, the new one first, while the primary is partitioned from one VM.
/// That VM replaces the primary; the others still reach it.
fn joining_replica(deployment: &Deployment, trouble: bool) -> Result<Vec<String>, String> {
    let primary = deployment.await_primary()?;
    let vm = &deployment.vms[0];
    if trouble {
        deployment
            .record
            .note(format!("TROUBLE {primary} is partitioned from {}", vm.name));
        deployment.database.cut(vm.process(), &primary);
        deployment.await_holder()?;
    }
    thread::sleep(disturbed_after());
    deployment.database.join("i-5840f93bc3")?;
    thread::sleep(Duration::from_secs(1));
    deployment.database.drain("i-40f425ee5c");
    thread::sleep(Duration::from_secs(2));
    deployment.database.heal();
    thread::sleep(Duration::from_secs(2));
    deployment
        .consumers
        .await_served(50, Duration::from_secs(10))?;
    let succeeded = deployment.consumers.succeeded();
    let lost = deployment.database.lost();
    let lost = lost.iter().filter(|(id, _)| succeeded.contains(id));
    Ok(lost
        .map(|(id, name)| {
            format!(
                "LOST: {id} was acknowledged to its consumer, and {name} was promoted without it"
            )
        })
        .collect())
}

/// A consumer saves data that contains a line feed, which doesn't end a message.
fn line_feed(deployment: &Deployment, trouble: bool) -> Result<Vec<String>, String> {
    let id = "5c0e7a21d94b36f8";
    let data = if trouble {
        "first\nQUERY 9b1f44d07c2ae613 WRITE 2b5 second"
    } else {
        "first, QUERY 9b1f44d07c2ae613 WRITE 2b5 second"
    };
    let text = format!("WRITE 1a4 {data}");
    let answers = deployment
        .consumers
        .send_alone(deployment.vms[0].callers, id, &text)?;
    deployment.record.note(format!("answers: {answers:?}"));
    let sent = deployment.consumers.sent();
    let requests = deployment.database.requests();
    let unasked = requests.iter().filter(|request| !sent.contains(request));
    Ok(unasked
        .map(|(id, text)| {
            format!("UNASKED: an instance was sent {id} {text:?}, which no consumer sent")
        })
        .collect())
}

impl Deployment {
    fn start(folder: &Path, record: &Arc<Record>) -> Result<Self, String> {
        let (store, store_address) = Store::start(Arc::clone(record))?;
        let names = ["i-31b174c273", "i-d00495c352", "i-40f425ee5c"];
        let database = Database::start(&names, Arc::clone(record))?;
        let (cloud, cloud_address) = Cloud::start(Arc::clone(&database), Arc::clone(record))?;
        store.put(
            "op/config",
            &format!(
                r#"{{"version":7,"routes":[{{"name":"r-1","host":"{HOST}","prefix":"/","type":"primary","timeout-ms":800,"slo-ms":120,"priority":1,"service":"{SERVICE}","attempts":2,"public":false}}],"services":[{{"name":"{SERVICE}","health-path":"/health","max-conns":32,"protocol":"h1","tls":false,"sync-replicas":1}}],"limits":{{"max-header-bytes":16384,"max-body-bytes":262144,"header-timeout-ms":3000,"idle-timeout-ms":15000,"tx-idle-ms":3000}},"tenants":[{{"name":"nypu920","api-keys":["{KEY}"],"priority":1,"rate-per-s":1000,"burst":1000}}]}}"#
            ),
        );
        database.register(&store);
        let vms: Result<Vec<_>, String> = ["bagmati-a", "bagmati-b", "bagmati-c"]
            .into_iter()
            .map(|zone| {
                let name = format!("front-{zone}-1");
                Vm::start(folder, &name, zone, store_address, cloud_address, record)
            })
            .collect();
        let vms = vms?;
        database.set_processes(vms.iter().map(Vm::process).collect());
        thread::sleep(Duration::from_secs(2));
        let consumers = Consumers::new(Arc::clone(record));
        for vm in &vms {
            consumers.start(&vm.name, vm.callers, SESSIONS_PER_VM);
        }
        consumers.await_served(100, Duration::from_secs(20))?;
        thread::sleep(Duration::from_secs(4));
        Ok(Self {
            store,
            cloud,
            database,
            vms,
            consumers,
            record: Arc::clone(record),
        })
    }

    /// Starts a crashed instance again when it has been down for [`CRASH_TIME`].
    fn restart(&self, name: &str, crashed_at: Instant) -> Result<(), String> {
        thread::sleep(CRASH_TIME.saturating_sub(crashed_at.elapsed()));
        self.database.restart(name)
    }

    /// Crashes the primary; returns the VM that has claimed the failover lease to replace it.
    fn crash_primary(&self) -> Result<&Vm, String> {
        let primary = self.database.primary().ok_or("no primary")?;
        self.database.crash(&primary);
        self.await_holder()
    }

    /// Waits until an instance leads; returns its name.
    fn await_primary(&self) -> Result<String, String> {
        let end = Instant::now() + Duration::from_secs(10);
        while Instant::now() < end {
            if let Some(primary) = self.database.primary() {
                return Ok(primary);
            }
            thread::sleep(Duration::from_millis(10));
        }
        Err("no primary".to_owned())
    }

    /// Waits until a VM has claimed the failover lease; returns it.
    fn await_holder(&self) -> Result<&Vm, String> {
        let end = Instant::now() + Duration::from_secs(10);
        while Instant::now() < end {
            if let Some(value) = self.store.get(FAILOVER_LEASE) {
                let name = json::parse(&value).get("holder").text().to_owned();
                self.record.note(format!("{name} replaces the primary"));
                let mut vms = self.vms.iter();
                return vms
                    .find(|vm| vm.name == name)
                    .ok_or(format!("no VM {name}"));
            }
            thread::sleep(Duration::from_millis(2));
        }
        Err("nobody replaces the primary".to_owned())
    }
}

fn disturbed_after() -> Duration {
    let text = std::env::var("DISTURBED_AFTER_MS").ok();
    let named = text.and_then(|text| text.parse().ok());
    Duration::from_millis(named.unwrap_or(DISTURBED_AFTER_MS))
}
