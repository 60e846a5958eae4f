//! `currantlb`, the daemon.

mod app;

use std::path::Path;
use std::process::ExitCode;

use currantlb::daemon::{self, Daemon};
use currantlb::error::{Result, ThreadsSnafu};
use currantlb::settings::Settings;
use currantlb::settings::file::{self, FileError};
use snafu::ResultExt;
use tokio::runtime::Builder;

use crate::app::{Action, App};

/// Exit code when the settings file can't be read or is invalid.
const EXIT_SETTINGS: u8 = 2;

fn main() -> ExitCode {
    init_logging();
    let app: App = argh::from_env();
    match app.action {
        Some(Action::Check(_)) => check(&app.config),
        None if app.version => {
            println!("currantlb {}", env!("CARGO_PKG_VERSION"));
            ExitCode::SUCCESS
        }
        None => run(&app.config),
    }
}

fn init_logging() {
    let environment = env_logger::Env::default().default_filter_or("info");
    env_logger::Builder::from_env(environment)
        // sqlparser logs the SQL text that it parses, including the values in statements.
        .filter_module("sqlparser", log::LevelFilter::Off)
        .init();
}

fn check(config: &Path) -> ExitCode {
    match file::load(config) {
        Ok(_) => {
            println!("{}: the settings are valid", config.display());
            ExitCode::SUCCESS
        }
        Err(error) => report_invalid_settings(&error),
    }
}

fn run(config: &Path) -> ExitCode {
    let settings = match file::load(config) {
        Ok(settings) => settings,
        Err(error) => return report_invalid_settings(&error),
    };
    let runtime = Builder::new_current_thread().enable_all().build();
    let result = runtime
        .context(ThreadsSnafu)
        .and_then(|runtime| runtime.block_on(serve(settings)));
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

async fn serve(settings: Settings) -> Result<()> {
    let daemon = Daemon::start(settings).await?;
    daemon::wait_for_signal().await?;
    daemon.stop().await;
    Ok(())
}

fn report_invalid_settings(error: &FileError) -> ExitCode {
    eprintln!("{error}");
    ExitCode::from(EXIT_SETTINGS)
}
