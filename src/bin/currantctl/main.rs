//! `currantctl`, the operators' command-line tool for the administration API.

mod app;
mod client;
mod command;
mod completion;
mod error;
mod output;

use std::process::ExitCode;

use snafu::ResultExt;
use tokio::runtime::Builder;

use crate::app::App;
use crate::error::{Result, RuntimeSnafu};

fn main() -> ExitCode {
    let app: App = argh::from_env();
    match run(app) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn run(app: App) -> Result<()> {
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .context(RuntimeSnafu)?;
    runtime.block_on(command::run(app))
}
