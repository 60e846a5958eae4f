//! Cases of the review: a small deployment of the project's own program beside stand-ins, and one course of
//! disruptions. `cases NAME FOLDER`; with `TROUBLE=0` the same without the disruption.
//!
//! Exit code: 1 if a rule was broken, 0 if all held, 2 if the case couldn't run.
mod standin;
use standin::*;
use std::collections::BTreeMap;
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, AtomicU64};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::{sleep, spawn};
use std::time::Instant;

/// Zones of the machines, as on the site nfpvma-cfg.
const ZONES: [&str; 8] = ["a", "a", "a", "b", "b", "b", "c", "c"];

fn config(version: u64) -> String {
    format!(
        "{{\"version\":{version},\"limits\":{{\"tx-idle-ms\":3000}},\"routes\":[\
{{\"name\":\"r1\",\"host\":\"lock\",\"service\":\"db1\",\"type\":\"primary\",\"timeout-ms\":800,\"slo-ms\":120,\"priority\":1}},\
{{\"name\":\"r2\",\"host\":\"browse\",\"service\":\"db1\",\"type\":\"bounded\",\"max-staleness-ms\":1500,\"timeout-ms\":1500,\"slo-ms\":400,\"priority\":2}},\
{{\"name\":\"r3\",\"host\":\"save\",\"service\":\"db1\",\"type\":\"session\",\"max-staleness-ms\":2500,\"timeout-ms\":800,\"slo-ms\":200,\"priority\":2}}],\
\"services\":[{{\"name\":\"db1\",\"max-conns\":64,\"sync-replicas\":1}}],\
\"tenants\":[{{\"name\":\"big\",\"api-keys\":[\"kb\"],\"rate-per-s\":400,\"burst\":400}},{{\"name\":\"small\",\"api-keys\":[\"ks\"],\"rate-per-s\":400,\"burst\":400}}]}}"
    )
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let (Some(name), Some(folder)) = (args.get(1), args.get(2)) else { std::process::exit(2) };
    let scratch = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
    let scratch = scratch.to_string_lossy().into_owned();
    if std::fs::create_dir_all(&scratch).is_err() {
        std::process::exit(2);
    }
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let w = world(folder, &scratch);
    let code = if start(&w) {
        callers(&w);
        sleep(ms(3000));
        if trouble {
            match &**name {
                "kept" => kept(&w),
                "unpromoted" => unpromoted(&w),
                "outage" => outage(&w),
                _ => std::process::exit(2),
            }
        } else {
            sleep(ms(14_000));
        }
        sleep(ms(3000));
        judge_end(&w, &[]);
        report(&w)
    } else {
        println!("the VMs didn't become ready");
        2
    };
    end_all(&w);
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&scratch);
    }
    std::process::exit(code);
}

fn world(folder: &str, scratch: &str) -> W {
    let w: W = Arc::new(World {
        start: Instant::now(),
        record: Mutex::new(std::fs::File::create(format!("{folder}/record.txt")).unwrap()),
        store: Store::new(),
        db: Mutex::new(Db { service: "db1".into(), insts: BTreeMap::new(), promote_to: vec![], promoted: vec![], fences: vec![] }),
        db_changed: Condvar::new(),
        truth: Mutex::new(Truth::default()),
        next: AtomicU64::new(1),
        vms: Mutex::new(vec![]),
        end: AtomicBool::new(false),
        promote_ms: 600,
        lag_ms: AtomicU64::new(8),
        stale_bounded_ms: 1500,
        stale_session_ms: 2500,
        work_ms: AtomicU64::new(3),
        cloud_mode: Mutex::new(StoreMode::Up),
        config: Mutex::new(String::new()),
        folder: scratch.to_owned(),
        cloud_addr: Mutex::new(None),
        judge: AtomicBool::new(true),
        statement_log: AtomicBool::new(false),
        session_seq: AtomicU64::new(1),
        addresses: Mutex::default(),
        hooks: Mutex::new(vec![]),
    });
    let cloud = TcpListener::bind("127.0.0.1:0").unwrap();
    *w.cloud_addr.lock().unwrap() = Some(cloud.local_addr().unwrap());
    let w2 = w.clone();
    spawn(move || {
        for s in cloud.incoming().flatten() {
            let w = w2.clone();
            spawn(move || serve_cloud(w, s));
        }
    });
    w
}

