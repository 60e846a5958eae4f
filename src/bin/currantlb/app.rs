//! Command line of `currantlb`, the daemon.

use std::path::PathBuf;

use argh::FromArgs;

/// Database proxy with session consistency.
#[derive(Debug, FromArgs)]
pub(crate) struct App {
    /// settings file, in JSON with comments
    #[argh(option, default = "PathBuf::from(\"currantlb.jsonc\")")]
    pub(crate) config: PathBuf,

    /// print the version and exit
    #[argh(switch)]
    pub(crate) version: bool,

    #[argh(subcommand)]
    pub(crate) action: Option<Action>,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum Action {
    Check(Check),
}

/// Checks the settings file without starting the daemon.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
#[expect(
    clippy::empty_structs_with_brackets,
    reason = "argh derives for structs with named fields only"
)]
pub(crate) struct Check {}
