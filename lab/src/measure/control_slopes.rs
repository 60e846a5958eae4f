//! Cost of the control code per VM, as a linear function of each size that grows with the fleet.
//!
//! The real control code of a cell's VMs runs on one thread over simulated time. Each sweep varies
//! one size; the costs are fitted by least squares and extrapolated to the design size.

mod cell;
mod service;

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use currantlb::configuration::{
    DatabaseGroup, InstanceRecord, InstanceState, Preset, PresetInForce, Record, RecordPath,
};
use currantlb::control::configuration::CONFIGURATION_PREFIX;
use currantlb::control::membership::{VM_LIST_PREFIX, VmRecord, VmState};

use super::report::build_profile;
use super::{Figure, LinearFit, MeasureError, Report, Result, Target};
use cell::{Cell, Cost, local_vm};

// Sizes that the system is designed for.
const DESIGN_DATABASES: f64 = 29_000.0;
const DESIGN_VMS: f64 = 3_700.0;
const DESIGN_CELL_VMS: f64 = 32.0;
const DESIGN_HOMES: f64 = 8.0;
/// Configuration changes per second: 29,000 a day.
const DESIGN_CHANGES_PER_S: f64 = 29_000.0 / 86_400.0;

// Upper limits for the cost of control per VM at the design size.
const MAX_CPU_SHARE_PERCENT: f64 = 2.1;
const MAX_STATE_BYTES: f64 = 128.0 * 1024.0 * 1024.0;
const MAX_BYTES_PER_S: f64 = 8.0 * 1024.0;
/// Calls per second that the platform's service accepts from the whole fleet.
const MAX_PLATFORM_CALLS_PER_S: f64 = 2_000.0;

/// Simulated warm-up time, which covers the election, the first reads and the assignment of homes.
const WARM_UP: Duration = Duration::from_secs(15);
/// Simulated time over which costs are measured.
const MEASURED: Duration = Duration::from_secs(20);
/// Number of configuration changes and of instance reports over which their cost is averaged.
const REPETITIONS: u32 = 40;

/// Fleet sizes of one run.
#[derive(Debug, Clone, Copy)]
struct Sizes {
    /// Databases in the whole fleet.
    databases: usize,
    /// VMs in the whole fleet.
    vms: usize,
    /// VMs in the cell whose control code runs.
    cell_vms: usize,
    /// Databases that each VM of the cell is home of.
    homes: usize,
}

impl Default for Sizes {
    fn default() -> Self {
        Self {
            databases: 1_000,
            vms: 100,
            cell_vms: 4,
            homes: 8,
        }
    }
}

/// Average costs of a VM at one size; the `leader_` fields are the greatest of any VM of the cell.
#[derive(Debug, Clone, Copy)]
struct Point {
    cpu_us_per_s: f64,
    leader_cpu_us_per_s: f64,
    leader_bytes_per_s: f64,
    allocations_per_s: f64,
    bytes_per_s: f64,
    messages_per_s: f64,
    platform_calls_per_s: f64,
    state_bytes: f64,
    change_us: f64,
    report_us: f64,
    homes_per_vm: f64,
}

/// Runs that vary one size.
struct Sweep {
    name: &'static str,
    sizes: Vec<(f64, Sizes)>,
}

/// Runs the measurement on a blocking thread.
///
/// # Errors
///
/// Fails when the thread panics.
pub async fn run() -> Result<Report> {
    let measuring = tokio::task::spawn_blocking(measure).await;
    measuring.map_err(|error| MeasureError::Failed {
        name: "control-slopes",
        reason: error.to_string(),
    })
}

fn measure() -> Report {
    let mut figures = Vec::new();
    let base = measure_point(Sizes::default());
    let mut at_design = base;
    for sweep in sweeps() {
        let points: Vec<_> = sweep
            .sizes
            .iter()
            .map(|(size, sizes)| (*size, measure_point(*sizes)))
            .collect();
        figures.extend(slopes(&sweep, &points));
        extrapolate(&mut at_design, &base, &sweep, &points);
    }
    figures.extend(design_figures(&at_design));
    let setting = format!(
        "{}; one thread, cells of real control code over {} s of simulated time",
        build_profile(),
        MEASURED.as_secs()
    );
    Report {
        measurement: "control-slopes",
        setting,
        figures,
    }
}

fn sweeps() -> Vec<Sweep> {
    let base = Sizes::default();
    let databases = [3_625, 7_250, 14_500, 29_000];
    let vms = [462, 925, 1_850, 3_700];
    let cell_vms = [4, 8, 16, 32];
    let homes = [4, 8, 16, 32];
    let sweep = |name, sizes: [usize; 4], set: fn(usize, Sizes) -> Sizes| Sweep {
        name,
        sizes: sizes
            .iter()
            .map(|size| (*size as f64, set(*size, base)))
            .collect(),
    };
    vec![
        sweep("database known", databases, |databases, base| Sizes {
            databases,
            ..base
        }),
        sweep("VM of the fleet", vms, |vms, base| Sizes { vms, ..base }),
        sweep("VM of the cell", cell_vms, |cell_vms, base| Sizes {
            cell_vms,
            ..base
        }),
        sweep("home", homes, |homes, base| Sizes { homes, ..base }),
    ]
}