/// Starts the instances and the VMs; returns whether all VMs are ready in time.
fn start(w: &W) -> bool {
    w.store.put("op/config", &config(1));
    for zone in ZONES {
        add_vm(w, zone, 0.25);
    }
    start_inst(w, "i-a1", "a", true);
    start_inst(w, "i-b1", "b", false);
    start_inst(w, "i-c1", "c", false);
    let w2 = w.clone();
    spawn(move || run_db(w2));
    announce(w);
    for i in 0..ZONES.len() {
        start_vm(w, i);
    }
    let end = Instant::now() + ms(15_000);
    let ready: Vec<_> = w.vms.lock().unwrap().iter().map(|v| v.ready).collect();
    while Instant::now() < end {
        sleep(ms(200));
        if ready.iter().all(|r| is_ready(*r)) {
            note(w, "all VMs are ready");
            return true;
        }
    }
    false
}

fn callers(w: &W) {
    for vm in 0..ZONES.len() {
        let specs = [
            ("lock", "kb", "big", Kind::Primary, 35, 25, 120),
            ("browse", "ks", "small", Kind::Bounded, 0, 10, 120),
            ("save", "ks", "small", Kind::Session, 20, 12, 90),
        ];
        for (k, (host, key, tenant, kind, write_percent, tx_percent, pause_ms)) in specs.into_iter().enumerate() {
            let spec = CallerSpec {
                vm, host: host.into(), key: key.into(), tenant: tenant.into(), kind, write_percent, tx_percent, pause_ms, stay: false,
            };
            let w = w.clone();
            spawn(move || caller(w, spec, 1 + (vm * 10 + k) as u64));
        }
    }
}

fn report(w: &W) -> i32 {
    let truth = w.truth.lock().unwrap();
    let ok = truth.served.iter().filter(|s| s.2).count();
    let mut kinds: BTreeMap<String, usize> = BTreeMap::new();
    for b in &truth.broken {
        *kinds.entry(b.split(' ').nth(2).unwrap_or("").trim_end_matches(':').to_owned()).or_default() += 1;
        note(w, &format!("BROKEN {b}"));
    }
    let text = format!("operations {} served {ok}, commits acknowledged {}, broken rules {kinds:?}", truth.served.len(), truth.acked.len());
    note(w, &text);
    println!("{text}");
    for b in truth.broken.iter().take(3) {
        println!("  {b}");
    }
    if ok < 100 { 2 } else { i32::from(!truth.broken.is_empty()) }
}

fn primary(w: &W) -> String {
    let db = w.db.lock().unwrap();
    db.insts.values().filter(|i| i.primary && i.alive).max_by_key(|i| i.term).map(|i| i.id.clone()).unwrap_or_default()
}

fn with_inst(w: &W, id: &str, f: impl FnOnce(&mut Inst)) {
    let mut db = w.db.lock().unwrap();
    if let Some(i) = db.insts.get_mut(id) {
        f(i);
    }
}

fn hook(w: &W, event: &str, f: impl FnOnce(W, String) + Send + 'static) {
    w.hooks.lock().unwrap().push((event.to_owned(), Box::new(f)));
}

