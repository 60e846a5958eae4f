//! Command-line program for the stand-ins, demo, replay and measurements.

mod app;

use std::alloc::System;
use std::process::ExitCode;
use std::time::Duration;

use currantlb_lab::demo;
use currantlb_lab::deployment::{self, Deployment};
use currantlb_lab::fleet::FleetSettings;
use currantlb_lab::measure::{self, Report};
use currantlb_lab::processes;
use currantlb_lab::relay;
use currantlb_lab::replay::{self, Outcome, ReplayOptions};
use currantlb_lab::stand_ins::StandInSettings;

use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};
use tokio::net::TcpListener;

use crate::app::{Action, App, Demo, Measure, Relay, Replay, StandIns};

/// Counts allocations for the measurements.
#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Exit code for invalid command-line arguments.
const EXIT_USAGE: u8 = 2;

#[tokio::main]
async fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    let app: App = argh::from_env();
    match app.action {
        Action::Demo(arguments) => run_demo(&arguments).await,
        Action::StandIns(arguments) => run_stand_ins(&arguments).await,
        Action::Measure(arguments) => run_measurements(&arguments).await,
        Action::Replay(arguments) => run_replay(&arguments).await,
        Action::Relay(arguments) => exit_code(run_relay(&arguments).await),
    }
}

async fn run_demo(arguments: &Demo) -> ExitCode {
    let Some(deployment) = deployment_named(&arguments.deployment) else {
        return ExitCode::from(EXIT_USAGE);
    };
    let settings = FleetSettings {
        vms: arguments.vms,
        stand_ins: StandInSettings {
            deployment,
            replication_lag: Duration::from_millis(arguments.replication_lag_ms),
            delay: Duration::from_millis(arguments.vm_delay_ms),
            service_time_ms: arguments.service_time_ms,
            ..StandInSettings::default()
        },
        ..FleetSettings::default()
    };
    let result = if arguments.check {
        demo::check(settings).await.map(|report| {
            println!(
                "{} saves and {} reads through {} VMs, all as promised",
                report.saves, report.reads, arguments.vms
            );
        })
    } else {
        demo::run(settings, arguments.connection_file.as_deref()).await
    };
    exit_code(result)
}

async fn run_stand_ins(arguments: &StandIns) -> ExitCode {
    let Some(deployment) = deployment_named(&arguments.deployment) else {
        return ExitCode::from(EXIT_USAGE);
    };
    let settings = StandInSettings {
        deployment,
        replication_lag: Duration::from_millis(arguments.replication_lag_ms),
        ..StandInSettings::default()
    };
    exit_code(processes::run(settings, arguments.vms, &arguments.directory).await)
}

async fn run_measurements(arguments: &Measure) -> ExitCode {
    let reports = match measure::run(&arguments.name).await {
        Ok(reports) => reports,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    if arguments.json {
        println!(
            "{}",
            serde_json::to_string_pretty(&reports).unwrap_or_default()
        );
    } else {
        for report in &reports {
            println!("{report}");
        }
    }
    if reports.iter().all(Report::is_met) {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

async fn run_replay(arguments: &Replay) -> ExitCode {
    let options = ReplayOptions {
        seed: arguments.seed,
        speed: arguments.speed,
        ..ReplayOptions::default()
    };
    let mut traces = Vec::new();
    for file in &arguments.files {
        match replay::trace::read(file) {
            Ok(trace) => traces.push(trace),
            Err(error) => {
                eprintln!("{error}");
                return ExitCode::from(EXIT_USAGE);
            }
        }
    }
    let mut is_met = true;
    for trace in &traces {
        match replay::run(trace, &options).await {
            Ok(outcome) => {
                is_met &= outcome.is_met();
                print_outcome(&outcome, arguments.json);
            }
            Err(error) => {
                eprintln!("{}: {error}", trace.header.name);
                is_met = false;
            }
        }
    }
    if is_met {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn print_outcome(outcome: &Outcome, json: bool) {
    if json {
        println!("{}", serde_json::to_string(outcome).unwrap_or_default());
    } else {
        println!("{outcome}");
    }
}

async fn run_relay(arguments: &Relay) -> std::io::Result<()> {
    let listener = TcpListener::bind(arguments.listen).await?;
    println!("{}", listener.local_addr()?);
    relay::run(listener, arguments.to).await
}

fn deployment_named(name: &str) -> Option<Deployment> {
    let found = deployment::named(name);
    if found.is_none() {
        eprintln!("there is no deployment {name}; use semenanjung or bagmati");
    }
    found
}

fn exit_code<E: std::fmt::Display>(result: Result<(), E>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