/// A cost for which a slope is reported.
struct CostKind {
    name: &'static str,
    unit: &'static str,
    value: fn(&Point) -> f64,
}

const COSTS: [CostKind; 9] = [
    CostKind {
        name: "cpu",
        unit: "us/s each",
        value: |point| point.cpu_us_per_s,
    },
    CostKind {
        name: "state",
        unit: "bytes each",
        value: |point| point.state_bytes,
    },
    CostKind {
        name: "allocations",
        unit: "1/s each",
        value: |point| point.allocations_per_s,
    },
    CostKind {
        name: "sent",
        unit: "bytes/s each",
        value: |point| point.bytes_per_s,
    },
    CostKind {
        name: "cpu of the lead",
        unit: "us/s each",
        value: |point| point.leader_cpu_us_per_s,
    },
    CostKind {
        name: "sent by the lead",
        unit: "bytes/s each",
        value: |point| point.leader_bytes_per_s,
    },
    CostKind {
        name: "platform calls",
        unit: "1/s each",
        value: |point| point.platform_calls_per_s,
    },
    CostKind {
        name: "a configuration change",
        unit: "us each",
        value: |point| point.change_us,
    },
    CostKind {
        name: "an instance's report",
        unit: "us each",
        value: |point| point.report_us,
    },
];

fn slopes(sweep: &Sweep, points: &[(f64, Point)]) -> Vec<Figure> {
    let mut figures = Vec::new();
    for CostKind { name, unit, value } in COSTS {
        let line: Vec<_> = points
            .iter()
            .map(|(size, point)| (*size, value(point)))
            .collect();
        let fit = LinearFit::fit(&line);
        figures.push(Figure::new(
            format!("{name} per {}", sweep.name),
            fit.slope,
            unit,
        ));
        let error = format!("  standard error of {name} per {}", sweep.name);
        figures.push(Figure::new(error, fit.slope_error, unit));
    }
    figures
}

/// Adds the increase of the costs when one size grows to its design value.
fn extrapolate(at_design: &mut Point, base: &Point, sweep: &Sweep, points: &[(f64, Point)]) {
    let (design, from) = match sweep.name {
        "database known" => (DESIGN_DATABASES, Sizes::default().databases as f64),
        "VM of the fleet" => (DESIGN_VMS, Sizes::default().vms as f64),
        "VM of the cell" => (DESIGN_CELL_VMS, Sizes::default().cell_vms as f64),
        _ => (DESIGN_HOMES, base.homes_per_vm),
    };
    let growth = |value: fn(&Point) -> f64| {
        let line: Vec<_> = points
            .iter()
            .map(|(size, point)| (*size, value(point)))
            .collect();
        let fit = LinearFit::fit(&line);
        fit.value_at(design) - fit.value_at(from)
    };
    at_design.cpu_us_per_s += growth(|point| point.cpu_us_per_s);
    at_design.leader_cpu_us_per_s += growth(|point| point.leader_cpu_us_per_s);
    at_design.leader_bytes_per_s += growth(|point| point.leader_bytes_per_s);
    at_design.state_bytes += growth(|point| point.state_bytes);
    at_design.bytes_per_s += growth(|point| point.bytes_per_s);
    at_design.messages_per_s += growth(|point| point.messages_per_s);
    at_design.platform_calls_per_s += growth(|point| point.platform_calls_per_s);
    at_design.change_us += growth(|point| point.change_us);
}

fn design_figures(at_design: &Point) -> Vec<Figure> {
    let changes_us_per_s = at_design.change_us * DESIGN_CHANGES_PER_S;
    let core_percent = |cpu_us_per_s: f64| (cpu_us_per_s + changes_us_per_s) / 10_000.0;
    let of = |name: &str| format!("at the design size: {name}");
    vec![
        Figure::new(
            of("cpu, of one core"),
            core_percent(at_design.cpu_us_per_s),
            "%",
        )
        .with_target(Target::AtMost(MAX_CPU_SHARE_PERCENT)),
        Figure::new(
            of("cpu of the lead, of one core"),
            core_percent(at_design.leader_cpu_us_per_s),
            "%",
        )
        .with_target(Target::AtMost(MAX_CPU_SHARE_PERCENT)),
        Figure::new(of("state"), at_design.state_bytes, "bytes")
            .with_target(Target::AtMost(MAX_STATE_BYTES)),
        Figure::new(of("sent"), at_design.bytes_per_s, "bytes/s")
            .with_target(Target::AtMost(MAX_BYTES_PER_S)),
        Figure::new(
            of("sent by the lead"),
            at_design.leader_bytes_per_s,
            "bytes/s",
        )
        .with_target(Target::AtMost(MAX_BYTES_PER_S)),
        Figure::new(of("messages"), at_design.messages_per_s, "1/s"),
        Figure::new(
            of("platform calls of all VMs"),
            at_design.platform_calls_per_s * DESIGN_VMS,
            "1/s",
        )
        .with_target(Target::AtMost(MAX_PLATFORM_CALLS_PER_S)),
        Figure::new(
            of("cpu of one configuration change"),
            at_design.change_us,
            "us",
        ),
    ]
}