/// A primary is dark for 2.5 s. The VM that replaces it is killed 0.1 s after its promotion call, and the instance
/// that it has chosen is partitioned from the other instances and from most VMs for 5 s, from 0.3 s after that call,
/// before it leads.
fn kept(w: &W) {
    hook(w, "promote", |w, detail| {
        let (holder, chosen) = detail.split_once(' ').map(|(a, b)| (a.to_owned(), b.to_owned())).unwrap();
        let index = w.vms.lock().unwrap().iter().position(|v| v.name == holder).unwrap();
        sleep(ms(100));
        kill_vm(&w, index);
        sleep(ms(200));
        let others: Vec<String> = w.db.lock().unwrap().insts.keys().filter(|i| **i != chosen).cloned().collect();
        // Five of eight VMs: 0.63 of them.
        let cut = vec![0, 1, 3, 4, 6];
        note(&w, &format!("{chosen} is partitioned from {others:?} and from VMs {cut:?}"));
        with_inst(&w, &chosen, |i| {
            i.cut_from.extend(others);
            i.cut_vms.extend(cut);
        });
        sleep(ms(700));
        start_vm(&w, index);
        sleep(ms(4300));
        with_inst(&w, &chosen, |i| {
            i.cut_from.clear();
            i.cut_vms.clear();
        });
        note(&w, &format!("the partition of {chosen} has ended"));
    });
    let former = primary(w);
    with_inst(w, &former, |i| i.dark = true);
    note(w, &format!("{former} goes dark"));
    sleep(ms(2500));
    with_inst(w, &former, |i| i.dark = false);
    note(w, &format!("{former} answers again"));
    sleep(ms(9000));
}

/// A primary is dark for 4 s. From 0.2 s after the promotion call for its successor, before the successor leads, that one is
/// partitioned from the other instances and from most VMs for 6 s. When the former primary answers again, the platform's
/// call is silent for 2.5 s.
fn unpromoted(w: &W) {
    let former = primary(w);
    let known = former.clone();
    hook(w, "promote", move |w, detail| {
        let chosen = detail.split_once(' ').map(|(_, b)| b.to_owned()).unwrap();
        sleep(ms(200));
        let others: Vec<String> = w.db.lock().unwrap().insts.keys().filter(|i| **i != chosen).cloned().collect();
        // Five of eight VMs: 0.63 of them.
        let cut = vec![0, 1, 3, 4, 6];
        note(&w, &format!("{chosen} is partitioned from {others:?} and from VMs {cut:?}"));
        with_inst(&w, &chosen, |i| {
            i.cut_from.extend(others);
            i.cut_vms.extend(cut);
        });
        sleep(ms(6000));
        with_inst(&w, &chosen, |i| {
            i.cut_from.clear();
            i.cut_vms.clear();
        });
        note(&w, &format!("the partition of {chosen} has ended"));
    });
    let others: Vec<String> = w.db.lock().unwrap().insts.keys().filter(|i| **i != known).cloned().collect();
    with_inst(w, &former, |i| {
        i.dark = true;
        i.cut_from.extend(others);
    });
    note(w, &format!("{former} goes dark"));
    sleep(ms(4000));
    *w.cloud_mode.lock().unwrap() = StoreMode::Silent;
    note(w, "the platform's call is silent");
    with_inst(w, &former, |i| {
        i.dark = false;
        i.cut_from.clear();
    });
    note(w, &format!("{former} answers again"));
    sleep(ms(2500));
    *w.cloud_mode.lock().unwrap() = StoreMode::Up;
    note(w, "the platform's call answers again");
    sleep(ms(6000));
}

/// All instances crash and all VMs are killed at the same moment. The replicas are back after 0.5 s, without their
/// logs, the VMs after 1 s, and the primary after 7 s, with its log.
fn outage(w: &W) {
    let former = primary(w);
    let ids: Vec<String> = w.db.lock().unwrap().insts.keys().cloned().collect();
    for id in &ids {
        crash(w, id);
    }
    for vm in 0..ZONES.len() {
        kill_vm(w, vm);
    }
    sleep(ms(500));
    for id in ids.iter().filter(|i| **i != former) {
        restart(w, id, true);
    }
    sleep(ms(500));
    for vm in 0..ZONES.len() {
        start_vm(w, vm);
    }
    sleep(ms(6000));
    restart(w, &former, false);
    sleep(ms(5000));
}