fn measure_point(sizes: Sizes) -> Point {
    let cell_name = "cell-1";
    let local_vms: Vec<_> = (0..sizes.cell_vms)
        .map(|number| local_vm(cell_name, number))
        .collect();
    let mut cell = Cell::new(local_vms);
    seed(&mut cell, sizes);
    cell.run(WARM_UP);
    let cost = cell.run(MEASURED);
    let leader = cell.greatest_load();
    let vms = sizes.cell_vms as f64;
    let per_s = |value: f64| value / vms / MEASURED.as_secs_f64();
    let homes_per_vm = cell.home_count() as f64 / vms;
    let change = average(|number| cell.put(&change_key(number), change_value(number)));
    let report = average(|number| cell.report_all(u64::from(number) + 2));
    let reports = f64::max(report.events as f64, 1.0);
    Point {
        cpu_us_per_s: per_s(micros(cost.cpu)),
        leader_cpu_us_per_s: micros(leader.cpu) / MEASURED.as_secs_f64(),
        leader_bytes_per_s: leader.message_bytes as f64 / MEASURED.as_secs_f64(),
        allocations_per_s: per_s(cost.allocations as f64),
        bytes_per_s: per_s(cost.message_bytes as f64),
        messages_per_s: per_s(cost.messages as f64),
        platform_calls_per_s: per_s(cost.platform_calls as f64),
        change_us: micros(change.cpu) / vms / f64::from(REPETITIONS),
        report_us: micros(report.cpu) / reports,
        homes_per_vm,
        state_bytes: cell.into_state_bytes() as f64 / vms,
    }
}

fn micros(time: Duration) -> f64 {
    time.as_secs_f64() * 1e6
}

fn average(mut step: impl FnMut(u32) -> Cost) -> Cost {
    let mut sum = Cost::default();
    for number in 0..REPETITIONS {
        let cost = step(number);
        sum.cpu += cost.cpu;
        sum.events += cost.events;
    }
    sum
}

fn change_key(number: u32) -> String {
    let path = RecordPath::Preset(format!("preset-{}", number % 4).into());
    format!("{CONFIGURATION_PREFIX}{path}")
}

fn change_value(number: u32) -> Vec<u8> {
    let preset = Preset {
        name: format!("preset-{}", number % 4).into(),
        description: format!("change {number}"),
        limits: [].into(),
        routes: [].into(),
        maintenance: [].into(),
    };
    encode(&Record::Preset(preset))
}

fn encode(value: &impl serde::Serialize) -> Vec<u8> {
    serde_json::to_vec(value).expect("records can be written as JSON")
}

/// Writes a fleet's configuration and list of VMs to the simulated service.
fn seed(cell: &mut Cell, sizes: Sizes) {
    let cell_databases = sizes.homes * sizes.cell_vms;
    for number in 0..sizes.databases.max(cell_databases) {
        let cell_name = if number < cell_databases {
            "cell-1".to_owned()
        } else {
            format!("cell-{}", 2 + number / 250)
        };
        let group = group(number, &cell_name);
        let path = RecordPath::Database(group.name.clone());
        cell.put(
            &format!("{CONFIGURATION_PREFIX}{path}"),
            encode(&Record::Database(group)),
        );
    }
    let in_force = PresetInForce {
        preset: "preset-0".into(),
        version: 1,
        operation: "seed".into(),
    };
    cell.put(&change_key(0), change_value(0));
    cell.put(
        &format!("{CONFIGURATION_PREFIX}{}", RecordPath::InForce),
        encode(&Record::InForce(in_force)),
    );
    for number in 0..sizes.vms.max(sizes.cell_vms) {
        let (cell_name, number) = if number < sizes.cell_vms {
            ("cell-1".to_owned(), number)
        } else {
            (format!("cell-{}", 2 + number / 32), number)
        };
        let local = local_vm(&cell_name, number);
        let record = VmRecord {
            name: local.name.clone(),
            peer_address: SocketAddr::from((Ipv4Addr::LOCALHOST, 7432)),
            availability_zone: local.availability_zone,
            region: local.region,
            cell: local.cell,
            state: VmState::Live,
        };
        cell.put(&format!("{VM_LIST_PREFIX}{}", local.name), encode(&record));
    }
}

fn group(number: usize, cell: &str) -> DatabaseGroup {
    let name = format!("database-{number}");
    let instance = |index: u8| InstanceRecord {
        name: format!("{name}-{}", (b'a' + index) as char).into(),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 5432)),
        availability_zone: format!("zone-{index}").into(),
        slots: 3,
        connections: 20,
        state: InstanceState::Live,
    };
    DatabaseGroup {
        name: name.as_str().into(),
        region: "region-1".into(),
        cell: cell.into(),
        instances: (0..3).map(instance).collect(),
    }
}
